import assert from 'node:assert/strict';
import { test } from 'node:test';
import { planCapacity } from '../../src/coordination/fleet/autoscaler';
import { type FleetSnapshot } from '../../src/coordination/fleet/capacity-plan';
import { DEFAULT_POLICY } from '../../src/protocol/policy';
import { DRAIN_TO_CLOUD } from '../../src/protocol/peers';
import { LARGE_TYPE, SMALL_TYPE } from '../support/machine-types';
import { demand, fleetMachine, machineLoad, partitionLoad } from '../support/fleet-builders';

test('autoscaling', async (t) => {
  const snapshot = (change: Partial<FleetSnapshot>): FleetSnapshot => ({
    types: new Map([SMALL_TYPE, LARGE_TYPE].map((m) => [m.name, m])),
    loads: [],
    machines: [],
    capacityExhausted: () => false,
    leaseMs: 12_000,
    policy: DEFAULT_POLICY,
    ...change,
  });
  const busy = { tasks: 4, freeCpus: 0, freeMemoryGb: 8, emptyInS: 60 };
  const cases: [string, Partial<FleetSnapshot>, (actions: ReturnType<typeof planCapacity>) => boolean][] = [
    ['nothing to do', { loads: [partitionLoad('p0', [], [])] }, (a) => a.length === 0],
    [
      'spot machines for waiting work',
      { loads: [partitionLoad('p0', [demand({})], [])] },
      (a) => a.length > 0 && a.every((x) => x.kind === 'scale-out' && x.request.spot),
    ],
    [
      // A job that allows no spot machine once waited for ever, as ordinary ones needed a long queue.
      'one task that allows no spot machine gets an ordinary one at once',
      { loads: [partitionLoad('p0', [demand({ tasks: 1, spot: false })], [])] },
      (a) => a.length === 1 && a[0]?.kind === 'scale-out' && !a[0].request.spot,
    ],
    [
      'ordinary ones when spot is sold out and nothing else can run the work',
      { loads: [partitionLoad('p0', [demand({})], [])], capacityExhausted: (k) => k.spot },
      (a) => a.length > 0 && a.every((x) => x.kind === 'scale-out' && !x.request.spot),
    ],
    [
      'room in a zone where the job may not go is none: one is rented where it may',
      {
        loads: [partitionLoad('p0', [demand({ tasks: 2, zones: ['b'] })], [machineLoad('i-1')])],
        machines: [fleetMachine('i-1', { zone: 'a' })],
      },
      (a) => a.length > 0 && a.every((x) => x.kind === 'scale-out' && x.request.zone === 'b'),
    ],
    [
      'machines that are booting count',
      {
        loads: [partitionLoad('p0', [demand({ tasks: 4 })], [])],
        machines: [fleetMachine('i-1', { booting: true, ageMs: 5000 })],
      },
      (a) => a.length === 0,
    ],
    [
      'one that is late counts no more: what waits for it is asked for again',
      {
        loads: [partitionLoad('p0', [demand({ tasks: 4 })], [])],
        machines: [fleetMachine('i-1', { booting: true, ageMs: 35_000 })],
      },
      (a) => a.length === 1 && a[0]?.kind === 'scale-out',
    ],
    [
      'one that never boots is returned',
      {
        loads: [partitionLoad('p0', [], [])],
        machines: [fleetMachine('i-1', { booting: true, ageMs: 90_000 })],
      },
      (a) => a.length === 1 && a[0]?.kind === 'scale-in' && a[0].force,
    ],
    [
      // A machine that never came up kept two hundred others from being sent off for two minutes.
      'one that takes far too long to boot does not keep the others of its partition',
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
      'nor is it waited for once there is no work',
      {
        loads: [
          partitionLoad('p0', [], [machineLoad('i-1', { sinceHeartbeatMs: -1 })], { sinceLastJobS: 30 }),
        ],
        machines: [fleetMachine('i-1', { booting: true, ageMs: 61_000 })],
      },
      (a) => a.length === 1 && a[0]?.kind === 'scale-in' && a[0].force,
    ],
    [
      // Two machines fell silent while they changed partitions: kept and paid for ten minutes, and counted as room all the time.
      'one that fell silent while it changed partitions is returned',
      {
        loads: [partitionLoad('p0', [], [machineLoad('i-1', { sinceHeartbeatMs: -1 })])],
        machines: [fleetMachine('i-1', { sinceHeartbeatMs: 31_000 })],
      },
      (a) => a.length === 1 && a[0]?.kind === 'scale-in' && a[0].force && a[0].reason === 'silent',
    ],
    [
      'nor is it room for what waits before that',
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
      // An owner that is cut from its workers for some seconds must not rent its fleet a second time.
      'machines that all fall silent together still count: it is their owner who does not hear',
      {
        loads: [
          partitionLoad('p0', [demand({ tasks: 4 })], [machineLoad('i-1', { sinceHeartbeatMs: 9000 })]),
        ],
        machines: [fleetMachine('i-1', { sinceHeartbeatMs: 9000 })],
      },
      (a) => a.length === 0,
    ],
    [
      'an idle machine of another partition moves instead of a rental',
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
      'a machine that fails every task is returned though it is busy',
      {
        loads: [partitionLoad('p0', [], [machineLoad('i-1', { ...busy, quarantined: true })])],
        machines: [fleetMachine('i-1', { quarantinedMs: 9000 })],
      },
      (a) => a.some((x) => x.kind === 'scale-in' && x.force),
    ],
    [
      'one idle for long is returned, one just emptied is kept',
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
      // Idle by the report of a moment ago, it was given back while work waited that it was about to get.
      'one idle for long that waiting work needs stays',
      {
        loads: [partitionLoad('p0', [demand({ tasks: 4 })], [machineLoad('i-1', { idleMs: 60_000 })])],
        machines: [fleetMachine('i-1')],
      },
      (a) => a.length === 0,
    ],
    [
      'a partition with little work lends what empties soon, when nothing can be rented',
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
      'one that has room for all of its own lends machines that are busy for long, up to half of what is free',
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
      'one whose own work waits keeps them',
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
      // Nights on which new machines of one kind came up late or never: what was asked for next was of the same kind.
      'a kind of machine that comes up late is asked for in another zone',
      {
        loads: [partitionLoad('p0', [demand({ tasks: 4 })], [])],
        machines: ['i-1', 'i-2'].map((id) => fleetMachine(id, { booting: true, ageMs: 40_000 })),
      },
      (a) =>
        a.length > 0 && a.every((x) => x.kind === 'scale-out' && x.request.zone === 'b' && x.request.spot),
    ],
    [
      'or of another type, where that is not much dearer',
      {
        loads: [partitionLoad('p0', [demand({ tasks: 32, zones: ['a'] })], [])],
        machines: ['i-1', 'i-2', 'i-3'].map((id) => fleetMachine(id, { booting: true, ageMs: 40_000 })),
      },
      (a) => a.length > 0 && a.every((x) => x.kind === 'scale-out' && x.request.type === 'large'),
    ],
    [
      'one late machine among many says nothing of its kind',
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
      // One partition's idle work held a thousand CPUs while another's urgent work waited: their whole work took as long.
      'urgent work of one partition counts for more than idle work of another',
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
      // Twice a second a partition's machines went out for normal work and others came in for its urgent work.
      'a partition that has no room for its urgent work lends nothing for less urgent work',
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
      'what was just moved stays',
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
      // Tasks stopped on a draining machine wait for a moment: they had every drain of their partition taken back.
      'a drain out of the fleet goes on while others have room for what waits',
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
      'a drain out of the fleet is taken back once something waits that nobody has room for',
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
      'a drain that the work since has made wrong is taken back',
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
  ];
  for (const [name, change, expected] of cases) {
    await t.test(name, () => {
      const actions = planCapacity(snapshot(change));
      assert.ok(expected(actions), JSON.stringify(actions));
    });
  }
});
