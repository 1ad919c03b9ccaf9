import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type HeartbeatTask } from '../../src/protocol/workers';
import { jobSpec } from '../support/job-spec';
import {
  REVISION_AFTER_EPOCH,
  REVISION_BEFORE_EPOCH,
  type PartitionCase,
  PartitionHarness,
  startedTasks,
} from '../support/partition-harness';

/** A heartbeat that was sent to the earlier owner. */
const LATE_COPY = { token: REVISION_BEFORE_EPOCH * 1024 };

/** A task that the earlier owner started, in a heartbeat; an exited one is done. */
function earlierTask(ref: string, index: number, phase: 'running' | 'exited'): HeartbeatTask {
  const attempt = REVISION_BEFORE_EPOCH * 1_000_000 + index + 1;
  return { ref, index, attempt, phase, exit: phase === 'exited' ? 'done' : null };
}

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
  // Guards against a team above its limit: a late copy of a heartbeat, accepted as the first one of a machine, lowered what was reserved.
  ...(
    [
      [
        'shows the machine as full of tasks of another team',
        (partition) => {
          partition.addTerminatedJob(jobSpec('job-9', { tasks: 4, team: 'u' }));
          partition.addJob(jobSpec('job-1'), REVISION_BEFORE_EPOCH);
          const full = [0, 1, 2, 3].map((index) => earlierTask('job-9', index, 'running'));
          partition.heartbeat('silent', 0, full, LATE_COPY);
        },
      ],
      [
        'shows tasks as done that ran again elsewhere',
        (partition) => {
          partition.addMachine('other', REVISION_BEFORE_EPOCH);
          partition.addJob(jobSpec('job-1'), REVISION_BEFORE_EPOCH);
          const done = [0, 1].map((index) => earlierTask('job-1', index, 'exited'));
          partition.heartbeat('other', 0, done, LATE_COPY);
        },
      ],
      [
        'shows tasks, since moved, of a job that is then cancelled',
        (partition) => {
          partition.addMachine('other', REVISION_BEFORE_EPOCH);
          partition.addJob(jobSpec('job-1'), REVISION_BEFORE_EPOCH);
          const moved = [0, 1].map((index) => earlierTask('job-1', index, 'running'));
          partition.heartbeat('other', 0, moved, LATE_COPY);
          partition.closeJob('job-1', 'cancelled');
          partition.heartbeat('other', 100);
        },
      ],
      [
        'shows tasks, since moved, that a newer late copy shows as done',
        (partition) => {
          partition.addMachine('other', REVISION_BEFORE_EPOCH);
          partition.addJob(jobSpec('job-1'), REVISION_BEFORE_EPOCH);
          const moved = [0, 1].map((index) => earlierTask('job-1', index, 'running'));
          partition.heartbeat('other', 0, moved, LATE_COPY);
          const done = [0, 1].map((index) => earlierTask('job-1', index, 'exited'));
          partition.heartbeat('other', 50, done, LATE_COPY);
        },
      ],
    ] as [string, (partition: PartitionHarness) => void][]
  ).map(([name, receiveLateCopy]): PartitionCase => [
    `quota stays reserved for a silent machine after a late copy of a heartbeat that ${name}`,
    (partition) => {
      partition.addMachine('m', REVISION_AFTER_EPOCH);
      partition.addMachine('n', REVISION_AFTER_EPOCH);
      partition.addMachine('silent', REVISION_BEFORE_EPOCH);
      receiveLateCopy(partition);
      partition.core.tick(500, 0);
      assert.equal(partition.core.quota.remaining('t').cpus, 6);
      partition.core.tick(21_000, 0);
      assert.equal(
        partition.core.quota.remaining('t').cpus,
        8,
        'nothing is reserved once all leases have expired',
      );
    },
  ]),
  [
    'a job is done, and no quota is reserved for it, once a confirmed machine has shown its tasks as done',
    (partition) => {
      partition.addMachine('other', REVISION_BEFORE_EPOCH);
      partition.addMachine('silent', REVISION_BEFORE_EPOCH);
      partition.addJob(jobSpec('job-1'), REVISION_BEFORE_EPOCH);
      const done = [0, 1].map((index) => earlierTask('job-1', index, 'exited'));
      partition.heartbeat('other', 0, done, LATE_COPY);
      assert.equal(partition.core.terminalStates.size, 0, 'another attempt may run on the silent machine');
      partition.heartbeat('other', 100, done);
      assert.equal(partition.core.terminalStates.get('job-1'), 'done');
      assert.equal(partition.core.quota.remaining('t').cpus, 8);
    },
  ],
  [
    'a job whose tasks only a late copy showed as done is done once all leases have expired',
    (partition) => {
      partition.addMachine('other', REVISION_BEFORE_EPOCH);
      partition.addJob(jobSpec('job-1'), REVISION_BEFORE_EPOCH);
      partition.heartbeat(
        'other',
        0,
        [0, 1].map((index) => earlierTask('job-1', index, 'exited')),
        LATE_COPY,
      );
      partition.core.tick(13_000, 0);
      assert.equal(partition.core.terminalStates.get('job-1'), 'done');
    },
  ],
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
