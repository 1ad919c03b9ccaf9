import { fits, countFitting, type Resources } from './resources';
import { type MachineSnapshot, type PartitionSnapshot, type TaskSnapshot } from './partition-snapshot';
import { type RuntimeEstimator } from './runtime-estimator';

const MEDIAN_PROBABILITY = 0.5;

/** CPU seconds of work, indexed by priority. */
export type WorkByPriority = number[];

/** The outstanding work of one machine, team or partition. */
export interface OutstandingWork {
  /** Remaining work of running tasks. */
  running: WorkByPriority;
  /** Work of tasks that wait for their image. For a team or partition, also the work of pending tasks. */
  queued: WorkByPriority;
}

/** How many tasks with the same resource request (shape) fit on the machines of a partition. */
export interface ShapeCapacity {
  /** Number of tasks that fit on the machines as they are. */
  taskCount: number;
  /** Number of tasks that would fit if all free resources were on one machine. */
  defragmentedTaskCount: number;
}

/** The outstanding work of a partition and its number of CPUs. */
export interface PartitionWorkload {
  total: OutstandingWork;
  byTeam: Map<string, OutstandingWork>;
  byMachine: Map<string, OutstandingWork>;
  cpus: number;
  freeCpus: number;
}

function emptyWork(priorityCount: number): OutstandingWork {
  return {
    running: new Array<number>(priorityCount).fill(0),
    queued: new Array<number>(priorityCount).fill(0),
  };
}

function addWork(work: WorkByPriority, priority: number, cpuSeconds: number): void {
  work[priority] = (work[priority] ?? 0) + cpuSeconds;
}

/** CPU seconds summed over all priorities. */
export function totalWork(work: WorkByPriority): number {
  return work.reduce((sum, cpuSeconds) => sum + cpuSeconds, 0);
}

/** Seconds that a machine with `cpus` CPUs takes to complete its outstanding work on all of them. */
export function outstandingS({ running, queued }: OutstandingWork, cpus: number): number {
  return (totalWork(running) + totalWork(queued)) / Math.max(1, cpus);
}

/** Computes the outstanding work of a partition: in total, by team and by machine. */
export function partitionWorkload(
  partition: PartitionSnapshot,
  estimator: RuntimeEstimator,
  priorityCount: number,
): PartitionWorkload {
  const workload: PartitionWorkload = {
    total: emptyWork(priorityCount),
    byTeam: new Map(),
    byMachine: new Map(),
    cpus: 0,
    freeCpus: 0,
  };
  const teamWork = (team: string): OutstandingWork => {
    const work = workload.byTeam.get(team) ?? emptyWork(priorityCount);
    workload.byTeam.set(team, work);
    return work;
  };
  for (const { id, capacity, accepting, free } of partition.machines()) {
    workload.cpus += capacity.cpus;
    workload.freeCpus += accepting ? Math.max(0, free.cpus) : 0;
    const machineWork = emptyWork(priorityCount);
    workload.byMachine.set(id, machineWork);
    for (const task of partition.tasksOn(id)) {
      const { spec, phase } = task;
      const workKind = phase === 'running' ? 'running' : 'queued';
      const cpuSeconds = remainingCpuSeconds(task, estimator);
      for (const work of [machineWork, teamWork(spec.team), workload.total])
        addWork(work[workKind], spec.priority, cpuSeconds);
    }
  }
  for (const { spec, taskCount } of partition.pendingTasks()) {
    const cpuSeconds = taskCount * spec.resources.cpus * estimator.estimateRuntime(spec).meanS;
    addWork(teamWork(spec.team).queued, spec.priority, cpuSeconds);
    addWork(workload.total.queued, spec.priority, cpuSeconds);
  }
  return workload;
}

function remainingCpuSeconds(task: TaskSnapshot, estimator: RuntimeEstimator): number {
  const { spec, phase, elapsedS } = task;
  const elapsedRunS = phase === 'running' ? elapsedS : 0;
  return spec.resources.cpus * estimator.remainingS(spec, elapsedRunS, MEDIAN_PROBABILITY);
}

/** Counts how many tasks of a shape fit on the accepting machines, with and without fragmentation. */
export function capacityFor(shape: Resources, machines: Iterable<MachineSnapshot>): ShapeCapacity {
  let taskCount = 0;
  const combined: Resources = { cpus: 0, accelerators: 0, memoryGb: 0 };
  for (const { accepting, capacity, free } of machines) {
    if (!accepting || !fits(capacity, shape)) continue;
    taskCount += countFitting(free, shape);
    combined.cpus += Math.max(0, free.cpus);
    combined.accelerators += Math.max(0, free.accelerators);
    combined.memoryGb += Math.max(0, free.memoryGb);
  }
  return { taskCount, defragmentedTaskCount: countFitting(combined, shape) };
}
