/** Simulations of specified faults, against each of which some guard in the controllers protects. */
import { VirtualCluster } from './virtual-cluster';
import { schedule, randomOwner, refuseStoreToOwner, type Fault } from './faults';

/** Virtual duration of a simulation with repeated or random faults. */
export const SIMULATION_MS = 280_000;

/** Options for tasks that run longer than an outage: at least 122 s. */
export const LONG_TASKS = { controllers: 3, maxMachines: 10, teamLimitFactor: 1, extraRunMs: 120_000 };

/** Runs random jobs and injects the same fault twice. */
export async function runWithRepeatedFault(seed: number, fault: Fault): Promise<VirtualCluster> {
  const cluster = new VirtualCluster(seed);
  for (let n = 0; n < 40; n++)
    cluster.time.at(2500 + cluster.randomInt(100_000), () => cluster.users.submitRandomJob(n));
  for (const at of [30_000, 75_000]) cluster.time.at(at, () => fault(cluster));
  await cluster.runUntil(SIMULATION_MS);
  return cluster;
}

/**
 * Runs a simulation in which the state store refuses one owner while users cancel jobs through random controllers. The store
 * is then down for all controllers for longer than `cancel_s`, while the machines keep sending heartbeats to that owner.
 * `otherFault` is injected between the first cancellations and the outage.
 */
export async function runOutageAfterRefusal(seed: number, otherFault: Fault): Promise<VirtualCluster> {
  const cluster = new VirtualCluster(seed, { ...LONG_TASKS });
  for (let n = 0; n < 16; n++)
    cluster.time.at(2500 + cluster.randomInt(20_000), () => cluster.users.submitRandomJob(n));
  cluster.time.at(40_000, () => refuseStoreToOwner(cluster, 14_000));
  for (const at of [40_300, 40_900, 41_500]) cluster.time.at(at, () => cluster.users.cancelRunningJobs(3));
  cluster.time.at(42_000, () => cluster.store.startOutage(61_000));
  cluster.time.at(41_200, () => otherFault(cluster));
  await cluster.runUntil(130_000);
  return cluster;
}

/**
 * Runs a simulation in which an owner's watches get no response for a minute while its session lease is renewed, and users
 * cancel jobs through random controllers.
 */
export async function runHangingWatch(seed: number): Promise<VirtualCluster> {
  const cluster = new VirtualCluster(seed, { ...LONG_TASKS });
  for (let n = 0; n < 16; n++)
    cluster.time.at(2500 + cluster.randomInt(20_000), () => cluster.users.submitRandomJob(n));
  cluster.time.at(40_000, () => {
    const node = randomOwner(cluster);
    node.watchHangs = true;
    schedule(cluster, 60_000, () => (node.watchHangs = false));
  });
  for (const at of [40_500, 42_000]) cluster.time.at(at, () => cluster.users.cancelRunningJobs(4));
  await cluster.runUntil(120_000);
  return cluster;
}
