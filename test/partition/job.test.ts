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
    'an exit is forgotten only once its outcome is durable, and done is told once all are',
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
    'a cancelled job: nothing starts, what runs is stopped and counts until it is gone',
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
      assert.equal(startedTasks(partition.heartbeat('n', 1500)).length, 4, 'limit 8, 4 still out');
      const stops = partition.heartbeat(
        'm',
        2000,
        commands.map((c) => taskInPhase(c, 'running')),
      );
      assert.deepEqual(new Set(stops.map((c) => c.op)), new Set(['stop']));
    },
  ],
  [
    // Its tasks counted for nobody once the job was done, while one was still being stopped on a machine.
    'a job is done once no other attempt of its tasks is left anywhere',
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
    'recorded progress is not run again',
    (partition) => {
      partition.addMachine('m', REVISION_AFTER_EPOCH);
      partition.addJob(jobSpec('job-1', { tasks: 4 }), REVISION_BEFORE_EPOCH, '0-1,3');
      assert.deepEqual(startedTasks(partition.heartbeat('m', 0)), ['job-1/2']);
    },
  ],
  [
    'a job that may not be run again: nothing before its start watermark, and a lost task ends it; then its fallback begins',
    (partition) => {
      const link = { ref: 'p', after: [], reExecutable: false, alternateFor: null };
      const instead = { ...link, reExecutable: true, alternateFor: 'job-1' };
      partition.addMachine('m', REVISION_AFTER_EPOCH);
      partition.addJob(jobSpec('job-1', { tasks: 2, pipeline: link }), REVISION_AFTER_EPOCH, '', 0);
      partition.addJob(jobSpec('job-2', { tasks: 1, pipeline: instead }), REVISION_AFTER_EPOCH + 1);
      assert.deepEqual(startedTasks(partition.heartbeat('m', 0)), [], 'not begun before that is on record');
      partition.core.markProgressWritten(partition.core.progress(0).jobs);
      const begun = partition.heartbeat('m', 2000);
      assert.deepEqual(startedTasks(begun), ['job-1/0', 'job-1/1']);
      partition.heartbeat(
        'm',
        4000,
        begun.map((c) => taskInPhase(c, 'running')),
      );
      partition.heartbeat('m', 20_000, [], { agentEpoch: 2, sequence: 1 });
      assert.deepEqual([...partition.core.terminalStates], [['job-1', 'failed']]);
      assert.deepEqual(
        startedTasks(partition.heartbeat('m', 22_000, [], { agentEpoch: 2, sequence: 2 })),
        [],
        'not on record yet',
      );
      partition.closeJob('job-1', 'failed');
      assert.deepEqual(startedTasks(partition.heartbeat('m', 24_000, [], { agentEpoch: 2, sequence: 3 })), [
        'job-2/0',
      ]);
    },
  ],
  [
    'after a take-over such a job goes on if all that was begun is there, and fails if not',
    (partition) => {
      const link = { ref: 'p', after: [], reExecutable: false, alternateFor: null };
      partition.addMachine('m', REVISION_BEFORE_EPOCH);
      partition.addJob(jobSpec('job-1', { tasks: 2, pipeline: link }), REVISION_BEFORE_EPOCH, '', 1);
      partition.addJob(
        jobSpec('job-2', { tasks: 2, pipeline: { ...link, ref: 'q' } }),
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

test('a partition: how jobs end', async (t) => {
  for (const [name, run, limit] of cases) await t.test(name, () => run(new PartitionHarness(limit)));
});
