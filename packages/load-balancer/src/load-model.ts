import { fits, countFitting, type Resources } from './resources';
import { type MachineSnapshot, type PartitionSnapshot, type TaskSnapshot } from './partition-view';
import { type RuntimeEstimator } from './runtime-estimator';

const MEDIAN_PROBABILITY = 0.5;

/** CPU-seconds of work, by priority. */
export type WorkByPriority = number[];

/** Outstanding work of one machine, team or partition. */
export interface OutstandingWork {
  /** What its running tasks still take. */
  running: WorkByPriority;
  /** What waits for it: for a machine what waits for images, for a team or partition also what waits for room. */
  queued: WorkByPriority;
}

/** Room for tasks of one shape. */
export interface ShapeCapacity {
  /** Tasks that fit as the room lies. */
  taskCount: number;
  /** Tasks that would fit if the same room lay together. */
  defragmentedTaskCount: number;
}

/** How a partition stands. */
export interface PartitionWorkload {
  total: OutstandingWork;
  byTeam: Map<string, OutstandingWork>;
  byMachine: Map<string, OutstandingWork>;
  cpus: number;
  freeCpus: number;
}

function noWork(priorities: number): OutstandingWork {
  return { running: new Array<number>(priorities).fill(0), queued: new Array<number>(priorities).fill(0) };
}

function addWork(work: WorkByPriority, priority: number, cpuSeconds: number): void {
  work[priority] = (work[priority] ?? 0) + cpuSeconds;
}

/** Sums a series of work up. */
export function totalWork(work: WorkByPriority): number {
  return work.reduce((sum, cpuSeconds) => sum + cpuSeconds, 0);
}

/** Seconds that a machine's outstanding work takes on all its CPUs. */
export function outstandingS(load: OutstandingWork, cpus: number): number {
  return (totalWork(load.running) + totalWork(load.queued)) / Math.max(1, cpus);
}

/** Computes how a partition stands, to be told to operators and to be measured. */
export function partitionWorkload(
  partition: PartitionSnapshot,
  estimator: RuntimeEstimator,
  priorities: number,
): PartitionWorkload {
  const workload: PartitionWorkload = {
    total: noWork(priorities),
    byTeam: new Map(),
    byMachine: new Map(),
    cpus: 0,
    freeCpus: 0,
  };
  const teamOf = (name: string): OutstandingWork => {
    const known = workload.byTeam.get(name) ?? noWork(priorities);
    workload.byTeam.set(name, known);
    return known;
  };
  for (const machine of partition.machines()) {
    workload.cpus += machine.capacity.cpus;
    workload.freeCpus += machine.accepting ? Math.max(0, machine.free.cpus) : 0;
    const ofMachine = noWork(priorities);
    workload.byMachine.set(machine.id, ofMachine);
    for (const task of partition.tasksOn(machine.id)) {
      const kind = task.phase === 'running' ? 'running' : 'queued';
      const work = remainingWork(task, estimator);
      for (const load of [ofMachine, teamOf(task.spec.team), workload.total])
        addWork(load[kind], task.spec.priority, work);
    }
  }
  for (const { spec, tasks } of partition.pendingTasks()) {
    const work = tasks * spec.resources.cpus * estimator.total(spec).meanS;
    addWork(teamOf(spec.team).queued, spec.priority, work);
    addWork(workload.total.queued, spec.priority, work);
  }
  return workload;
}

function remainingWork({ spec, phase, elapsedS }: TaskSnapshot, estimator: RuntimeEstimator): number {
  return (
    spec.resources.cpus * estimator.remainingS(spec, phase === 'running' ? elapsedS : 0, MEDIAN_PROBABILITY)
  );
}

/** How much room there is for tasks of a shape, and how much of it is lost to fragmentation. */
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

/** Half of what is known of a trend is this old at most. */
const TREND_HALF_LIFE_MS = 20_000;

/** The slope of a quantity over time: new observations outweigh old ones. */
export class Trend {
  private value: number | null = null;
  private at = 0;
  /** Change a second. */
  changePerS = 0;

  observe(value: number, now: number): void {
    const passedMs = now - this.at;
    if (this.value !== null && passedMs > 0) {
      const keep = 0.5 ** (passedMs / TREND_HALF_LIFE_MS);
      const slope = ((value - this.value) / passedMs) * 1000;
      this.changePerS = keep * this.changePerS + (1 - keep) * slope;
    }
    this.value = value;
    this.at = now;
  }
}

/** Standard deviation over mean: 0 where all are alike. */
export function coefficientOfVariation(values: readonly number[]): number {
  if (values.length === 0) return 0;
  const mean = values.reduce((sum, value) => sum + value, 0) / values.length;
  if (mean === 0) return 0;
  const variance = values.reduce((sum, value) => sum + (value - mean) ** 2, 0) / values.length;
  return Math.sqrt(variance) / mean;
}
