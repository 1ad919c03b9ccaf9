import { type MachineType } from '../../protocol/cloud';
import { type MachineRecord } from '../../protocol/records';
import { MachineState } from './machine';
import { type Resources } from './resources';
import { type UnconfirmedMachines } from './unconfirmed-machines';

export interface MachineSetOptions {
  /** Identifier of the partition. */
  partition: string;
  /** Epoch of the partition's record. */
  epoch: number;
  /** Returns the machine types by name, as the cloud last listed them. */
  machineTypes: () => ReadonlyMap<string, MachineType>;
  /**
   * Machines on which tasks may have been started, as listed in the state store. The machine set takes ownership and changes it.
   */
  assignedMachines: Set<string>;
  unconfirmedMachines: UnconfirmedMachines;
}

/** A drained machine, and the partition to which it is transferred; `DRAIN_TO_CLOUD` if it is deprovisioned instead. */
export interface DrainedMachine {
  id: string;
  toPartition: string;
}

/**
 * The machines of a partition, and which of them are assigned in the state store, cordoned, or drained for a transfer. A task is
 * started only on a machine that the state store lists as assigned, so that a later owner knows which machines may have tasks.
 */
export class MachineSet {
  private readonly machines = new Map<string, MachineState>();

  constructor(private readonly options: MachineSetOptions) {}

  get byId(): ReadonlyMap<string, MachineState> {
    return this.machines;
  }

  isAssigned(id: string): boolean {
    return this.options.assignedMachines.has(id);
  }

  /** Adds a machine, or replaces the record of a known machine. `revision` is the revision of the record. */
  upsert(id: string, record: MachineRecord, revision: number, now: number): void {
    const known = this.machines.get(id);
    if (known) {
      known.record = record;
      known.revision = revision;
      // Never uncordoned here: a transfer may be in progress, and the new owner would not know of a task that is started now.
      known.cordoned ||= record.phase === 'deprovisioning';
      return;
    }
    const confirmed = this.hasNoEarlierTasks(id, revision);
    const machine = new MachineState({ id, record, revision, confirmed, now });
    machine.cordoned = record.phase === 'deprovisioning';
    this.machines.set(id, machine);
    if (!confirmed) this.options.unconfirmedMachines.set(id, this.capacityOf(machine));
  }

  /**
   * Whether no earlier owner can have left tasks on a machine. A machine that joined after this owner took over was empty at that
   * time (see `cordon`). A machine that no owner of this partition has assigned is empty as well; if it were not confirmed at
   * once, machines that boot during a failover would delay the failover by the length of a lease.
   */
  private hasNoEarlierTasks(id: string, revision: number): boolean {
    return revision > this.options.epoch || !this.isAssigned(id);
  }

  /** Removes and returns a machine; undefined if it is unknown. If it comes back, it must be assigned again. */
  remove(id: string): MachineState | undefined {
    const machine = this.machines.get(id);
    if (!machine) return undefined;
    this.machines.delete(id);
    this.options.assignedMachines.delete(id);
    return machine;
  }

  /**
   * Cordons a machine that is to be transferred or deprovisioned. Returns false, and does nothing, if the machine is unknown,
   * already cordoned or not confirmed, or if it has tasks or reservations.
   */
  cordon(id: string): boolean {
    const machine = this.machines.get(id);
    if (!machine || machine.cordoned || !machine.confirmed || machine.tasks.size > 0) return false;
    if (machine.hasReservations) return false;
    machine.cordoned = true;
    return true;
  }

  /** Uncordons a machine, unless its record says that it is being deprovisioned. */
  uncordon(id: string): void {
    const machine = this.machines.get(id);
    if (machine) machine.cordoned = machine.record.phase === 'deprovisioning';
  }

  /**
   * Marks a machine to be drained for its transfer to a partition, or unmarks it if that is this partition. Returns the machine
   * if it is to be drained; null if not, or if it is unknown or cordoned.
   */
  setTransferTarget(id: string, partition: string): MachineState | null {
    const machine = this.machines.get(id);
    if (!machine || machine.cordoned) return null;
    machine.transferTarget = partition === this.options.partition ? null : partition;
    return machine.transferTarget === null ? null : machine;
  }

  /** Machines that were to be drained, and now have no tasks or reservations. Cordoned machines are excluded. */
  drained(): DrainedMachine[] {
    const drained: DrainedMachine[] = [];
    for (const { id, transferTarget, tasks, hasReservations, cordoned } of this.machines.values()) {
      if (transferTarget === null || tasks.size > 0 || hasReservations || cordoned) continue;
      drained.push({ id, toPartition: transferTarget });
    }
    return drained;
  }

  /**
   * Machines that can be given tasks as soon as the state store lists them as assigned. To make room, a write of the stored list
   * drops machines that are not in the partition, so they are dropped here as well: a machine that left and came back would
   * otherwise be given tasks while it is not on the list, and the next owner would assume it to be empty.
   */
  unassigned(): string[] {
    const { assignedMachines } = this.options;
    for (const id of assignedMachines) if (!this.machines.has(id)) assignedMachines.delete(id);
    const unassigned: string[] = [];
    for (const { id, cordoned, lastHeartbeatAt } of this.machines.values())
      if (!assignedMachines.has(id) && !cordoned && lastHeartbeatAt !== null) unassigned.push(id);
    return unassigned;
  }

  /** Records that the state store now lists these machines as assigned. */
  markAssigned(ids: readonly string[]): void {
    for (const id of ids) if (this.machines.has(id)) this.options.assignedMachines.add(id);
  }

  /** Capacity of a machine; null if its type is unknown. */
  capacityOf(machine: MachineState): Resources | null {
    return this.options.machineTypes().get(machine.record.type) ?? null;
  }

  /** Free resources of a machine; null if its type, or the job of a task on it, is unknown. */
  freeOn(machine: MachineState): Resources | null {
    const capacity = this.capacityOf(machine);
    return capacity && machine.free(capacity);
  }

  /** Total number of CPUs of the machines of known type. */
  totalCpus(): number {
    let cpus = 0;
    for (const machine of this.machines.values()) cpus += this.capacityOf(machine)?.cpus ?? 0;
    return cpus;
  }
}
