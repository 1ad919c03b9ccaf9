import assert from 'node:assert/strict';
import { test } from 'node:test';
import { clusterWithZoneBoundJobs } from './directed-days';
import { schedule, leaderIndex, ownerIndex, ownerNode, type Fault } from './faults';

const SIMULATION_MS = 340_000;

/** Overlapping faults that operators have listed; each is injected twice in a simulation. */
const overlappingFaults: Record<string, Fault> = {
  'writes are applied at once and their responses lost, and other controllers read them while users cancel': (
    cluster,
  ) => {
    cluster.network.loseOneResponseIn = 3;
    cluster.users.queryAllControllers = true;
    for (const ms of [1000, 5000, 9000]) schedule(cluster, ms, () => cluster.users.cancelRunningJobs(3));
    schedule(cluster, 6000, () => cluster.crash(leaderIndex(cluster), 500));
    schedule(cluster, 25_000, () => (cluster.network.loseOneResponseIn = 0));
    schedule(cluster, 30_000, () => (cluster.users.queryAllControllers = false));
  },
  'new machines boot at once and get work while writes are delayed and the leader crashes': (cluster) => {
    cluster.cloud.bootFactor = (): number => 0.05;
    cluster.network.delayOneWriteIn = 3;
    for (const name of [...cluster.cloud.workers.keys()])
      if (cluster.randomInt(2) === 0) cluster.cloud.terminateMachine(name);
    for (const ms of [4000, 9000])
      schedule(cluster, ms, () => cluster.crash(leaderIndex(cluster), 300 + cluster.randomInt(3000)));
    schedule(cluster, 20_000, () => {
      cluster.network.delayOneWriteIn = 0;
      cluster.cloud.bootFactor = (): number => 1;
    });
  },
  'old heartbeats reach every controller just as a new leader takes over': (cluster) => {
    cluster.network.replayHeartbeatsToNextLeader = true;
    for (const ms of [6000, 14_000]) schedule(cluster, ms, () => cluster.crash(leaderIndex(cluster), 1000));
    schedule(cluster, 20_000, () => cluster.nodes.forEach((_, i) => cluster.crash(i, 800 + 100 * i)));
    schedule(cluster, 30_000, () => (cluster.network.replayHeartbeatsToNextLeader = false));
  },
  'jobs are cancelled every half second while a partition is handed over and an owner crashes': (cluster) => {
    const node = ownerNode(cluster);
    node.cutFromWorkers = true;
    for (let ms = 3000; ms < 13_000; ms += 500)
      schedule(cluster, ms, () => cluster.users.cancelRunningJobs(1));
    schedule(cluster, 13_000, () => (node.cutFromWorkers = false));
    schedule(cluster, 14_000, () => cluster.crash(ownerIndex(cluster), 400));
    for (let ms = 14_000; ms < 20_000; ms += 500)
      schedule(cluster, ms, () => cluster.users.cancelRunningJobs(1));
  },
  'users query all controllers within milliseconds of each response while the leader changes': (cluster) => {
    cluster.users.queryAllControllers = true;
    cluster.users.raceWithCompletion = true;
    for (const ms of [3000, 10_000, 17_000])
      schedule(cluster, ms, () => cluster.crash(leaderIndex(cluster), 300));
    for (const ms of [4000, 11_000, 18_000]) schedule(cluster, ms, () => cluster.users.cancelRunningJobs(2));
    schedule(cluster, 12_000, () => cluster.store.startOutage(5000));
    schedule(
      cluster,
      30_000,
      () => (cluster.users.queryAllControllers = cluster.users.raceWithCompletion = false),
    );
  },
  'machines boot late or never while an owner is paused and responses are lost': (cluster) => {
    cluster.cloud.bootFactor = (): number => (cluster.randomInt(2) === 0 ? Infinity : 3);
    cluster.network.loseOneResponseIn = 4;
    ownerNode(cluster).pausedUntil = cluster.time.now + 30_000;
    schedule(cluster, 1000, () => cluster.users.cancelRunningJobs(4));
    schedule(cluster, 31_000, () => cluster.crash(leaderIndex(cluster), 400));
    schedule(cluster, 35_000, () => {
      cluster.network.loseOneResponseIn = 0;
      cluster.cloud.bootFactor = (): number => 1;
    });
  },
};

test('overlapping faults: no rule is violated and all jobs finish', async (t) => {
  for (const [name, fault] of Object.entries(overlappingFaults)) {
    for (const seed of [1, 2, 3]) {
      await t.test(`${name}, seed ${seed}`, async () => {
        const cluster = clusterWithZoneBoundJobs(seed, 135_000);
        for (const at of [25_000, 78_000]) cluster.time.at(at, () => fault(cluster));
        await cluster.runUntil(SIMULATION_MS);
        assert.deepEqual(cluster.rules.violations, []);
        assert.deepEqual(cluster.jobs.unfinished(), [], 'unfinished jobs');
      });
    }
  }
});
