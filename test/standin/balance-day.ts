import prand from 'pure-rand';
import { balancerSettingsSchema, coefficientOfVariation } from '@heathbridge/load-balancer';
import { createLoadBalancing } from '../../src/coordination/balancing/load-balancing';
import { type JobParameters, type TaskListener } from '../cluster/cluster-options';
import { VirtualCluster } from '../cluster/virtual-cluster';

/** Options of a simulation with skewed load, which is measured and tested with and without load balancing. */
export interface BalanceSimulationOptions {
  seed: number;
  /** Settings of the balancer; null if it is off. */
  balancing: object | null;
  machines: number;
  /** Duration of job submission, in virtual time. */
  submissionMinutes: number;
  /** The virtual time at which one controller crashes for 5 s; null if none does. */
  crashAtMs: number | null;
}

/** The results of a simulation. */
export interface BalanceSimulationResult {
  violations: string[];
  jobs: number;
  finished: number;
  /** Seconds from submission to the first start of each task, by priority. */
  startDelays: Map<string, number[]>;
  /** Coefficient of variation of the CPUs in use per machine, sampled every 5 s while jobs are submitted. */
  spread: { atMs: number; value: number }[];
  moves: { planned: number; completed: number; abandoned: number };
  machineMoves: { allowed: number; refused: number };
  /** The reasons for which tasks were not moved. */
  refusals: { reason: string; count: number }[];
  /** Run time of tasks that were stopped without a checkpoint, which had to be repeated. */
  repeatedWorkS: number;
  /** Processor time that the simulation took on the host. */
  cpuMs: number;
}

const SAMPLE_INTERVAL_MS = 5000;
const WARM_UP_MS = 10_000;
const DRAIN_MS = 400_000;
const CONTROLLER_DOWNTIME_MS = 5000;
const MACHINE_TYPES = [{ label: 'small', cpus: 4, memoryGb: 16 }];

interface StatusView {
  balance?: {
    fleet: {
      partitions: {
        summary: {
          moves: { planned: number; completed: number; abandoned: number };
          refusals: { reason: string; count: number }[];
        };
      }[];
      machineMoves: { allowed: number; refused: number };
    } | null;
  };
}

class TaskRecorder implements TaskListener {
  readonly byPriority = new Map<string, number[]>();
  repeatedWorkS = 0;
  private readonly jobs = new Map<string, { priority: string; at: number }>();
  private readonly startedTasks = new Set<string>();

  submitted(ref: string, { priority }: JobParameters, at: number): void {
    this.jobs.set(ref, { priority, at });
  }

  started(taskId: string, at: number): void {
    const job = this.jobs.get(taskId.split('/')[0] ?? '');
    if (!job || this.startedTasks.has(taskId)) return;
    this.startedTasks.add(taskId);
    this.byPriority.set(job.priority, [...(this.byPriority.get(job.priority) ?? []), (at - job.at) / 1000]);
  }

  completed(): void {
    // `SubmittedJobs` records completions.
  }

  stopped(_: string, ranMs: number, saved: boolean): void {
    if (!saved) this.repeatedWorkS += ranMs / 1000;
  }
}

/**
 * Fragments the fleet with tasks of priority `idle` and various run times, and adds large urgent tasks. The load of one team
 * doubles in the middle third of the submissions.
 */
function submitJobs(
  cluster: VirtualCluster,
  { seed, machines, submissionMinutes }: BalanceSimulationOptions,
): void {
  const random = prand.xoroshiro128plus(seed);
  const randomInt = (bound: number): number => prand.unsafeUniformIntDistribution(0, bound - 1, random);
  const small = { cpus: 1, image: 'img-0', imageGb: 1, checkpointIntervalS: 10, checkpointDurationS: 1 };
  let n = 0;
  for (let at = WARM_UP_MS; at < submissionMinutes * 60_000; at += 10_000) {
    const doubled = at > submissionMinutes * 20_000 && at < submissionMinutes * 40_000;
    for (const team of ['north', 'south']) {
      const maxTasks = Math.round(machines * (doubled && team === 'north' ? 0.25 : 0.125));
      const runMs = 40_000 + randomInt(240_000);
      const expectedS = (runMs / 1000) * (0.5 + randomInt(100) / 100);
      const parameters = {
        ...small,
        team,
        tasks: 1 + randomInt(maxTasks),
        priority: 'idle',
        runMs,
        expectedS,
      };
      cluster.time.at(at + randomInt(5000), () => cluster.users.submitJob(++n, parameters));
    }
    const large = {
      team: 'west',
      cpus: 4,
      image: 'img-1',
      imageGb: 2,
      checkpointIntervalS: 0,
      checkpointDurationS: 0,
    };
    const parameters = { ...large, tasks: 1 + randomInt(2), priority: 'urgent', runMs: 8000, expectedS: 8 };
    cluster.time.at(at + randomInt(5000), () => cluster.users.submitJob(++n, parameters));
  }
}

function usedCpus(cluster: VirtualCluster): number[] {
  return [...cluster.cloud.workers.values()].map((worker) =>
    [...worker.tasks.keys()].reduce(
      (sum, taskId) => sum + (worker.executes(taskId) ? cluster.jobs.cpusOfTask(taskId) : 0),
      0,
    ),
  );
}

/** Runs a simulation. Of its results, only the processor time depends on the host. */
export async function runBalanceSimulation(
  options: BalanceSimulationOptions,
): Promise<BalanceSimulationResult> {
  const recorder = new TaskRecorder();
  const settings = options.balancing === null ? null : balancerSettingsSchema.parse(options.balancing);
  const cluster = new VirtualCluster(options.seed, {
    controllers: 3,
    maxMachines: options.machines,
    teamLimitFactor: options.machines,
    machineTypes: MACHINE_TYPES,
    taskListener: recorder,
    initialMachines: [{ type: 'small', count: options.machines }],
    ...(settings ? { balancing: (clock) => createLoadBalancing(settings, clock) } : {}),
  });
  submitJobs(cluster, options);
  const endMs = options.submissionMinutes * 60_000;
  const spread: { atMs: number; value: number }[] = [];
  const sample = (): void => {
    spread.push({ atMs: cluster.time.now, value: coefficientOfVariation(usedCpus(cluster)) });
    if (cluster.time.now + SAMPLE_INTERVAL_MS < endMs)
      cluster.time.at(cluster.time.now + SAMPLE_INTERVAL_MS, sample);
  };
  cluster.time.at(2 * WARM_UP_MS, sample);
  if (options.crashAtMs !== null)
    cluster.time.at(options.crashAtMs, () => cluster.crash(0, CONTROLLER_DOWNTIME_MS));
  const started = process.cpuUsage();
  await cluster.runUntil(endMs + DRAIN_MS);
  const { user, system } = process.cpuUsage(started);
  const fleet = leaderFleet(cluster);
  const sum = (key: 'planned' | 'completed' | 'abandoned'): number =>
    (fleet?.partitions ?? []).reduce((total, { summary }) => total + summary.moves[key], 0);
  return {
    violations: cluster.rules.violations,
    jobs: cluster.jobs.list.length,
    finished: cluster.jobs.list.filter((job) => cluster.jobs.incompleteTasks(job).length === 0).length,
    startDelays: recorder.byPriority,
    spread,
    moves: { planned: sum('planned'), completed: sum('completed'), abandoned: sum('abandoned') },
    machineMoves: fleet?.machineMoves ?? { allowed: 0, refused: 0 },
    refusals: (fleet?.partitions ?? []).flatMap(({ summary }) => summary.refusals),
    repeatedWorkS: recorder.repeatedWorkS,
    cpuMs: (user + system) / 1000,
  };
}

type FleetStatus = NonNullable<StatusView['balance']>['fleet'];

function leaderFleet(cluster: VirtualCluster): FleetStatus {
  for (const { controller, up } of cluster.nodes) {
    const status = up ? (controller?.status() as StatusView | undefined) : undefined;
    if (status?.balance?.fleet) return status.balance.fleet;
  }
  return null;
}

/** A quantile of the values; 0 if there are none. */
export function quantile(values: readonly number[], fraction: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(fraction * sorted.length))] ?? 0;
}
