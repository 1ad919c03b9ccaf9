import prand from 'pure-rand';
import { balancerSettingsSchema, coefficientOfVariation } from '@heathbridge/load-balancer';
import { createLoadBalancing } from '../../src/coordination/balancing/load-balancing';
import { type JobShape, type TaskListener } from '../cluster/cluster-options';
import { VirtualCluster } from '../cluster/virtual-cluster';

/** A virtual day with skewed load, as it is measured and tested with and without balancing. */
export interface BalanceSimulationOptions {
  seed: number;
  /** Settings of the balancer; null: it is off. */
  balancing: object | null;
  machines: number;
  /** For how long jobs are submitted. */
  submissionMinutes: number;
  /** The moment at which one controller ends, for some seconds; null: none does. */
  crashAtMs: number | null;
}

/** What a day came to. */
export interface BalanceSimulationResult {
  violations: string[];
  jobs: number;
  finished: number;
  /** Seconds from submission to the start of each task, by urgency. */
  startDelays: Map<string, number[]>;
  /** Coefficient of variation of the CPUs in use, machine by machine, every few seconds while jobs come. */
  spread: { atMs: number; value: number }[];
  moves: { planned: number; completed: number; abandoned: number };
  machineMoves: { allowed: number; refused: number };
  /** Why tasks were not moved. */
  refusals: { reason: string; count: number }[];
  /** Seconds of work that were done again. */
  repeatedWorkS: number;
  cpuMs: number;
}

const SAMPLE_MS = 5000;
const SETTLE_MS = 10_000;
const DRAIN_MS = 400_000;
const CRASH_MS = 5000;
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

class StartDelays implements TaskListener {
  readonly byPriority = new Map<string, number[]>();
  repeatedWorkS = 0;
  private readonly jobs = new Map<string, { priority: string; at: number }>();
  private readonly begun = new Set<string>();

  submitted(ref: string, { priority }: JobShape, at: number): void {
    this.jobs.set(ref, { priority, at });
  }

  started(taskId: string, at: number): void {
    const job = this.jobs.get(taskId.split('/')[0] ?? '');
    if (!job || this.begun.has(taskId)) return;
    this.begun.add(taskId);
    this.byPriority.set(job.priority, [...(this.byPriority.get(job.priority) ?? []), (at - job.at) / 1000]);
  }

  completed(): void {
    // Completions are counted by the world.
  }

  stopped(_: string, ranMs: number, saved: boolean): void {
    if (!saved) this.repeatedWorkS += ranMs / 1000;
  }
}

/** Idle tasks of all run times fill the fleet in pieces; large urgent tasks and a team whose load doubles come on top. */
function submitJobs(
  cluster: VirtualCluster,
  { seed, machines, submissionMinutes }: BalanceSimulationOptions,
): void {
  const random = prand.xoroshiro128plus(seed);
  const pick = (n: number): number => prand.unsafeUniformIntDistribution(0, n - 1, random);
  const small = { cpus: 1, image: 'img-0', imageGb: 1, checkpointIntervalS: 10, checkpointDurationS: 1 };
  let n = 0;
  for (let at = SETTLE_MS; at < submissionMinutes * 60_000; at += 10_000) {
    const doubled = at > submissionMinutes * 20_000 && at < submissionMinutes * 40_000;
    for (const team of ['north', 'south']) {
      const most = Math.round(machines * (doubled && team === 'north' ? 0.25 : 0.125));
      const runMs = 40_000 + pick(240_000);
      const expectedS = (runMs / 1000) * (0.5 + pick(100) / 100);
      const shape = { ...small, team, tasks: 1 + pick(most), priority: 'idle', runMs, expectedS };
      cluster.time.at(at + pick(5000), () => cluster.users.submitJob(++n, shape));
    }
    const large = {
      team: 'west',
      cpus: 4,
      image: 'img-1',
      imageGb: 2,
      checkpointIntervalS: 0,
      checkpointDurationS: 0,
    };
    const shape = { ...large, tasks: 1 + pick(2), priority: 'urgent', runMs: 8000, expectedS: 8 };
    cluster.time.at(at + pick(5000), () => cluster.users.submitJob(++n, shape));
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

/** Plays a day. Only the processor time depends on the machine that it is played on. */
export async function runBalanceSimulation(
  options: BalanceSimulationOptions,
): Promise<BalanceSimulationResult> {
  const startDelays = new StartDelays();
  const settings = options.balancing === null ? null : balancerSettingsSchema.parse(options.balancing);
  const cluster = new VirtualCluster(options.seed, {
    controllers: 3,
    maxMachines: options.machines,
    teamLimitFactor: options.machines,
    machineTypes: MACHINE_TYPES,
    taskListener: startDelays,
    initialMachines: [{ kind: 'small', count: options.machines }],
    ...(settings ? { balancing: (clock) => createLoadBalancing(settings, clock) } : {}),
  });
  submitJobs(cluster, options);
  const endMs = options.submissionMinutes * 60_000;
  const spread: { atMs: number; value: number }[] = [];
  const sample = (): void => {
    spread.push({ atMs: cluster.time.now, value: coefficientOfVariation(usedCpus(cluster)) });
    if (cluster.time.now + SAMPLE_MS < endMs) cluster.time.at(cluster.time.now + SAMPLE_MS, sample);
  };
  cluster.time.at(2 * SETTLE_MS, sample);
  if (options.crashAtMs !== null) cluster.time.at(options.crashAtMs, () => cluster.crash(0, CRASH_MS));
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
    startDelays: startDelays.byPriority,
    spread,
    moves: { planned: sum('planned'), completed: sum('completed'), abandoned: sum('abandoned') },
    machineMoves: fleet?.machineMoves ?? { allowed: 0, refused: 0 },
    refusals: (fleet?.partitions ?? []).flatMap(({ summary }) => summary.refusals),
    repeatedWorkS: startDelays.repeatedWorkS,
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

/** A quantile of a series, 0 if it is empty. */
export function quantile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? 0;
}
