import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type Command, type HeartbeatTask } from '../../src/protocol/workers';
import { jobSpec } from '../support/job-spec';
import {
  REVISION_AFTER_EPOCH,
  REVISION_BEFORE_EPOCH,
  type PartitionCase,
  PartitionHarness,
  startedTasks,
  taskInPhase,
} from '../support/partition-harness';

const cases: PartitionCase[] = [
  [
    'the worker is told to forget an exit only once its outcome is durable, and a job is done once all its tasks are done',
    (partition) => {
      partition.addMachine('m', REVISION_AFTER_EPOCH);
      partition.addJob(jobSpec('job-1', { tasks: 1 }));
      const [start] = partition.heartbeat('m', 0);
      assert.ok(start);
      assert.deepEqual(partition.heartbeat('m', 2000, [taskInPhase(start, 'exited', 'done')]), []);
      assert.deepEqual([...partition.core.terminalStates], [['job-1', 'done']]);
      partition.closeJob('job-1', 'done');
      assert.equal(partition.heartbeat('m', 4000, [taskInPhase(start, 'exited', 'done')])[0]?.op, 'forget');
    },
  ],
  [
    'no task of a cancelled job is started, and its running tasks are stopped and count against the limit until they are gone',
    (partition) => {
      partition.addMachine('m', REVISION_AFTER_EPOCH);
      partition.addMachine('n', REVISION_AFTER_EPOCH);
      partition.addJob(jobSpec('job-1', { tasks: 4 }));
      const commands = partition.heartbeat('m', 0);
      partition.heartbeat(
        'm',
        1000,
        commands.map((c) => taskInPhase(c, 'running')),
      );
      partition.closeJob('job-1', 'cancelled');
      partition.addJob(jobSpec('job-2', { tasks: 8 }));
      assert.equal(
        startedTasks(partition.heartbeat('n', 1500)).length,
        4,
        'limit 8, and 4 tasks are still in flight',
      );
      const stops = partition.heartbeat(
        'm',
        2000,
        commands.map((c) => taskInPhase(c, 'running')),
      );
      assert.deepEqual(new Set(stops.map((c) => c.op)), new Set(['stop']));
    },
  ],
  [
    // Once the job was done, its tasks no longer counted against the quota, although one was still being stopped on a machine.
    'a job is done only once no other attempt of its tasks is left on any machine',
    (partition) => {
      partition.addMachine('m', REVISION_AFTER_EPOCH);
      partition.addMachine('n', REVISION_AFTER_EPOCH);
      partition.addJob(jobSpec('job-1', { tasks: 1 }));
      const [first] = partition.heartbeat('m', 0).filter((c) => c.op === 'start');
      partition.core.tick(13_000, 0);
      const [second] = partition.heartbeat('n', 13_000).filter((c) => c.op === 'start');
      partition.heartbeat('m', 13_100, [taskInPhase(first as Command, 'exited', 'done')]);
      assert.equal(partition.core.terminalStates.size, 0);
      const [stop] = partition.heartbeat('n', 14_000, [taskInPhase(second as Command, 'running')]);
      assert.equal(stop?.op, 'stop');
      partition.heartbeat('n', 16_000, [taskInPhase(second as Command, 'exited', 'stopped')]);
      assert.deepEqual([...partition.core.terminalStates.keys()], ['job-1']);
    },
  ],
  [
    'tasks recorded as done are not run again',
    (partition) => {
      partition.addMachine('m', REVISION_AFTER_EPOCH);
      partition.addJob(jobSpec('job-1', { tasks: 4 }), REVISION_BEFORE_EPOCH, '0-1,3');
      assert.deepEqual(startedTasks(partition.heartbeat('m', 0)), ['job-1/2']);
    },
  ],
  [
    'a job that runs at most once starts after its watermark is recorded, fails with a lost task, and is then replaced by its alternate',
    (partition) => {
      const runOncePipeline = { ref: 'p', after: [], reExecutable: false, alternateFor: null };
      const alternate = { ...runOncePipeline, reExecutable: true, alternateFor: 'job-1' };
      partition.addMachine('m', REVISION_AFTER_EPOCH);
      partition.addJob(
        jobSpec('job-1', { tasks: 2, pipeline: runOncePipeline }),
        REVISION_AFTER_EPOCH,
        '',
        0,
      );
      partition.addJob(jobSpec('job-2', { tasks: 1, pipeline: alternate }), REVISION_AFTER_EPOCH + 1);
      assert.deepEqual(
        startedTasks(partition.heartbeat('m', 0)),
        [],
        'no task is started before the start watermark is recorded',
      );
      partition.core.markProgressWritten(partition.core.progress(0).jobs);
      const starts = partition.heartbeat('m', 2000);
      assert.deepEqual(startedTasks(starts), ['job-1/0', 'job-1/1']);
      partition.heartbeat(
        'm',
        4000,
        starts.map((c) => taskInPhase(c, 'running')),
      );
      partition.heartbeat('m', 20_000, [], { agentEpoch: 2, sequence: 1 });
      assert.deepEqual([...partition.core.terminalStates], [['job-1', 'failed']]);
      assert.deepEqual(
        startedTasks(partition.heartbeat('m', 22_000, [], { agentEpoch: 2, sequence: 2 })),
        [],
        'the failure is not recorded yet',
      );
      partition.closeJob('job-1', 'failed');
      assert.deepEqual(startedTasks(partition.heartbeat('m', 24_000, [], { agentEpoch: 2, sequence: 3 })), [
        'job-2/0',
      ]);
    },
  ],
  [
    'after a takeover, a job that runs at most once continues if all its started tasks are reported, and fails otherwise',
    (partition) => {
      const runOncePipeline = { ref: 'p', after: [], reExecutable: false, alternateFor: null };
      partition.addMachine('m', REVISION_BEFORE_EPOCH);
      partition.addJob(
        jobSpec('job-1', { tasks: 2, pipeline: runOncePipeline }),
        REVISION_BEFORE_EPOCH,
        '',
        1,
      );
      partition.addJob(
        jobSpec('job-2', { tasks: 2, pipeline: { ...runOncePipeline, ref: 'q' } }),
        REVISION_BEFORE_EPOCH,
        '',
        1,
      );
      const live: HeartbeatTask = { ref: 'job-1', index: 0, attempt: 7, phase: 'running', exit: null };
      partition.heartbeat('m', 0, [live], { token: REVISION_BEFORE_EPOCH * 1024 });
      partition.heartbeat('m', 500, [live]);
      assert.deepEqual([...partition.core.terminalStates], [['job-2', 'failed']]);
    },
  ],
];

test('partition: completion, cancellation and failure of jobs', async (t) => {
  for (const [name, run, limit] of cases) await t.test(name, () => run(new PartitionHarness(limit)));
});
