import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MAX_BODY_BYTES, MAX_LINE_BYTES, MAX_TASKS_PER_MACHINE } from '../../src/protocol/message-limits';
import { jsonBytes } from '../../src/protocol/store';
import { heartbeatResponse, type Command, type HeartbeatTask } from '../../src/protocol/workers';
import { jobSpec } from '../support/job-spec';
import {
  OWNER_EPOCH,
  PartitionHarness,
  REVISION_AFTER_EPOCH,
  startedTasks,
  taskInPhase,
} from '../support/partition-harness';

const CPU_LIMIT = 1000;
const TINY = { cpus: 0.001, memoryGb: 0.001 };
const MANY_TASKS = 5000;
const TICK_AT = 100;

/** The size of a worker's heartbeat once all these tasks have exited in the longest form. */
function exitedHeartbeatBytes(tasks: readonly { ref: string; index: number; attempt: number }[]): number {
  return jsonBytes({
    velodrome: 'm'.repeat(100),
    address: '255.255.255.255:65535',
    model: 'm'.repeat(100),
    yard: 'y'.repeat(100),
    loaners: false,
    shift: Number.MAX_SAFE_INTEGER,
    tick: Number.MAX_SAFE_INTEGER,
    baton: Number.MAX_SAFE_INTEGER,
    recall_s: 1234.5678,
    pieces: tasks.map(({ ref, index, attempt }) => ({
      piece: `${ref}/${index}`,
      try: attempt,
      status: 'ended',
      exit_reason: 'stopped',
      saved: false,
    })),
  });
}

function responseBytes(commands: Command[]): number {
  return jsonBytes(heartbeatResponse(Number.MAX_SAFE_INTEGER, commands));
}

/** A partition with one large machine, and a job with more tiny tasks than the machine's worker can report. */
function partitionWithTinyTasks(ref = 'job-000001'): PartitionHarness {
  const partition = new PartitionHarness(CPU_LIMIT);
  partition.addMachine('m', REVISION_AFTER_EPOCH, { type: 'large' });
  partition.addJob(jobSpec(ref, { ...TINY, tasks: MANY_TASKS }));
  return partition;
}

// Guards against a worker whose heartbeats no controller accepts: an owner started more tasks on its machine than one request can list.
test('a machine is given no more tasks than its worker can report, whatever becomes of them', async (t) => {
  for (const ref of ['job-1', 'job-000001', `job-${'9'.repeat(18)}`]) {
    await t.test(`of ${ref}`, () => {
      const partition = partitionWithTinyTasks(ref);
      const live: HeartbeatTask[] = [];
      for (let i = 0; i < 8; i++) {
        const commands = partition.heartbeat('m', i * 2000, live);
        assert.ok(responseBytes(commands) <= MAX_LINE_BYTES, 'line of the answer');
        live.push(...commands.map((command) => taskInPhase(command, 'running')));
      }
      assert.ok(live.length >= MAX_TASKS_PER_MACHINE, `${live.length} tasks, which the leader plans with`);
      assert.ok(exitedHeartbeatBytes(live) <= MAX_BODY_BYTES, 'body of a heartbeat');
    });
  }
});

test('exited tasks take room in heartbeats until the worker may forget them', () => {
  const partition = partitionWithTinyTasks();
  const live = partition.heartbeat('m', 0).map((command) => taskInPhase(command, 'running'));
  const exited = live.map((task): HeartbeatTask => ({ ...task, phase: 'exited', exit: 'done' }));
  const started = partition.heartbeat('m', 1000, exited);
  assert.ok(exitedHeartbeatBytes([...exited, ...started]) <= MAX_BODY_BYTES, 'no exit is recorded yet');
  const doneRanges = `0-${exited.length - 1}`;
  const progress = { doneRanges, doneCount: exited.length, runningCount: 0, startWatermark: MANY_TASKS };
  partition.core.markProgressWritten(new Map([['job-000001', progress]]));
  const running = started.map((command) => taskInPhase(command, 'running'));
  const commands = partition.heartbeat('m', 2000, [...exited, ...running]);
  assert.equal(commands.filter(({ op }) => op === 'forget').length, exited.length);
  assert.ok(startedTasks(commands).length > 0, 'room that is freed is used in the same answer');
  assert.ok(responseBytes(commands) <= MAX_LINE_BYTES, 'line of the answer');
});

// Guards against a line of stop commands that is too long, for tasks that an owner of an earlier version started.
test('commands that one answer has no room for follow in the next ones', () => {
  const partition = new PartitionHarness(CPU_LIMIT);
  partition.addMachine('m', REVISION_AFTER_EPOCH, { type: 'large' });
  let reported = Array.from({ length: 1500 }, (_, index): HeartbeatTask => ({
    ref: 'job-000001',
    index,
    attempt: OWNER_EPOCH,
    phase: 'running',
    exit: null,
  }));
  for (let i = 0; reported.length > 0; i++) {
    assert.ok(i < 8, `${reported.length} tasks are left`);
    const commands = partition.heartbeat('m', i * 1000, reported);
    assert.ok(responseBytes(commands) <= MAX_LINE_BYTES, 'line of the answer');
    const indexes = (op: Command['op']): Set<number> =>
      new Set(commands.filter((command) => command.op === op).map(({ index }) => index));
    const [stopped, forgotten] = [indexes('stop'), indexes('forget')];
    reported = reported
      .filter(({ index }) => !forgotten.has(index))
      .map((task) => (stopped.has(task.index) ? { ...task, phase: 'exited', exit: 'stopped' } : task));
  }
});

// Guards against a job that is left waiting beside an empty machine: free CPUs that no task could use deprioritized that machine.
test('a machine whose worker can report no more tasks deprioritizes no other machine', () => {
  const partition = partitionWithTinyTasks();
  partition.heartbeat('m', 0);
  partition.addMachine('empty', REVISION_AFTER_EPOCH);
  partition.heartbeat('empty', 0, [], { token: 0 });
  partition.core.tick(TICK_AT, TICK_AT);
  assert.ok(startedTasks(partition.heartbeat('empty', TICK_AT)).length > 0);
});
