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
    // Its reports kept coming, each was answered, and each answer counted as a new lease: it never came to an end.
    'a machine that hears nothing of a new owner holds up others for one lease at most',
    (partition) => {
      partition.addMachine('deaf', REVISION_BEFORE_EPOCH);
      partition.addMachine('m', REVISION_BEFORE_EPOCH);
      partition.addJob(jobSpec('job-1'), REVISION_BEFORE_EPOCH);
      for (let now = 0; now <= 12_000; now += 2000) {
        partition.heartbeat('deaf', now, [], { token: 0 });
        assert.deepEqual(startedTasks(partition.heartbeat('m', now + 100)), []);
      }
      assert.deepEqual(
        startedTasks(partition.heartbeat('deaf', 13_000, [], { token: 0 })),
        [],
        'it gets nothing itself',
      );
      assert.equal(startedTasks(partition.heartbeat('m', 13_100)).length, 2);
    },
  ],
  [
    'one that took an answer meanwhile is waited for',
    (partition) => {
      partition.addMachine('m', REVISION_BEFORE_EPOCH);
      partition.addMachine('late', REVISION_BEFORE_EPOCH);
      partition.addJob(jobSpec('job-1'), REVISION_BEFORE_EPOCH);
      partition.heartbeat('late', 8000, [], { token: 0 });
      partition.core.tick(13_000, 0);
      assert.deepEqual(
        startedTasks(partition.heartbeat('m', 13_100)),
        [],
        'it may have taken the answer of 8 s',
      );
      partition.core.tick(21_000, 0);
      assert.equal(startedTasks(partition.heartbeat('m', 21_100)).length, 2);
    },
  ],
  [
    'while one machine is silent, earlier jobs wait and new ones run',
    (partition) => {
      partition.addMachine('m', REVISION_AFTER_EPOCH);
      partition.addMachine('silent', REVISION_BEFORE_EPOCH);
      partition.addJob(jobSpec('job-1'), REVISION_BEFORE_EPOCH);
      partition.addJob(jobSpec('job-2'));
      assert.deepEqual(startedTasks(partition.heartbeat('m', 0)), ['job-2/0', 'job-2/1']);
      partition.core.tick(12_000, 0);
      const early = startedTasks(partition.heartbeat('m', 12_100));
      assert.ok(!early.some((s) => s.startsWith('job-1/')), 'the lease may not have run out yet');
      partition.core.tick(13_000, 0);
      assert.ok(startedTasks(partition.heartbeat('m', 13_100)).includes('job-1/0'));
    },
  ],
  ...(
    [
      // What an owner before us may have started counts, wherever it is; else a limit would be exceeded unseen.
      [
        'tasks of the team that nobody has seen since',
        (partition) => partition.addJob(jobSpec('job-1'), REVISION_BEFORE_EPOCH),
        2,
      ],
      [
        'a job cancelled before, whose tasks may run on',
        (partition) => partition.addTerminatedJob(jobSpec('job-1', { tasks: 3 })),
        3,
      ],
      [
        'more than the machine holds',
        (partition) => partition.addTerminatedJob(jobSpec('job-1', { tasks: 30 })),
        4,
      ],
      // Counted as full for everybody, one silent machine held teams back that had nothing on it.
      ['nothing', () => undefined, 0],
      [
        'a job that was done',
        (partition) => partition.addTerminatedJob(jobSpec('job-1', { tasks: 3 }), 'done'),
        0,
      ],
      [
        'a job cancelled while it is silent',
        (partition) => (
          partition.addJob(jobSpec('job-1'), REVISION_BEFORE_EPOCH),
          partition.closeJob('job-1', 'cancelled')
        ),
        2,
      ],
    ] as [string, (partition: PartitionHarness) => void, number][]
  ).map(([what, before, hidden]): PartitionCase => [
    `a silent machine may hide of a team: ${what}`,
    (partition) => {
      partition.addMachine('m', REVISION_AFTER_EPOCH);
      partition.addMachine('n', REVISION_AFTER_EPOCH);
      partition.addMachine('silent', REVISION_BEFORE_EPOCH);
      before(partition);
      partition.addJob(jobSpec('job-2', { tasks: 20 }));
      assert.equal(
        startedTasks(partition.heartbeat('m', 0)).length + startedTasks(partition.heartbeat('n', 0)).length,
        8 - hidden,
      );
      partition.core.tick(13_000, 0);
      assert.equal(partition.core.quota.remaining('t').cpus, 8, 'all leases over, nothing is hidden');
    },
  ]),
  [
    // Never begun, they went to one zone while others of the job ran in another, on a machine that had not spoken yet.
    'tasks that must be together wait for all machines to speak, also if they were never begun',
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

test('a partition: machines that an earlier owner may have given tasks', async (t) => {
  for (const [name, run, limit] of cases) await t.test(name, () => run(new PartitionHarness(limit)));
});
