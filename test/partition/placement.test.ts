import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { infeasibleReason, eligibleZones, remainingInZone } from '../../src/coordination/partition/placement';
import { countFitting } from '../../src/coordination/partition/resources';
import { type JobSpec } from '../../src/protocol/jobs';
import { LARGE_TYPE, SMALL_TYPE } from '../support/machine-types';
import { JOB_SPEC } from '../support/job-spec';

test('placement: feasibility, zones and free resources', async (t) => {
  const feasibilityCases: [string, Partial<JobSpec>, boolean][] = [
    ['feasible: a job without constraints', {}, false],
    ['infeasible: a task needs more than any machine type has', { memoryGb: 500 }, true],
    ['infeasible: only an unknown machine type is allowed', { machineTypes: ['other'] }, true],
    ['infeasible: no machine type is offered in the zone', { zone: 'c' }, true],
    ["infeasible: a task needs more than the team's limit", { cpus: 9 }, true],
    ['feasible: only the sum of all tasks exceeds the limit', { tasks: 100 }, false],
  ];
  for (const [name, change, expected] of feasibilityCases) {
    await t.test(name, () => {
      const reason = infeasibleReason({ ...JOB_SPEC, ...change }, [SMALL_TYPE, LARGE_TYPE], {
        cpus: 8,
        accelerators: 0,
      });
      assert.equal(reason !== null, expected, String(reason));
    });
  }
  const remainingCases: [string, Partial<JobSpec>, [string, number][], number][] = [
    ['no zone constraint: no bound', {}, [['b', 9]], Number.POSITIVE_INFINITY],
    ['single zone, other tasks in another zone: none', { singleZone: true }, [['b', 1]], 0],
    [
      'single zone, other tasks in this zone: no bound',
      { singleZone: true },
      [['a', 1]],
      Number.POSITIVE_INFINITY,
    ],
    [
      'single zone, no tasks left in another zone: no bound',
      { singleZone: true },
      [['b', 0]],
      Number.POSITIVE_INFINITY,
    ],
    ['spread over zones: half of 5, rounded up, less 2', { spreadZones: true }, [['a', 2]], 1],
    ['spread over zones, zone full: none', { spreadZones: true }, [['a', 3]], 0],
  ];
  for (const [name, change, inFlightByZone, expected] of remainingCases) {
    await t.test(name, () =>
      assert.equal(remainingInZone({ ...JOB_SPEC, ...change }, 'a', new Map(inFlightByZone)), expected),
    );
  }
  // Machines were provisioned in zones that a job may not use. Once the job had lost its machines in the allowed zones, it stayed
  // pending forever.
  const zoneCases: [string, Partial<JobSpec>, [string, number][], string[] | null][] = [
    ['all zones without a zone constraint', {}, [['b', 9]], null],
    ['the required zone', { zone: 'b' }, [], ['b']],
    ['single zone, nothing placed yet: all zones', { singleZone: true }, [], null],
    ['single zone: the zone of the other tasks', { singleZone: true }, [['b', 1]], ['b']],
    [
      'spread over zones: the zone that is not full',
      { spreadZones: true },
      [
        ['a', 3],
        ['b', 1],
      ],
      ['b'],
    ],
    ['spread over zones, none full yet: both zones', { spreadZones: true }, [['a', 2]], ['a', 'b']],
  ];
  for (const [name, change, inFlightByZone, expected] of zoneCases) {
    await t.test(`eligible zones: ${name}`, () =>
      assert.deepEqual(
        eligibleZones({ ...JOB_SPEC, ...change }, ['a', 'b'], new Map(inFlightByZone)),
        expected,
      ),
    );
  }
  await t.test('the number of fitting tasks never exceeds the free resources', () => {
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
