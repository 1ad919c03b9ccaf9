import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type Command } from '../../src/protocol/workers';
import { jobSpec } from '../support/job-spec';
import {
  AFTER_OWNER,
  type PartitionCase,
  PartitionHarness,
  startedTasks,
  taskInPhase,
} from '../support/partition-harness';

const cases: PartitionCase[] = [
  [
    'a task that fails is tried again after a pause, and a machine where all fail gets no more',
    (partition) => {
      partition.addMachine('m', AFTER_OWNER);
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
      partition.addMachine('n', AFTER_OWNER);
      assert.equal(startedTasks(partition.heartbeat('n', (now += 2000))).length, 4);
    },
  ],
  [
    // Jobs with a mistake fail on every machine. Machines on which other work was done were sent back for it.
    'a job that succeeds nowhere does not put a machine to blame where others succeed',
    (partition) => {
      partition.addMachine('m', AFTER_OWNER);
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
      assert.deepEqual(startedTasks(next), [], 'nor is it tried there again at once');
      assert.equal(partition.core.currentLoad(6000).machines[0]?.quarantined, false);
      partition.addJob(jobSpec('job-3', { tasks: 2 }));
      assert.equal(startedTasks(partition.heartbeat('m', 8000)).length, 2);
    },
  ],
  [
    'a machine where several jobs fail that succeed elsewhere is to blame',
    (partition) => {
      partition.addMachine('good', AFTER_OWNER);
      partition.addMachine('bad', AFTER_OWNER);
      partition.addJob(jobSpec('job-1', { tasks: 8 }), AFTER_OWNER);
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
    'a job that failed on three machines is tried with one task now and then, and nothing is rented for it',
    (partition) => {
      partition.addJob(jobSpec('job-1', { tasks: 30 }));
      let now = 0;
      for (const id of ['m', 'n', 'o']) {
        partition.addMachine(id, AFTER_OWNER);
        const failed = partition.heartbeat(id, now).filter((c) => c.op === 'start');
        partition.heartbeat(
          id,
          (now += 1000),
          failed.map((c) => taskInPhase(c, 'exited', 'error')),
        );
      }
      assert.equal(partition.core.currentLoad(now).machines.filter((m) => m.quarantined).length, 0);
      assert.deepEqual(partition.core.currentLoad(now).demands, [], 'it pauses');
      partition.addJob(jobSpec('job-2', { tasks: 3 }));
      partition.addMachine('p', AFTER_OWNER);
      assert.equal(startedTasks(partition.heartbeat('p', now)).length, 3, 'others have the room');
      let tries = 0;
      for (const until = now + 60_000; now < until; now += 1000) {
        const tried = partition.heartbeat('p', now).filter((c) => c.op === 'start' && c.ref === 'job-1');
        assert.ok(tried.length <= 1);
        tries += tried.length;
        if (tried[0]) partition.heartbeat('p', now + 500, [taskInPhase(tried[0], 'exited', 'error')]);
      }
      assert.ok(tries >= 2 && tries < 10, `${tries} tries in a minute`);
    },
  ],
  [
    // Long tasks of a job that ran everywhere else waited one by one behind three machines that failed.
    'a job that fails on a few machines and runs on most is not at fault',
    (partition) => {
      partition.addJob(jobSpec('job-1', { tasks: 40 }));
      const all = ['m', 'n', 'o', 'p', 'q', 'r', 's'];
      for (const id of all) partition.addMachine(id, AFTER_OWNER);
      const begun = new Map(
        all.map((id) => [id, partition.heartbeat(id, 0).filter((c) => c.op === 'start')]),
      );
      for (const id of ['m', 'n', 'o'])
        partition.heartbeat(
          id,
          1000,
          (begun.get(id) ?? []).map((c) => taskInPhase(c, 'exited', 'error')),
        );
      partition.addMachine('t', AFTER_OWNER);
      assert.equal(startedTasks(partition.heartbeat('t', 1500)).length, 4);
    },
    100,
  ],
];

test('a partition: tasks that fail', async (t) => {
  for (const [name, run, limit] of cases) await t.test(name, () => run(new PartitionHarness(limit)));
});
