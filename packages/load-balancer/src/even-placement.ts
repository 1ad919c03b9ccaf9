import { type MachineSnapshot } from './partition-view';

/** How full a machine is, and how large. */
export interface MachineFill {
  cpus: number;
  used: number;
}

/** Steps in which the level is searched; more than any difference that a task makes. */
const LEVEL_SEARCH_STEP_COUNT = 24;

/**
 * The share of their CPUs up to which all machines would be filled if what waits were spread evenly: like water poured into
 * vessels that are filled differently. 1 if there is less room than what waits.
 */
export function evenLevel(machines: readonly MachineFill[], pendingCpus: number): number {
  let low = 0;
  let high = 1;
  for (let step = 0; step < LEVEL_SEARCH_STEP_COUNT; step++) {
    const level = (low + high) / 2;
    let freeCpus = 0;
    for (const { cpus, used } of machines) freeCpus += Math.max(0, level * cpus - used);
    if (freeCpus < pendingCpus) low = level;
    else high = level;
  }
  return high;
}

/**
 * CPUs that new tasks of a job may take on a machine while all are filled evenly. A machine that holds the image may go
 * beyond the level by what the fetch would cost elsewhere, as a share of the task's run time: locality against evenness.
 */
export function evenAllowance(
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
