import { type MachineSnapshot } from './partition-snapshot';

/** The CPUs of a machine, and how many of them are in use. */
export interface MachineCpuUsage {
  cpus: number;
  usedCpus: number;
}

/** Steps of the binary search. The result is more precise than any change of utilization that one task causes. */
const SEARCH_STEP_COUNT = 24;

/**
 * The CPU utilization (0 to 1) up to which all machines would be filled if pending tasks were spread evenly. Machines with a
 * higher utilization get no tasks. 1 if fewer CPUs are free than are pending.
 */
export function evenUtilization(machines: readonly MachineCpuUsage[], pendingCpus: number): number {
  let low = 0;
  let high = 1;
  for (let step = 0; step < SEARCH_STEP_COUNT; step++) {
    const utilization = (low + high) / 2;
    let freeCpus = 0;
    for (const { cpus, usedCpus } of machines) freeCpus += Math.max(0, utilization * cpus - usedCpus);
    if (freeCpus < pendingCpus) low = utilization;
    else high = utilization;
  }
  return high;
}

/**
 * CPUs that new tasks of a job may take on a machine when all machines are filled to the same utilization. A machine that has
 * the image may exceed that utilization by the fetch time saved, as a share of the task's run time and multiplied by
 * `localityWeight`. Negative if more CPUs are already in use.
 */
export function evenCpuAllowance(
  machine: Pick<MachineSnapshot, 'capacity' | 'free'>,
  utilization: number,
  savedFetchS: number,
  expectedS: number,
  localityWeight: number,
): number {
  const { cpus } = machine.capacity;
  const localityBonus = (localityWeight * savedFetchS) / Math.max(1, expectedS);
  const usedCpus = cpus - machine.free.cpus;
  return Math.min(1, utilization + localityBonus) * cpus - usedCpus;
}
