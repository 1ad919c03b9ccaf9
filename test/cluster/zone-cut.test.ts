import assert from 'node:assert/strict';
import { test } from 'node:test';
import { clusterWithZoneBoundJobs } from './directed-days';
import { leaderIndex } from './faults';

const SIMULATION_MS = 300_000;
const CUT_AT = 30_000;
const SECOND_CUT_AT = 90_000;

// PROTOCOL ("Outages and cuts"): a zone that is cut off keeps working internally. Guards against checks that are kinder than the
// troubles: the simulated cut spared open watches, the cloud, and delayed heartbeats.
test('a zone is cut off with its controller, and late messages follow: no rule is violated and all jobs finish', async (t) => {
  for (const cutMs of [6000, 25_000, 45_000])
    for (const seed of [1, 2, 3])
      await t.test(`for ${cutMs / 1000} s, seed ${seed}`, async () => {
        const cluster = clusterWithZoneBoundJobs(seed, SECOND_CUT_AT + cutMs);
        cluster.network.delayOneWriteIn = 8;
        for (const at of [CUT_AT, SECOND_CUT_AT]) {
          cluster.time.at(at, () => (cluster.network.isolatedZone = 'a'));
          cluster.time.at(at + cutMs / 2, () => cluster.users.cancelRunningJobs(3));
          cluster.time.at(at + cutMs, () => (cluster.network.isolatedZone = null));
        }
        // The leader changes shortly before the second cut.
        cluster.time.at(SECOND_CUT_AT - 8000, () => cluster.crash(leaderIndex(cluster), 1000));
        cluster.time.at(SECOND_CUT_AT + cutMs, () => (cluster.network.delayOneWriteIn = 0));
        await cluster.runUntil(SIMULATION_MS);
        assert.deepEqual(cluster.rules.violations, []);
        assert.deepEqual(cluster.jobs.unfinished(), [], 'unfinished jobs');
      });
});
