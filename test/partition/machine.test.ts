import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type HeartbeatTask } from '../../src/protocol/workers';
import { jobSpec } from '../support/job-spec';
import {
  AFTER_OWNER,
  BEFORE_OWNER,
  OWNER_EPOCH,
  type PartitionCase,
  PartitionHarness,
  startedTasks,
  taskInPhase,
} from '../support/partition-harness';

const cases: PartitionCase[] = [
  [
    'a start is given again only after a newer report without it',
    (partition) => {
      partition.addMachine('m', AFTER_OWNER);
      partition.addJob(jobSpec('job-1', { tasks: 1 }));
      assert.equal(startedTasks(partition.heartbeat('m', 0)).length, 1);
      const late = partition.heartbeat('m', 100, [], { sequence: 1 });
      assert.deepEqual(late, [], 'a late copy of the report answered says nothing');
      assert.equal(
        startedTasks(partition.heartbeat('m', 2000)).length,
        0,
        'it did not hear us: first it is to show that it does',
      );
      assert.equal(startedTasks(partition.heartbeat('m', 4000)).length, 1);
    },
  ],
  [
    'a machine taken over is given nothing before it has seen the new token',
    (partition) => {
      partition.addMachine('m', BEFORE_OWNER);
      partition.addJob(jobSpec('job-1'));
      assert.deepEqual(startedTasks(partition.heartbeat('m', 0, [], { token: BEFORE_OWNER * 1024 })), []);
      assert.equal(startedTasks(partition.heartbeat('m', 500, [], { token: OWNER_EPOCH * 1024 })).length, 2);
    },
  ],
  [
    'a machine that nobody opened holds nothing up, and gets nothing before it is',
    (partition) => {
      partition.addMachine('m', AFTER_OWNER);
      partition.addUnassignedMachine('booting', BEFORE_OWNER);
      partition.addJob(jobSpec('job-1', { tasks: 6 }), BEFORE_OWNER);
      assert.equal(startedTasks(partition.heartbeat('m', 0)).length, 4, 'begun before, but surely not there');
      assert.deepEqual(startedTasks(partition.heartbeat('booting', 100)), []);
      assert.deepEqual(partition.core.unassignedMachines(), ['booting']);
      partition.core.markAssigned(['booting']);
      assert.equal(startedTasks(partition.heartbeat('booting', 200)).length, 2);
    },
  ],
  [
    'a machine of an earlier owner that comes back from another partition is opened anew',
    (partition) => {
      partition.assignedByEarlierOwner('m');
      partition.addUnassignedMachine('n', AFTER_OWNER);
      partition.heartbeat('n', 0);
      assert.deepEqual(partition.core.unassignedMachines(), ['n'], 'the list is written anew, without m');
      partition.addUnassignedMachine('m', AFTER_OWNER + 1);
      partition.addJob(jobSpec('job-1'));
      assert.deepEqual(startedTasks(partition.heartbeat('m', 1000)), []);
      assert.deepEqual(partition.core.unassignedMachines(), ['n', 'm']);
      partition.core.markAssigned(['m']);
      assert.equal(startedTasks(partition.heartbeat('m', 2000)).length, 2);
    },
  ],
  [
    // The store's list forgets machines that are gone: trusted after its return, it would hide tasks from a next owner.
    'a machine that left and came back is opened anew',
    (partition) => {
      partition.addMachine('m', AFTER_OWNER);
      partition.addJob(jobSpec('job-1'));
      partition.core.removeMachine('m', 0);
      partition.addUnassignedMachine('m', AFTER_OWNER);
      assert.deepEqual(startedTasks(partition.heartbeat('m', 0)), []);
      assert.deepEqual(partition.core.unassignedMachines(), ['m']);
    },
  ],
  [
    'live tasks are adopted, not started again',
    (partition) => {
      partition.addMachine('m', BEFORE_OWNER);
      partition.addMachine('n', AFTER_OWNER);
      partition.addJob(jobSpec('job-1'), BEFORE_OWNER);
      const live: HeartbeatTask = { ref: 'job-1', index: 0, attempt: 7, phase: 'running', exit: null };
      partition.heartbeat('m', 0, [live], { token: BEFORE_OWNER * 1024 });
      assert.deepEqual(startedTasks(partition.heartbeat('m', 500, [live])), ['job-1/1']);
      assert.deepEqual(startedTasks(partition.heartbeat('n', 600)), []);
    },
  ],
  [
    'a refused start beside the live attempt leaves the task where it is',
    (partition) => {
      partition.addMachine('m', AFTER_OWNER);
      partition.addMachine('n', AFTER_OWNER);
      partition.addJob(jobSpec('job-1', { tasks: 1 }));
      const [start] = partition.heartbeat('m', 0);
      assert.ok(start);
      const live: HeartbeatTask = { ...taskInPhase(start, 'running'), attempt: 3 };
      partition.heartbeat('m', 2000, [live, taskInPhase(start, 'exited', 'busy')]);
      assert.deepEqual(startedTasks(partition.heartbeat('n', 2100)), []);
    },
  ],
  [
    'a new session ends what was there',
    (partition) => {
      partition.addMachine('m', AFTER_OWNER);
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
    'a machine that is gone gives its tasks back',
    (partition) => {
      partition.addMachine('m', AFTER_OWNER);
      partition.addMachine('n', AFTER_OWNER);
      partition.addJob(jobSpec('job-1', { tasks: 2 }));
      partition.heartbeat('m', 0);
      assert.deepEqual(startedTasks(partition.heartbeat('n', 0)), []);
      partition.core.removeMachine('m', 0);
      assert.equal(startedTasks(partition.heartbeat('n', 2000)).length, 2);
    },
  ],
  [
    'a notice: nothing new, and what can save is told to in time',
    (partition) => {
      partition.addMachine('m', AFTER_OWNER);
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
        'not cut short',
      );
    },
  ],
  [
    // Its answers were lost: each start waited there until it was proved absent, again and again.
    'a machine whose reports arrive but that does not hear us gets nothing until it shows a new token',
    (partition) => {
      partition.addMachine('m', AFTER_OWNER);
      partition.addJob(jobSpec('job-1', { tasks: 1 }));
      const silent = AFTER_OWNER * 1024;
      assert.equal(startedTasks(partition.heartbeat('m', 0, [], { token: silent })).length, 1);
      for (const now of [2000, 4000, 6000])
        assert.deepEqual(startedTasks(partition.heartbeat('m', now, [], { token: silent })), []);
      assert.deepEqual(
        startedTasks(partition.heartbeat('m', 20_000, [], { agentEpoch: 2, sequence: 1, token: silent })),
        [],
      );
      partition.addMachine('n', AFTER_OWNER);
      assert.equal(startedTasks(partition.heartbeat('n', 20_100)).length, 1, 'it runs elsewhere');
      partition.addJob(jobSpec('job-2', { tasks: 1 }));
      const heard = partition.heartbeat('m', 22_000, [], { agentEpoch: 2, sequence: 2, token: silent + 2 });
      assert.equal(startedTasks(heard).length, 1, 'it heals');
    },
  ],
  [
    // Hundreds of machines were given back within seconds of being up: they counted as idle since their rental.
    'a machine is idle from its first report on, not from its rental',
    (partition) => {
      partition.addMachine('m', AFTER_OWNER);
      partition.heartbeat('m', 30_000);
      assert.equal(partition.core.currentLoad(31_000).machines[0]?.idleMs, 1000);
    },
  ],
];

test('a partition: what a machine reports and is told', async (t) => {
  for (const [name, run, limit] of cases) await t.test(name, () => run(new PartitionHarness(limit)));
});
