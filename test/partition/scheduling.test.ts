import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type Command, type HeartbeatTask } from '../../src/protocol/workers';
import { jobSpec } from '../support/job-spec';
import {
  REVISION_AFTER_EPOCH,
  REVISION_BEFORE_EPOCH,
  type PartitionCase,
  PartitionHarness,
  startedTasks,
  taskInPhase,
} from '../support/partition-harness';

const cases: PartitionCase[] = [
  [
    'as many tasks are started as the machine has room for',
    (partition) => {
      partition.addMachine('m', REVISION_AFTER_EPOCH);
      partition.addJob(jobSpec('job-1', { tasks: 6 }));
      assert.equal(startedTasks(partition.heartbeat('m', 0)).length, 4);
    },
  ],
  [
    'a job of a higher priority is started first although it arrived later',
    (partition) => {
      partition.addMachine('m', REVISION_AFTER_EPOCH);
      partition.addJob(jobSpec('job-1', { tasks: 4 }));
      partition.addJob(jobSpec('job-2', { tasks: 3, priority: 1 }));
      assert.deepEqual(startedTasks(partition.heartbeat('m', 0)).sort(), [
        'job-1/0',
        'job-2/0',
        'job-2/1',
        'job-2/2',
      ]);
    },
  ],
  [
    'a job whose image the machine has is started first, but not before a job of a higher priority',
    (partition) => {
      partition.addMachine('m', REVISION_AFTER_EPOCH);
      partition.addJob(jobSpec('job-1', { tasks: 1, image: 'held', cpus: 2 }));
      const [start] = partition.heartbeat('m', 0);
      assert.ok(start);
      partition.addJob(jobSpec('job-2', { tasks: 1, image: 'new', cpus: 2 }));
      partition.addJob(jobSpec('job-3', { tasks: 2, image: 'held', cpus: 1 }));
      const held = partition.heartbeat('m', 2000, [taskInPhase(start, 'running')]);
      assert.deepEqual(startedTasks(held), ['job-3/0', 'job-3/1']);
      partition.addJob(jobSpec('job-4', { tasks: 1, image: 'new', cpus: 2, priority: 1 }));
      const exits = [...held, start].map((c) => taskInPhase(c, 'exited', 'done'));
      assert.deepEqual(startedTasks(partition.heartbeat('m', 4000, exits)), ['job-4/0', 'job-2/0']);
    },
  ],
  [
    "a team's limit applies to the sum over all machines",
    (partition) => {
      for (const id of ['m', 'n', 'o']) partition.addMachine(id, REVISION_AFTER_EPOCH);
      partition.addJob(jobSpec('job-1', { tasks: 20 }));
      const startedCounts = ['m', 'n', 'o'].map((id) => startedTasks(partition.heartbeat(id, 0)).length);
      assert.equal(startedCounts[0]! + startedCounts[1]! + startedCounts[2]!, 8);
    },
  ],
  [
    // After a single task of a large job had been started, other jobs were started before it for four minutes.
    'a large job is started first once it has waited, unless half of the tasks that its team may run at once were started',
    (partition) => {
      partition.addMachine('m', REVISION_AFTER_EPOCH);
      partition.addJob(jobSpec('job-0', { tasks: 3, priority: 1 }));
      partition.addJob(jobSpec('job-1', { tasks: 40, priority: 3 }));
      const [large, others] = [(c: Command) => c.ref === 'job-1', (c: Command) => c.ref !== 'job-1'];
      const first = partition.heartbeat('m', 0);
      const live = first.filter(large).map((c) => taskInPhase(c, 'running'));
      assert.equal(live.length, 1);
      const exits = (commands: Command[]): HeartbeatTask[] =>
        commands.filter(others).map((c) => taskInPhase(c, 'exited', 'done'));
      partition.addJob(jobSpec('job-2', { tasks: 20 }));
      partition.core.tick(2000, 200_000);
      const early = partition
        .heartbeat('m', 2000, [...live, ...exits(first)])
        .filter((c) => c.op === 'start');
      assert.equal(early.filter(others).length, 3, 'the large job is not started first yet');
      partition.core.tick(4000, 211_000);
      const late = partition.heartbeat('m', 4000, [...live, ...exits(early)]).filter((c) => c.op === 'start');
      assert.equal(late.filter(large).length, 3);
    },
  ],
  [
    'a team without a limit uses free resources, also while machines are unconfirmed',
    (partition) => {
      partition.addMachine('silent', REVISION_BEFORE_EPOCH);
      partition.addMachine('m', REVISION_AFTER_EPOCH);
      partition.addJob(jobSpec('job-1', { tasks: 9 }));
      assert.equal(startedTasks(partition.heartbeat('m', 0)).length, 4);
      assert.equal(partition.core.currentLoad(0).demands[0]?.tasks, 5);
    },
    Infinity,
  ],
  [
    'all tasks of a single-zone job are started in the zone of the first',
    (partition) => {
      partition.addMachine('m', REVISION_AFTER_EPOCH);
      partition.addMachine('n', REVISION_AFTER_EPOCH, { zone: 'b' });
      partition.addJob(jobSpec('job-1', { tasks: 6, singleZone: true }));
      assert.equal(startedTasks(partition.heartbeat('m', 0)).length, 4);
      assert.deepEqual(startedTasks(partition.heartbeat('n', 10)), []);
    },
  ],
  [
    'the largest job is started within four minutes although smaller jobs of a higher priority keep arriving',
    (partition) => {
      partition.addMachine('m', REVISION_AFTER_EPOCH);
      partition.addJob(jobSpec('job-0', { tasks: 500, expectedS: 900, priority: 3 }));
      let live: HeartbeatTask[] = [];
      let firstStartAt: number | null = null;
      for (let t = 0; t < 240_000 && firstStartAt === null; t += 2000) {
        partition.addJob(jobSpec(`job-${t + 1}`, { tasks: 8, priority: 1 }));
        partition.core.tick(t, t);
        const exits = live.map((x) => ({ ...x, phase: 'exited' as const, exit: 'done' as const }));
        const next = partition.heartbeat('m', t, exits).filter((c) => c.op === 'start');
        if (next.some((c) => c.ref === 'job-0')) firstStartAt = t;
        live = next.map((c) => taskInPhase(c, 'running'));
      }
      assert.ok(firstStartAt !== null && firstStartAt < 200_000, `first started at ${firstStartAt}`);
    },
  ],
  [
    "a job within its team's guarantee does not starve behind many jobs of a higher priority",
    (partition) => {
      partition.addMachine('m', REVISION_AFTER_EPOCH);
      partition.core.tick(0, 0);
      partition.addJob(jobSpec('job-1', { tasks: 2, priority: 3 }));
      for (let n = 2; n < 9; n++) partition.addJob(jobSpec(`job-${n}`, { tasks: 8, priority: 2 }));
      assert.ok(!startedTasks(partition.heartbeat('m', 0)).includes('job-1/0'));
      partition.core.tick(30_000, 30_000);
      partition.addMachine('n', REVISION_AFTER_EPOCH);
      assert.deepEqual(startedTasks(partition.heartbeat('n', 30_000)).slice(0, 2), ['job-1/0', 'job-1/1']);
    },
  ],
];

test('partition: order and limits of task starts', async (t) => {
  for (const [name, run, limit] of cases) await t.test(name, () => run(new PartitionHarness(limit)));
});
