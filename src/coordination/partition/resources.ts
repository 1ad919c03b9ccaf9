import { type ResourceQuota } from '../../protocol/settings';

/** What a task takes of a machine, or what a machine has. */
export interface Resources {
  cpus: number;
  accelerators: number;
  memoryGb: number;
}

/** A task is taken to need at least this much where CPUs are divided by it. */
export const MIN_TASK_CPUS = 0.01;
/** Allows for rounding when fractions of a CPU are added and subtracted. */
const EPSILON = 1e-9;

function countOf(free: number, need: number): number {
  return need > 0 ? Math.floor(free / need + EPSILON) : Number.POSITIVE_INFINITY;
}

/** How many tasks that need this much fit into what is free; infinity if they need nothing. */
export function countFitting(free: Resources, need: Resources): number {
  const count = Math.min(countOf(free.memoryGb, need.memoryGb), countWithinQuota(free, need));
  return Math.max(0, count);
}

/** How many tasks that need this much fit into what is left of a quota, which does not limit memory. */
export function countWithinQuota(left: ResourceQuota, need: ResourceQuota): number {
  const count = Math.min(countOf(left.cpus, need.cpus), countOf(left.accelerators, need.accelerators));
  return Math.max(0, count);
}

/** Takes what one task needs from what is free, in place. */
export function subtractResources(free: Resources, need: Resources): void {
  free.cpus -= need.cpus;
  free.accelerators -= need.accelerators;
  free.memoryGb -= need.memoryGb;
}
