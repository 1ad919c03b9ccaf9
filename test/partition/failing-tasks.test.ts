import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type Command } from '../../src/protocol/workers';
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
    'a failed task is retried after a delay, and a machine on which all tasks fail is quarantined',
    (partition) => {
      partition.addMachine('m', REVISION_AFTER_EPOCH);
      partition.addJob(jobSpec('job-1', { tasks: 8 }));
      let now = 0;
      let commands = partition.heartbeat('m', now);
      assert.equal(commands.length, 4);
      commands = partition.heartbeat(
        'm',
        (now += 2000),
        commands.map((c) => taskInPhase(c, 'exited', 'error')),
      );
      assert.deepEqual(startedTasks(commands), []);
      assert.equal(partition.core.currentLoad(now).machines[0]?.quarantined, true);
      partition.addMachine('n', REVISION_AFTER_EPOCH);
      assert.equal(startedTasks(partition.heartbeat('n', (now += 2000))).length, 4);
    },
  ],
  [
    // Faulty jobs fail on every machine. Because of them, machines on which other jobs succeeded were deprovisioned.
    'a job that succeeds nowhere does not quarantine a machine on which other jobs succeed',
    (partition) => {
      partition.addMachine('m', REVISION_AFTER_EPOCH);
      partition.addJob(jobSpec('job-1', { tasks: 1 }));
      const [good] = partition.heartbeat('m', 0);
      partition.heartbeat('m', 2000, [taskInPhase(good as Command, 'exited', 'done')]);
      partition.addJob(jobSpec('job-2', { tasks: 8 }));
      const failed = partition.heartbeat('m', 4000).filter((c) => c.op === 'start');
      assert.equal(failed.length, 4);
      const next = partition.heartbeat(
        'm',
        6000,
        failed.map((c) => taskInPhase(c, 'exited', 'error')),
      );
      assert.deepEqual(startedTasks(next), [], 'the job is not retried on this machine at once either');
      assert.equal(partition.core.currentLoad(6000).machines[0]?.quarantined, false);
      assert.deepEqual(failuresInStatus(partition), {
        quarantinedMachines: 0,
        avoidingJobs: 1,
        failingJobs: 0,
      });
      partition.addJob(jobSpec('job-3', { tasks: 2 }));
      assert.equal(startedTasks(partition.heartbeat('m', 8000)).length, 2);
    },
  ],
  [
    'a machine is quarantined if the tasks of a job fail on it and succeed elsewhere',
    (partition) => {
      partition.addMachine('good', REVISION_AFTER_EPOCH);
      partition.addMachine('bad', REVISION_AFTER_EPOCH);
      partition.addJob(jobSpec('job-1', { tasks: 8 }), REVISION_AFTER_EPOCH);
      const first = partition.heartbeat('good', 0).filter((c) => c.op === 'start');
      const second = partition.heartbeat('bad', 0).filter((c) => c.op === 'start');
      partition.heartbeat(
        'bad',
        2000,
        second.map((c) => taskInPhase(c, 'exited', 'error')),
      );
      partition.heartbeat(
        'good',
        2000,
        first.map((c) => taskInPhase(c, 'exited', 'done')),
      );
      assert.deepEqual(
        partition.core.currentLoad(2000).machines.map((m) => m.quarantined),
        [false, true],
      );
    },
  ],
  [
    'a job that failed on three machines is retried with one task at a time after pauses, and no machines are requested for it',
    (partition) => {
      partition.addJob(jobSpec('job-1', { tasks: 30 }));
      let now = 0;
      for (const id of ['m', 'n', 'o']) {
        partition.addMachine(id, REVISION_AFTER_EPOCH);
        const failed = partition.heartbeat(id, now).filter((c) => c.op === 'start');
        partition.heartbeat(
          id,
          (now += 1000),
          failed.map((c) => taskInPhase(c, 'exited', 'error')),
        );
      }
      assert.equal(partition.core.currentLoad(now).machines.filter((m) => m.quarantined).length, 0);
      assert.deepEqual(partition.core.currentLoad(now).demands, [], 'no demand while the job is paused');
      partition.addJob(jobSpec('job-2', { tasks: 3 }));
      partition.addMachine('p', REVISION_AFTER_EPOCH);
      assert.equal(
        startedTasks(partition.heartbeat('p', now)).length,
        3,
        'another job gets the free resources',
      );
      let attempts = 0;
      for (const until = now + 60_000; now < until; now += 1000) {
        const retried = partition.heartbeat('p', now).filter((c) => c.op === 'start' && c.ref === 'job-1');
        assert.ok(retried.length <= 1);
        attempts += retried.length;
        if (retried[0]) partition.heartbeat('p', now + 500, [taskInPhase(retried[0], 'exited', 'error')]);
      }
      assert.ok(attempts >= 2 && attempts < 10, `${attempts} attempts in a minute`);
    },
  ],
  [
    // After failures on three faulty machines, only one task of a job was started at a time, although its long tasks ran on all
    // others.
    'a job that fails on a few machines and runs on most is not limited to one task',
    (partition) => {
      partition.addJob(jobSpec('job-1', { tasks: 40 }));
      const all = ['m', 'n', 'o', 'p', 'q', 'r', 's'];
      for (const id of all) partition.addMachine(id, REVISION_AFTER_EPOCH);
      const starts = new Map(
        all.map((id) => [id, partition.heartbeat(id, 0).filter((c) => c.op === 'start')]),
      );
      for (const id of ['m', 'n', 'o'])
        partition.heartbeat(
          id,
          1000,
          (starts.get(id) ?? []).map((c) => taskInPhase(c, 'exited', 'error')),
        );
      partition.addMachine('t', REVISION_AFTER_EPOCH);
      assert.equal(startedTasks(partition.heartbeat('t', 1500)).length, 4);
    },
    100,
  ],
];

/** What the partition's status shows of machines and jobs that are held back because of failures. */
function failuresInStatus(partition: PartitionHarness): unknown {
  return (partition.core.statusSummary() as { failures: unknown }).failures;
}

test('partition: failing tasks', async (t) => {
  for (const [name, run, limit] of cases) await t.test(name, () => run(new PartitionHarness(limit)));
});
