import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type HeartbeatTask } from '../../src/protocol/workers';
import { jobSpec } from '../support/job-spec';
import {
  REVISION_AFTER_EPOCH,
  REVISION_BEFORE_EPOCH,
  OWNER_EPOCH,
  type PartitionCase,
  PartitionHarness,
  startedTasks,
  taskInPhase,
} from '../support/partition-harness';

const cases: PartitionCase[] = [
  [
    'a start is repeated only after a newer heartbeat that does not report the task',
    (partition) => {
      partition.addMachine('m', REVISION_AFTER_EPOCH);
      partition.addJob(jobSpec('job-1', { tasks: 1 }));
      assert.equal(startedTasks(partition.heartbeat('m', 0)).length, 1);
      const late = partition.heartbeat('m', 100, [], { sequence: 1 });
      assert.deepEqual(late, [], 'a late copy of an answered heartbeat proves nothing');
      assert.equal(
        startedTasks(partition.heartbeat('m', 2000)).length,
        0,
        'the answer was lost: the worker must first prove that answers reach it',
      );
      assert.equal(startedTasks(partition.heartbeat('m', 4000)).length, 1);
    },
  ],
  [
    'a machine that was taken over is given no tasks before it shows the new token',
    (partition) => {
      partition.addMachine('m', REVISION_BEFORE_EPOCH);
      partition.addJob(jobSpec('job-1'));
      assert.deepEqual(
        startedTasks(partition.heartbeat('m', 0, [], { token: REVISION_BEFORE_EPOCH * 1024 })),
        [],
      );
      assert.equal(startedTasks(partition.heartbeat('m', 500, [], { token: OWNER_EPOCH * 1024 })).length, 2);
    },
  ],
  [
    'a machine that no owner assigned delays no tasks, and is given none until it is assigned',
    (partition) => {
      partition.addMachine('m', REVISION_AFTER_EPOCH);
      partition.addUnassignedMachine('booting', REVISION_BEFORE_EPOCH);
      partition.addJob(jobSpec('job-1', { tasks: 6 }), REVISION_BEFORE_EPOCH);
      assert.equal(
        startedTasks(partition.heartbeat('m', 0)).length,
        4,
        'the job was accepted before the takeover, but no task can be on a machine that was never assigned',
      );
      assert.deepEqual(startedTasks(partition.heartbeat('booting', 100)), []);
      assert.deepEqual(partition.core.unassignedMachines(), ['booting']);
      partition.core.markAssigned(['booting']);
      assert.equal(startedTasks(partition.heartbeat('booting', 200)).length, 2);
    },
  ],
  [
    'a machine of an earlier owner that comes back from another partition is assigned again',
    (partition) => {
      partition.recordAssignedByEarlierOwner('m');
      partition.addUnassignedMachine('n', REVISION_AFTER_EPOCH);
      partition.heartbeat('n', 0);
      assert.deepEqual(partition.core.unassignedMachines(), ['n'], 'the list is rewritten without m');
      partition.addUnassignedMachine('m', REVISION_AFTER_EPOCH + 1);
      partition.addJob(jobSpec('job-1'));
      assert.deepEqual(startedTasks(partition.heartbeat('m', 1000)), []);
      assert.deepEqual(partition.core.unassignedMachines(), ['n', 'm']);
      partition.core.markAssigned(['m']);
      assert.equal(startedTasks(partition.heartbeat('m', 2000)).length, 2);
    },
  ],
  [
    // The stored list drops machines that are gone. If a machine that came back still counted as assigned, the next owner would not
    // know of its tasks.
    'a machine that left and came back is assigned again',
    (partition) => {
      partition.addMachine('m', REVISION_AFTER_EPOCH);
      partition.addJob(jobSpec('job-1'));
      partition.core.removeMachine('m', 0);
      partition.addUnassignedMachine('m', REVISION_AFTER_EPOCH);
      assert.deepEqual(startedTasks(partition.heartbeat('m', 0)), []);
      assert.deepEqual(partition.core.unassignedMachines(), ['m']);
    },
  ],
  [
    'live tasks of an earlier owner are adopted and not started again',
    (partition) => {
      partition.addMachine('m', REVISION_BEFORE_EPOCH);
      partition.addMachine('n', REVISION_AFTER_EPOCH);
      partition.addJob(jobSpec('job-1'), REVISION_BEFORE_EPOCH);
      const live: HeartbeatTask = { ref: 'job-1', index: 0, attempt: 7, phase: 'running', exit: null };
      partition.heartbeat('m', 0, [live], { token: REVISION_BEFORE_EPOCH * 1024 });
      assert.deepEqual(startedTasks(partition.heartbeat('m', 500, [live])), ['job-1/1']);
      assert.deepEqual(startedTasks(partition.heartbeat('n', 600)), []);
    },
  ],
  [
    'a start refused because another attempt is live leaves the task on its machine',
    (partition) => {
      partition.addMachine('m', REVISION_AFTER_EPOCH);
      partition.addMachine('n', REVISION_AFTER_EPOCH);
      partition.addJob(jobSpec('job-1', { tasks: 1 }));
      const [start] = partition.heartbeat('m', 0);
      assert.ok(start);
      const live: HeartbeatTask = { ...taskInPhase(start, 'running'), attempt: 3 };
      partition.heartbeat('m', 2000, [live, taskInPhase(start, 'exited', 'busy')]);
      assert.deepEqual(startedTasks(partition.heartbeat('n', 2100)), []);
    },
  ],
  [
    'a new agent epoch ends all tasks on the machine, and they are started again',
    (partition) => {
      partition.addMachine('m', REVISION_AFTER_EPOCH);
      partition.addJob(jobSpec('job-1', { tasks: 1 }));
      const [start] = partition.heartbeat('m', 0);
      assert.ok(start);
      partition.heartbeat('m', 2000, [taskInPhase(start, 'running')]);
      assert.equal(
        startedTasks(partition.heartbeat('m', 20_000, [], { agentEpoch: 2, sequence: 1 })).length,
        1,
      );
    },
  ],
  [
    'tasks of a machine that is gone are started on another machine',
    (partition) => {
      partition.addMachine('m', REVISION_AFTER_EPOCH);
      partition.addMachine('n', REVISION_AFTER_EPOCH);
      partition.addJob(jobSpec('job-1', { tasks: 2 }));
      partition.heartbeat('m', 0);
      assert.deepEqual(startedTasks(partition.heartbeat('n', 0)), []);
      partition.core.removeMachine('m', 0);
      assert.equal(startedTasks(partition.heartbeat('n', 2000)).length, 2);
    },
  ],
  [
    'on a preemption notice, no task is started and a task that can save a checkpoint is stopped in time',
    (partition) => {
      partition.addMachine('m', REVISION_AFTER_EPOCH);
      partition.addJob(jobSpec('job-1', { tasks: 1, checkpointIntervalS: 30, checkpointDurationS: 3 }));
      const [start] = partition.heartbeat('m', 0);
      assert.ok(start);
      partition.addJob(jobSpec('job-2', { tasks: 1 }));
      const far = partition.heartbeat('m', 2000, [taskInPhase(start, 'running')], { preemptionNoticeS: 60 });
      assert.deepEqual(far, []);
      const near = partition.heartbeat('m', 4000, [taskInPhase(start, 'running')], { preemptionNoticeS: 14 });
      assert.deepEqual(near, [
        { op: 'stop', ref: 'job-1', index: 0, attempt: start.attempt, gracePeriodS: 4 },
      ]);
      assert.deepEqual(
        partition.heartbeat('m', 5000, [taskInPhase(start, 'checkpointing')], { preemptionNoticeS: 13 }),
        [],
        'the checkpoint is not cut short',
      );
    },
  ],
  [
    // While answers to a machine were lost, the same tasks were started on it again and again, each time until a heartbeat proved
    // that they were not there.
    'a machine that sends heartbeats but receives no answers is given no tasks until it shows a new token',
    (partition) => {
      partition.addMachine('m', REVISION_AFTER_EPOCH);
      partition.addJob(jobSpec('job-1', { tasks: 1 }));
      const staleToken = REVISION_AFTER_EPOCH * 1024;
      assert.equal(startedTasks(partition.heartbeat('m', 0, [], { token: staleToken })).length, 1);
      for (const now of [2000, 4000, 6000])
        assert.deepEqual(startedTasks(partition.heartbeat('m', now, [], { token: staleToken })), []);
      assert.deepEqual(
        startedTasks(partition.heartbeat('m', 20_000, [], { agentEpoch: 2, sequence: 1, token: staleToken })),
        [],
      );
      partition.addMachine('n', REVISION_AFTER_EPOCH);
      assert.equal(
        startedTasks(partition.heartbeat('n', 20_100)).length,
        1,
        'the task is started on another machine',
      );
      partition.addJob(jobSpec('job-2', { tasks: 1 }));
      const answer = partition.heartbeat('m', 22_000, [], {
        agentEpoch: 2,
        sequence: 2,
        token: staleToken + 2,
      });
      assert.equal(startedTasks(answer).length, 1, 'the machine is given tasks again');
    },
  ],
  [
    // Hundreds of machines were deprovisioned within seconds of being up, because they counted as idle since they were provisioned.
    'a machine counts as idle from its first heartbeat on, not from its provisioning',
    (partition) => {
      partition.addMachine('m', REVISION_AFTER_EPOCH);
      partition.heartbeat('m', 30_000);
      assert.equal(partition.core.currentLoad(31_000).machines[0]?.idleMs, 1000);
    },
  ],
];

test('partition: heartbeats of machines and their answers', async (t) => {
  for (const [name, run, limit] of cases) await t.test(name, () => run(new PartitionHarness(limit)));
});
