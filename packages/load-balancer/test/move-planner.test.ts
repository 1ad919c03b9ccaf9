import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { type BalancerSettings, type JobSnapshot, type TaskSnapshot } from '../src/index';
import { balancerOf, job, ModelPartition, needs, task, type ModelMachine } from './model';

const idle = job('idle', { priority: 3 });
const urgent = job('urgent', { priority: 1, cpus: 4, team: 'west', workload: 'u', expectedS: 20 });

/** Four CPUs, of which as many are taken by long tasks as are named here. */
function machine(id: string, tasks: TaskSnapshot[], images = ['i']): ModelMachine {
  return { id, cpus: 4, images, tasks };
}

function halfFull(id: string, of: JobSnapshot = idle, change: Partial<TaskSnapshot> = {}): ModelMachine {
  const index = Number(id.slice(1)) * 2;
  return machine(id, [task(of, index, change), task(of, index + 1, change)]);
}

interface Row {
  name: string;
  fleet: ModelMachine[];
  waits?: { of: JobSnapshot; withinGuarantee?: boolean; tasks?: number }[];
  settings?: Partial<BalancerSettings>;
  /** So many tasks of the first machine's job were seen to take what was expected. */
  learned?: number;
  /** Tasks that are stopped, of how many machines room is kept, and how much is reserved elsewhere. */
  stops: number;
  reservedCpus?: number;
  refused?: string;
}

const rows: Row[] = [
  {
    name: 'room that lies in pieces is put together for a task that fits nowhere',
    fleet: [halfFull('m0'), halfFull('m1'), halfFull('m2')],
    stops: 2,
    reservedCpus: 2,
  },
  { name: 'nothing moves where the task fits', fleet: [halfFull('m0'), machine('m1', [])], stops: 0 },
  {
    name: 'a task near its finish stays',
    fleet: [halfFull('m0', idle, { elapsedS: 199 }), halfFull('m1', idle, { elapsedS: 199 })],
    learned: 40,
    settings: { hysteresis: 1, min_gain_s: 0 },
    stops: 0,
    refused: 'ends first',
  },
  {
    name: 'work of equal priority is not stopped',
    fleet: [halfFull('m0', job('peer', { priority: 1 })), halfFull('m1', job('peer', { priority: 1 }))],
    stops: 0,
    refused: 'not allowed to stop it',
  },
  {
    name: 'work beyond its guarantee makes room for a guarantee',
    fleet: [halfFull('m0', job('peer', { priority: 1 })), halfFull('m1', job('peer', { priority: 1 }))],
    waits: [{ of: urgent, withinGuarantee: true }],
    stops: 2,
    reservedCpus: 2,
  },
  {
    name: 'what has not begun may move whatever its priority',
    fleet: [
      halfFull('m0', job('peer', { priority: 1 }), { phase: 'fetching', elapsedS: 1 }),
      halfFull('m1', job('peer', { priority: 1 })),
    ],
    stops: 2,
    reservedCpus: 2,
  },
  {
    name: 'where there is no room at all lower priority is put back to wait',
    fleet: [
      machine(
        'm0',
        [0, 1, 2, 3].map((i) => task(idle, i)),
      ),
    ],
    stops: 4,
    reservedCpus: 0,
  },
  {
    name: 'a task that runs for a moment only is left alone',
    fleet: [halfFull('m0', idle, { elapsedS: 20 }), halfFull('m1', idle, { elapsedS: 20 })],
    stops: 0,
    refused: 'too short on its machine',
  },
  {
    name: 'fetching elsewhere for longer than the wait is worth is not done',
    fleet: [
      machine('m0', halfFull('m0', job('big', { priority: 1, image: 'big', imageGb: 500 })).tasks, ['big']),
      machine('m1', halfFull('m1', job('other', { priority: 0, image: 'o', imageGb: 500 })).tasks, ['o']),
    ],
    waits: [{ of: urgent, withinGuarantee: true }],
    settings: { priority_weight: 1 },
    stops: 0,
  },
  {
    name: 'work that would be lost counts',
    fleet: [
      halfFull('m0', job('never', { checkpointIntervalS: 0, expectedS: 900 }), { elapsedS: 400 }),
      halfFull('m1', job('never2', { checkpointIntervalS: 0, expectedS: 900 }), { elapsedS: 400 }),
    ],
    settings: { priority_weight: 1 },
    stops: 0,
    refused: 'costs more than it gains',
  },
  {
    name: 'moves are bounded',
    fleet: [
      machine(
        'm0',
        Array.from({ length: 16 }, (_, i) => task(job('i', { cpus: 0.25 }), i)),
      ),
    ],
    stops: 0,
    refused: 'too many moves',
  },
  {
    name: 'machines that take nothing are neither cleared nor filled',
    fleet: [{ ...halfFull('m0'), accepting: false }, halfFull('m1')],
    settings: { priority_weight: 1 },
    stops: 0,
  },
  {
    name: 'one of thousands of one shape and a large one: the large one gets room',
    fleet: [halfFull('m0'), halfFull('m1'), halfFull('m2')],
    waits: [{ of: job('many', { priority: 3, cpus: 1 }), tasks: 5000 }, { of: urgent }],
    stops: 2,
  },
  {
    name: 'a fetch that shares its link goes where the image is',
    fleet: [
      {
        ...machine('m0', [
          task(job('f', { image: 'far', imageGb: 40 }), 0, { phase: 'fetching', elapsedS: 1 }),
        ]),
        fetching: 3,
      },
      machine('m1', [], ['far']),
    ],
    waits: [],
    stops: 1,
    reservedCpus: 1,
  },
  {
    name: 'a fetch alone on its link stays',
    fleet: [
      {
        ...machine('m0', [task(job('f', { image: 'far' }), 0, { phase: 'fetching', elapsedS: 1 })]),
        fetching: 1,
      },
      machine('m1', [], ['far']),
    ],
    waits: [],
    stops: 0,
  },
];

function play({ fleet, waits = [{ of: urgent }], settings, learned = 0 }: Row): {
  partition: ModelPartition;
  balancer: ReturnType<typeof balancerOf>;
} {
  const partition = new ModelPartition(structuredCloneFleet(fleet));
  for (const { of: spec, withinGuarantee = false, tasks = 1 } of waits)
    partition.pending.push({ spec, taskCount: tasks, pendingS: 30, withinGuarantee });
  const balancer = balancerOf(partition, settings);
  for (let i = 0; i < learned; i++) balancer.estimator.learn(idle, idle.expectedS);
  balancer.plan(0);
  return { partition, balancer };
}

/** Rows share machines; what a plan does to them must not reach the next row. */
function structuredCloneFleet(fleet: readonly ModelMachine[]): ModelMachine[] {
  return fleet.map((m) => ({ ...m, tasks: [...m.tasks] }));
}

for (const row of rows)
  test(`planning: ${row.name}`, () => {
    const { partition, balancer } = play(row);
    assert.equal(partition.stopped.length, row.stops);
    const elsewhere = [...partition.reserved].filter(([key]) => !key.endsWith('/next'));
    const cpus = elsewhere.reduce((sum, [, room]) => sum + room.cpus, 0);
    if (row.reservedCpus !== undefined) assert.equal(cpus, row.reservedCpus);
    const reasons = balancer.summary(0).refusals.map(({ reason }) => reason);
    if (row.refused !== undefined) assert.ok(reasons.includes(row.refused), reasons.join(', '));
    balancer.plan(2000);
    assert.equal(partition.stopped.length, row.stops, 'unchanged load plans nothing more');
  });

test('planning: for one cause a task moves once, whatever became of the move', () => {
  const { partition, balancer } = play(rows[0] as Row);
  const stopped = [...partition.stopped];
  balancer.tracker.tick(1_000_000);
  assert.equal(balancer.tracker.inFlight, 0);
  for (const m of partition.fleet) m.tasks = m.tasks.map((t) => ({ ...t, pinned: null }));
  for (let now = 1_000_000; now < 1_200_000; now += 10_000) {
    balancer.plan(now);
    balancer.tracker.tick(now + 9000);
  }
  for (const name of stopped) assert.equal(partition.stopped.filter((s) => s === name).length, 1);
});

test('planning: room that is gone at the reservation begins nothing', () => {
  const partition = new ModelPartition(structuredCloneFleet([halfFull('m0'), halfFull('m1')]));
  partition.pending.push({ spec: urgent, taskCount: 1, pendingS: 30, withinGuarantee: false });
  partition.refuses.add('m0').add('m1');
  const balancer = balancerOf(partition);
  balancer.plan(0);
  assert.deepEqual(
    [partition.stopped, [...partition.reserved], [...partition.jobReservations]],
    [[], [], []],
  );
});

const someTask = fc.record({
  cpus: fc.constantFrom(1, 2),
  priority: fc.integer({ min: 0, max: 3 }),
  elapsedS: fc.integer({ min: 0, max: 300 }),
  expectedS: fc.integer({ min: 10, max: 600 }),
  checkpointS: fc.constantFrom(0, 10),
});
const someFleet = fc.array(fc.array(someTask, { maxLength: 4 }), { minLength: 1, maxLength: 12 });
const someWaits = fc.array(
  fc.record({ cpus: fc.constantFrom(1, 2, 4), priority: fc.integer({ min: 0, max: 3 }), tasks: fc.nat(3) }),
  { maxLength: 4 },
);

test('planning: rooms, bounds and costs hold for any load, and planning ends', () => {
  fc.assert(
    fc.property(someFleet, someWaits, (fleet, waits) => {
      let n = 0;
      const machines = fleet.map((tasks, i): ModelMachine => {
        const placed: TaskSnapshot[] = [];
        let left = 4;
        for (const { cpus, priority, elapsedS, expectedS, checkpointS } of tasks) {
          if (cpus > left) continue;
          left -= cpus;
          placed.push(
            task(job(`j${n++}`, { cpus, priority, expectedS, checkpointIntervalS: checkpointS }), 0, {
              elapsedS,
            }),
          );
        }
        return machine(`m${i}`, placed);
      });
      const partition = new ModelPartition(machines);
      waits.forEach(({ cpus, priority, tasks }, i) =>
        partition.pending.push({
          spec: job(`w${i}`, { cpus, priority }),
          taskCount: tasks,
          pendingS: 30,
          withinGuarantee: false,
        }),
      );
      const balancer = balancerOf(partition);
      let rounds = 0;
      for (let now = 0, before = -1; partition.stopped.length !== before; now += 2000) {
        before = partition.stopped.length;
        balancer.plan(now);
        for (const move of balancer.tracker.movesInProgress)
          assert.ok(move.gainS > move.costS - 1e-9 || move.costS === 0);
        for (const view of partition.machines()) {
          const kept = [...partition.jobReservations].filter((key) => key.startsWith(`${view.id}:`));
          if (kept.length === 0) assert.ok(view.free.cpus >= 0, 'a target is not filled beyond what it has');
          const leaving = partition.tasksOn(view.id).filter((t) => t.pinned === 'stopping');
          const cleared = leaving.reduce((sum, t) => sum + t.spec.resources.cpus, view.free.cpus);
          assert.ok(cleared >= -1e-9, 'what is kept fits once all that was told to has left');
        }
        assert.ok(balancer.tracker.inFlight <= 4, 'no more at once than the settings allow');
        assert.ok(rounds++ < 12, 'planning on unchanged load comes to an end');
      }
    }),
    { numRuns: 300 },
  );
});

test('planning: needs of nothing and machines of nothing plan nothing', () => {
  const partition = new ModelPartition([{ id: 'm0', cpus: 0, images: [], tasks: [] }]);
  partition.pending.push({
    spec: job('w', { resources: needs(0) }),
    taskCount: 1,
    pendingS: 30,
    withinGuarantee: false,
  });
  balancerOf(partition).plan(0);
  assert.deepEqual(partition.stopped, []);
});
