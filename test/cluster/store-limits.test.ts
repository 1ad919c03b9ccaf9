import assert from 'node:assert/strict';
import { test } from 'node:test';
import { VirtualCluster } from './virtual-cluster';

const SIMULATION_MS = 240_000;
const RETURNS_WORK_AFTER_MS = 130_000;
const JOBS = 100;
const TASKS_PER_JOB = 6;

// Guards against rejected transactions: the records of a partition could not be written any more, machines that were no longer
// needed stayed paid for, and jobs did not finish.
test('with the smallest values, no transaction is rejected, jobs finish and idle machines are returned', async (t) => {
  for (const seed of [2, 3, 4, 7])
    await t.test(`seed ${seed}`, async () => {
      const cluster = new VirtualCluster(seed, {
        controllers: 3,
        maxMachines: 200,
        teamLimitFactor: 60,
        extraRunMs: 20_000,
        entriesPerPage: 500,
        initialMachines: [
          { type: 'small', count: 120 },
          { type: 'large', count: 80 },
        ],
        storeLimits: { valueKb: 1, txnOps: 4 },
      });
      cluster.users.faultsEndAt = RETURNS_WORK_AFTER_MS;
      for (let n = 0; n < JOBS; n++)
        cluster.time.at(2500 + cluster.randomInt(60_000), () =>
          cluster.users.submitRandomJob(n, TASKS_PER_JOB),
        );
      // Machines that are marked one after the other stay recorded until the cloud takes them back.
      cluster.cloud.refusesReturns = true;
      cluster.time.at(RETURNS_WORK_AFTER_MS, () => (cluster.cloud.refusesReturns = false));
      await cluster.runUntil(SIMULATION_MS);
      assert.deepEqual(cluster.rules.violations, []);
      assert.deepEqual(cluster.jobs.unfinished(), [], 'unfinished jobs');
      assert.equal(cluster.cloud.workers.size, 0, 'machines that are still paid for');
    });
});
