import { type MachineView } from './partition-view';

/** How full a machine is, and how large. */
export interface MachineFill {
  cpus: number;
  used: number;
}

/** Steps in which the level is searched; more than any difference that a task makes. */
const SEARCH_STEPS = 24;

/**
 * The share of their CPUs up to which all machines would be filled if what waits were spread evenly: like water poured into
 * vessels that are filled differently. 1 if there is less room than what waits.
 */
export function evenLevel(machines: readonly MachineFill[], waitingCpus: number): number {
  let low = 0;
  let high = 1;
  for (let step = 0; step < SEARCH_STEPS; step++) {
    const level = (low + high) / 2;
    let room = 0;
    for (const { cpus, used } of machines) room += Math.max(0, level * cpus - used);
    if (room < waitingCpus) low = level;
    else high = level;
  }
  return high;
}

/**
 * CPUs that new tasks of a job may take on a machine while all are filled evenly. A machine that holds the image may go
 * beyond the level by what the fetch would cost elsewhere, as a share of the task's run time: locality against evenness.
 */
export function evenAllowance(
  machine: Pick<MachineView, 'capacity' | 'free'>,
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
