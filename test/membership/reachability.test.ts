import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MisroutedHeartbeats } from '../../src/coordination/membership/misrouted-heartbeats';
import { Reachability } from '../../src/coordination/membership/reachability';
import { type MachineLoad } from '../../src/protocol/peers';
import { machineLoad, partitionLoad } from '../support/fleet-builders';

test('whom machines reach', async (t) => {
  const REPORT_MS = 2000;
  const silent = (n: number, ms: number): MachineLoad[] =>
    Array.from({ length: n }, (_, i) => machineLoad(`i-${i}`, { sinceHeartbeatMs: ms }));
  type Told = Record<string, number>;
  // What the owner `a` has heard, at whom its machines turn up, and who is to have the partition.
  const cases: [string, MachineLoad[], Told, string | null][] = [
    ['an owner that hears its machines keeps them', silent(8, 1000), { b: 8 }, null],
    ['one that hears none while they come to another', silent(8, 6000), { b: 4, c: 1 }, 'b'],
    // Machines that are gone come to nobody: to hand the partition over would only cost a take-over.
    ['machines that come to nobody are gone', silent(8, 6000), {}, null],
    ['a single one that turns up proves little', silent(8, 6000), { b: 1 }, null],
    [
      'a zone that does not get through is no reason',
      [...silent(4, 6000), ...silent(4, 500)],
      { b: 4 },
      null,
    ],
    ['machines that still boot say nothing', silent(8, -1), { b: 8 }, null],
    // Overloaded after a take-over, owners heard too little in time; partitions went from one to the next for minutes.
    ['an owner that hears machines late has too much to do', silent(8, 6000), { a: 0, b: 8 }, null],
  ];
  const heard = (machines: number, heardMs = 100) => ({
    misrouted: [{ partition: 'p0', machines }],
    sinceHeartbeatMs: heardMs,
  });
  for (const [name, machines, told, to] of cases) {
    await t.test(name, () => {
      const reach = new Reachability();
      reach.recordStats('a', heard(0, 6000), 0);
      for (const [member, n] of Object.entries(told)) reach.recordStats(member, heard(n), 0);
      const better = reach.selectReplacementOwner(
        'a',
        partitionLoad('p0', [], machines),
        REPORT_MS,
        ['a', 'b', 'c'],
        100,
      );
      assert.equal(better, to);
      assert.equal(reach.isAvoided('a'), to !== null);
    });
  }
  // Given back at once to a controller that is still cut off, a partition would go to and fro.
  const returns: [string, number, number, boolean][] = [
    ['an owner that was cut off gets nothing for a while, whatever it hears', 10_000, 100, true],
    ['then nothing while it hears nobody', 30_000, 30_000, true],
    ['it is back once it hears machines', 30_000, 100, false],
    ['or after a long time', 70_000, -1, false],
  ];
  for (const [name, at, sinceHeartbeatMs, avoided] of returns) {
    await t.test(name, () => {
      const reach = new Reachability();
      reach.recordStats('a', heard(0, 6000), 0);
      reach.recordStats('b', heard(8), 0);
      reach.selectReplacementOwner('a', partitionLoad('p0', [], silent(8, 6000)), REPORT_MS, ['a', 'b'], 100);
      reach.recordStats('a', { misrouted: [], sinceHeartbeatMs }, at);
      assert.equal(reach.isAvoided('a'), avoided);
    });
  }
  await t.test('reports wait for a change of owner only if many machines stray, and lately', () => {
    const misrouted = new MisroutedHeartbeats();
    for (let i = 0; i < 5; i++) misrouted.record('p0', `i-${i % 3}`, i * 100);
    assert.equal(misrouted.exceedsDeferralRatio('p0', 30, 500), true);
    assert.equal(misrouted.exceedsDeferralRatio('p0', 31, 500), false, 'a few of many');
    assert.equal(misrouted.exceedsDeferralRatio('p0', 30, 3000), false, 'a while ago');
    assert.deepEqual(misrouted.counts(500), [{ partition: 'p0', machines: 3 }], 'each counts once');
    misrouted.record('p0', 'i-9', 8000);
    assert.deepEqual(misrouted.counts(8000), [{ partition: 'p0', machines: 1 }]);
  });
});
