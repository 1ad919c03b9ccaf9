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
  'put-back',
  'finished',
  'source-failed',
  'job-closed',
  'start-sent',
  'target-seen',
  'target-gone',
  'target-lost',
  'target-full',
  'timeout',
];
const MAX_EXPLORED_EVENT_COUNT = 5;

/** What a move has taken and not given back. */
interface Account {
  room: number;
  held: number;
  stops: number;
}

/** Walks through every order of up to so many events from a state and checks the account in each; returns how many it saw. */
function explore(state: MoveState, account: Account, depth: number, path: string[]): number {
  const { room, held, stops } = account;
  const at = path.join(' > ');
  assert.ok(room === 0 || room === 1, `room held ${room} times after ${at}`);
  assert.ok(held === 0 || held === 1, `task held ${held} times after ${at}`);
  assert.ok(stops <= 1, `told to stop ${stops} times after ${at}`);
  if (isTerminal(state))
    assert.deepEqual({ room, held }, { room: 0, held: 0 }, `something is left after ${at}`);
  if (depth === 0) return 1;
  let seen = 1;
  for (const kind of EVENTS) {
    const step = transition(state, { kind });
    const again = transition(step.state, { kind });
    assert.equal(again.state, step.state, `${kind} a second time changes ${step.state}`);
    const next = { ...account };
    for (const effect of step.effects) {
      if (effect === 'release-room') next.room--;
      if (effect === 'stop-source') next.stops++;
      if (effect === 'hold-task') next.held++;
      // What was held is given up by the start itself, too.
      if (effect === 'free-task') next.held--;
    }
    if (kind === 'start-sent' && step.state === 'starting' && state !== 'starting') next.held--;
    seen += explore(step.state, next, depth - 1, [...path, kind]);
  }
  return seen;
}

test('moves: no order of events leaks room or a task, and each event counts once', () => {
  const seen = explore('reserved', { room: 1, held: 0, stops: 0 }, MAX_EXPLORED_EVENT_COUNT, []);
  assert.ok(seen > 200_000, `${seen} states were seen`);
});

class Recorder implements MoveExecutor {
  readonly rooms = new Set<string>();
  readonly held = new Set<string>();
  readonly kept = new Set<string>();
  readonly stops: string[] = [];
  readonly full = new Set<string>();

  reserve(machine: string, id: TaskId): boolean {
    if (this.full.has(machine)) return false;
    this.rooms.add(`${machine} ${taskKey(id)}`);
    return true;
  }

  release(machine: string, id: TaskId): void {
    this.rooms.delete(`${machine} ${taskKey(id)}`);
  }

  stop(_: string, id: TaskId): void {
    this.stops.push(taskKey(id));
  }

  holdTask(id: TaskId): void {
    this.held.add(taskKey(id));
  }

  releaseHeldTask(id: TaskId): void {
    this.held.delete(taskKey(id));
  }

  reserveForJob(machine: string, ref: string): void {
    this.kept.add(`${machine} ${ref}`);
  }

  releaseJobReservation(machine: string, ref: string): void {
    this.kept.delete(`${machine} ${ref}`);
  }

  get leftovers(): number {
    return this.rooms.size + this.held.size + this.kept.size;
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

function tracker(): { moves: MoveTracker; recorder: Recorder } {
  const recorder = new Recorder();
  return { recorder, moves: new MoveTracker(7, recorder, { heartbeatIntervalMs: 2000, leaseMs: 12_000 }) };
}

const rows: [string, (moves: MoveTracker, recorder: Recorder) => void][] = [
  [
    'a move goes through its steps and leaves nothing behind',
    (moves, recorder) => {
      assert.ok(moves.begin(plan(['m1']), 0));
      assert.deepEqual(recorder.stops, ['a/0']);
      moves.handleEvent(moved, { kind: 'source-gone' }, 1000);
      assert.deepEqual(moves.tasksToStartOn('m1'), [{ job: 'a', index: 0 }]);
      recorder.releaseHeldTask(moved);
      moves.handleEvent(moved, { kind: 'start-sent' }, 2000);
      moves.handleEvent(moved, { kind: 'target-seen' }, 3000);
      moves.releaseJobReservations(() => true);
      assert.equal(moves.counters.completed, 1);
    },
  ],
  [
    'one room that is gone takes back the whole plan',
    (moves, recorder) => {
      recorder.full.add('m2');
      assert.equal(moves.begin(plan(['m1', 'm2']), 0), false);
      assert.deepEqual(recorder.stops, []);
    },
  ],
  [
    'a source that stays silent longer than its lease ends the move',
    (moves) => {
      moves.begin(plan(['m1']), 0);
      moves.tick(12_000);
      assert.equal(moves.inFlight, 1, 'until its lease is over nothing is known');
      moves.tick(40_000);
    },
  ],
  [
    'a target that is lost frees the task',
    (moves) => {
      moves.begin(plan(['m1']), 0);
      moves.handleEvent(moved, { kind: 'source-gone' }, 1000);
      moves.machineUnavailable('m1', 1500);
      moves.releaseJobReservations(() => true);
    },
  ],
  [
    'a machine that is being cleared and lost keeps no room',
    (moves) => {
      moves.begin(plan([null]), 0);
      moves.machineUnavailable('m0', 100);
      moves.handleEvent(moved, { kind: 'source-gone' }, 1000);
    },
  ],
  [
    'a job that is over takes its moves along, and room that was made for it',
    (moves) => {
      moves.begin(plan(['m1', 'm2']), 0);
      moves.jobClosed('a', 500);
      moves.jobClosed('b', 500);
      moves.jobClosed('w', 500);
    },
  ],
  [
    'what is put back is no more held than any waiting task',
    (moves, recorder) => {
      moves.begin(plan([null]), 0);
      moves.handleEvent(moved, { kind: 'source-gone' }, 1000);
      assert.equal(recorder.held.size, 0);
      moves.releaseJobReservations(() => true);
      assert.equal(moves.counters.completed, 1);
    },
  ],
  [
    'the same task is not moved twice at once',
    (moves) => {
      assert.ok(moves.begin(plan(['m1']), 0));
      assert.equal(moves.begin(plan(['m2']), 100), false);
      moves.tick(60_000);
    },
  ],
];

for (const [name, act] of rows)
  test(`moves: ${name}`, () => {
    const { moves, recorder } = tracker();
    act(moves, recorder);
    assert.equal(moves.inFlight, 0);
    assert.equal(recorder.leftovers, 0, [...recorder.rooms, ...recorder.held, ...recorder.kept].join(', '));
  });
