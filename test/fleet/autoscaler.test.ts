import assert from 'node:assert/strict';
import { test } from 'node:test';
import { planCapacity } from '../../src/coordination/fleet/autoscaler';
import { type FleetSnapshot } from '../../src/coordination/fleet/fleet-snapshot';
import { MAX_TASKS_PER_MACHINE } from '../../src/protocol/message-limits';
import { DEFAULT_POLICY } from '../../src/protocol/policy';
import { DRAIN_TO_CLOUD } from '../../src/protocol/peers';
import { LARGE_TYPE, SMALL_TYPE } from '../support/machine-types';
import { demand, fleetMachine, machineLoad, partitionLoad } from '../support/fleet-builders';

test('planCapacity', async (t) => {
  const snapshot = (change: Partial<FleetSnapshot>): FleetSnapshot => ({
    types: new Map([SMALL_TYPE, LARGE_TYPE].map((m) => [m.name, m])),
    loads: [],
    machines: [],
    capacityExhausted: () => false,
    capacityRefused: () => false,
    leaseMs: 12_000,
    policy: DEFAULT_POLICY,
    ...change,
  });
  const busy = { tasks: 4, freeCpus: 0, freeMemoryGb: 8, emptyInS: 60 };
  const cases: [string, Partial<FleetSnapshot>, (actions: ReturnType<typeof planCapacity>) => boolean][] = [
    [
      'a partition without machines or demand needs no action',
      { loads: [partitionLoad('p0', [], [])] },
      (a) => a.length === 0,
    ],
    [
      'spot machines are requested for pending tasks',
      { loads: [partitionLoad('p0', [demand({})], [])] },
      (a) => a.length > 0 && a.every((x) => x.kind === 'scale-out' && x.request.spot),
    ],
    [
      // A job that allows no spot machine used to wait forever, because on-demand machines were requested only for a long queue.
      'a single task that allows no spot machine gets an on-demand machine at once',
      { loads: [partitionLoad('p0', [demand({ tasks: 1, spot: false })], [])] },
      (a) => a.length === 1 && a[0]?.kind === 'scale-out' && !a[0].request.spot,
    ],
    [
      // Guards against a job that waits for ever in an idle cluster, because its tasks were expected to be no work.
      'a machine is requested for tasks that take no CPUs',
      { loads: [partitionLoad('p0', [demand({ cpus: 0, expectedS: 0 })], [])] },
      (a) => a.length === 1 && a[0]?.kind === 'scale-out',
    ],
    [
      'on-demand machines are requested if spot capacity is exhausted and nothing else can run the work',
      { loads: [partitionLoad('p0', [demand({})], [])], capacityExhausted: (k) => k.spot },
      (a) => a.length > 0 && a.every((x) => x.kind === 'scale-out' && !x.request.spot),
    ],
    [
      'free resources in a zone that the demand excludes do not count: a machine is requested in an allowed zone',
      {
        loads: [partitionLoad('p0', [demand({ tasks: 2, zones: ['b'] })], [machineLoad('i-1')])],
        machines: [fleetMachine('i-1', { zone: 'a' })],
      },
      (a) => a.length > 0 && a.every((x) => x.kind === 'scale-out' && x.request.zone === 'b'),
    ],
    [
      'a booting machine counts as capacity',
      {
        loads: [partitionLoad('p0', [demand({ tasks: 4 })], [])],
        machines: [fleetMachine('i-1', { booting: true, ageMs: 5000 })],
      },
      (a) => a.length === 0,
    ],
    [
      'a machine that boots late does not count as capacity: another one is requested',
      {
        loads: [partitionLoad('p0', [demand({ tasks: 4 })], [])],
        machines: [fleetMachine('i-1', { booting: true, ageMs: 35_000 })],
      },
      (a) => a.length === 1 && a[0]?.kind === 'scale-out',
    ],
    [
      'a machine that never comes up is returned to the cloud',
      {
        loads: [partitionLoad('p0', [], [])],
        machines: [fleetMachine('i-1', { booting: true, ageMs: 90_000 })],
      },
      (a) => a.length === 1 && a[0]?.kind === 'scale-in' && a[0].force,
    ],
    [
      // A machine that never came up prevented the drain of two hundred others for two minutes.
      'a machine that boots late does not prevent the drain of other machines of its partition',
      {
        loads: [
          partitionLoad(
            'p0',
            [],
            [
              machineLoad('i-1', { tasks: 1, freeCpus: 3, emptyInS: 60 }),
              machineLoad('i-2', { tasks: 1, freeCpus: 3, emptyInS: 60 }),
              machineLoad('i-3', { sinceHeartbeatMs: -1 }),
            ],
            { sinceLastJobS: 30 },
          ),
        ],
        machines: [
          fleetMachine('i-1'),
          fleetMachine('i-2'),
          fleetMachine('i-3', { booting: true, ageMs: 50_000 }),
        ],
      },
      (a) => a.length === 1 && a[0]?.kind === 'transfer' && a[0].drain,
    ],
    [
      'a machine that boots late is returned to the cloud once there is no work',
      {
        loads: [
          partitionLoad('p0', [], [machineLoad('i-1', { sinceHeartbeatMs: -1 })], { sinceLastJobS: 30 }),
        ],
        machines: [fleetMachine('i-1', { booting: true, ageMs: 61_000 })],
      },
      (a) => a.length === 1 && a[0]?.kind === 'scale-in' && a[0].force,
    ],
    [
      // Two machines that fell silent during a transfer were kept and paid for ten minutes, and counted as capacity all the time.
      'a machine that fell silent during a transfer is returned to the cloud',
      {
        loads: [partitionLoad('p0', [], [machineLoad('i-1', { sinceHeartbeatMs: -1 })])],
        machines: [fleetMachine('i-1', { sinceHeartbeatMs: 31_000 })],
      },
      (a) => a.length === 1 && a[0]?.kind === 'scale-in' && a[0].force && a[0].reason === 'silent',
    ],
    [
      'a machine that fell silent during a transfer does not count as capacity even before it is returned',
      {
        loads: [
          partitionLoad(
            'p0',
            [demand({ tasks: 4, expectedS: 300 })],
            [
              machineLoad('i-1', { sinceHeartbeatMs: -1 }),
              ...['i-2', 'i-3', 'i-4'].map((id) => machineLoad(id, busy)),
            ],
          ),
        ],
        machines: [
          fleetMachine('i-1', { sinceHeartbeatMs: 9000 }),
          fleetMachine('i-2'),
          fleetMachine('i-3'),
          fleetMachine('i-4'),
        ],
      },
      (a) => a.length > 0 && a.every((x) => x.kind === 'scale-out'),
    ],
    [
      // An owner that is cut off from its workers for some seconds must not cause a second fleet to be provisioned.
      'machines that all fall silent together still count as capacity, since the cause is their owner',
      {
        loads: [
          partitionLoad('p0', [demand({ tasks: 4 })], [machineLoad('i-1', { sinceHeartbeatMs: 9000 })]),
        ],
        machines: [fleetMachine('i-1', { sinceHeartbeatMs: 9000 })],
      },
      (a) => a.length === 0,
    ],
    [
      'an idle machine of another partition is transferred, and none is provisioned',
      {
        loads: [
          partitionLoad('p0', [], [machineLoad('i-1', { idleMs: 4000 })]),
          partitionLoad('p1', [demand({ tasks: 4 })], []),
        ],
        machines: [fleetMachine('i-1')],
      },
      (a) => a.length === 1 && a[0]?.kind === 'transfer' && a[0].toPartition === 'p1' && !a[0].drain,
    ],
    [
      'a machine that fails every task is returned to the cloud although it is busy',
      {
        loads: [partitionLoad('p0', [], [machineLoad('i-1', { ...busy, quarantined: true })])],
        machines: [fleetMachine('i-1', { quarantinedMs: 9000 })],
      },
      (a) => a.some((x) => x.kind === 'scale-in' && x.force),
    ],
    [
      // Guards against a job that never runs, because the only machine was returned although it was about to recover.
      'a machine that fails every task is kept for a while if it is the last of its kind and the cloud has no other',
      {
        loads: [partitionLoad('p0', [], [machineLoad('i-1', { quarantined: true })])],
        machines: [fleetMachine('i-1', { quarantinedMs: 9000, failingMs: 80_000 })],
        capacityRefused: () => true,
      },
      (a) => a.length === 0,
    ],
    [
      'machines that all fail every task are kept for a while if the cloud has no others',
      {
        loads: [
          partitionLoad(
            'p0',
            [],
            [machineLoad('i-1', { quarantined: true }), machineLoad('i-2', { quarantined: true })],
          ),
        ],
        machines: [
          fleetMachine('i-1', { quarantinedMs: 9000, failingMs: 9000 }),
          fleetMachine('i-2', { quarantinedMs: 9000, failingMs: 9000 }),
        ],
        capacityRefused: () => true,
      },
      (a) => a.length === 0,
    ],
    [
      'a machine that has failed every task for long is returned even if it is the last of its kind',
      {
        loads: [partitionLoad('p0', [], [machineLoad('i-1', { quarantined: true })])],
        machines: [fleetMachine('i-1', { quarantinedMs: 9000, failingMs: 100_000 })],
        capacityRefused: () => true,
      },
      (a) => a.length === 1 && a[0]?.kind === 'scale-in' && a[0].force,
    ],
    [
      'a machine that fails every task is returned if another of its kind works, whatever the cloud has',
      {
        loads: [
          partitionLoad('p0', [], [machineLoad('i-1', { quarantined: true }), machineLoad('i-2', busy)]),
        ],
        machines: [fleetMachine('i-1', { quarantinedMs: 9000, failingMs: 9000 }), fleetMachine('i-2')],
        capacityRefused: () => true,
      },
      (a) => a.length === 1 && a[0]?.kind === 'scale-in' && a[0].machine === 'i-1',
    ],
    [
      'a machine that is idle for long is returned to the cloud, one that was just emptied is kept',
      {
        loads: [
          partitionLoad(
            'p0',
            [],
            [machineLoad('i-1', { idleMs: 60_000 }), machineLoad('i-2', { idleMs: 500 })],
          ),
        ],
        machines: [fleetMachine('i-1'), fleetMachine('i-2')],
      },
      (a) => a.length === 1 && a[0]?.kind === 'scale-in' && a[0].machine === 'i-1',
    ],
    [
      // A machine that was idle in the latest load was returned although it was about to get pending tasks.
      'a machine that is idle for long is kept if pending tasks need it',
      {
        loads: [partitionLoad('p0', [demand({ tasks: 4 })], [machineLoad('i-1', { idleMs: 60_000 })])],
        machines: [fleetMachine('i-1')],
      },
      (a) => a.length === 0,
    ],
    [
      'a partition with little work drains machines that empty soon for another one if none can be provisioned',
      {
        loads: [
          partitionLoad('p0', [], [machineLoad('i-1', { ...busy, emptyInS: 5 }), machineLoad('i-2', busy)], {
            remainingWork: [0, 0, 100, 0],
          }),
          partitionLoad('p1', [demand({ tasks: 200 })], [machineLoad('i-3', busy)]),
        ],
        machines: [fleetMachine('i-1'), fleetMachine('i-2'), fleetMachine('i-3', { partition: 'p1' })],
        capacityExhausted: () => true,
      },
      (a) => a.length === 1 && a[0]?.kind === 'transfer' && a[0].machine === 'i-1' && a[0].drain,
    ],
    [
      'a donor without unmet demand drains machines that are busy for long, up to half of its free CPUs',
      {
        loads: [
          partitionLoad(
            'p0',
            [],
            ['i-1', 'i-2', 'i-3', 'i-4', 'i-5', 'i-6', 'i-7', 'i-8', 'i-9', 'i-0'].map((id) =>
              machineLoad(id, { tasks: 1, freeCpus: 3, emptyInS: 70 }),
            ),
            { remainingWork: [0, 0, 100, 0] },
          ),
          partitionLoad('p1', [demand({ tasks: 200 })], [machineLoad('j-1', busy)]),
        ],
        machines: [
          ...['i-1', 'i-2', 'i-3', 'i-4', 'i-5', 'i-6', 'i-7', 'i-8', 'i-9', 'i-0'].map((id) =>
            fleetMachine(id),
          ),
          fleetMachine('j-1', { partition: 'p1' }),
        ],
        capacityExhausted: () => true,
      },
      (a) => a.length === 5 && a.every((x) => x.kind === 'transfer' && x.toPartition === 'p1' && x.drain),
    ],
    [
      'a donor with unmet demand keeps machines that are busy for long',
      {
        loads: [
          partitionLoad(
            'p0',
            [demand({ tasks: 200, expectedS: 1 })],
            ['i-1', 'i-2', 'i-3', 'i-4', 'i-5', 'i-6'].map((id) =>
              machineLoad(id, { ...busy, emptyInS: 70 }),
            ),
            { remainingWork: [0, 0, 100, 0] },
          ),
          partitionLoad('p1', [demand({ tasks: 2000 })], [machineLoad('j-1', busy)]),
        ],
        machines: [
          ...['i-1', 'i-2', 'i-3', 'i-4', 'i-5', 'i-6'].map((id) => fleetMachine(id)),
          fleetMachine('j-1', { partition: 'p1' }),
        ],
        capacityExhausted: () => true,
      },
      (a) => a.length === 0,
    ],
    [
      // On some nights, new machines of one kind came up late or never, and the next requests were for the same kind.
      'if a kind of machine boots late, its type is requested in another zone',
      {
        loads: [partitionLoad('p0', [demand({ tasks: 4 })], [])],
        machines: ['i-1', 'i-2'].map((id) => fleetMachine(id, { booting: true, ageMs: 40_000 })),
      },
      (a) =>
        a.length > 0 && a.every((x) => x.kind === 'scale-out' && x.request.zone === 'b' && x.request.spot),
    ],
    [
      'if a kind of machine boots late, another type is requested if it is not much more expensive',
      {
        loads: [partitionLoad('p0', [demand({ tasks: 32, zones: ['a'] })], [])],
        machines: ['i-1', 'i-2', 'i-3'].map((id) => fleetMachine(id, { booting: true, ageMs: 40_000 })),
      },
      (a) => a.length > 0 && a.every((x) => x.kind === 'scale-out' && x.request.type === 'large'),
    ],
    [
      'a single late machine among many does not change which kind is requested',
      {
        loads: [partitionLoad('p0', [demand({ tasks: 4 })], [])],
        machines: [
          fleetMachine('i-0', { booting: true, ageMs: 40_000 }),
          ...['i-1', 'i-2', 'i-3', 'i-4', 'i-5'].map((id) => fleetMachine(id, { partition: 'p1' })),
          ...['j-1', 'j-2', 'j-3', 'j-4', 'j-5', 'j-6', 'j-7'].map((id) =>
            fleetMachine(id, { partition: 'p1', zone: 'b' }),
          ),
        ],
      },
      (a) => a.length === 1 && a[0]?.kind === 'scale-out' && a[0].request.zone === 'a',
    ],
    [
      // Idle-priority work of one partition held a thousand CPUs while urgent work of another waited, because all work of the one
      // would have taken as long as all work of the other.
      'a machine with idle-priority work of one partition is drained for urgent work of another',
      {
        loads: [
          partitionLoad(
            'p0',
            [demand({ priority: 3, tasks: 500 })],
            [machineLoad('i-1', { ...busy, emptyInS: 5 })],
          ),
          partitionLoad('p1', [demand({ priority: 1, tasks: 20 })], [machineLoad('i-3', busy)]),
        ],
        machines: [fleetMachine('i-1'), fleetMachine('i-3', { partition: 'p1' })],
        capacityExhausted: () => true,
      },
      (a) =>
        a.length === 1 && a[0]?.kind === 'transfer' && a[0].machine === 'i-1' && a[0].toPartition === 'p1',
    ],
    [
      // Twice a second, machines of a partition were transferred away for normal work and others to it for its urgent work.
      'a partition with unmet urgent demand gives no machine to less urgent work',
      {
        loads: [
          partitionLoad(
            'p0',
            [demand({ priority: 1, tasks: 20 })],
            [machineLoad('i-1', { ...busy, emptyInS: 5 })],
          ),
          partitionLoad('p1', [demand({ priority: 2, tasks: 500 })], [machineLoad('i-3', busy)]),
        ],
        machines: [fleetMachine('i-1'), fleetMachine('i-3', { partition: 'p1' })],
        capacityExhausted: () => true,
      },
      (a) => !a.some((x) => x.kind === 'transfer' && x.toPartition === 'p1'),
    ],
    [
      'a machine that was just transferred is not transferred again',
      {
        loads: [
          partitionLoad('p0', [], [machineLoad('i-1', { idleMs: 4000 })]),
          partitionLoad('p1', [demand({ tasks: 4 })], []),
        ],
        machines: [fleetMachine('i-1', { sinceTransferMs: 2000 })],
        capacityExhausted: () => true,
      },
      (a) => a.length === 0,
    ],
    [
      // Tasks that are stopped on a draining machine are pending for a moment, which caused every drain of the partition to be
      // revoked.
      'a drain to the cloud continues while other machines have resources for the pending tasks',
      {
        loads: [
          partitionLoad(
            'p0',
            [demand({ tasks: 2 })],
            [
              machineLoad('i-1', { tasks: 1, freeCpus: 3, transferTarget: DRAIN_TO_CLOUD }),
              machineLoad('i-2', { tasks: 1, freeCpus: 3 }),
            ],
          ),
        ],
        machines: [fleetMachine('i-1'), fleetMachine('i-2')],
      },
      (a) => a.length === 0,
    ],
    [
      'a drain to the cloud is revoked once other machines lack resources for pending tasks',
      {
        loads: [
          partitionLoad(
            'p0',
            [demand({ tasks: 5 })],
            [
              machineLoad('i-1', { tasks: 1, freeCpus: 3, transferTarget: DRAIN_TO_CLOUD }),
              machineLoad('i-2', { tasks: 1, freeCpus: 3 }),
            ],
          ),
        ],
        machines: [fleetMachine('i-1'), fleetMachine('i-2')],
        capacityExhausted: () => true,
      },
      (a) =>
        a.length === 1 && a[0]?.kind === 'transfer' && a[0].machine === 'i-1' && a[0].toPartition === 'p0',
    ],
    [
      'a drain for another partition is revoked once later work has made it useless',
      {
        loads: [
          partitionLoad(
            'p0',
            [demand({ tasks: 200 })],
            [machineLoad('i-1', { ...busy, transferTarget: 'p1' })],
          ),
          partitionLoad('p1', [], [machineLoad('i-3', busy)]),
        ],
        machines: [fleetMachine('i-1'), fleetMachine('i-3', { partition: 'p1' })],
        capacityExhausted: () => true,
      },
      (a) => a.some((x) => x.kind === 'transfer' && x.machine === 'i-1' && x.toPartition === 'p0'),
    ],
    [
      // Guards against tasks that wait for ever: the planner counted free CPUs that no task could use.
      'a machine that has as many tasks as its worker can report has no room for tiny tasks: another one is requested',
      {
        loads: [
          partitionLoad(
            'p0',
            [demand({ cpus: 0.001, memoryGb: 0.001, tasks: 100, expectedS: 600 })],
            [machineLoad('i-1', { tasks: MAX_TASKS_PER_MACHINE, freeCpus: 3.5, emptyInS: 600 })],
          ),
        ],
        machines: [fleetMachine('i-1')],
      },
      (a) => a.length === 1 && a[0]?.kind === 'scale-out',
    ],
    [
      'a machine that boots counts as capacity for no more tiny tasks than its worker can report',
      {
        loads: [
          partitionLoad(
            'p0',
            [demand({ cpus: 0.001, memoryGb: 0.001, tasks: MAX_TASKS_PER_MACHINE + 1, expectedS: 600 })],
            [],
          ),
        ],
        machines: [fleetMachine('i-1', { booting: true, ageMs: 5000 })],
      },
      (a) => a.length === 1 && a[0]?.kind === 'scale-out',
    ],
  ];
  for (const [name, change, expected] of cases) {
    await t.test(name, () => {
      const actions = planCapacity(snapshot(change));
      assert.ok(expected(actions), JSON.stringify(actions));
    });
  }
});
