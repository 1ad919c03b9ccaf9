import { type PartitionJob } from './job';
import { type MachineState } from './machine';
import { type PartitionState } from './partition-state';
import { allowsMachine } from './placement';
import { countFitting } from './resources';

/**
 * Keeps one machine from counting as idle for the jobs that are retried after pauses. They demand no machines during a pause, so the last
 * machine that could run them would be returned to the cloud, which may have no other. Jobs with the same requirements share it.
 */
export function keepMachinesForRetries(partition: PartitionState, now: number): void {
  const served = new Set<string>();
  for (const job of partition.jobsInSchedulingOrder()) {
    const { requirementsKey, failsEverywhere, pendingCount, state } = job;
    if (!failsEverywhere || pendingCount === 0 || state !== 'open' || served.has(requirementsKey)) continue;
    served.add(requirementsKey);
    const machine = machineWithRoom(partition, job, now);
    if (machine) machine.idleSince = now;
  }
}

function machineWithRoom(
  partition: PartitionState,
  { spec }: PartitionJob,
  now: number,
): MachineState | undefined {
  for (const machine of partition.machines.values()) {
    const free = partition.freeOn(machine);
    if (!free || countFitting(free, spec) === 0 || !allowsMachine(spec, machine.record)) continue;
    if (!partition.isUnschedulable(machine, now)) return machine;
  }
  return undefined;
}
