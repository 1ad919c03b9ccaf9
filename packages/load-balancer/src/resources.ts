/** What a task takes of a machine, or what a machine has. */
export interface Resources {
  cpus: number;
  accelerators: number;
  memoryGb: number;
}

const EPSILON = 1e-9;

/** Whether `need` fits into `free`. */
export function fits(free: Resources, requested: Resources): boolean {
  return (
    requested.cpus <= free.cpus + EPSILON &&
    requested.accelerators <= free.accelerators + EPSILON &&
    requested.memoryGb <= free.memoryGb + EPSILON
  );
}

/** How many tasks of a shape fit into `free`. */
export function countFitting(free: Resources, requested: Resources): number {
  const ratios = [
    requested.cpus > 0 ? free.cpus / requested.cpus : Infinity,
    requested.accelerators > 0 ? free.accelerators / requested.accelerators : Infinity,
    requested.memoryGb > 0 ? free.memoryGb / requested.memoryGb : Infinity,
  ];
  return Math.max(0, Math.floor(Math.min(...ratios) + EPSILON));
}

/** `a + sign * b`. */
export function addResources(a: Resources, b: Resources, sign: 1 | -1): Resources {
  return {
    cpus: a.cpus + sign * b.cpus,
    accelerators: a.accelerators + sign * b.accelerators,
    memoryGb: a.memoryGb + sign * b.memoryGb,
  };
}
