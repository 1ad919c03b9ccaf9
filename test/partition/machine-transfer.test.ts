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
    'tasks that can save leave a machine that is to go back to the cloud; others may finish',
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
      ['a task that can save leaves a machine that another partition gets', 40_000, true, ['stop job-1']],
      ['not if nothing else here has room for it', 40_000, false, []],
      ['nor if it has only just begun', 20_000, true, []],
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
    // Its value was rewritten for another machine's sake, which unlocked it: tasks were started on a machine that
    // was on its way to another partition.
    'a machine that is on its way elsewhere gets nothing, whatever is told of its record',
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
    'an emptied machine is given to the partition that waits for it, unless that is taken back',
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

test('a partition: machines that are to leave it', async (t) => {
  for (const [name, run, limit] of cases) await t.test(name, () => run(new PartitionHarness(limit)));
});
