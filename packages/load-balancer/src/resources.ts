/** What a task takes of a machine, or what a machine has. */
export interface Resources {
  cpus: number;
  accelerators: number;
  memoryGb: number;
}

const EPSILON = 1e-9;

/** Whether `need` fits into `free`. */
export function fitsInto(free: Resources, need: Resources): boolean {
  return (
    need.cpus <= free.cpus + EPSILON &&
    need.accelerators <= free.accelerators + EPSILON &&
    need.memoryGb <= free.memoryGb + EPSILON
  );
}

/** How many tasks of a shape fit into `free`. */
export function placesIn(free: Resources, need: Resources): number {
  const ratios = [
    need.cpus > 0 ? free.cpus / need.cpus : Infinity,
    need.accelerators > 0 ? free.accelerators / need.accelerators : Infinity,
    need.memoryGb > 0 ? free.memoryGb / need.memoryGb : Infinity,
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
