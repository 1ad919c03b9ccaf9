import assert from 'node:assert/strict';
import { test } from 'node:test';
import { runLateHeartbeatsAtTakeover } from './late-messages';

// Guards against a team above its limit: a new owner took late copies of heartbeats for the state of a machine that it had not heard yet,
// and reserved too little for the tasks on it.
test('late copies of heartbeats reach the next owner of a team at its limit: the limit holds', async (t) => {
  for (const seed of [1, 2, 3, 4, 5, 6, 7, 8])
    await t.test(`seed ${seed}`, async () => {
      const cluster = await runLateHeartbeatsAtTakeover(seed, () => undefined);
      assert.deepEqual(cluster.rules.violations, []);
      assert.deepEqual(cluster.jobs.unfinished(), [], 'unfinished jobs');
    });
});
