import assert from 'node:assert/strict';
import { test } from 'node:test';
import { jobSpec } from '../support/job-spec';
import {
  REVISION_AFTER_EPOCH,
  REVISION_BEFORE_EPOCH,
  type PartitionCase,
  PartitionHarness,
  startedTasks,
} from '../support/partition-harness';

const cases: PartitionCase[] = [
  [
    // Two tasks of a team below its limit were not started for two minutes although a machine was free.
    'the watermark of a job is raised although an earlier job is held back by its team limit',
    (partition) => {
      partition.addMachine('m', REVISION_AFTER_EPOCH);
      partition.addMachine('n', REVISION_AFTER_EPOCH);
      partition.addJob(jobSpec('job-1', { tasks: 40 }), REVISION_AFTER_EPOCH, '', 8);
      partition.heartbeat('m', 0);
      partition.addJob(jobSpec('job-2', { tasks: 10, team: 'u' }), REVISION_AFTER_EPOCH, '0-7', 8);
      assert.equal(partition.core.progress(0).jobs.get('job-2')?.startWatermark, 10);
    },
    4,
  ],
  [
    'tasks beyond the start watermark are not started before it is recorded; after a takeover they need no confirmation',
    (partition) => {
      partition.addMachine('m', REVISION_AFTER_EPOCH);
      partition.addMachine('silent', REVISION_BEFORE_EPOCH);
      partition.addJob(jobSpec('job-1', { tasks: 4, cpus: 0.5 }), REVISION_BEFORE_EPOCH, '', 2);
      assert.deepEqual(startedTasks(partition.heartbeat('m', 0)), []);
      const { jobs, watermarksRaised } = partition.core.progress(100);
      assert.equal(watermarksRaised, true);
      partition.core.markProgressWritten(jobs);
      assert.deepEqual(startedTasks(partition.heartbeat('m', 2000)), ['job-1/2', 'job-1/3']);
      partition.core.tick(13_000, 0);
      assert.deepEqual(
        startedTasks(partition.heartbeat('m', 13_100, [])),
        [],
        'the started tasks were not reported: nothing proves that answers reach the worker',
      );
    },
  ],
  [
    // Start watermarks were raised only for tasks that had to wait anyway, so that no task was started for the length of a lease.
    'after a takeover, watermarks are raised for tasks that were never started while other tasks wait for an unconfirmed machine',
    (partition) => {
      partition.addMachine('m', REVISION_AFTER_EPOCH);
      partition.addMachine('silent', REVISION_BEFORE_EPOCH);
      partition.addJob(
        jobSpec('job-1', { tasks: 40, cpus: 0.1, memoryGb: 0 }),
        REVISION_BEFORE_EPOCH,
        '',
        20,
      );
      partition.core.markProgressWritten(partition.core.progress(0).jobs);
      assert.equal(startedTasks(partition.heartbeat('m', 0))[0], 'job-1/20');
    },
  ],
  [
    // A job without tasks in flight was omitted and so lost its start watermark: the next owner assumed that its tasks were never
    // started.
    'the progress of a job whose start watermark was raised stays recorded although none of its tasks is in flight',
    (partition) => {
      partition.addMachine('m', REVISION_AFTER_EPOCH);
      partition.addJob(jobSpec('job-1', { tasks: 20, cpus: 0.1 }), REVISION_AFTER_EPOCH, '', 8);
      partition.core.markProgressWritten(partition.core.progress(0).jobs);
      assert.ok((partition.core.progress(0).jobs.get('job-1')?.startWatermark ?? 0) > 8);
    },
  ],
];

test('partition: start watermarks', async (t) => {
  for (const [name, run, limit] of cases) await t.test(name, () => run(new PartitionHarness(limit)));
});
