import { type MachineSnapshot } from './partition-snapshot';

/** A machine's CPUs, and how many of them are in use. */
export interface MachineCpuUsage {
  cpus: number;
  usedCpus: number;
}

/** Steps of the binary search; finer than any difference that a task makes. */
const LEVEL_SEARCH_STEP_COUNT = 24;

/**
 * The share of their CPUs up to which all machines would be filled if pending tasks were spread evenly: machines that are
 * fuller already get none. 1 if fewer CPUs are free than are pending.
 */
export function evenUtilization(machines: readonly MachineCpuUsage[], pendingCpus: number): number {
  let low = 0;
  let high = 1;
  for (let step = 0; step < LEVEL_SEARCH_STEP_COUNT; step++) {
    const level = (low + high) / 2;
    let freeCpus = 0;
    for (const { cpus, usedCpus } of machines) freeCpus += Math.max(0, level * cpus - usedCpus);
    if (freeCpus < pendingCpus) low = level;
    else high = level;
  }
  return high;
}

/**
 * CPUs that new tasks of a job may take on a machine while all are filled evenly. A machine that has the image may go beyond
 * the level by the fetch that it saves, as a share of the task's run time: locality against evenness.
 */
export function evenCpuAllowance(
  machine: Pick<MachineSnapshot, 'capacity' | 'free'>,
  level: number,
  savedFetchS: number,
  expectedS: number,
  localityWeight: number,
): number {
  const { cpus } = machine.capacity;
  const bonus = (localityWeight * savedFetchS) / Math.max(1, expectedS);
  const used = cpus - machine.free.cpus;
  return Math.min(1, level + bonus) * cpus - used;
}
