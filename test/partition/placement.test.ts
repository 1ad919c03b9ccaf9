import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { infeasibleReason, eligibleZones, remainingInZone } from '../../src/coordination/partition/placement';
import { countFitting } from '../../src/coordination/partition/resources';
import { type JobSpec } from '../../src/protocol/jobs';
import { LARGE_TYPE, SMALL_TYPE } from '../support/machine-types';
import { JOB_SPEC } from '../support/job-spec';

test('placement', async (t) => {
  const impossibles: [string, Partial<JobSpec>, boolean][] = [
    ['a plain job', {}, false],
    ['more than any type has', { memoryGb: 500 }, true],
    ['only an unknown type', { machineTypes: ['other'] }, true],
    ['a zone without the type', { zone: 'c' }, true],
    ["a task over the team's limit", { cpus: 9 }, true],
    ['an array over the limit in sum only', { tasks: 100 }, false],
  ];
  for (const [name, change, expected] of impossibles) {
    await t.test(name, () => {
      const reason = infeasibleReason({ ...JOB_SPEC, ...change }, [SMALL_TYPE, LARGE_TYPE], {
        cpus: 8,
        accelerators: 0,
      });
      assert.equal(reason !== null, expected, String(reason));
    });
  }
  const rooms: [string, Partial<JobSpec>, [string, number][], number][] = [
    ['anywhere', {}, [['b', 9]], Number.POSITIVE_INFINITY],
    ['together: the others are elsewhere', { singleZone: true }, [['b', 1]], 0],
    ['together: the others are here', { singleZone: true }, [['a', 1]], Number.POSITIVE_INFINITY],
    ['together: nobody left elsewhere', { singleZone: true }, [['b', 0]], Number.POSITIVE_INFINITY],
    ['apart: half of 5, rounded up, less 2', { spreadZones: true }, [['a', 2]], 1],
    ['apart: full', { spreadZones: true }, [['a', 3]], 0],
  ];
  for (const [name, change, placed, expected] of rooms) {
    await t.test(name, () =>
      assert.equal(remainingInZone({ ...JOB_SPEC, ...change }, 'a', new Map(placed)), expected),
    );
  }
  // Machines rented where the job may not go left it waiting for ever once it had lost those where it may.
  const zones: [string, Partial<JobSpec>, [string, number][], string[] | null][] = [
    ['anywhere', {}, [['b', 9]], null],
    ['bound to a zone', { zone: 'b' }, [], ['b']],
    ['together, nothing placed yet', { singleZone: true }, [], null],
    ['together: where the others are', { singleZone: true }, [['b', 1]], ['b']],
    [
      'apart: where there is room',
      { spreadZones: true },
      [
        ['a', 3],
        ['b', 1],
      ],
      ['b'],
    ],
    ['apart: nowhere full yet', { spreadZones: true }, [['a', 2]], ['a', 'b']],
  ];
  for (const [name, change, placed, expected] of zones) {
    await t.test(`open zones: ${name}`, () =>
      assert.deepEqual(eligibleZones({ ...JOB_SPEC, ...change }, ['a', 'b'], new Map(placed)), expected),
    );
  }
  await t.test('never more than there is room for', () => {
    const amount = fc.double({ min: 0.01, max: 100, noNaN: true });
    fc.assert(
      fc.property(amount, amount, amount, amount, (cpus, memoryGb, c, m) => {
        const n = countFitting(
          { cpus, memoryGb, accelerators: 0 },
          { cpus: c, memoryGb: m, accelerators: 0 },
        );
        assert.ok(n * c <= cpus + 1e-6 && n * m <= memoryGb + 1e-6);
      }),
      { seed: 7 },
    );
  });
});
