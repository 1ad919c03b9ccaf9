import assert from 'node:assert/strict';
import { test } from 'node:test';
import { runLateCopies } from './late-messages';

// Guards against a start command that is carried out twice, on a machine that has ended and forgotten its task, after the task has moved
// to another machine or its job was cancelled. Start commands are sent only in answers to heartbeats.
test('heartbeats arrive again while controllers and machines come back within a second: no start is carried out twice', async (t) => {
  for (const seed of [1, 2, 3, 4])
    await t.test(`seed ${seed}`, async () => {
      let moved = 0;
      const cluster = await runLateCopies(seed, () => undefined, {
        submitted: () => undefined,
        started: () => undefined,
        completed: () => undefined,
        stopped: (_taskId, _ranMs, saved) => (moved += saved ? 1 : 0),
      });
      const cancelled = cluster.jobs.list.filter((job) => job.terminalStatus === 'aborted').length;
      assert.deepEqual(cluster.rules.violations, []);
      assert.deepEqual(cluster.jobs.unfinished(), [], 'unfinished jobs');
      assert.ok(moved > 0 && cancelled > 5, `${moved} tasks moved, ${cancelled} jobs cancelled`);
    });
});

// Shows that the test above can fail: no worker handles a response twice, but if one did, the rule would find it.
test('a start command that is carried out twice is found', async () => {
  const cluster = await runLateCopies(1, ({ network }) => (network.copyOneResponseIn = 2));
  assert.ok(cluster.rules.violations.some((violation) => violation.startsWith('started_again')));
});
