import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { type BalancerSettings, type JobSnapshot, type TaskSnapshot } from '../src/index';
import { createBalancer, job, ModelPartition, resourcesFor, task, type ModelMachine } from './model';

const idle = job('idle', { priority: 3 });
const urgent = job('urgent', { priority: 1, cpus: 4, team: 'west', workload: 'u', expectedS: 20 });

/** A machine with four CPUs that runs these tasks. */
function machine(id: string, tasks: TaskSnapshot[], images = ['i']): ModelMachine {
  return { id, cpus: 4, images, tasks };
}

function halfFull(id: string, spec: JobSnapshot = idle, overrides: Partial<TaskSnapshot> = {}): ModelMachine {
  const index = Number(id.slice(1)) * 2;
  return machine(id, [task(spec, index, overrides), task(spec, index + 1, overrides)]);
}

interface PlanningCase {
  name: string;
  fleet: ModelMachine[];
  pending?: { spec: JobSnapshot; withinGuarantee?: boolean; taskCount?: number }[];
  settings?: Partial<BalancerSettings>;
  /** Number of completed tasks of the job `idle` whose run time was as expected. */
  observedTaskCount?: number;
  /** Number of tasks that are stopped. */
  stopCount: number;
  /** Number of CPUs that are reserved on the targets. */
  reservedCpus?: number;
  /** A reason that must be among the counted refusals. */
  refusal?: string;
}

const cases: PlanningCase[] = [
  {
    name: 'tasks are moved to free fragmented resources for a task that fits on no machine',
    fleet: [halfFull('m0'), halfFull('m1'), halfFull('m2')],
    stopCount: 2,
    reservedCpus: 2,
  },
  {
    name: 'nothing moves if the task fits on a machine',
    fleet: [halfFull('m0'), machine('m1', [])],
    stopCount: 0,
  },
  {
    name: 'a task near its end is not moved',
    fleet: [halfFull('m0', idle, { elapsedS: 199 }), halfFull('m1', idle, { elapsedS: 199 })],
    observedTaskCount: 40,
    settings: { hysteresis: 1, min_gain_s: 0 },
    stopCount: 0,
    refusal: 'ends first',
  },
  {
    name: 'a task of equal priority is not stopped',
    fleet: [halfFull('m0', job('peer', { priority: 1 })), halfFull('m1', job('peer', { priority: 1 }))],
    stopCount: 0,
    refusal: 'not allowed to stop it',
  },
  {
    name: 'tasks beyond the guarantee of their team are moved for a task within a guarantee',
    fleet: [halfFull('m0', job('peer', { priority: 1 })), halfFull('m1', job('peer', { priority: 1 }))],
    pending: [{ spec: urgent, withinGuarantee: true }],
    stopCount: 2,
    reservedCpus: 2,
  },
  {
    name: 'a task that is not running yet is moved whatever its priority',
    fleet: [
      halfFull('m0', job('peer', { priority: 1 }), { phase: 'fetching', elapsedS: 1 }),
      halfFull('m1', job('peer', { priority: 1 })),
    ],
    stopCount: 2,
    reservedCpus: 2,
  },
  {
    name: 'tasks of lower priority are requeued if no machine has free resources',
    fleet: [
      machine(
        'm0',
        [0, 1, 2, 3].map((i) => task(idle, i)),
      ),
    ],
    stopCount: 4,
    reservedCpus: 0,
  },
  {
    name: 'a task that has run only briefly is not moved',
    fleet: [halfFull('m0', idle, { elapsedS: 20 }), halfFull('m1', idle, { elapsedS: 20 })],
    stopCount: 0,
    refusal: 'too short on its machine',
  },
  {
    name: 'nothing moves if fetching the image elsewhere costs more than the wait is worth',
    fleet: [
      machine('m0', halfFull('m0', job('big', { priority: 1, image: 'big', imageGb: 500 })).tasks, ['big']),
      machine('m1', halfFull('m1', job('other', { priority: 0, image: 'o', imageGb: 500 })).tasks, ['o']),
    ],
    pending: [{ spec: urgent, withinGuarantee: true }],
    settings: { priority_weight: 1 },
    stopCount: 0,
  },
  {
    name: 'work that a move would lose counts as its cost',
    fleet: [
      halfFull('m0', job('never', { checkpointIntervalS: 0, expectedS: 900 }), { elapsedS: 400 }),
      halfFull('m1', job('never2', { checkpointIntervalS: 0, expectedS: 900 }), { elapsedS: 400 }),
    ],
    settings: { priority_weight: 1 },
    stopCount: 0,
    refusal: 'costs more than it gains',
  },
  {
    name: 'a clearing that needs more moves than the limit is refused',
    fleet: [
      machine(
        'm0',
        Array.from({ length: 16 }, (_, i) => task(job('i', { cpus: 0.25 }), i)),
      ),
    ],
    stopCount: 0,
    refusal: 'too many moves',
  },
  {
    name: 'machines that accept no tasks are neither cleared nor used as targets',
    fleet: [{ ...halfFull('m0'), accepting: false }, halfFull('m1')],
    settings: { priority_weight: 1 },
    stopCount: 0,
  },
  {
    name: 'a large task gets resources while thousands of small tasks of one shape are pending',
    fleet: [halfFull('m0'), halfFull('m1'), halfFull('m2')],
    pending: [{ spec: job('many', { priority: 3, cpus: 1 }), taskCount: 5000 }, { spec: urgent }],
    stopCount: 2,
  },
  {
    name: 'a task whose fetch shares the bandwidth is moved to a machine with the image',
    fleet: [
      {
        ...machine('m0', [
          task(job('f', { image: 'far', imageGb: 40 }), 0, { phase: 'fetching', elapsedS: 1 }),
        ]),
        activeFetchCount: 3,
      },
      machine('m1', [], ['far']),
    ],
    pending: [],
    stopCount: 1,
    reservedCpus: 1,
  },
  {
    name: 'a task whose fetch has the whole bandwidth is not moved',
    fleet: [
      {
        ...machine('m0', [task(job('f', { image: 'far' }), 0, { phase: 'fetching', elapsedS: 1 })]),
        activeFetchCount: 1,
      },
      machine('m1', [], ['far']),
    ],
    pending: [],
    stopCount: 0,
  },
];

function runRound({ fleet, pending = [{ spec: urgent }], settings, observedTaskCount = 0 }: PlanningCase): {
  partition: ModelPartition;
  balancer: ReturnType<typeof createBalancer>;
} {
  const partition = new ModelPartition(cloneFleet(fleet));
  for (const { spec, withinGuarantee = false, taskCount = 1 } of pending)
    partition.pending.push({ spec, taskCount, pendingS: 30, withinGuarantee });
  const balancer = createBalancer(partition, settings);
  for (let i = 0; i < observedTaskCount; i++) balancer.estimator.learn(idle, idle.expectedS);
  balancer.plan(0);
  return { partition, balancer };
}

/** Copies machines, because cases share them and a plan changes them. */
function cloneFleet(fleet: readonly ModelMachine[]): ModelMachine[] {
  return fleet.map((m) => ({ ...m, tasks: [...m.tasks] }));
}

for (const row of cases)
  test(`planning: ${row.name}`, () => {
    const { partition, balancer } = runRound(row);
    assert.equal(partition.stoppedTasks.length, row.stopCount);
    const targetReservations = [...partition.reservations].filter(([key]) => !key.endsWith('/next'));
    const cpus = targetReservations.reduce((sum, [, resources]) => sum + resources.cpus, 0);
    if (row.reservedCpus !== undefined) assert.equal(cpus, row.reservedCpus);
    const reasons = balancer.summary(0).refusals.map(({ reason }) => reason);
    if (row.refusal !== undefined) assert.ok(reasons.includes(row.refusal), reasons.join(', '));
    balancer.plan(2000);
    assert.equal(
      partition.stoppedTasks.length,
      row.stopCount,
      'no further moves are planned for unchanged load',
    );
  });

test('planning: a task is moved once for one cause, whatever the outcome of the move', () => {
  const { partition, balancer } = runRound(cases[0] as PlanningCase);
  const stopped = [...partition.stoppedTasks];
  balancer.tracker.tick(1_000_000);
  assert.equal(balancer.tracker.inFlightCount, 0);
  for (const m of partition.fleet) m.tasks = m.tasks.map((t) => ({ ...t, pinned: null }));
  for (let now = 1_000_000; now < 1_200_000; now += 10_000) {
    balancer.plan(now);
    balancer.tracker.tick(now + 9000);
  }
  for (const name of stopped) assert.equal(partition.stoppedTasks.filter((s) => s === name).length, 1);
});

test('planning: a plan whose reservation is refused begins no moves', () => {
  const partition = new ModelPartition(cloneFleet([halfFull('m0'), halfFull('m1')]));
  partition.pending.push({ spec: urgent, taskCount: 1, pendingS: 30, withinGuarantee: false });
  partition.refusingMachines.add('m0').add('m1');
  const balancer = createBalancer(partition);
  balancer.plan(0);
  assert.deepEqual(
    [partition.stoppedTasks, [...partition.reservations], [...partition.jobReservations]],
    [[], [], []],
  );
});

const taskArbitrary = fc.record({
  cpus: fc.constantFrom(1, 2),
  priority: fc.integer({ min: 0, max: 3 }),
  elapsedS: fc.integer({ min: 0, max: 300 }),
  expectedS: fc.integer({ min: 10, max: 600 }),
  checkpointS: fc.constantFrom(0, 10),
});
const fleetArbitrary = fc.array(fc.array(taskArbitrary, { maxLength: 4 }), { minLength: 1, maxLength: 12 });
const pendingArbitrary = fc.array(
  fc.record({ cpus: fc.constantFrom(1, 2, 4), priority: fc.integer({ min: 0, max: 3 }), tasks: fc.nat(3) }),
  { maxLength: 4 },
);

test('planning: free resources, limits and costs are respected for any load, and planning ends', () => {
  fc.assert(
    fc.property(fleetArbitrary, pendingArbitrary, (fleet, pendingJobs) => {
      let jobCount = 0;
      const machines = fleet.map((tasks, i): ModelMachine => {
        const placed: TaskSnapshot[] = [];
        let left = 4;
        for (const { cpus, priority, elapsedS, expectedS, checkpointS } of tasks) {
          if (cpus > left) continue;
          left -= cpus;
          placed.push(
            task(job(`j${jobCount++}`, { cpus, priority, expectedS, checkpointIntervalS: checkpointS }), 0, {
              elapsedS,
            }),
          );
        }
        return machine(`m${i}`, placed);
      });
      const partition = new ModelPartition(machines);
      pendingJobs.forEach(({ cpus, priority, tasks }, i) =>
        partition.pending.push({
          spec: job(`w${i}`, { cpus, priority }),
          taskCount: tasks,
          pendingS: 30,
          withinGuarantee: false,
        }),
      );
      const balancer = createBalancer(partition);
      let rounds = 0;
      for (let now = 0, before = -1; partition.stoppedTasks.length !== before; now += 2000) {
        before = partition.stoppedTasks.length;
        balancer.plan(now);
        for (const move of balancer.tracker.movesInProgress)
          assert.ok(move.gainS > move.costS - 1e-9 || move.costS === 0);
        for (const machineSnapshot of partition.machines()) {
          const jobReservations = [...partition.jobReservations].filter((key) =>
            key.startsWith(`${machineSnapshot.id}:`),
          );
          if (jobReservations.length === 0)
            assert.ok(machineSnapshot.free.cpus >= 0, 'a target is not given more than its free resources');
          const leaving = partition.tasksOn(machineSnapshot.id).filter((t) => t.pinned === 'stopping');
          const freeAfterStops = leaving.reduce(
            (sum, t) => sum + t.spec.resources.cpus,
            machineSnapshot.free.cpus,
          );
          assert.ok(freeAfterStops >= -1e-9, 'the job reservations fit once all stopped tasks have left');
        }
        assert.ok(
          balancer.tracker.inFlightCount <= 4,
          'no more moves are in progress than the settings allow',
        );
        assert.ok(rounds++ < 12, 'planning for unchanged load ends');
      }
    }),
    { numRuns: 300 },
  );
});

test('planning: a task without resource requests and a machine without resources lead to no moves', () => {
  const partition = new ModelPartition([{ id: 'm0', cpus: 0, images: [], tasks: [] }]);
  partition.pending.push({
    spec: job('w', { resources: resourcesFor(0) }),
    taskCount: 1,
    pendingS: 30,
    withinGuarantee: false,
  });
  createBalancer(partition).plan(0);
  assert.deepEqual(partition.stoppedTasks, []);
});
