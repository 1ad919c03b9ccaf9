import assert from 'node:assert/strict';
import { test } from 'node:test';
import { VirtualCluster } from './virtual-cluster';
import {
  later,
  cutOwnerFromWorkers,
  leaderIndex,
  leaderNode,
  setOnHalfOfWorkers,
  type Fault,
} from './faults';

/** Two faults at once, as the operators met them; each is injected twice a day. */
const combinedFaults: Record<string, Fault> = {
  'transactions carried out late while leaders change': (cluster) => {
    cluster.network.delayOneWriteIn = 3;
    for (const s of [0, 7, 14]) later(cluster, s * 1000, () => cluster.crash(leaderIndex(cluster), 400));
    later(cluster, 20_000, () => (cluster.network.delayOneWriteIn = 0));
  },
  'a leader cut from state service and peers, jobs cancelled through the new one': (cluster) => {
    const node = leaderNode(cluster);
    node.isolated = true;
    for (const s of [5, 9, 15]) later(cluster, s * 1000, () => cluster.users.cancelRunningJobs(2));
    later(cluster, 30_000, () => (node.isolated = false));
  },
  'all controllers away for longer than a lease': (cluster) =>
    cluster.nodes.forEach((_, i) => cluster.crash(i, 14_000 + 50 * i)),
  'leaders change ten times in two minutes, also inside an outage': (cluster) => {
    for (let n = 0; n < 10; n++)
      later(cluster, n * 4000, () => cluster.crash(leaderIndex(cluster), 200 + cluster.randomInt(2500)));
    later(cluster, 15_000, () => cluster.store.startOutage(15_000));
  },
  'machines that reach nobody while their jobs are cancelled': (cluster) => {
    setOnHalfOfWorkers(cluster, 'heartbeatsLost', 20_000);
    cluster.users.cancelRunningJobs(3);
  },
  'a leader ends while machines cannot be reached or hear nothing': (cluster) => {
    setOnHalfOfWorkers(cluster, 'responsesLost', 17_000);
    setOnHalfOfWorkers(cluster, 'hung', 8000);
    cluster.crash(leaderIndex(cluster), 3000);
  },
  'hand over and back, all end, one returns at once': (cluster) => {
    cutOwnerFromWorkers(cluster, 6000);
    later(cluster, 12_000, () => cluster.nodes.forEach((_, i) => cluster.crash(i, i === 1 ? 300 : 9000)));
  },
  'a team at its limit, machines that cannot be asked, a cancellation': (cluster) => {
    setOnHalfOfWorkers(cluster, 'heartbeatsLost', 15_000);
    cluster.nodes.forEach((_, i) => cluster.crash(i, 500 + 100 * i));
    for (const s of [2, 4, 6]) later(cluster, s * 1000, () => cluster.users.cancelRunningJobs(2));
  },
  'a zone with workers and a controller cut off for longer than a lease': (cluster) => {
    cluster.network.isolatedZone = 'a';
    later(cluster, 6000, () => cluster.users.cancelRunningJobs(3));
    later(cluster, 25_000, () => (cluster.network.isolatedZone = null));
  },
  'jobs bound to zones lose machines': (cluster) => {
    for (const name of [...cluster.cloud.workers.keys()])
      if (cluster.randomInt(3) === 0) cluster.cloud.terminateMachine(name);
  },
  'cancellations, questions and repeats at the end of the last task': (cluster) => {
    cluster.users.raceWithCompletion = true;
    later(cluster, 30_000, () => (cluster.users.raceWithCompletion = false));
  },
  'odd requests, also in an outage and just after a start': (cluster) => {
    cluster.users.sendInvalidRequests();
    cluster.store.startOutage(8000);
    later(cluster, 3000, () => cluster.users.sendInvalidRequests());
    later(cluster, 10_000, () => cluster.nodes.forEach((_, i) => cluster.crash(i, 300)));
    later(cluster, 11_000, () => cluster.users.sendInvalidRequests());
  },
};

test('two troubles at once: no rule is broken, and all work is done', async (t) => {
  for (const [name, fault] of Object.entries(combinedFaults)) {
    for (const seed of [1, 2]) {
      await t.test(`${name}, seed ${seed}`, async () => {
        const cluster = new VirtualCluster(seed, {
          controllers: 3,
          maxMachines: 12,
          teamLimitFactor: 2,
          extraRunMs: 4000,
          zoneConstraints: true,
        });
        cluster.users.faultsEndAt = 130_000;
        for (let n = 0; n < 32; n++)
          cluster.time.at(2500 + cluster.randomInt(80_000), () => cluster.users.submitRandomJob(n));
        for (const at of [25_000, 75_000]) cluster.time.at(at, () => fault(cluster));
        await cluster.runUntil(340_000);
        assert.deepEqual(cluster.rules.violations, []);
        const open = cluster.jobs.unfinished();
        assert.deepEqual(open, [], 'unfinished jobs');
      });
    }
  }
});
