import assert from 'node:assert/strict';
import { test } from 'node:test';
import { VirtualCluster } from './virtual-cluster';
import { leaderIndex } from './faults';

const SIMULATION_MS = 340_000;

test('eightfold status queries during crashes and a state store outage: no rule is violated and all jobs finish', async (t) => {
  for (const seed of [1, 2]) {
    await t.test(`seed ${seed}`, async () => {
      const cluster = new VirtualCluster(seed, {
        controllers: 3,
        maxMachines: 12,
        teamLimitFactor: 2,
        extraRunMs: 3000,
      });
      cluster.users.faultsEndAt = 130_000;
      for (let n = 0; n < 24; n++)
        cluster.time.at(2500 + cluster.randomInt(90_000), () => cluster.users.submitRandomJob(n));
      cluster.time.at(25_000, () => (cluster.users.queryRateFactor = 8));
      cluster.time.at(100_000, () => (cluster.users.queryRateFactor = 1));
      cluster.time.at(30_000, () => cluster.crash(leaderIndex(cluster), 6000));
      cluster.time.at(45_000, () => cluster.nodes.forEach((_, i) => cluster.crash(i, 2000 + 300 * i)));
      cluster.time.at(60_000, () => cluster.store.startOutage(20_000));
      cluster.time.at(61_000, () => cluster.users.cancelRunningJobs(3));
      await cluster.runUntil(SIMULATION_MS);
      assert.deepEqual(cluster.rules.violations, []);
      assert.deepEqual(cluster.jobs.unfinished(), [], 'unfinished jobs');
    });
  }
});
