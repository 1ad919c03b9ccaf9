import assert from 'node:assert/strict';
import { test } from 'node:test';
import { VirtualCluster } from './virtual-cluster';
import { leaderIndex } from './faults';

const SIMULATION_MS = 340_000;

test('400 one-task jobs in 100 s, a quarter cancelled, and leader crashes: no rule is violated and all jobs finish', async () => {
  const cluster = new VirtualCluster(7, { controllers: 3, maxMachines: 16, teamLimitFactor: 4 });
  cluster.users.faultsEndAt = 150_000;
  for (let n = 0; n < 400; n++) {
    cluster.time.at(3000 + 250 * n, () => cluster.users.submitRandomJob(n, 1));
    if (n % 4 === 0)
      cluster.time.at(3000 + 250 * n + cluster.randomInt(6000), () => cluster.users.cancelJob(n));
  }
  for (const at of [30_000, 60_000, 61_000])
    cluster.time.at(at, () => cluster.crash(leaderIndex(cluster), 500));
  await cluster.runUntil(SIMULATION_MS);
  assert.deepEqual(cluster.rules.violations, []);
  assert.deepEqual(cluster.jobs.unfinished(), [], 'unfinished jobs');
  assert.ok(
    cluster.jobs.list.filter((job) => job.terminalStatus === 'aborted').length > 20,
    'more than 20 jobs were cancelled before they completed',
  );
});
