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
    // Two tasks of a team with room waited for two minutes beside a free machine.
    'marks are raised past a job that its team limit holds back',
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
    'tasks beyond the start watermark wait until the store has it; after a take-over they are known to be nowhere',
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
        'what was sent did not show: no proof that it hears',
      );
    },
  ],
  [
    // Start watermarks were raised for tasks that had to wait anyway: a whole lease long nothing new began.
    'after a take-over marks are raised for tasks that were never begun, while others wait for a silent machine',
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
    // Left out while none of its tasks was out, it lost its start watermark: the next owner took tasks for never begun.
    'a job whose start watermark was raised stays on record though nothing of it runs',
    (partition) => {
      partition.addMachine('m', REVISION_AFTER_EPOCH);
      partition.addJob(jobSpec('job-1', { tasks: 20, cpus: 0.1 }), REVISION_AFTER_EPOCH, '', 8);
      partition.core.markProgressWritten(partition.core.progress(0).jobs);
      assert.ok((partition.core.progress(0).jobs.get('job-1')?.startWatermark ?? 0) > 8);
    },
  ],
];

test('a partition: start watermarks', async (t) => {
  for (const [name, run, limit] of cases) await t.test(name, () => run(new PartitionHarness(limit)));
});
