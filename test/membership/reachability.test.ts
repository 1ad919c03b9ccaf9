import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MisroutedHeartbeats } from '../../src/coordination/membership/misrouted-heartbeats';
import { Reachability } from '../../src/coordination/membership/reachability';
import { type MachineLoad } from '../../src/protocol/peers';
import { machineLoad, partitionLoad } from '../support/fleet-builders';

test('an owner that its machines cannot reach is replaced and avoided', async (t) => {
  const HEARTBEAT_INTERVAL_MS = 2000;
  const machineLoads = (count: number, ageMs: number): MachineLoad[] =>
    Array.from({ length: count }, (_, i) => machineLoad(`i-${i}`, { sinceHeartbeatMs: ageMs }));
  type MisroutedByMember = Record<string, number>;
  // Machines of the owner `a`, number of its machines misrouted to each member, and expected new owner.
  const cases: [string, MachineLoad[], MisroutedByMember, string | null][] = [
    [
      'an owner that receives heartbeats from its machines keeps the partition',
      machineLoads(8, 1000),
      { b: 8 },
      null,
    ],
    [
      'an owner that receives none is replaced by the member that most of its machines reach',
      machineLoads(8, 6000),
      { b: 4, c: 1 },
      'b',
    ],
    // Machines that no longer exist send heartbeats to no controller: a handover would only cost a takeover.
    [
      'an owner whose silent machines reach no other member keeps the partition',
      machineLoads(8, 6000),
      {},
      null,
    ],
    ['an owner with a single misrouted machine keeps the partition', machineLoads(8, 6000), { b: 1 }, null],
    [
      'an owner with only half of its machines silent, as in a zone outage, keeps the partition',
      [...machineLoads(4, 6000), ...machineLoads(4, 500)],
      { b: 4 },
      null,
    ],
    [
      'an owner whose machines are all still booting keeps the partition',
      machineLoads(8, -1),
      { b: 8 },
      null,
    ],
    // Owners overloaded after a takeover received heartbeats too late; partitions were handed over repeatedly for minutes.
    [
      'an owner that receives some heartbeats late is overloaded and keeps the partition',
      machineLoads(8, 6000),
      { a: 0, b: 8 },
      null,
    ],
  ];
  const stats = (machines: number, ageMs = 100) => ({
    misrouted: [{ partition: 'p0', machines }],
    sinceHeartbeatMs: ageMs,
  });
  for (const [name, machines, misrouted, expectedOwner] of cases) {
    await t.test(name, () => {
      const reachability = new Reachability();
      reachability.recordStats('a', stats(0, 6000), 0);
      for (const [member, n] of Object.entries(misrouted)) reachability.recordStats(member, stats(n), 0);
      const newOwner = reachability.selectReplacementOwner(
        'a',
        partitionLoad('p0', [], machines),
        HEARTBEAT_INTERVAL_MS,
        ['a', 'b', 'c'],
        100,
      );
      assert.equal(newOwner, expectedOwner);
      assert.equal(reachability.isAvoided('a'), expectedOwner !== null);
    });
  }
  // A partition that is returned at once to a controller that is still unreachable would change owners again and again.
  const avoidanceCases: [string, number, number, boolean][] = [
    [
      'an unreachable owner is avoided for the minimum time even if it receives heartbeats',
      10_000,
      100,
      true,
    ],
    ['after the minimum time, it is avoided while it receives no heartbeats', 30_000, 30_000, true],
    ['after the minimum time, it is not avoided once it receives heartbeats', 30_000, 100, false],
    ['after the maximum time, it is not avoided even if it receives none', 70_000, -1, false],
  ];
  for (const [name, at, sinceHeartbeatMs, avoided] of avoidanceCases) {
    await t.test(name, () => {
      const reachability = new Reachability();
      reachability.recordStats('a', stats(0, 6000), 0);
      reachability.recordStats('b', stats(8), 0);
      reachability.selectReplacementOwner(
        'a',
        partitionLoad('p0', [], machineLoads(8, 6000)),
        HEARTBEAT_INTERVAL_MS,
        ['a', 'b'],
        100,
      );
      reachability.recordStats('a', { misrouted: [], sinceHeartbeatMs }, at);
      assert.equal(reachability.isAvoided('a'), avoided);
    });
  }
  await t.test('heartbeats are deferred only if many machines were misrouted recently', () => {
    const misrouted = new MisroutedHeartbeats();
    for (let i = 0; i < 5; i++) misrouted.record('p0', `i-${i % 3}`, i * 100);
    assert.equal(misrouted.reachesDeferralThreshold('p0', 30, 500), true);
    assert.equal(misrouted.reachesDeferralThreshold('p0', 31, 500), false, 'too few of the machines');
    assert.equal(misrouted.reachesDeferralThreshold('p0', 30, 3000), false, 'too long ago');
    assert.deepEqual(misrouted.counts(500), [{ partition: 'p0', machines: 3 }], 'each machine counts once');
    misrouted.record('p0', 'i-9', 8000);
    assert.deepEqual(misrouted.counts(8000), [{ partition: 'p0', machines: 1 }]);
  });
});
