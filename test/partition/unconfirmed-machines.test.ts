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
    // Heartbeats of such a machine kept arriving, and each answer counted as a renewal of its lease, which therefore never expired.
    'a machine that receives no answers of a new owner delays tasks for at most the length of a lease',
    (partition) => {
      partition.addMachine('unanswered', REVISION_BEFORE_EPOCH);
      partition.addMachine('m', REVISION_BEFORE_EPOCH);
      partition.addJob(jobSpec('job-1'), REVISION_BEFORE_EPOCH);
      for (let now = 0; now <= 12_000; now += 2000) {
        partition.heartbeat('unanswered', now, [], { token: 0 });
        assert.deepEqual(startedTasks(partition.heartbeat('m', now + 100)), []);
      }
      assert.deepEqual(
        startedTasks(partition.heartbeat('unanswered', 13_000, [], { token: 0 })),
        [],
        'the machine itself is given no tasks',
      );
      assert.equal(startedTasks(partition.heartbeat('m', 13_100)).length, 2);
    },
  ],
  [
    'tasks wait for a machine that may have received an answer in the meantime',
    (partition) => {
      partition.addMachine('m', REVISION_BEFORE_EPOCH);
      partition.addMachine('late', REVISION_BEFORE_EPOCH);
      partition.addJob(jobSpec('job-1'), REVISION_BEFORE_EPOCH);
      partition.heartbeat('late', 8000, [], { token: 0 });
      partition.core.tick(13_000, 0);
      assert.deepEqual(
        startedTasks(partition.heartbeat('m', 13_100)),
        [],
        'the machine may have received the answer sent at 8 s',
      );
      partition.core.tick(21_000, 0);
      assert.equal(startedTasks(partition.heartbeat('m', 21_100)).length, 2);
    },
  ],
  [
    'while a machine is unconfirmed, jobs accepted before the takeover wait and later ones are started',
    (partition) => {
      partition.addMachine('m', REVISION_AFTER_EPOCH);
      partition.addMachine('silent', REVISION_BEFORE_EPOCH);
      partition.addJob(jobSpec('job-1'), REVISION_BEFORE_EPOCH);
      partition.addJob(jobSpec('job-2'));
      assert.deepEqual(startedTasks(partition.heartbeat('m', 0)), ['job-2/0', 'job-2/1']);
      partition.core.tick(12_000, 0);
      const early = startedTasks(partition.heartbeat('m', 12_100));
      assert.ok(!early.some((s) => s.startsWith('job-1/')), 'the lease may not have expired yet');
      partition.core.tick(13_000, 0);
      assert.ok(startedTasks(partition.heartbeat('m', 13_100)).includes('job-1/0'));
    },
  ],
  ...(
    [
      // Tasks that an earlier owner may have started count, wherever they are; otherwise a limit could be exceeded unnoticed.
      [
        'tasks of the team that were not reported since the takeover',
        (partition) => partition.addJob(jobSpec('job-1'), REVISION_BEFORE_EPOCH),
        2,
      ],
      [
        'tasks of a job cancelled before the takeover',
        (partition) => partition.addTerminatedJob(jobSpec('job-1', { tasks: 3 })),
        3,
      ],
      [
        'no more tasks than the machine has room for',
        (partition) => partition.addTerminatedJob(jobSpec('job-1', { tasks: 30 })),
        4,
      ],
      // One silent machine that counted as full for every team held back teams that had no tasks on it.
      ['no tasks of a team without jobs from before the takeover', () => undefined, 0],
      [
        'no tasks of a job that was done',
        (partition) => partition.addTerminatedJob(jobSpec('job-1', { tasks: 3 }), 'done'),
        0,
      ],
      [
        'tasks of a job cancelled while the machine is silent',
        (partition) => (
          partition.addJob(jobSpec('job-1'), REVISION_BEFORE_EPOCH),
          partition.closeJob('job-1', 'cancelled')
        ),
        2,
      ],
    ] as [string, (partition: PartitionHarness) => void, number][]
  ).map(([name, setUp, reserved]): PartitionCase => [
    `quota is reserved for a silent machine: ${name}`,
    (partition) => {
      partition.addMachine('m', REVISION_AFTER_EPOCH);
      partition.addMachine('n', REVISION_AFTER_EPOCH);
      partition.addMachine('silent', REVISION_BEFORE_EPOCH);
      setUp(partition);
      partition.addJob(jobSpec('job-2', { tasks: 20 }));
      assert.equal(
        startedTasks(partition.heartbeat('m', 0)).length + startedTasks(partition.heartbeat('n', 0)).length,
        8 - reserved,
      );
      partition.core.tick(13_000, 0);
      assert.equal(
        partition.core.quota.remaining('t').cpus,
        8,
        'no quota is reserved once all leases have expired',
      );
    },
  ]),
  [
    // Tasks that were never started were placed in one zone while other tasks of the job ran in another zone, on a machine that
    // had not sent a heartbeat yet.
    'tasks that must share a zone wait until all machines are confirmed, even if they were never started',
    (partition) => {
      partition.addMachine('m', REVISION_AFTER_EPOCH);
      partition.addMachine('silent', REVISION_BEFORE_EPOCH, { zone: 'b' });
      partition.addJob(
        jobSpec('job-1', { tasks: 4, cpus: 0.1, singleZone: true }),
        REVISION_BEFORE_EPOCH,
        '',
        1,
      );
      partition.core.markProgressWritten(partition.core.progress(0).jobs);
      assert.deepEqual(startedTasks(partition.heartbeat('m', 0)), []);
    },
  ],
];

test('partition: unconfirmed machines after a takeover', async (t) => {
  for (const [name, run, limit] of cases) await t.test(name, () => run(new PartitionHarness(limit)));
});
