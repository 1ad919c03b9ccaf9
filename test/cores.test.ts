import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { MAX_CLOCK_DRIFT_RATIO } from '../src/transport/clock';
import { RateLimiter } from '../src/transport/rate-limiter';
import { NewestFirstQueue } from '../src/transport/fair-queue';
import { planCapacity } from '../src/coordination/fleet/autoscaler';
import { type FleetMachine, type FleetSnapshot } from '../src/coordination/fleet/fleet-snapshot';
import { refreshIntervalMs, maxStalenessMs } from '../src/coordination/membership/staleness-bound';
import { splitTeams } from '../src/coordination/leader/partition-assignment';
import {
  countFitting,
  infeasibleReason,
  eligibleZones,
  remainingInZone,
} from '../src/coordination/partition/placement';
import {
  failJob,
  mayBegin,
  recoveryPass,
  type Edge,
  type NodeState,
  type PipelineNode,
} from '../src/coordination/pipeline/recovery-pass';
import { Reachability, MisroutedHeartbeats } from '../src/coordination/membership/reachability';
import { LEASE_EXTENSION_MS, LeaseExtensions } from '../src/coordination/membership/lease-extension';
import {
  deadlinesOf,
  deadlinePriority,
  RuntimeEstimates,
  missedDeadlineCount,
  agedPriority,
  type WaitState,
} from '../src/coordination/partition/priority';
import { type MachineType } from '../src/protocol/cloud';
import { type JobSpec } from '../src/protocol/jobs';
import { DEFAULT_POLICY } from '../src/protocol/policy';
import { DRAIN_TO_CLOUD, type Demand, type MachineLoad, type PartitionLoad } from '../src/protocol/peers';

function node(state: NodeState, reExecutable = true, alternates: number[] = []): PipelineNode {
  return { state, reExecutable, inputsRecorded: true, alternates };
}

const NO_CHANGES = { rerun: [], fail: [], cancel: [], release: [], pipelineFailed: false };

test('recovery walk', async (t) => {
  const abort = (from: number, to: number): Edge => ({ from, to, kind: 'abort' });
  const fallback = (from: number, to: number): Edge => ({ from, to, kind: 'force_begin_on_abort' });
  const cases: [string, PipelineNode[], Edge[], object][] = [
    ['nothing interrupted', [node('done'), node('unscheduled')], [abort(0, 1)], NO_CHANGES],
    ['a re-executable job is run again', [node('interrupted')], [], { ...NO_CHANGES, rerun: [0] }],
    ['any other fails', [node('interrupted', false)], [], { ...NO_CHANGES, fail: [0] }],
    [
      'inputs that are not recorded forbid a rerun',
      [{ ...node('interrupted'), inputsRecorded: false }],
      [],
      { ...NO_CHANGES, fail: [0] },
    ],
    [
      'failure passes down abort edges, link by link',
      [node('interrupted', false), node('unscheduled'), node('interrupted')],
      [abort(0, 1), abort(1, 2)],
      { ...NO_CHANGES, fail: [0], cancel: [1, 2] },
    ],
    [
      'a done dependent stays done, the pipeline has failed',
      [node('interrupted', false), node('done'), node('unscheduled')],
      [abort(0, 1), abort(1, 2)],
      { ...NO_CHANGES, fail: [0], pipelineFailed: true },
    ],
    [
      'a fallback and an alternate are released once',
      [node('interrupted', false, [1]), node('unscheduled')],
      [fallback(0, 1)],
      { ...NO_CHANGES, fail: [0], release: [1] },
    ],
    [
      'a fallback that is itself aborted is not released',
      [node('interrupted', false), node('unscheduled'), node('unscheduled')],
      [fallback(0, 2), abort(0, 1), abort(1, 2)],
      { ...NO_CHANGES, fail: [0], cancel: [1, 2] },
    ],
    [
      'the earliest decides: a later interrupted job may be cancelled instead of rerun',
      [node('interrupted', false), node('interrupted')],
      [abort(0, 1)],
      { ...NO_CHANGES, fail: [0], cancel: [1] },
    ],
  ];
  for (const [name, nodes, edges, expected] of cases) {
    await t.test(name, () => assert.deepEqual(recoveryPass(nodes, edges, [...nodes.keys()]), expected));
  }
  await t.test('a cycle of abort edges ends', () => {
    const ring = [node('executing'), node('executing'), node('executing')];
    const result = failJob(ring, [abort(0, 1), abort(1, 2), abort(2, 0)], 0);
    assert.deepEqual(result.cancel, [1, 2]);
  });
  await t.test('a job begins after its begin-on-commit parents and its release', () => {
    const edges: Edge[] = [{ from: 0, to: 1, kind: 'begin_on_commit' }, fallback(0, 2)];
    const nodes = [node('executing'), node('unscheduled'), node('unscheduled')];
    assert.equal(mayBegin(nodes, edges, 1, new Set()), false);
    assert.equal(mayBegin([node('done'), ...nodes.slice(1)], edges, 1, new Set()), true);
    assert.equal(mayBegin(nodes, edges, 2, new Set()), false);
    assert.equal(mayBegin(nodes, edges, 2, new Set([2])), true);
  });
});

const small: MachineType = {
  ...{ name: 'small', cpus: 4, accelerators: 0, memoryGb: 16, cacheGb: 50, fetchGbPerS: 1 },
  ...{ price: 0.2, spotPrice: 0.08, bootS: 20, zones: ['a', 'b'] },
};
const large: MachineType = { ...small, name: 'large', cpus: 32, memoryGb: 128, price: 1.8, spotPrice: 0.8 };
const spec: JobSpec = {
  ...{
    ref: 'job-000001',
    workload: 'w',
    team: 't',
    priority: 2,
    tasks: 5,
    cpus: 1,
    accelerators: 0,
    memoryGb: 2,
  },
  ...{
    image: 'i',
    imageGb: 1,
    machineTypes: null,
    zone: null,
    singleZone: false,
    spreadZones: false,
    spot: true,
  },
  ...{ expectedS: 30, checkpointIntervalS: 0, checkpointDurationS: 0, deadlineS: null, pipeline: null },
};

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
      const reason = infeasibleReason({ ...spec, ...change }, [small, large], { cpus: 8, accelerators: 0 });
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
      assert.equal(remainingInZone({ ...spec, ...change }, 'a', new Map(placed)), expected),
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
      assert.deepEqual(eligibleZones({ ...spec, ...change }, ['a', 'b'], new Map(placed)), expected),
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

function demand(change: Partial<Demand>): Demand {
  return {
    ...{
      workload: 'w',
      cpus: 1,
      accelerators: 0,
      memoryGb: 2,
      machineTypes: null,
      zones: null,
      spot: true,
      priority: 2,
    },
    ...{ tasks: 10, expectedS: 60, ...change },
  };
}

function load(machine: string, change: Partial<MachineLoad> = {}): MachineLoad {
  return {
    ...{
      machine,
      tasks: 0,
      freeCpus: 4,
      freeMemoryGb: 16,
      freeAccelerators: 0,
      idleMs: 0,
      sinceHeartbeatMs: 100,
    },
    ...{ quarantined: false, preemptionNotice: false, transferTarget: null, emptyInS: 0, ...change },
  };
}

function partition(
  id: string,
  demands: Demand[],
  machines: MachineLoad[],
  change: Partial<PartitionLoad> = {},
): PartitionLoad {
  const backlog = [0, 0, 0, 0];
  for (const d of demands) backlog[d.priority]! += d.tasks * d.cpus * d.expectedS;
  return {
    partition: id,
    epoch: 1,
    unconfirmed: 0,
    demands,
    machines,
    remainingWork: [0, 0, 0, 0],
    backlog,
    sinceLastJobS: 0,
    ...change,
  };
}

function machine(id: string, change: Partial<FleetMachine> = {}): FleetMachine {
  return {
    ...{ id, partition: 'p0', type: 'small', zone: 'a', spot: true, deprovisioning: false },
    ...{
      ageMs: 60_000,
      booting: false,
      sinceHeartbeatMs: 0,
      failed: false,
      quarantinedMs: 0,
      sinceTransferMs: Infinity,
    },
    ...change,
  };
}

test('autoscaling', async (t) => {
  const snapshot = (change: Partial<FleetSnapshot>): FleetSnapshot => ({
    ...{ types: new Map([small, large].map((m) => [m.name, m])), loads: [], machines: [] },
    ...{ capacityExhausted: () => false, leaseMs: 12_000, policy: DEFAULT_POLICY, ...change },
  });
  const busy = { tasks: 4, freeCpus: 0, freeMemoryGb: 8, emptyInS: 60 };
  const cases: [string, Partial<FleetSnapshot>, (actions: ReturnType<typeof planCapacity>) => boolean][] = [
    ['nothing to do', { loads: [partition('p0', [], [])] }, (a) => a.length === 0],
    [
      'spot machines for waiting work',
      { loads: [partition('p0', [demand({})], [])] },
      (a) => a.length > 0 && a.every((x) => x.kind === 'scale-out' && x.request.spot),
    ],
    [
      // A job that allows no spot machine once waited for ever, as ordinary ones needed a long queue.
      'one task that allows no spot machine gets an ordinary one at once',
      { loads: [partition('p0', [demand({ tasks: 1, spot: false })], [])] },
      (a) => a.length === 1 && a[0]?.kind === 'scale-out' && !a[0].request.spot,
    ],
    [
      'ordinary ones when spot is sold out and nothing else can run the work',
      { loads: [partition('p0', [demand({})], [])], capacityExhausted: (k) => k.spot },
      (a) => a.length > 0 && a.every((x) => x.kind === 'scale-out' && !x.request.spot),
    ],
    [
      'room in a zone where the job may not go is none: one is rented where it may',
      {
        loads: [partition('p0', [demand({ tasks: 2, zones: ['b'] })], [load('i-1')])],
        machines: [machine('i-1', { zone: 'a' })],
      },
      (a) => a.length > 0 && a.every((x) => x.kind === 'scale-out' && x.request.zone === 'b'),
    ],
    [
      'machines that are booting count',
      {
        loads: [partition('p0', [demand({ tasks: 4 })], [])],
        machines: [machine('i-1', { booting: true, ageMs: 5000 })],
      },
      (a) => a.length === 0,
    ],
    [
      'one that is late counts no more: what waits for it is asked for again',
      {
        loads: [partition('p0', [demand({ tasks: 4 })], [])],
        machines: [machine('i-1', { booting: true, ageMs: 35_000 })],
      },
      (a) => a.length === 1 && a[0]?.kind === 'scale-out',
    ],
    [
      'one that never boots is returned',
      { loads: [partition('p0', [], [])], machines: [machine('i-1', { booting: true, ageMs: 90_000 })] },
      (a) => a.length === 1 && a[0]?.kind === 'scale-in' && a[0].force,
    ],
    [
      // A machine that never came up kept two hundred others from being sent off for two minutes.
      'one that takes far too long to boot does not keep the others of its partition',
      {
        loads: [
          partition(
            'p0',
            [],
            [
              load('i-1', { tasks: 1, freeCpus: 3, emptyInS: 60 }),
              load('i-2', { tasks: 1, freeCpus: 3, emptyInS: 60 }),
              load('i-3', { sinceHeartbeatMs: -1 }),
            ],
            { sinceLastJobS: 30 },
          ),
        ],
        machines: [machine('i-1'), machine('i-2'), machine('i-3', { booting: true, ageMs: 50_000 })],
      },
      (a) => a.length === 1 && a[0]?.kind === 'transfer' && a[0].drain,
    ],
    [
      'nor is it waited for once there is no work',
      {
        loads: [partition('p0', [], [load('i-1', { sinceHeartbeatMs: -1 })], { sinceLastJobS: 30 })],
        machines: [machine('i-1', { booting: true, ageMs: 61_000 })],
      },
      (a) => a.length === 1 && a[0]?.kind === 'scale-in' && a[0].force,
    ],
    [
      // Two machines fell silent while they changed partitions: kept and paid for ten minutes, and counted as room all the time.
      'one that fell silent while it changed partitions is returned',
      {
        loads: [partition('p0', [], [load('i-1', { sinceHeartbeatMs: -1 })])],
        machines: [machine('i-1', { sinceHeartbeatMs: 31_000 })],
      },
      (a) => a.length === 1 && a[0]?.kind === 'scale-in' && a[0].force && a[0].reason === 'silent',
    ],
    [
      'nor is it room for what waits before that',
      {
        loads: [
          partition(
            'p0',
            [demand({ tasks: 4, expectedS: 300 })],
            [load('i-1', { sinceHeartbeatMs: -1 }), ...['i-2', 'i-3', 'i-4'].map((id) => load(id, busy))],
          ),
        ],
        machines: [
          machine('i-1', { sinceHeartbeatMs: 9000 }),
          machine('i-2'),
          machine('i-3'),
          machine('i-4'),
        ],
      },
      (a) => a.length > 0 && a.every((x) => x.kind === 'scale-out'),
    ],
    [
      // An owner that is cut from its workers for some seconds must not rent its fleet a second time.
      'machines that all fall silent together still count: it is their owner who does not hear',
      {
        loads: [partition('p0', [demand({ tasks: 4 })], [load('i-1', { sinceHeartbeatMs: 9000 })])],
        machines: [machine('i-1', { sinceHeartbeatMs: 9000 })],
      },
      (a) => a.length === 0,
    ],
    [
      'an idle machine of another partition moves instead of a rental',
      {
        loads: [
          partition('p0', [], [load('i-1', { idleMs: 4000 })]),
          partition('p1', [demand({ tasks: 4 })], []),
        ],
        machines: [machine('i-1')],
      },
      (a) => a.length === 1 && a[0]?.kind === 'transfer' && a[0].toPartition === 'p1' && !a[0].drain,
    ],
    [
      'a machine that fails every task is returned though it is busy',
      {
        loads: [partition('p0', [], [load('i-1', { ...busy, quarantined: true })])],
        machines: [machine('i-1', { quarantinedMs: 9000 })],
      },
      (a) => a.some((x) => x.kind === 'scale-in' && x.force),
    ],
    [
      'one idle for long is returned, one just emptied is kept',
      {
        loads: [partition('p0', [], [load('i-1', { idleMs: 60_000 }), load('i-2', { idleMs: 500 })])],
        machines: [machine('i-1'), machine('i-2')],
      },
      (a) => a.length === 1 && a[0]?.kind === 'scale-in' && a[0].machine === 'i-1',
    ],
    [
      // Idle by the report of a moment ago, it was given back while work waited that it was about to get.
      'one idle for long that waiting work needs stays',
      {
        loads: [partition('p0', [demand({ tasks: 4 })], [load('i-1', { idleMs: 60_000 })])],
        machines: [machine('i-1')],
      },
      (a) => a.length === 0,
    ],
    [
      'a partition with little work lends what empties soon, when nothing can be rented',
      {
        loads: [
          partition('p0', [], [load('i-1', { ...busy, emptyInS: 5 }), load('i-2', busy)], {
            remainingWork: [0, 0, 100, 0],
          }),
          partition('p1', [demand({ tasks: 200 })], [load('i-3', busy)]),
        ],
        machines: [machine('i-1'), machine('i-2'), machine('i-3', { partition: 'p1' })],
        capacityExhausted: () => true,
      },
      (a) => a.length === 1 && a[0]?.kind === 'transfer' && a[0].machine === 'i-1' && a[0].drain,
    ],
    [
      'one that has room for all of its own lends machines that are busy for long, up to half of what is free',
      {
        loads: [
          partition(
            'p0',
            [],
            ['i-1', 'i-2', 'i-3', 'i-4', 'i-5', 'i-6', 'i-7', 'i-8', 'i-9', 'i-0'].map((id) =>
              load(id, { tasks: 1, freeCpus: 3, emptyInS: 70 }),
            ),
            { remainingWork: [0, 0, 100, 0] },
          ),
          partition('p1', [demand({ tasks: 200 })], [load('j-1', busy)]),
        ],
        machines: [
          ...['i-1', 'i-2', 'i-3', 'i-4', 'i-5', 'i-6', 'i-7', 'i-8', 'i-9', 'i-0'].map((id) => machine(id)),
          machine('j-1', { partition: 'p1' }),
        ],
        capacityExhausted: () => true,
      },
      (a) => a.length === 5 && a.every((x) => x.kind === 'transfer' && x.toPartition === 'p1' && x.drain),
    ],
    [
      'one whose own work waits keeps them',
      {
        loads: [
          partition(
            'p0',
            [demand({ tasks: 200, expectedS: 1 })],
            ['i-1', 'i-2', 'i-3', 'i-4', 'i-5', 'i-6'].map((id) => load(id, { ...busy, emptyInS: 70 })),
            { remainingWork: [0, 0, 100, 0] },
          ),
          partition('p1', [demand({ tasks: 2000 })], [load('j-1', busy)]),
        ],
        machines: [
          ...['i-1', 'i-2', 'i-3', 'i-4', 'i-5', 'i-6'].map((id) => machine(id)),
          machine('j-1', { partition: 'p1' }),
        ],
        capacityExhausted: () => true,
      },
      (a) => a.length === 0,
    ],
    [
      // Nights on which new machines of one kind came up late or never: what was asked for next was of the same kind.
      'a kind of machine that comes up late is asked for in another zone',
      {
        loads: [partition('p0', [demand({ tasks: 4 })], [])],
        machines: ['i-1', 'i-2'].map((id) => machine(id, { booting: true, ageMs: 40_000 })),
      },
      (a) =>
        a.length > 0 && a.every((x) => x.kind === 'scale-out' && x.request.zone === 'b' && x.request.spot),
    ],
    [
      'or of another type, where that is not much dearer',
      {
        loads: [partition('p0', [demand({ tasks: 32, zones: ['a'] })], [])],
        machines: ['i-1', 'i-2', 'i-3'].map((id) => machine(id, { booting: true, ageMs: 40_000 })),
      },
      (a) => a.length > 0 && a.every((x) => x.kind === 'scale-out' && x.request.type === 'large'),
    ],
    [
      'one late machine among many says nothing of its kind',
      {
        loads: [partition('p0', [demand({ tasks: 4 })], [])],
        machines: [
          machine('i-0', { booting: true, ageMs: 40_000 }),
          ...['i-1', 'i-2', 'i-3', 'i-4', 'i-5'].map((id) => machine(id, { partition: 'p1' })),
          ...['j-1', 'j-2', 'j-3', 'j-4', 'j-5', 'j-6', 'j-7'].map((id) =>
            machine(id, { partition: 'p1', zone: 'b' }),
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
          partition('p0', [demand({ priority: 3, tasks: 500 })], [load('i-1', { ...busy, emptyInS: 5 })]),
          partition('p1', [demand({ priority: 1, tasks: 20 })], [load('i-3', busy)]),
        ],
        machines: [machine('i-1'), machine('i-3', { partition: 'p1' })],
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
          partition('p0', [demand({ priority: 1, tasks: 20 })], [load('i-1', { ...busy, emptyInS: 5 })]),
          partition('p1', [demand({ priority: 2, tasks: 500 })], [load('i-3', busy)]),
        ],
        machines: [machine('i-1'), machine('i-3', { partition: 'p1' })],
        capacityExhausted: () => true,
      },
      (a) => !a.some((x) => x.kind === 'transfer' && x.toPartition === 'p1'),
    ],
    [
      'what was just moved stays',
      {
        loads: [
          partition('p0', [], [load('i-1', { idleMs: 4000 })]),
          partition('p1', [demand({ tasks: 4 })], []),
        ],
        machines: [machine('i-1', { sinceTransferMs: 2000 })],
        capacityExhausted: () => true,
      },
      (a) => a.length === 0,
    ],
    [
      // Tasks stopped on a draining machine wait for a moment: they had every drain of their partition taken back.
      'a drain out of the fleet goes on while others have room for what waits',
      {
        loads: [
          partition(
            'p0',
            [demand({ tasks: 2 })],
            [
              load('i-1', { tasks: 1, freeCpus: 3, transferTarget: DRAIN_TO_CLOUD }),
              load('i-2', { tasks: 1, freeCpus: 3 }),
            ],
          ),
        ],
        machines: [machine('i-1'), machine('i-2')],
      },
      (a) => a.length === 0,
    ],
    [
      'a drain out of the fleet is taken back once something waits that nobody has room for',
      {
        loads: [
          partition(
            'p0',
            [demand({ tasks: 5 })],
            [
              load('i-1', { tasks: 1, freeCpus: 3, transferTarget: DRAIN_TO_CLOUD }),
              load('i-2', { tasks: 1, freeCpus: 3 }),
            ],
          ),
        ],
        machines: [machine('i-1'), machine('i-2')],
        capacityExhausted: () => true,
      },
      (a) =>
        a.length === 1 && a[0]?.kind === 'transfer' && a[0].machine === 'i-1' && a[0].toPartition === 'p0',
    ],
    [
      'a drain that the work since has made wrong is taken back',
      {
        loads: [
          partition('p0', [demand({ tasks: 200 })], [load('i-1', { ...busy, transferTarget: 'p1' })]),
          partition('p1', [], [load('i-3', busy)]),
        ],
        machines: [machine('i-1'), machine('i-3', { partition: 'p1' })],
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

test('whom machines reach', async (t) => {
  const REPORT_MS = 2000;
  const silent = (n: number, ms: number): MachineLoad[] =>
    Array.from({ length: n }, (_, i) => load(`i-${i}`, { sinceHeartbeatMs: ms }));
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
      const better = reach.betterOwner('a', partition('p0', [], machines), REPORT_MS, ['a', 'b', 'c'], 100);
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
      reach.betterOwner('a', partition('p0', [], silent(8, 6000)), REPORT_MS, ['a', 'b'], 100);
      reach.recordStats('a', { misrouted: [], sinceHeartbeatMs }, at);
      assert.equal(reach.isAvoided('a'), avoided);
    });
  }
  await t.test('reports wait for a change of owner only if many machines stray, and lately', () => {
    const misrouted = new MisroutedHeartbeats();
    for (let i = 0; i < 5; i++) misrouted.note('p0', `i-${i % 3}`, i * 100);
    assert.equal(misrouted.exceedsDeferringRatio('p0', 30, 500), true);
    assert.equal(misrouted.exceedsDeferringRatio('p0', 31, 500), false, 'a few of many');
    assert.equal(misrouted.exceedsDeferringRatio('p0', 30, 3000), false, 'a while ago');
    assert.deepEqual(misrouted.counts(500), [{ partition: 'p0', machines: 3 }], 'each counts once');
    misrouted.note('p0', 'i-9', 8000);
    assert.deepEqual(misrouted.counts(8000), [{ partition: 'p0', machines: 1 }]);
  });
});

test('lease extensions', async (t) => {
  const extendedAt = 10_000;
  const extensions = new LeaseExtensions(['b', 'c'], 0);
  const cases: [string, () => unknown, unknown][] = [
    ['no extension while the store answers', () => extensions.grant('b', true, true, extendedAt), false],
    [
      'none to a member whose session lease has ended for us',
      () => extensions.grant('b', false, false, extendedAt),
      false,
    ],
    ['else it is given', () => extensions.grant('b', true, false, extendedAt), true],
    ['and kept', () => extensions.permitsTakeOver('b', extendedAt + LEASE_EXTENSION_MS), false],
    [
      'until it has run out',
      () => extensions.permitsTakeOver('b', extendedAt + LEASE_EXTENSION_MS + 10),
      true,
    ],
    ['others are not covered', () => extensions.permitsTakeOver('c', extendedAt), true],
    [
      'a process that has just started sits out what it may have extended before',
      () => new LeaseExtensions(['b'], 50_000).permitsTakeOver('b', 50_000 + LEASE_EXTENSION_MS),
      false,
    ],
    [
      "one peer's extension is not enough",
      () => {
        extensions.recordResponse('b', extensions.recordRequest(20_000), true);
        return extensions.allHeld(20_001);
      },
      false,
    ],
    [
      'all of them are, counted from the asking',
      () => {
        const seq = extensions.recordRequest(20_000);
        extensions.recordResponse('b', seq, true);
        extensions.recordResponse('c', seq, true);
        return [extensions.allHeld(22_600), extensions.allHeld(22_800)];
      },
      [true, false],
    ],
    [
      'an answer to a question long forgotten counts nothing',
      () => {
        const old = extensions.recordRequest(30_000);
        for (let i = 0; i < 20; i++) extensions.recordRequest(31_000);
        extensions.recordResponse('b', old, true);
        extensions.recordResponse('c', old, true);
        return extensions.allHeld(30_001);
      },
      false,
    ],
  ];
  for (const [name, act, expected] of cases) await t.test(name, () => assert.deepEqual(act(), expected));
});

test('an extension counts with all that its giver knows to be cancelled', async (t) => {
  type Answer = [peer: string, askedAt: number, page: number, pages: number];
  const cases: [string, Answer[], number][] = [
    [
      'known is what the last of the peers said',
      [
        ['b', 1000, 0, 1],
        ['c', 1500, 0, 1],
      ],
      1000,
    ],
    ['a peer that said nothing leaves nothing known', [['b', 1000, 0, 1]], Number.NEGATIVE_INFINITY],
    [
      'a page that is missing is no extension',
      [
        ['b', 1000, 0, 2],
        ['c', 1000, 0, 1],
      ],
      Number.NEGATIVE_INFINITY,
    ],
    [
      'all pages are, in any order',
      [
        ['b', 1000, 1, 2],
        ['c', 1000, 0, 1],
        ['b', 1000, 0, 2],
      ],
      1000,
    ],
    [
      'a page that comes twice is one',
      [
        ['b', 1000, 0, 2],
        ['b', 1000, 0, 2],
        ['c', 1000, 0, 1],
      ],
      -Infinity,
    ],
    [
      'pages of two answers do not make one',
      [
        ['b', 1000, 0, 2],
        ['b', 1500, 1, 2],
        ['c', 1500, 0, 1],
      ],
      -Infinity,
    ],
    [
      'a page out of range counts nothing',
      [
        ['b', 1000, 3, 2],
        ['c', 1000, 0, 1],
      ],
      -Infinity,
    ],
    [
      'an old answer that comes late takes nothing back',
      [
        ['b', 1500, 0, 1],
        ['c', 1500, 0, 1],
        ['b', 1000, 0, 1],
      ],
      1500,
    ],
  ];
  for (const [name, answers, expected] of cases) {
    await t.test(name, () => {
      const extensions = new LeaseExtensions(['b', 'c'], 0);
      const seqs = new Map([1000, 1500].map((at) => [at, extensions.recordRequest(at)]));
      for (const [peer, at, page, pages] of answers)
        extensions.recordResponse(peer, seqs.get(at) ?? 0, true, page, pages);
      assert.equal(extensions.freshAsOf, expected);
      assert.equal(extensions.allHeld(2000), expected > 0);
    });
  }
  await t.test('an answer to what was never asked', () => {
    const extensions = new LeaseExtensions(['b'], 0);
    extensions.recordResponse('b', extensions.recordRequest(1000) + 1, true);
    assert.equal(extensions.allHeld(1001), false);
  });
});

test('how long an owner may not know what was cancelled follows the settings', async (t) => {
  for (const [leaseMs, cancelMs] of [
    [12_000, 37_000],
    [19_000, 49_000],
    [15_250, 40_250],
    [60_000, 70_000],
  ] as const) {
    await t.test(`lease ${leaseMs}, cancellation ${cancelMs}`, () => {
      const staleMs = maxStalenessMs(leaseMs, cancelMs);
      assert.ok(staleMs > 0 && refreshIntervalMs(staleMs) < staleMs / 4);
      // Our clock and the worker's may both run slow against the user's.
      assert.ok((staleMs + leaseMs) * (1 + 2 * MAX_CLOCK_DRIFT_RATIO) + 1000 < cancelMs);
    });
  }
  await t.test('settings that leave no time allow a moment', () =>
    assert.equal(maxStalenessMs(30_000, 20_000), 1000),
  );
});

test('urgency', async (t) => {
  const idle: JobSpec = { ...spec, priority: 3, deadlineS: 100 };
  const objectives = [
    { kind: 'deadline' as const, workload: 'w', times: 1.5 },
    { kind: 'deadline' as const, workload: 'w', times: 1 },
    { kind: 'finished' as const, workload: 'w', withinS: 250 },
    { kind: 'finished' as const, workload: 'other', withinS: 1 },
  ];
  const estimates = new RuntimeEstimates();
  const waits = (ageS: number, startedRatio = 0, withinGuarantee = false): WaitState => ({
    ...{ ageS, startedRatio, withinGuarantee },
  });
  const cases: [string, () => unknown, unknown][] = [
    ['all deadlines of the class, earliest first', () => deadlinesOf(idle, objectives), [100, 150, 250]],
    ['without objectives the deadline', () => deadlinesOf(idle, []), [100]],
    ['no deadline, no due', () => deadlinesOf({ ...idle, deadlineS: null }, objectives.slice(0, 2)), []],
    ['in time for all', () => missedDeadlineCount([100, 150], 40, 50), 0],
    ['too late for the first', () => missedDeadlineCount([100, 150], 60, 50), 1],
    ['too late for all', () => missedDeadlineCount([100, 150], 140, 50), 2],
    ['so late that it comes forward again', () => missedDeadlineCount([100, 150], 301, 50), 0],
    ['idle work keeps its rank at first', () => deadlinePriority(idle, [250], 100, 30), 3],
    ['goes up a step when half of its time is gone', () => deadlinePriority(idle, [250], 130, 30), 2],
    ['but not once it is too late', () => deadlinePriority(idle, [250], 230, 30), 3],
    ['other work keeps its rank', () => deadlinePriority({ ...idle, priority: 2 }, [250], 130, 30), 2],
    [
      'one that has waited for long without a begin goes up',
      () => agedPriority(3, waits(160), objectives),
      1,
    ],
    ['not once it has begun', () => agedPriority(3, waits(160, 0.1), objectives), 3],
    ['again if that was little', () => agedPriority(3, waits(220, 0.1), objectives), 1],
    ['not if it was half', () => agedPriority(3, waits(220, 0.5), objectives), 3],
    ['nor a more urgent one', () => agedPriority(0, waits(160), objectives), 0],
    [
      'work within a guarantee goes up sooner, not past urgent work',
      () => agedPriority(3, waits(50, 1, true), []),
      2,
    ],
    [
      'as soon as the operators wish',
      () => [40, 50].map((s) => agedPriority(3, waits(s, 0, true), [{ kind: 'guarantee', withinS: 150 }])),
      [3, 2],
    ],
    ['estimates count until enough was seen', () => estimates.expectedSeconds(spec), 30],
    [
      'then what was seen, within bounds',
      () => {
        for (let i = 0; i < 10; i++) estimates.addSample('w', 30, 15);
        for (let i = 0; i < 10; i++) estimates.addSample('slow', 30, 900);
        return [estimates.expectedSeconds(spec), estimates.expectedSeconds({ ...spec, workload: 'slow' })];
      },
      [15, 75],
    ],
  ];
  for (const [name, act, expected] of cases) await t.test(name, () => assert.deepEqual(act(), expected));
});

test('teams are split by what they are guaranteed', () => {
  const team = (name: string, cpus: number): Parameters<typeof splitTeams>[0][number] => ({
    ...{ name, guaranteed: { cpus, accelerators: 0 }, limit: { cpus, accelerators: 0 } },
  });
  const teams = [team('a', 88), team('b', 40), team('c', 72), team('d', 56)];
  assert.deepEqual(splitTeams(teams, 2), [
    ['a', 'b'],
    ['c', 'd'],
  ]);
  assert.deepEqual(splitTeams(teams.slice(0, 1), 3), [['a']]);
});

test('a limiter keeps its rate, and its reserve for what is urgent', () => {
  const limiter = new RateLimiter(10, 5);
  assert.equal(limiter.take(0, 5), true);
  assert.equal(limiter.take(0, 1), false);
  assert.equal(limiter.take(100, 1), true);
  assert.equal(limiter.take(400, 1, 3), false);
  assert.equal(limiter.take(400, 1), true);
  limiter.drain(500);
  assert.equal(limiter.take(500, 1), false);
});

test('reports wait for their turn', async (t) => {
  type Step = (turns: NewestFirstQueue, log: string[], world: { now: number; gone: Set<string> }) => void;
  const add =
    (name: string, costs = 1, first = false): Step =>
    (turns, log, world) =>
      turns.add(
        () => !world.gone.has(name),
        () => {
          log.push(name);
          world.now += costs;
        },
        first,
      );
  const gone =
    (name: string): Step =>
    (_turns, _log, world) =>
      void world.gone.add(name);
  const arrived: Step = (turns) => turns.onConnectionAccepted();
  // Each row: what happens before each look at the sockets, and who is answered after it.
  const cases: [string, [Step[], string[]][]][] = [
    [
      'the newest is answered first',
      [
        [
          [add('a'), add('b'), add('c')],
          ['c', 'b', 'a'],
        ],
      ],
    ],
    // Their leases run out first: whoever was just told the new token asks again half a second later.
    [
      'whoever was not answered yet on its connection goes before the others',
      [
        [
          [add('a', 1, true), add('b'), add('c', 1, true)],
          ['c', 'a', 'b'],
        ],
      ],
    ],
    // A whole fleet behind: answers in order came when nobody listened any more, for half a minute.
    ['one that was given up costs nothing', [[[add('a'), add('b'), gone('a')], ['b']]]],
    [
      'between two stretches the sockets are looked at: newer ones go first, those given up meanwhile go',
      [
        [[add('a'), add('b', 5), add('c', 5)], ['c']],
        [[add('d', 5), gone('b')], ['d']],
        [[], ['a']],
      ],
    ],
    // Node takes one connection a look: with answers between them, waiting to be taken outlasted the machines' patience.
    [
      'connections that wait are taken before the next answer',
      [
        [[add('a'), arrived], []],
        [[arrived], []],
        [[], ['a']],
      ],
    ],
    [
      'an endless stream of connections does not keep answers back for ever',
      Array.from({ length: 16 }, (_, i) => [
        i === 0 ? [add('a'), arrived] : [arrived],
        i === 15 ? ['a'] : [],
      ]),
    ],
  ];
  for (const [name, looks] of cases) {
    await t.test(name, () => {
      const world = { now: 0, gone: new Set<string>() };
      let next: (() => void) | null = null;
      const turns = new NewestFirstQueue(
        () => world.now,
        (action) => (next = action),
      );
      const log: string[] = [];
      for (const [steps, told] of looks) {
        const before = log.length;
        for (const step of steps) step(turns, log, world);
        const action: (() => void) | null = next;
        next = null;
        (action as (() => void) | null)?.();
        assert.deepEqual(log.slice(before), told);
      }
      assert.equal(next, null, 'nothing left to do');
    });
  }
});
