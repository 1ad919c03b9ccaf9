import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type JobSpec } from '../../src/protocol/jobs';
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

/** Jobs before `job-2` in scheduling order whose tasks no machine has room for now. */
const UNPLACEABLE_JOBS: [string, Partial<JobSpec>][] = [
  ['machine type', { machineTypes: ['large'] }],
  ['zone', { zone: 'b' }],
  ['no spot machine', { spot: false }],
  ['memory', { memoryGb: 15 }],
  ['CPUs of a single machine', { cpus: 3 }],
];

/** A partition with room for one task, an unplaceable urgent job of team `t`, and `job-2`, of whose 12 tasks 8 are done. */
function partitionWithBlockedJob(unplaceable: Partial<JobSpec>, team: string): PartitionHarness {
  const partition = new PartitionHarness(100);
  partition.addMachine('m', REVISION_AFTER_EPOCH);
  partition.addJob(jobSpec('job-0', { tasks: 1, cpus: 3 }));
  assert.deepEqual(startedTasks(partition.heartbeat('m', 0)), ['job-0/0']);
  const urgent = { tasks: 40, priority: 1, ...unplaceable };
  partition.addJob(jobSpec('job-1', urgent), REVISION_AFTER_EPOCH, '0-7', 8);
  partition.addJob(jobSpec('job-2', { tasks: 12, team }), REVISION_AFTER_EPOCH, '0-7', 8);
  partition.core.tick(100, 100);
  return partition;
}

// Guards against tasks that are left waiting beside idle CPUs: jobs that could be placed nowhere used up all CPUs by which start
// watermarks may be raised.
test('a job that can be placed nowhere does not hold back the start watermarks of jobs behind it', async (t) => {
  for (const [restriction, unplaceable] of UNPLACEABLE_JOBS) {
    for (const team of ['u', 't']) {
      await t.test(`${restriction}, ${team === 't' ? 'two jobs of one team' : 'two teams'}`, () => {
        const partition = partitionWithBlockedJob(unplaceable, team);
        const { jobs, watermarksRaised } = partition.core.progress(100);
        assert.equal(watermarksRaised, true);
        assert.equal(jobs.get('job-2')?.startWatermark, 12);
        partition.core.markProgressWritten(jobs);
        assert.equal(partition.core.progress(100).watermarksRaised, false, 'raised once');
      });
    }
  }
  await t.test('the job itself can start as soon as a machine for it is there', () => {
    const partition = partitionWithBlockedJob({ machineTypes: ['large'] }, 'u');
    partition.core.markProgressWritten(partition.core.progress(100).jobs);
    partition.addMachine('large', REVISION_AFTER_EPOCH, { type: 'large' });
    assert.ok(startedTasks(partition.heartbeat('large', 200)).length > 0);
  });
  await t.test('no watermark is raised beyond the limit of a team', () => {
    const partition = new PartitionHarness(3);
    partition.addMachine('m', REVISION_AFTER_EPOCH);
    partition.addJob(jobSpec('job-0', { tasks: 1, cpus: 3 }));
    partition.heartbeat('m', 0);
    partition.addJob(jobSpec('job-1', { tasks: 12, cpus: 2 }), REVISION_AFTER_EPOCH, '0-7', 8);
    assert.equal(partition.core.progress(100).watermarksRaised, false);
  });
  await t.test('no watermark is raised while no machine has room', () => {
    const partition = partitionWithBlockedJob({ machineTypes: ['large'] }, 'u');
    partition.addJob(jobSpec('job-3', { tasks: 12, cpus: 2, priority: 3 }), REVISION_AFTER_EPOCH, '0-7', 8);
    assert.equal(partition.core.progress(100).jobs.get('job-3')?.startWatermark, 8);
  });
});

test('partition: start watermarks', async (t) => {
  for (const [name, run, limit] of cases) await t.test(name, () => run(new PartitionHarness(limit)));
});
