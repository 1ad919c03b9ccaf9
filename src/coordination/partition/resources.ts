import { type ResourceQuota } from '../../protocol/settings';

/** Resources that a task uses, or that a machine has or has free. */
export interface Resources {
  cpus: number;
  accelerators: number;
  memoryGb: number;
}

/** Minimum CPUs assumed for a task where a number of CPUs is divided by those of the task, which may be 0. */
export const MIN_TASK_CPUS = 0.01;
/** Allows for rounding errors when fractions of a CPU are added and subtracted. */
const EPSILON = 1e-9;

function countOf(free: number, need: number): number {
  return need > 0 ? Math.floor(free / need + EPSILON) : Number.POSITIVE_INFINITY;
}

/** Number of tasks, each with the given needs, that fit into the free resources; infinity if they need nothing. */
export function countFitting(free: Resources, need: Resources): number {
  const count = Math.min(countOf(free.memoryGb, need.memoryGb), countWithinQuota(free, need));
  return Math.max(0, count);
}

/** Number of tasks, each with the given needs, that fit into the rest of a quota, which does not limit memory. */
export function countWithinQuota(left: ResourceQuota, need: ResourceQuota): number {
  const count = Math.min(countOf(left.cpus, need.cpus), countOf(left.accelerators, need.accelerators));
  return Math.max(0, count);
}

/** Subtracts the needs of as many tasks as fit, at most `maxCount`, from the free resources, in place. Returns their number. */
export function takeResources(free: Resources, need: Resources, maxCount: number): number {
  const count = Math.min(maxCount, countFitting(free, need));
  subtractResources(free, need, count);
  return count;
}

/** Subtracts the needs of `count` tasks from the free resources, in place. */
export function subtractResources(free: Resources, need: Resources, count = 1): void {
  free.cpus -= count * need.cpus;
  free.accelerators -= count * need.accelerators;
  free.memoryGb -= count * need.memoryGb;
}
