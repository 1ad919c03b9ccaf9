import assert from 'node:assert/strict';
import { test } from 'node:test';
import { jobSpec } from '../support/job-spec';
import {
  REVISION_AFTER_EPOCH,
  type PartitionCase,
  PartitionHarness,
  startedTasks,
  taskInPhase,
} from '../support/partition-harness';

const cases: PartitionCase[] = [
  [
    'tasks that can save a checkpoint are stopped on a machine that is drained to the cloud; other tasks keep running',
    (partition) => {
      partition.addMachine('m', REVISION_AFTER_EPOCH);
      partition.addJob(jobSpec('job-1', { tasks: 1, checkpointIntervalS: 30, checkpointDurationS: 3 }));
      partition.addJob(jobSpec('job-2', { tasks: 1 }));
      const live = partition.heartbeat('m', 0).map((c) => taskInPhase(c, 'running'));
      partition.heartbeat('m', 2000, live);
      partition.core.drainForTransfer('m', '', 3000);
      const commands = partition.heartbeat('m', 4000, live);
      assert.deepEqual(
        commands.map((c) => `${c.op} ${c.ref}`),
        ['stop job-1'],
      );
    },
  ],
  ...(
    [
      [
        'a task that can save a checkpoint is stopped on a machine that is drained for another partition',
        40_000,
        true,
        ['stop job-1'],
      ],
      [
        'a task that can save a checkpoint keeps running if no other machine of the partition has room for it',
        40_000,
        false,
        [],
      ],
      [
        'a task that can save a checkpoint keeps running if it has run only for a short time',
        20_000,
        true,
        [],
      ],
    ] as const
  ).map(([name, now, roomElsewhere, expected]): PartitionCase => [
    name,
    (partition) => {
      partition.addMachine('m', REVISION_AFTER_EPOCH);
      partition.addJob(jobSpec('job-1', { tasks: 1, checkpointIntervalS: 30, checkpointDurationS: 3 }));
      partition.addJob(jobSpec('job-2', { tasks: 1 }));
      const live = partition.heartbeat('m', 0).map((c) => taskInPhase(c, 'running'));
      partition.heartbeat('m', 1000, live);
      if (roomElsewhere) partition.addMachine('n', REVISION_AFTER_EPOCH);
      partition.heartbeat('n', now - 500);
      partition.core.drainForTransfer('m', 'p1', now);
      assert.deepEqual(
        partition.heartbeat('m', now, live).map((c) => `${c.op} ${c.ref}`),
        expected,
      );
    },
  ]),
  [
    // A machine was uncordoned when its stored value was rewritten because of another machine. Tasks were then started on it
    // although its transfer to another partition was in progress.
    'a machine in transfer is given no tasks, even if its record is updated',
    (partition) => {
      partition.addMachine('m', REVISION_AFTER_EPOCH);
      assert.equal(partition.core.cordon('m'), true);
      partition.addMachine('m', REVISION_AFTER_EPOCH + 1);
      partition.addJob(jobSpec('job-1'));
      assert.deepEqual(startedTasks(partition.heartbeat('m', 0)), []);
      partition.core.uncordon('m');
      assert.equal(startedTasks(partition.heartbeat('m', 2000)).length, 2);
    },
  ],
  [
    'a drained machine is released to its target partition, unless the drain is cancelled',
    (partition) => {
      partition.addMachine('m', REVISION_AFTER_EPOCH);
      partition.core.drainForTransfer('m', 'p1', 0);
      assert.deepEqual(partition.core.drainedMachines(), [{ id: 'm', toPartition: 'p1' }]);
      partition.addJob(jobSpec('job-1'));
      assert.deepEqual(startedTasks(partition.heartbeat('m', 0)), []);
      partition.core.drainForTransfer('m', 'p0', 1000);
      assert.equal(startedTasks(partition.heartbeat('m', 2000)).length, 2);
    },
  ],
];

test('partition: transfer and deprovisioning of machines', async (t) => {
  for (const [name, run, limit] of cases) await t.test(name, () => run(new PartitionHarness(limit)));
});
