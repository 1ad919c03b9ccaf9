import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type Command, type HeartbeatTask } from '../../src/protocol/workers';
import { jobSpec } from '../support/job-spec';
import {
  AFTER_OWNER,
  BEFORE_OWNER,
  type PartitionCase,
  PartitionHarness,
  startedTasks,
  taskInPhase,
} from '../support/partition-harness';

const cases: PartitionCase[] = [
  [
    'tasks start in arrival order up to what fits',
    (partition) => {
      partition.addMachine('m', AFTER_OWNER);
      partition.addJob(jobSpec('job-1', { tasks: 6 }));
      assert.equal(startedTasks(partition.heartbeat('m', 0)).length, 4);
    },
  ],
  [
    'the more urgent go first, whenever they came',
    (partition) => {
      partition.addMachine('m', AFTER_OWNER);
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
    'room goes first to a job whose image the machine holds, not past one more urgent',
    (partition) => {
      partition.addMachine('m', AFTER_OWNER);
      partition.addJob(jobSpec('job-1', { tasks: 1, image: 'held', cpus: 2 }));
      const [start] = partition.heartbeat('m', 0);
      assert.ok(start);
      partition.addJob(jobSpec('job-2', { tasks: 1, image: 'new', cpus: 2 }));
      partition.addJob(jobSpec('job-3', { tasks: 2, image: 'held', cpus: 1 }));
      const held = partition.heartbeat('m', 2000, [taskInPhase(start, 'running')]);
      assert.deepEqual(startedTasks(held), ['job-3/0', 'job-3/1']);
      partition.addJob(jobSpec('job-4', { tasks: 1, image: 'new', cpus: 2, priority: 1 }));
      const over = [...held, start].map((c) => taskInPhase(c, 'exited', 'done'));
      assert.deepEqual(startedTasks(partition.heartbeat('m', 4000, over)), ['job-4/0', 'job-2/0']);
    },
  ],
  [
    "a team's limit holds over all machines",
    (partition) => {
      for (const id of ['m', 'n', 'o']) partition.addMachine(id, AFTER_OWNER);
      partition.addJob(jobSpec('job-1', { tasks: 20 }));
      const n = ['m', 'n', 'o'].map((id) => startedTasks(partition.heartbeat(id, 0)).length);
      assert.equal(n[0]! + n[1]! + n[2]!, 8);
    },
  ],
  [
    // A single task of a large job had begun, so it was passed over for four minutes.
    'a large job goes first after a while unless half of what its team may run has begun',
    (partition) => {
      partition.addMachine('m', AFTER_OWNER);
      partition.addJob(jobSpec('job-0', { tasks: 3, priority: 1 }));
      partition.addJob(jobSpec('job-1', { tasks: 40, priority: 3 }));
      const [large, others] = [(c: Command) => c.ref === 'job-1', (c: Command) => c.ref !== 'job-1'];
      const first = partition.heartbeat('m', 0);
      const live = first.filter(large).map((c) => taskInPhase(c, 'running'));
      assert.equal(live.length, 1);
      const over = (commands: Command[]): HeartbeatTask[] =>
        commands.filter(others).map((c) => taskInPhase(c, 'exited', 'done'));
      partition.addJob(jobSpec('job-2', { tasks: 20 }));
      partition.core.tick(2000, 200_000);
      const early = partition.heartbeat('m', 2000, [...live, ...over(first)]).filter((c) => c.op === 'start');
      assert.equal(early.filter(others).length, 3, 'not yet');
      partition.core.tick(4000, 211_000);
      const late = partition.heartbeat('m', 4000, [...live, ...over(early)]).filter((c) => c.op === 'start');
      assert.equal(late.filter(large).length, 3);
    },
  ],
  [
    'a guest team without a limit borrows what is free, also while machines are silent',
    (partition) => {
      partition.addMachine('silent', BEFORE_OWNER);
      partition.addMachine('m', AFTER_OWNER);
      partition.addJob(jobSpec('job-1', { tasks: 9 }));
      assert.equal(startedTasks(partition.heartbeat('m', 0)).length, 4);
      assert.equal(partition.core.currentLoad(0).demands[0]?.tasks, 5);
    },
    Infinity,
  ],
  [
    'together: all in the zone of the first',
    (partition) => {
      partition.addMachine('m', AFTER_OWNER);
      partition.addMachine('n', AFTER_OWNER, { zone: 'b' });
      partition.addJob(jobSpec('job-1', { tasks: 6, singleZone: true }));
      assert.equal(startedTasks(partition.heartbeat('m', 0)).length, 4);
      assert.deepEqual(startedTasks(partition.heartbeat('n', 10)), []);
    },
  ],
  [
    'the largest job begins within four minutes, however many smaller and more urgent ones keep coming',
    (partition) => {
      partition.addMachine('m', AFTER_OWNER);
      partition.addJob(jobSpec('job-0', { tasks: 500, expectedS: 900, priority: 3 }));
      let live: HeartbeatTask[] = [];
      let begun: number | null = null;
      for (let t = 0; t < 240_000 && begun === null; t += 2000) {
        partition.addJob(jobSpec(`job-${t + 1}`, { tasks: 8, priority: 1 }));
        partition.core.tick(t, t);
        const over = live.map((x) => ({ ...x, phase: 'exited' as const, exit: 'done' as const }));
        const next = partition.heartbeat('m', t, over).filter((c) => c.op === 'start');
        if (next.some((c) => c.ref === 'job-0')) begun = t;
        live = next.map((c) => taskInPhase(c, 'running'));
      }
      assert.ok(begun !== null && begun < 200_000, `begun at ${begun}`);
    },
  ],
  [
    "work within its team's guarantee does not wait for ever behind what others flood it with",
    (partition) => {
      partition.addMachine('m', AFTER_OWNER);
      partition.core.tick(0, 0);
      partition.addJob(jobSpec('job-1', { tasks: 2, priority: 3 }));
      for (let n = 2; n < 9; n++) partition.addJob(jobSpec(`job-${n}`, { tasks: 8, priority: 2 }));
      assert.ok(!startedTasks(partition.heartbeat('m', 0)).includes('job-1/0'));
      partition.core.tick(30_000, 30_000);
      partition.addMachine('n', AFTER_OWNER);
      assert.deepEqual(startedTasks(partition.heartbeat('n', 30_000)).slice(0, 2), ['job-1/0', 'job-1/1']);
    },
  ],
];

test('a partition: order and limits of starts', async (t) => {
  for (const [name, run, limit] of cases) await t.test(name, () => run(new PartitionHarness(limit)));
});
