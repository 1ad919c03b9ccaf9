import { fits, countFitting, type Resources } from './resources';
import { type MachineSnapshot, type PartitionSnapshot, type TaskSnapshot } from './partition-snapshot';
import { type RuntimeEstimator } from './runtime-estimator';

const MEDIAN_PROBABILITY = 0.5;

/** CPU seconds of work, by priority. */
export type WorkByPriority = number[];

/** Outstanding work of one machine, team or partition. */
export interface OutstandingWork {
  /** What its running tasks still take. */
  running: WorkByPriority;
  /** Of a machine: tasks that wait for images. Of a team or partition: also pending tasks. */
  queued: WorkByPriority;
}

/** How many tasks of one shape fit on the machines of a partition. */
export interface ShapeCapacity {
  /** Tasks that fit on the machines as they are. */
  taskCount: number;
  /** Tasks that would fit if all free resources were on one machine. */
  defragmentedTaskCount: number;
}

/** The outstanding work of a partition, and its CPUs. */
export interface PartitionWorkload {
  total: OutstandingWork;
  byTeam: Map<string, OutstandingWork>;
  byMachine: Map<string, OutstandingWork>;
  cpus: number;
  freeCpus: number;
}

function noWork(priorityCount: number): OutstandingWork {
  return {
    running: new Array<number>(priorityCount).fill(0),
    queued: new Array<number>(priorityCount).fill(0),
  };
}

function addWork(work: WorkByPriority, priority: number, cpuSeconds: number): void {
  work[priority] = (work[priority] ?? 0) + cpuSeconds;
}

/** CPU seconds of all priorities. */
export function totalWork(work: WorkByPriority): number {
  return work.reduce((sum, cpuSeconds) => sum + cpuSeconds, 0);
}

/** Seconds that a machine's outstanding work takes on all its CPUs. */
export function outstandingS({ running, queued }: OutstandingWork, cpus: number): number {
  return (totalWork(running) + totalWork(queued)) / Math.max(1, cpus);
}

/** Computes the outstanding work of a partition, by team and machine. */
export function partitionWorkload(
  partition: PartitionSnapshot,
  estimator: RuntimeEstimator,
  priorityCount: number,
): PartitionWorkload {
  const workload: PartitionWorkload = {
    total: noWork(priorityCount),
    byTeam: new Map(),
    byMachine: new Map(),
    cpus: 0,
    freeCpus: 0,
  };
  const workOfTeam = (team: string): OutstandingWork => {
    const work = workload.byTeam.get(team) ?? noWork(priorityCount);
    workload.byTeam.set(team, work);
    return work;
  };
  for (const { id, capacity, accepting, free } of partition.machines()) {
    workload.cpus += capacity.cpus;
    workload.freeCpus += accepting ? Math.max(0, free.cpus) : 0;
    const ofMachine = noWork(priorityCount);
    workload.byMachine.set(id, ofMachine);
    for (const task of partition.tasksOn(id)) {
      const { spec, phase } = task;
      const kind = phase === 'running' ? 'running' : 'queued';
      const cpuSeconds = remainingCpuSeconds(task, estimator);
      for (const work of [ofMachine, workOfTeam(spec.team), workload.total])
        addWork(work[kind], spec.priority, cpuSeconds);
    }
  }
  for (const { spec, taskCount } of partition.pendingTasks()) {
    const cpuSeconds = taskCount * spec.resources.cpus * estimator.estimateRuntime(spec).meanS;
    addWork(workOfTeam(spec.team).queued, spec.priority, cpuSeconds);
    addWork(workload.total.queued, spec.priority, cpuSeconds);
  }
  return workload;
}

function remainingCpuSeconds(task: TaskSnapshot, estimator: RuntimeEstimator): number {
  const { spec, phase, elapsedS } = task;
  const runS = phase === 'running' ? elapsedS : 0;
  return spec.resources.cpus * estimator.remainingS(spec, runS, MEDIAN_PROBABILITY);
}

/** How many tasks of a shape fit, and how many more would without fragmentation. */
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
