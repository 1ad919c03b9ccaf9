/** Simulations in which heartbeats arrive late or more than once. */
import { balancerSettingsSchema } from '@heathbridge/load-balancer';
import { createLoadBalancing } from '../../src/coordination/balancing/load-balancing';
import { TEAMS, type JobParameters, type TaskListener } from './cluster-options';
import { ownerIndex, randomWorker, schedule, type Fault } from './faults';
import { jobParameters } from './job-parameters';
import { VirtualCluster } from './virtual-cluster';

const LATE_COPIES_MS = { from: 20_000, until: 110_000, end: 300_000 };
const EAGER_BALANCING = balancerSettingsSchema.parse({
  placement: 'even',
  min_residence_s: 3,
  min_gain_s: 1,
  hysteresis: 1,
  priority_weight: 10,
  plan_interval_s: 0.5,
  in_flight_share: 0.2,
  per_minute_share: 1,
});

/** Has the cloud give notice for a random machine and take it 12 s later. Its tasks save checkpoints and move to other machines. */
function preemptMachine(cluster: VirtualCluster): void {
  const worker = randomWorker(cluster);
  if (!worker) return;
  worker.preemptionNoticeS = 12;
  schedule(cluster, 12_000, () => cluster.cloud.terminateMachine(worker.name));
}

/** Has a random machine hang for less than a second. */
function hangBriefly(cluster: VirtualCluster): void {
  const worker = randomWorker(cluster);
  if (!worker) return;
  worker.hung = true;
  schedule(cluster, 200 + cluster.randomInt(700), () => (worker.hung = false));
}

/**
 * Runs jobs with checkpoints while tasks move and jobs are cancelled, and controllers and machines come back within a second. Most
 * heartbeats arrive again, late or at once, at the same controller or another; the responses to those that are repeated at once
 * reach the worker. `fault` is injected once, at the beginning.
 */
export async function runLateCopies(
  seed: number,
  fault: Fault,
  taskListener?: TaskListener,
): Promise<VirtualCluster> {
  const cluster = new VirtualCluster(seed, {
    controllers: 3,
    maxMachines: 12,
    teamLimitFactor: 2,
    balancing: (clock) => createLoadBalancing(EAGER_BALANCING, clock),
    ...(taskListener ? { taskListener } : {}),
  });
  const { users, network, time } = cluster;
  const { from, until, end } = LATE_COPIES_MS;
  network.duplicateOneHeartbeatIn = 2;
  network.repeatOneHeartbeatIn = 3;
  users.faultsEndAt = until + 20_000;
  for (let n = 0; n < 45; n++) {
    const team = TEAMS[cluster.randomInt(TEAMS.length)]?.name ?? '';
    const job = jobParameters({
      team,
      tasks: 1 + cluster.randomInt(6),
      runMs: 4000 + cluster.randomInt(20_000),
      checkpointIntervalS: 2,
      checkpointDurationS: 1,
    });
    time.at(2500 + cluster.randomInt(100_000), () => users.submitJob(n, job));
  }
  time.at(from, () => fault(cluster));
  for (let at = from; at < until; at += 1000) {
    time.at(at + cluster.randomInt(900), () => hangBriefly(cluster));
    if (at % 3000 === 0) time.at(at + cluster.randomInt(900), () => users.cancelRunningJobs(1));
    if (at % 7000 === 0) time.at(at, () => cluster.crash(ownerIndex(cluster), 100 + cluster.randomInt(800)));
    if (at % 15_000 === 0) time.at(at, () => preemptMachine(cluster));
  }
  await cluster.runUntil(end);
  return cluster;
}

/**
 * A team is at its limit on a machine that reaches no controller for a little less than a lease, while the owner crashes and another job
 * of the team arrives. Copies of older heartbeats, in which the machine is full of tasks of another team, reach every controller as
 * the next owner begins.
 */
export async function runLateHeartbeatsAtTakeover(seed: number, fault: Fault): Promise<VirtualCluster> {
  const cluster = new VirtualCluster(seed, {
    controllers: 3,
    maxMachines: 2,
    teamLimitFactor: 1,
    machineTypes: [{ label: 'large', cpus: 12, memoryGb: 48 }],
    initialMachines: [{ type: 'large', count: 2 }],
  });
  const { users, network, time } = cluster;
  users.faultsEndAt = 60_000;
  network.replayToNextOwnerFromAgeMs = 18_000;
  const submit = (at: number, n: number, job: Partial<JobParameters>): void => {
    time.at(at, () => users.submitJob(n, jobParameters(job)));
  };
  // Keeps the machine in zone b.
  submit(2500, 4, { team: 'north', tasks: 1, zone: 'b', runMs: 60_000 });
  submit(3000, 1, { team: 'west', tasks: 8, zone: 'a', runMs: 4000 + cluster.randomInt(1500) });
  submit(3500, 2, { team: 'north', tasks: 12, zone: 'a', runMs: 40_000 });
  time.at(25_000 + cluster.randomInt(1000), () => {
    fault(cluster);
    const muted = [...cluster.cloud.workers.values()].find(({ zone }) => zone === 'a');
    if (muted) muted.heartbeatsLost = true;
    schedule(cluster, 11_000, () => muted && (muted.heartbeatsLost = false));
    cluster.crash(ownerIndex(cluster, 'p0'), 4000);
  });
  submit(30_000, 3, { team: 'north', tasks: 10, zone: 'b', runMs: 15_000 });
  await cluster.runUntil(120_000);
  return cluster;
}
