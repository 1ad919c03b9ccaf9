/** Days whose one kind of fault, again and again, is what a guard is there for. */
import { VirtualCluster } from './virtual-cluster';
import { later, randomOwner, refuseStoreToOwner, type Fault } from './faults';

/** How long a directed day is played. */
export const DAY_MS = 280_000;

/** Tasks that run on through an outage. */
export const LONG_TASKS = { controllers: 3, maxMachines: 10, teamLimitFactor: 1, extraRunMs: 120_000 };

/** Random jobs, and one kind of fault twice. */
export async function directedDay(seed: number, fault: Fault): Promise<VirtualCluster> {
  const cluster = new VirtualCluster(seed);
  for (let n = 0; n < 40; n++)
    cluster.time.at(2500 + cluster.randomInt(100_000), () => cluster.users.submitRandomJob(n));
  for (const at of [30_000, 75_000]) cluster.time.at(at, () => fault(cluster));
  await cluster.runUntil(DAY_MS);
  return cluster;
}

/**
 * The state service refuses an owner alone, users cancel jobs through the others, and then the service is down for all
 * for longer than `cancel_s` while the machines go on reporting to the old owner.
 */
export async function outageAfterRefusalDay(seed: number, between: Fault): Promise<VirtualCluster> {
  const cluster = new VirtualCluster(seed, { ...LONG_TASKS });
  for (let n = 0; n < 16; n++)
    cluster.time.at(2500 + cluster.randomInt(20_000), () => cluster.users.submitRandomJob(n));
  cluster.time.at(40_000, () => refuseStoreToOwner(cluster, 14_000));
  for (const at of [40_300, 40_900, 41_500]) cluster.time.at(at, () => cluster.users.cancelRunningJobs(3));
  cluster.time.at(42_000, () => cluster.store.startOutage(61_000));
  cluster.time.at(41_200, () => between(cluster));
  await cluster.runUntil(130_000);
  return cluster;
}

/** An owner's watches get no answer for a minute while its session lease is renewed; users cancel jobs through all controllers. */
export async function hangingWatchDay(seed: number): Promise<VirtualCluster> {
  const cluster = new VirtualCluster(seed, { ...LONG_TASKS });
  for (let n = 0; n < 16; n++)
    cluster.time.at(2500 + cluster.randomInt(20_000), () => cluster.users.submitRandomJob(n));
  cluster.time.at(40_000, () => {
    const node = randomOwner(cluster);
    node.watchHangs = true;
    later(cluster, 60_000, () => (node.watchHangs = false));
  });
  for (const at of [40_500, 42_000]) cluster.time.at(at, () => cluster.users.cancelRunningJobs(4));
  await cluster.runUntil(120_000);
  return cluster;
}
