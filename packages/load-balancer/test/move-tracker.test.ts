import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  isTerminal,
  MoveTracker,
  transition,
  taskKey,
  type MoveEvent,
  type MoveExecutor,
  type MovePlan,
  type MoveState,
  type TaskId,
} from '../src/index';
import { job, task } from './model';

const EVENTS: MoveEvent['kind'][] = [
  'stop-sent',
  'source-gone',
  'task-requeued',
  'finished',
  'source-failed',
  'job-closed',
  'start-sent',
  'target-reported',
  'target-gone',
  'target-lost',
  'target-full',
  'timeout',
];
const MAX_EXPLORED_EVENT_COUNT = 5;

/** Counts of what a move has reserved, held and stopped, less what it has released. */
interface HeldResources {
  reservations: number;
  holds: number;
  stops: number;
}

/**
 * Explores every sequence of up to `depth` events from a state and checks the counts after each event. Returns the number of
 * states visited.
 */
function explore(state: MoveState, resources: HeldResources, depth: number, path: string[]): number {
  const { reservations, holds, stops } = resources;
  const history = path.join(' > ');
  assert.ok(reservations === 0 || reservations === 1, `${reservations} reservations after ${history}`);
  assert.ok(holds === 0 || holds === 1, `task held ${holds} times after ${history}`);
  assert.ok(stops <= 1, `task stopped ${stops} times after ${history}`);
  if (isTerminal(state))
    assert.deepEqual({ reservations, holds }, { reservations: 0, holds: 0 }, `not released after ${history}`);
  if (depth === 0) return 1;
  let stateCount = 1;
  for (const kind of EVENTS) {
    const result = transition(state, { kind });
    const repeated = transition(result.state, { kind });
    assert.equal(repeated.state, result.state, `repeating ${kind} changes ${result.state}`);
    const next = { ...resources };
    for (const effect of result.effects) {
      if (effect === 'release-reservation') next.reservations--;
      if (effect === 'stop-source') next.stops++;
      if (effect === 'hold-task') next.holds++;
      if (effect === 'release-held-task') next.holds--;
    }
    // The start of the task also releases its hold.
    if (kind === 'start-sent' && result.state === 'starting' && state !== 'starting') next.holds--;
    stateCount += explore(result.state, next, depth - 1, [...path, kind]);
  }
  return stateCount;
}

test('moves: no order of events leaks a reservation or a held task, and a repeated event changes nothing', () => {
  const stateCount = explore(
    'reserved',
    { reservations: 1, holds: 0, stops: 0 },
    MAX_EXPLORED_EVENT_COUNT,
    [],
  );
  assert.ok(stateCount > 200_000, `only ${stateCount} states were visited`);
});

class RecordingExecutor implements MoveExecutor {
  readonly reservations = new Set<string>();
  readonly heldTasks = new Set<string>();
  readonly jobReservations = new Set<string>();
  readonly stoppedTasks: string[] = [];
  readonly fullMachines = new Set<string>();

  reserve(machine: string, id: TaskId): boolean {
    if (this.fullMachines.has(machine)) return false;
    this.reservations.add(`${machine} ${taskKey(id)}`);
    return true;
  }

  release(machine: string, id: TaskId): void {
    this.reservations.delete(`${machine} ${taskKey(id)}`);
  }

  stop(_: string, id: TaskId): void {
    this.stoppedTasks.push(taskKey(id));
  }

  holdTask(id: TaskId): void {
    this.heldTasks.add(taskKey(id));
  }

  releaseHeldTask(id: TaskId): void {
    this.heldTasks.delete(taskKey(id));
  }

  reserveForJob(machine: string, ref: string): void {
    this.jobReservations.add(`${machine} ${ref}`);
  }

  releaseJobReservation(machine: string, ref: string): void {
    this.jobReservations.delete(`${machine} ${ref}`);
  }

  get unreleasedCount(): number {
    return this.reservations.size + this.heldTasks.size + this.jobReservations.size;
  }
}

const moved = task(job('a'), 0);
const other = task(job('b'), 0);
const COST = {
  commandLatencyS: 2,
  checkpointS: 1,
  restoreS: 1,
  fetchS: 0,
  lostWorkS: 0,
  queueWaitS: 0,
  contentionS: 0,
};

function plan(targets: (string | null)[]): MovePlan {
  const tasks = [moved, other].slice(0, targets.length);
  return {
    cause: { kind: 'make-room', job: 'w' },
    clearedMachine: 'm0',
    gainS: 50,
    costS: 4,
    moves: tasks.map((t, i) => ({ task: t, source: 'm0', target: targets[i] ?? null, cost: COST, costS: 4 })),
  };
}

function createTracker(): { moves: MoveTracker; recorder: RecordingExecutor } {
  const recorder = new RecordingExecutor();
  return { recorder, moves: new MoveTracker(7, recorder, { heartbeatIntervalMs: 2000, leaseMs: 12_000 }) };
}

const cases: [string, (moves: MoveTracker, recorder: RecordingExecutor) => void][] = [
  [
    'a move passes through its states and releases everything',
    (moves, recorder) => {
      assert.ok(moves.begin(plan(['m1']), 0));
      assert.deepEqual(recorder.stoppedTasks, ['a/0']);
      moves.handleEvent(moved, { kind: 'source-gone' }, 1000);
      assert.deepEqual(moves.tasksToStartOn('m1'), [{ job: 'a', index: 0 }]);
      recorder.releaseHeldTask(moved);
      moves.handleEvent(moved, { kind: 'start-sent' }, 2000);
      moves.handleEvent(moved, { kind: 'target-reported' }, 3000);
      moves.releaseJobReservations(() => true);
      assert.equal(moves.counters.completed, 1);
    },
  ],
  [
    'a plan with one refused reservation begins no moves',
    (moves, recorder) => {
      recorder.fullMachines.add('m2');
      assert.equal(moves.begin(plan(['m1', 'm2']), 0), false);
      assert.deepEqual(recorder.stoppedTasks, []);
    },
  ],
  [
    'a move ends if its source sends no heartbeat for longer than its lease',
    (moves) => {
      moves.begin(plan(['m1']), 0);
      moves.tick(12_000);
      assert.equal(moves.inFlightCount, 1, 'the task may be on its source until the lease has expired');
      moves.tick(40_000);
    },
  ],
  [
    'a held task is released if its target is lost',
    (moves) => {
      moves.begin(plan(['m1']), 0);
      moves.handleEvent(moved, { kind: 'source-gone' }, 1000);
      moves.machineUnavailable('m1', 1500);
      moves.releaseJobReservations(() => true);
    },
  ],
  [
    'a job reservation is released if the cleared machine is lost',
    (moves) => {
      moves.begin(plan([null]), 0);
      moves.machineUnavailable('m0', 100);
      moves.handleEvent(moved, { kind: 'source-gone' }, 1000);
    },
  ],
  [
    'closing a job ends the moves of its tasks and releases its job reservation',
    (moves) => {
      moves.begin(plan(['m1', 'm2']), 0);
      moves.jobClosed('a', 500);
      moves.jobClosed('b', 500);
      moves.jobClosed('w', 500);
    },
  ],
  [
    'a requeued task is not held',
    (moves, recorder) => {
      moves.begin(plan([null]), 0);
      moves.handleEvent(moved, { kind: 'source-gone' }, 1000);
      assert.equal(recorder.heldTasks.size, 0);
      moves.releaseJobReservations(() => true);
      assert.equal(moves.counters.completed, 1);
    },
  ],
  [
    'a task that is being moved is not moved again',
    (moves) => {
      assert.ok(moves.begin(plan(['m1']), 0));
      assert.equal(moves.begin(plan(['m2']), 100), false);
      moves.tick(60_000);
    },
  ],
];

for (const [name, run] of cases)
  test(`moves: ${name}`, () => {
    const { moves, recorder } = createTracker();
    run(moves, recorder);
    assert.equal(moves.inFlightCount, 0);
    assert.equal(
      recorder.unreleasedCount,
      0,
      [...recorder.reservations, ...recorder.heldTasks, ...recorder.jobReservations].join(', '),
    );
  });
