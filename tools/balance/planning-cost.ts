import {
  balancerSettingsSchema,
  PartitionBalancer,
  type JobSnapshot,
  type MachineSnapshot,
  type MoveExecutor,
  type PartitionSnapshot,
  type TaskSnapshot,
  type PendingTasks,
} from '@heathbridge/load-balancer';

/** Median times of a planning round and of a load summary for a partition of this size, in milliseconds. */
export interface PlanningCost {
  machines: number;
  tasks: number;
  planMs: number;
  summaryMs: number;
}

const MACHINE_COUNTS = [100, 500, 1000, 2000, 4000];
const TASKS_PER_MACHINE_COUNTS = [4, 16];
const ROUND_COUNT = 6;
const PENDING_JOB_COUNT = 16;
const MACHINE_CPUS = 32;
const HEARTBEAT_INTERVAL_MS = 2000;
const LEASE_MS = 12_000;

const REJECTING_EXECUTOR: MoveExecutor = {
  reserve: () => false,
  release: () => undefined,
  stop: () => undefined,
  holdTask: () => undefined,
  releaseHeldTask: () => undefined,
  reserveForJob: () => undefined,
  releaseJobReservation: () => undefined,
};

function jobSnapshot(job: string, priority: number, cpus: number): JobSnapshot {
  return {
    ...{ job, team: 'north', workload: 'w', priority, resources: { cpus, accelerators: 0, memoryGb: 1 } },
    ...{ image: `image-${job}`, imageGb: 1, expectedS: 200, checkpointIntervalS: 10, checkpointDurationS: 1 },
  };
}

/** A partition with a little free capacity on each machine and pending large jobs that fit nowhere: the most expensive case. */
function fragmentedPartition(machines: number, tasksPerMachine: number): PartitionSnapshot {
  const cpus = (MACHINE_CPUS - 2) / tasksPerMachine;
  const spec = jobSnapshot('small', 3, cpus);
  const fleet: MachineSnapshot[] = [];
  const tasks = new Map<string, TaskSnapshot[]>();
  for (let i = 0; i < machines; i++) {
    const id = `m${i}`;
    const machineTasks: TaskSnapshot[] = [];
    for (let k = 0; k < tasksPerMachine; k++)
      machineTasks.push({
        ...{
          job: 'small',
          index: i * tasksPerMachine + k,
          spec,
          phase: 'running',
          elapsedS: 60,
          pinned: null,
        },
      });
    tasks.set(id, machineTasks);
    fleet.push({
      id,
      capacity: { cpus: MACHINE_CPUS, accelerators: 0, memoryGb: 256 },
      free: { cpus: 2, accelerators: 0, memoryGb: 100 },
      accepting: true,
      activeFetchCount: 0,
      fetchGbPerS: 1,
      hasImage: () => i % 2 === 0,
    });
  }
  const pendingJobs: PendingTasks[] = Array.from({ length: PENDING_JOB_COUNT }, (_, i) => ({
    ...{
      spec: jobSnapshot(`large-${i}`, 1, MACHINE_CPUS),
      taskCount: 50,
      pendingS: 30,
      withinGuarantee: false,
    },
  }));
  return {
    epoch: 1,
    pendingTasks: () => pendingJobs,
    machines: () => fleet,
    tasksOn: (id) => tasks.get(id) ?? [],
    jobAllowsMachine: () => true,
    teamUsage: () => ({ usedCpus: 0, guaranteedCpus: 0 }),
  };
}

function median(values: number[]): number {
  return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? 0;
}

function elapsedMs(action: () => void): number {
  const startedAt = performance.now();
  action();
  return performance.now() - startedAt;
}

/** Measures planning rounds whose moves are all rejected, so that every round is the same. */
export function measurePlanningCosts(): PlanningCost[] {
  const costs: PlanningCost[] = [];
  for (const machines of MACHINE_COUNTS) {
    for (const tasksPerMachine of TASKS_PER_MACHINE_COUNTS) {
      const balancer = new PartitionBalancer({
        ...{ partition: 'p0', priorityCount: 4, settings: balancerSettingsSchema.parse({}) },
        ...{ snapshot: fragmentedPartition(machines, tasksPerMachine), executor: REJECTING_EXECUTOR },
        timeouts: { heartbeatIntervalMs: HEARTBEAT_INTERVAL_MS, leaseMs: LEASE_MS },
      });
      const rounds = Array.from({ length: ROUND_COUNT }, (_, i) => i);
      costs.push({
        machines,
        tasks: machines * tasksPerMachine,
        planMs: median(rounds.map((i) => elapsedMs(() => balancer.plan(i * HEARTBEAT_INTERVAL_MS)))),
        summaryMs: median(rounds.map((i) => elapsedMs(() => balancer.summary(i * HEARTBEAT_INTERVAL_MS)))),
      });
    }
  }
  return costs;
}
