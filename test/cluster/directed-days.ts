/** Simulations of specified faults, against each of which some guard in the controllers protects. */
import { TEAMS, type JobParameters, type VirtualClusterOptions } from './cluster-options';
import { jobParameters } from './job-parameters';
import { VirtualCluster } from './virtual-cluster';
import { schedule, randomOwner, refuseStoreToOwner, type Fault } from './faults';

/** Virtual duration of a simulation with repeated or random faults. */
export const SIMULATION_MS = 280_000;

/** Options for tasks that run longer than an outage: at least 122 s. */
export const LONG_TASKS = { controllers: 3, maxMachines: 10, teamLimitFactor: 1, extraRunMs: 120_000 };

/** A cluster to which 32 random jobs, some of them bound to zones, come within 80 s. All faults must be over at `faultsEndAt`. */
export function clusterWithZoneBoundJobs(seed: number, faultsEndAt: number): VirtualCluster {
  const cluster = new VirtualCluster(seed, {
    controllers: 3,
    maxMachines: 12,
    teamLimitFactor: 2,
    extraRunMs: 4000,
    zoneConstraints: true,
  });
  cluster.users.faultsEndAt = faultsEndAt;
  for (let n = 0; n < 32; n++)
    cluster.time.at(2500 + cluster.randomInt(80_000), () => cluster.users.submitRandomJob(n));
  return cluster;
}

/** Runs random jobs and injects the same fault twice. */
export async function runWithRepeatedFault(seed: number, fault: Fault): Promise<VirtualCluster> {
  const cluster = new VirtualCluster(seed);
  for (let n = 0; n < 40; n++)
    cluster.time.at(2500 + cluster.randomInt(100_000), () => cluster.users.submitRandomJob(n));
  for (const at of [30_000, 75_000]) cluster.time.at(at, () => fault(cluster));
  cluster.users.faultsEndAt = 140_000;
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

/** A cluster with a single partition, whose machines are kept by tasks that run until the end. */
const ONE_PARTITION = {
  controllers: 3,
  maxMachines: 4,
  teamLimitFactor: 10,
  teamsInSettings: () => TEAMS.slice(0, 1),
};
const LONG_RUN_MS = 400_000;
const SHORT_RUN_MS = 5000;
const FILLER_RUN_MS = 15_000;
const LOSS_AT = 40_000;
/** Long enough for a task that is left waiting to be noticed. */
const AFTER_LOSS_MS = 120_000;

/** A job whose tasks run until the end, unless it overrides that. */
function longJob(overrides: Partial<JobParameters>): JobParameters {
  return jobParameters({ runMs: LONG_RUN_MS, expectedS: 60, ...overrides });
}

/** Terminates the machine on which the first task of the job with this number runs. */
function terminateMachineOf(cluster: VirtualCluster, n: number): void {
  const { ref } = cluster.jobs.list[n] ?? { ref: '' };
  for (const [name, worker] of [...cluster.cloud.workers])
    if (worker.executes(`${ref}/0`)) return cluster.cloud.terminateMachine(name);
}

/** Runs a simulation in which a job that is bound to a zone loses its machine. Machines of both zones have room for it. */
export async function runZoneBoundLoss(seed: number): Promise<VirtualCluster> {
  const cluster = new VirtualCluster(seed, ONE_PARTITION);
  const jobs = (['b', 'a'] as const).flatMap((zone) => [
    longJob({ zone }),
    longJob({ zone, runMs: FILLER_RUN_MS }),
  ]);
  for (const [n, job] of jobs.entries())
    cluster.time.at(4000 + 10 * n, () => cluster.users.submitJob(n, job));
  // The machines of the other jobs are still full, so this one runs on the second machine of the zone.
  cluster.time.at(9000, () => cluster.users.submitJob(jobs.length, longJob({ zone: 'b' })));
  cluster.time.at(LOSS_AT, () => terminateMachineOf(cluster, 0));
  cluster.users.faultsEndAt = LOSS_AT;
  await cluster.runUntil(LOSS_AT + AFTER_LOSS_MS);
  return cluster;
}

/**
 * Runs a simulation in which the cloud has no second machine of the only type that an urgent job allows. Another job of more tasks
 * than may be started before its first progress is written arrives later.
 */
export async function runLargeMachineLoss(seed: number): Promise<VirtualCluster> {
  const cluster = new VirtualCluster(seed, {
    ...ONE_PARTITION,
    initialMachines: [
      { type: 'small', count: 2 },
      { type: 'large', count: 1 },
    ],
  });
  cluster.cloud.exhaustedTypes.add('large');
  const urgent = longJob({ tasks: 40, priority: 'urgent', machineTypes: ['large'] });
  const jobs = [urgent, longJob({ machineTypes: ['small'] })];
  for (const [n, job] of jobs.entries()) cluster.time.at(4000, () => cluster.users.submitJob(n, job));
  cluster.time.at(LOSS_AT, () => terminateMachineOf(cluster, 0));
  const small = longJob({ tasks: 12, runMs: SHORT_RUN_MS });
  cluster.time.at(LOSS_AT + 1000, () => cluster.users.submitJob(jobs.length, small));
  cluster.users.faultsEndAt = LOSS_AT;
  await cluster.runUntil(LOSS_AT + AFTER_LOSS_MS);
  return cluster;
}

const TINY_TASKS_SIMULATION_MS = 150_000;
/** A job of thousands of tasks that all fit on one machine, by their resources. */
const TINY_TASKS = jobParameters({
  tasks: 3000,
  cpus: 0.02,
  runMs: 6000,
  expectedS: 6,
  image: 'tiny',
  imageGb: 0.1,
});

/** Runs a job of thousands of tiny tasks, and a small one of another team, on a single large machine. */
export async function runTinyTasks(
  seed: number,
  disturb: Fault,
  options: Partial<VirtualClusterOptions> = {},
): Promise<VirtualCluster> {
  const cluster = new VirtualCluster(seed, {
    controllers: 3,
    maxMachines: 1,
    teamLimitFactor: 4,
    machineTypes: [{ label: 'large', cpus: 64, memoryGb: 16_384 }],
    initialMachines: [{ type: 'large', count: 1 }],
    ...options,
  });
  cluster.users.faultsEndAt = TINY_TASKS_SIMULATION_MS;
  cluster.time.at(3000, () => {
    cluster.users.submitJob(1, TINY_TASKS);
    cluster.users.submitJob(2, { ...TINY_TASKS, team: 'south', tasks: 3, cpus: 1, image: 'other' });
  });
  disturb(cluster);
  await cluster.runUntil(TINY_TASKS_SIMULATION_MS);
  return cluster;
}
