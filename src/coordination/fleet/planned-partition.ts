import { type MachineType } from '../../protocol/cloud';
import { type Demand, type PartitionLoad } from '../../protocol/peers';
import { takeResources, type Resources } from '../partition/resources';
import { canRun } from './demand-matching';

/** A machine that counts as capacity of a partition, with the resources that the plan leaves free on it. */
export interface MachineCapacity {
  /** Empty while the machine is being provisioned and has no name yet. */
  id: string;
  free: Resources;
  /** How many further tasks the plan may place on the machine, whose worker must be able to report them all. */
  freeTaskSlots: number;
  type: MachineType;
  zone: string;
  spot: boolean;
}

/** A demand, and how many of its tasks the plan has not found resources for yet. */
export interface PendingDemand {
  readonly demand: Demand;
  tasks: number;
  /** How many of the partition's machines were tried. They are not tried again, because their free resources only shrink. */
  scannedMachines: number;
}

/** A partition as it will be once the actions decided so far have been carried out. */
export interface PlannedPartition {
  readonly load: PartitionLoad;
  /** Most urgent first. */
  readonly pendingDemands: readonly PendingDemand[];
  readonly machines: MachineCapacity[];
  /** Remaining CPU seconds of running tasks, and those of pending tasks of the priorities planned for so far. */
  outstandingCpuSeconds: number;
  /** Whether some tasks do not fit on the machines that the partition had in use when planning began. */
  readonly hasUnmetDemand: boolean;
}

/** A partition at the beginning of planning, with its demands placed on the machines that it has in use. */
export function planPartition(load: PartitionLoad, machines: MachineCapacity[]): PlannedPartition {
  const demands = [...load.demands].sort((a, b) => a.priority - b.priority);
  const pendingDemands = demands.map((demand) => ({ demand, tasks: demand.tasks, scannedMachines: 0 }));
  for (const pending of pendingDemands) placeOnMachines(machines, pending);
  return {
    load,
    pendingDemands,
    machines,
    outstandingCpuSeconds: load.remainingWork.reduce((sum, work) => sum + work, 0),
    hasUnmetDemand: pendingDemands.some(({ tasks }) => tasks > 0),
  };
}

/** Places tasks of a demand on machines that were not tried for it before. */
export function placeOnMachines(machines: readonly MachineCapacity[], pending: PendingDemand): void {
  while (pending.scannedMachines < machines.length && pending.tasks > 0) {
    const machine = machines[pending.scannedMachines++] as MachineCapacity;
    if (!canRun(pending.demand, machine)) continue;
    placeOnMachine(machine, pending);
  }
}

/** Places as many tasks of a demand on a machine as it has room for. */
export function placeOnMachine(machine: MachineCapacity, pending: PendingDemand): void {
  const count = takeResources(machine.free, pending.demand, Math.min(pending.tasks, machine.freeTaskSlots));
  machine.freeTaskSlots -= count;
  pending.tasks -= count;
}

/** CPUs of the machines that a partition has in use or that the plan has added to it. */
export function totalCpus({ machines }: PlannedPartition): number {
  return machines.reduce((sum, { type }) => sum + type.cpus, 0);
}

/** Seconds that a partition would need with `cpus` to complete its work of this priority and all higher ones. */
export function completionSeconds({ load }: PlannedPartition, cpus: number, priority: number): number {
  let work = 0;
  for (let p = 0; p <= priority; p++) work += (load.remainingWork[p] ?? 0) + (load.backlog[p] ?? 0);
  return work / Math.max(1, cpus);
}

/** Demands with tasks that the plan has not found resources for yet. */
export function unmetDemands({ pendingDemands }: PlannedPartition): PendingDemand[] {
  return pendingDemands.filter(({ tasks }) => tasks > 0);
}
