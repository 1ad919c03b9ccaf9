import assert from 'node:assert/strict';
import { test } from 'node:test';
import { VirtualCluster } from './virtual-cluster';
import { type ControllerStatus } from './faults';

test('leadership claims that are applied late and get no response still yield one leader', async (t) => {
  for (const seed of [1, 2, 3]) {
    await t.test(`seed ${seed}`, async () => {
      const cluster = new VirtualCluster(seed);
      for (let n = 0; n < 12; n++)
        cluster.time.at(2500 + cluster.randomInt(60_000), () => cluster.users.submitRandomJob(n));
      cluster.time.at(20_000, () => {
        cluster.network.delayOneWriteIn = 1;
        cluster.crash(
          cluster.nodes.findIndex((n) => (n.controller?.status() as ControllerStatus).leading),
          30_000,
        );
      });
      cluster.time.at(26_000, () => (cluster.network.delayOneWriteIn = 0));
      // The crashed controller is back.
      cluster.users.faultsEndAt = 50_000;
      await cluster.runUntil(49_000);
      const leading = cluster.nodes.filter(
        (n) => n.up && (n.controller?.status() as ControllerStatus).leading,
      );
      assert.equal(leading.length, 1);
      await cluster.runUntil(200_000);
      assert.deepEqual(cluster.rules.violations, []);
      assert.deepEqual(cluster.jobs.unfinished(), []);
    });
  }
});
