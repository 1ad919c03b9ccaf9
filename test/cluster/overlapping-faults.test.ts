import assert from 'node:assert/strict';
import { test } from 'node:test';
import { VirtualCluster } from './virtual-cluster';
import { later, leaderIndex, ownerIndex, ownerNode, type Fault } from './faults';

const DAY_MS = 340_000;

/** Faults that overlap, as the operators listed them; each is injected twice a day. */
const overlappingFaults: Record<string, Fault> = {
  'changes are made at once, their answers are lost, and others read them while users cancel': (cluster) => {
    cluster.network.loseOneResponseIn = 3;
    cluster.users.queryAllControllers = true;
    for (const ms of [1000, 5000, 9000]) later(cluster, ms, () => cluster.users.cancelRunningJobs(3));
    later(cluster, 6000, () => cluster.crash(leaderIndex(cluster), 500));
    later(cluster, 25_000, () => (cluster.network.loseOneResponseIn = 0));
    later(cluster, 30_000, () => (cluster.users.queryAllControllers = false));
  },
  'new machines are up at once and get work while writes lag, and the leader ends': (cluster) => {
    cluster.cloud.bootFactor = (): number => 0.05;
    cluster.network.delayOneWriteIn = 3;
    for (const name of [...cluster.cloud.workers.keys()])
      if (cluster.randomInt(2) === 0) cluster.cloud.terminateMachine(name);
    for (const ms of [4000, 9000])
      later(cluster, ms, () => cluster.crash(leaderIndex(cluster), 300 + cluster.randomInt(3000)));
    later(cluster, 20_000, () => {
      cluster.network.delayOneWriteIn = 0;
      cluster.cloud.bootFactor = (): number => 1;
    });
  },
  'old reports reach every controller just as a new leader begins': (cluster) => {
    cluster.network.replayHeartbeatsToNextLeader = true;
    for (const ms of [6000, 14_000]) later(cluster, ms, () => cluster.crash(leaderIndex(cluster), 1000));
    later(cluster, 20_000, () => cluster.nodes.forEach((_, i) => cluster.crash(i, 800 + 100 * i)));
    later(cluster, 30_000, () => (cluster.network.replayHeartbeatsToNextLeader = false));
  },
  'jobs are cancelled in the seconds in which work changes hands': (cluster) => {
    const node = ownerNode(cluster);
    node.cutFromWorkers = true;
    for (let ms = 3000; ms < 13_000; ms += 500) later(cluster, ms, () => cluster.users.cancelRunningJobs(1));
    later(cluster, 13_000, () => (node.cutFromWorkers = false));
    later(cluster, 14_000, () => cluster.crash(ownerIndex(cluster), 400));
    for (let ms = 14_000; ms < 20_000; ms += 500)
      later(cluster, ms, () => cluster.users.cancelRunningJobs(1));
  },
  'users ask at all controllers within milliseconds of each answer while leaders change': (cluster) => {
    cluster.users.queryAllControllers = true;
    cluster.users.raceWithCompletion = true;
    for (const ms of [3000, 10_000, 17_000])
      later(cluster, ms, () => cluster.crash(leaderIndex(cluster), 300));
    for (const ms of [4000, 11_000, 18_000]) later(cluster, ms, () => cluster.users.cancelRunningJobs(2));
    later(cluster, 12_000, () => cluster.store.startOutage(5000));
    later(
      cluster,
      30_000,
      () => (cluster.users.queryAllControllers = cluster.users.raceWithCompletion = false),
    );
  },
  'machines come up late while an owner stands still and answers are lost': (cluster) => {
    cluster.cloud.bootFactor = (): number => (cluster.randomInt(2) === 0 ? Infinity : 3);
    cluster.network.loseOneResponseIn = 4;
    ownerNode(cluster).pausedUntil = cluster.time.now + 30_000;
    later(cluster, 1000, () => cluster.users.cancelRunningJobs(4));
    later(cluster, 31_000, () => cluster.crash(leaderIndex(cluster), 400));
    later(cluster, 35_000, () => {
      cluster.network.loseOneResponseIn = 0;
      cluster.cloud.bootFactor = (): number => 1;
    });
  },
};

test('troubles that overlap: no rule is broken, and all work is done', async (t) => {
  for (const [name, fault] of Object.entries(overlappingFaults)) {
    for (const seed of [1, 2, 3]) {
      await t.test(`${name}, seed ${seed}`, async () => {
        const cluster = new VirtualCluster(seed, {
          controllers: 3,
          maxMachines: 12,
          teamLimitFactor: 2,
          extraRunMs: 4000,
          zoneConstraints: true,
        });
        cluster.users.faultsEndAt = 135_000;
        for (let n = 0; n < 32; n++)
          cluster.time.at(2500 + cluster.randomInt(80_000), () => cluster.users.submitRandomJob(n));
        for (const at of [25_000, 78_000]) cluster.time.at(at, () => fault(cluster));
        await cluster.runUntil(DAY_MS);
        assert.deepEqual(cluster.rules.violations, []);
        assert.deepEqual(cluster.jobs.unfinished(), [], 'unfinished jobs');
      });
    }
  }
});
