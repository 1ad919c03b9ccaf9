import { fitsInto, placesIn, type Resources } from './resources';
import { type MachineView, type PartitionView, type TaskView } from './partition-view';
import { type RuntimeEstimator } from './runtime-estimator';

const MEDIAN = 0.5;

/** CPU-seconds of work, by priority. */
export type WorkByPriority = number[];

/** Outstanding work of one machine, team or partition. */
export interface Workload {
  /** What its running tasks still take. */
  running: WorkByPriority;
  /** What waits for it: for a machine what waits for images, for a team or partition also what waits for room. */
  queued: WorkByPriority;
}

/** Room for tasks of one shape. */
export interface ShapeRoom {
  /** Tasks that fit as the room lies. */
  places: number;
  /** Tasks that would fit if the same room lay together. */
  placesIfTogether: number;
}

/** How a partition stands. */
export interface PartitionLoadPicture {
  total: Workload;
  byTeam: Map<string, Workload>;
  byMachine: Map<string, Workload>;
  cpus: number;
  freeCpus: number;
}

function nothing(priorities: number): Workload {
  return { running: new Array<number>(priorities).fill(0), queued: new Array<number>(priorities).fill(0) };
}

function add(work: WorkByPriority, priority: number, cpuSeconds: number): void {
  work[priority] = (work[priority] ?? 0) + cpuSeconds;
}

/** Sums a series of work up. */
export function sumOf(work: WorkByPriority): number {
  return work.reduce((sum, cpuSeconds) => sum + cpuSeconds, 0);
}

/** Seconds that a machine's outstanding work takes on all its CPUs. */
export function outstandingS(load: Workload, cpus: number): number {
  return (sumOf(load.running) + sumOf(load.queued)) / Math.max(1, cpus);
}

/** Computes how a partition stands, to be told to operators and to be measured. */
export function loadPicture(
  view: PartitionView,
  estimator: RuntimeEstimator,
  priorities: number,
): PartitionLoadPicture {
  const picture: PartitionLoadPicture = {
    total: nothing(priorities),
    byTeam: new Map(),
    byMachine: new Map(),
    cpus: 0,
    freeCpus: 0,
  };
  const teamOf = (name: string): Workload => {
    const known = picture.byTeam.get(name) ?? nothing(priorities);
    picture.byTeam.set(name, known);
    return known;
  };
  for (const machine of view.machines()) {
    picture.cpus += machine.capacity.cpus;
    picture.freeCpus += machine.accepting ? Math.max(0, machine.free.cpus) : 0;
    const ofMachine = nothing(priorities);
    picture.byMachine.set(machine.id, ofMachine);
    for (const task of view.tasksOn(machine.id)) {
      const kind = task.phase === 'running' ? 'running' : 'queued';
      const work = workLeft(task, estimator);
      for (const load of [ofMachine, teamOf(task.of.team), picture.total])
        add(load[kind], task.of.priority, work);
    }
  }
  for (const { of, tasks } of view.waiting()) {
    const work = tasks * of.needs.cpus * estimator.total(of).meanS;
    add(teamOf(of.team).queued, of.priority, work);
    add(picture.total.queued, of.priority, work);
  }
  return picture;
}

function workLeft({ of, phase, elapsedS }: TaskView, estimator: RuntimeEstimator): number {
  return of.needs.cpus * estimator.remainingS(of, phase === 'running' ? elapsedS : 0, MEDIAN);
}

/** How much room there is for tasks of a shape, and how much of it is lost to fragmentation. */
export function roomFor(shape: Resources, machines: Iterable<MachineView>): ShapeRoom {
  let places = 0;
  const together: Resources = { cpus: 0, accelerators: 0, memoryGb: 0 };
  for (const { accepting, capacity, free } of machines) {
    if (!accepting || !fitsInto(capacity, shape)) continue;
    places += placesIn(free, shape);
    together.cpus += Math.max(0, free.cpus);
    together.accelerators += Math.max(0, free.accelerators);
    together.memoryGb += Math.max(0, free.memoryGb);
  }
  return { places, placesIfTogether: placesIn(together, shape) };
}

/** Half of what is known of a trend is this old at most. */
const TREND_HALF_LIFE_MS = 20_000;

/** The slope of a quantity over time: new observations outweigh old ones. */
export class Trend {
  private value: number | null = null;
  private at = 0;
  /** Change a second. */
  perS = 0;

  observe(value: number, now: number): void {
    const passedMs = now - this.at;
    if (this.value !== null && passedMs > 0) {
      const keep = 0.5 ** (passedMs / TREND_HALF_LIFE_MS);
      const slope = ((value - this.value) / passedMs) * 1000;
      this.perS = keep * this.perS + (1 - keep) * slope;
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
