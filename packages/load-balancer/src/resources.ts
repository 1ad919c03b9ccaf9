/** Resources that a task uses on a machine, or that a machine has. */
export interface Resources {
  cpus: number;
  accelerators: number;
  memoryGb: number;
}

/** No resources at all. */
export const NO_RESOURCES: Readonly<Resources> = { cpus: 0, accelerators: 0, memoryGb: 0 };

/** Tolerance for rounding errors: sums of fractional CPUs are off by less than this. */
const EPSILON = 1e-9;

/** Whether `requested` fits into `free`. */
export function fits(free: Resources, requested: Resources): boolean {
  return (
    requested.cpus <= free.cpus + EPSILON &&
    requested.accelerators <= free.accelerators + EPSILON &&
    requested.memoryGb <= free.memoryGb + EPSILON
  );
}

/** Number of times that `requested` fits into `free`; Infinity if nothing is requested. */
export function countFitting(free: Resources, requested: Resources): number {
  const ratios = [
    requested.cpus > 0 ? free.cpus / requested.cpus : Infinity,
    requested.accelerators > 0 ? free.accelerators / requested.accelerators : Infinity,
    requested.memoryGb > 0 ? free.memoryGb / requested.memoryGb : Infinity,
  ];
  return Math.max(0, Math.floor(Math.min(...ratios) + EPSILON));
}

/** `a + sign * b`, as a new object. */
export function addResources(a: Resources, b: Resources, sign: 1 | -1): Resources {
  return {
    cpus: a.cpus + sign * b.cpus,
    accelerators: a.accelerators + sign * b.accelerators,
    memoryGb: a.memoryGb + sign * b.memoryGb,
  };
}
