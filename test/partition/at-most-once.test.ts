import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type JobSpec } from '../../src/protocol/jobs';
import { type Command } from '../../src/protocol/workers';
import { jobSpec } from '../support/job-spec';
import {
  type PartitionCase,
  PartitionHarness,
  REVISION_AFTER_EPOCH,
  REVISION_BEFORE_EPOCH,
  startedTasks,
  taskInPhase,
} from '../support/partition-harness';

/** Later than any lease that was renewed at the start. */
const AFTER_LEASE_MS = 20_000;

function atMostOnce(ref = 'job-1'): JobSpec {
  return jobSpec(ref, {
    tasks: 1,
    pipeline: { ref: 'p', after: [], reExecutable: false, alternateFor: null },
  });
}

function reExecutable(): JobSpec {
  return jobSpec('job-1', {
    tasks: 1,
    pipeline: { ref: 'p', after: [], reExecutable: true, alternateFor: null },
  });
}

/** Adds the machine `m` and has the only task of the job started on it. */
function start(partition: PartitionHarness, job: JobSpec): Command {
  partition.addMachine('m', REVISION_AFTER_EPOCH);
  partition.addJob(job);
  const [command] = partition.heartbeat('m', 0);
  assert.ok(command?.op === 'start');
  return command;
}

function terminalStateOf(partition: PartitionHarness, ref = 'job-1'): string | undefined {
  return partition.core.terminalStates.get(ref);
}

/** Heartbeats of another machine on which the task would be started again. */
function startsElsewhere(partition: PartitionHarness, now: number): string[] {
  partition.addMachine('other', REVISION_AFTER_EPOCH);
  return startedTasks(partition.heartbeat('other', now));
}

function assertFailed(partition: PartitionHarness, now = AFTER_LEASE_MS): void {
  assert.equal(terminalStateOf(partition), 'failed');
  assert.deepEqual(startsElsewhere(partition, now), []);
}

function assertStartedAgain(partition: PartitionHarness, now = AFTER_LEASE_MS): void {
  assert.equal(terminalStateOf(partition), undefined);
  assert.deepEqual(startsElsewhere(partition, now), ['job-1/0']);
}

const cases: PartitionCase[] = [
  [
    'the machine is gone before it reports the task: the worker may have started it',
    (partition) => {
      start(partition, atMostOnce());
      partition.core.removeMachine('m', 1000);
      assertFailed(partition);
    },
  ],
  [
    'the lease expires before the machine reports the task: the worker may have started it',
    (partition) => {
      start(partition, atMostOnce());
      partition.core.tick(AFTER_LEASE_MS, AFTER_LEASE_MS);
      assertFailed(partition);
    },
  ],
  [
    'the first report after the start is of a new agent epoch: the worker may have started it before its lease expired',
    (partition) => {
      start(partition, atMostOnce());
      partition.heartbeat('m', 15_000, [], { agentEpoch: 2 });
      assertFailed(partition);
    },
  ],
  [
    'the machine is cordoned before it reports the task, and then gone',
    (partition) => {
      start(partition, atMostOnce());
      partition.core.drainForTransfer('m', 'p1', 500);
      partition.core.removeMachine('m', 1000);
      assertFailed(partition);
    },
  ],
  [
    'a reported task is lost',
    (partition) => {
      const command = start(partition, atMostOnce());
      partition.heartbeat('m', 2000, [taskInPhase(command, 'running')]);
      partition.core.removeMachine('m', 3000);
      assertFailed(partition);
    },
  ],
  [
    'a newer report of the same agent epoch does not have the task: the start never reached the worker',
    (partition) => {
      start(partition, atMostOnce());
      partition.heartbeat('m', 2000, []);
      assertStartedAgain(partition);
    },
  ],
  [
    'a delayed copy of an older report does not have the task: it proves nothing',
    (partition) => {
      const command = start(partition, atMostOnce());
      partition.heartbeat('m', 1000, [], { sequence: 0 });
      partition.heartbeat('m', 2000, [taskInPhase(command, 'running')]);
      assert.equal(terminalStateOf(partition), undefined);
    },
  ],
  [
    'a re-executable job runs again when its machine is gone',
    (partition) => {
      start(partition, reExecutable());
      partition.core.removeMachine('m', 1000);
      assertStartedAgain(partition);
    },
  ],
];

// PROTOCOL lets an attempt be lost in many ways; a job that is not re-executable fails if a task of it may have been started.
// Guards against starting such a task twice because its worker was lost before it reported the task.
test('a task of a job that runs at most once is started again only if it certainly never started', async (t) => {
  for (const [name, run, cpuLimit] of cases) await t.test(name, () => run(new PartitionHarness(cpuLimit)));
});

// Guards against a second start by a new owner that has no machine to wait for, because all machines were gone before it took over.
test('a new owner fails an interrupted job that runs at most once, whichever machines are left', async (t) => {
  const failovers: PartitionCase[] = [
    [
      'no machine is left',
      (partition) => {
        partition.addJob(atMostOnce(), REVISION_BEFORE_EPOCH);
        assertFailed(partition);
      },
    ],
    [
      'the only machine is new',
      (partition) => {
        partition.addUnassignedMachine('new', REVISION_AFTER_EPOCH);
        partition.addJob(atMostOnce(), REVISION_BEFORE_EPOCH);
        assertFailed(partition);
      },
    ],
    [
      'the last machine of the earlier owner is confirmed without the task',
      (partition) => {
        partition.addMachine('m', REVISION_BEFORE_EPOCH);
        partition.addJob(atMostOnce(), REVISION_BEFORE_EPOCH);
        assert.equal(terminalStateOf(partition), undefined, 'the machine may have the task');
        partition.heartbeat('m', 1000);
        assertFailed(partition);
      },
    ],
    [
      'the job was never started',
      (partition) => {
        partition.addJob(atMostOnce(), REVISION_BEFORE_EPOCH, '', 0);
        assert.equal(terminalStateOf(partition), undefined);
      },
    ],
    [
      'the job is re-executable',
      (partition) => {
        partition.addJob(reExecutable(), REVISION_BEFORE_EPOCH);
        assertStartedAgain(partition);
      },
    ],
  ];
  for (const [name, run] of failovers) await t.test(name, () => run(new PartitionHarness()));
});

// PROTOCOL: `full`, `busy` and `no_such` mean that the start was refused, so the task did not run.
test('a refused start does not fail a job that runs at most once', async (t) => {
  for (const reason of ['no_room', 'busy', 'unknown'] as const)
    await t.test(reason, () => {
      const partition = new PartitionHarness();
      const command = start(partition, atMostOnce());
      const answer = partition.heartbeat('m', 2000, [taskInPhase(command, 'exited', reason)]);
      assert.equal(terminalStateOf(partition), undefined);
      const started = [...startedTasks(answer), ...startsElsewhere(partition, AFTER_LEASE_MS)];
      assert.deepEqual(started, ['job-1/0'], 'the task is started again, once');
    });
  for (const reason of ['error', 'stopped', 'other'] as const)
    await t.test(`${reason}: the task ran, and the job fails`, () => {
      const partition = new PartitionHarness();
      const command = start(partition, atMostOnce());
      partition.heartbeat('m', 2000, [taskInPhase(command, 'exited', reason)]);
      assertFailed(partition);
    });
});
