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
  machineTypes: () => ReadonlyMap<string, MachineType>;
  /** Machines that tasks may have been started on, as the state store knows. The set takes ownership of it. */
  assignedMachines: Set<string>;
  unconfirmedMachines: UnconfirmedMachines;
}

/** A machine that was drained, and the partition that gets it. */
export interface DrainedMachine {
  id: string;
  toPartition: string;
}

/**
 * The machines of a partition: which of them are known, assigned in the state store, cordoned, or being drained for a transfer.
 * A task is started only on a machine that the state store lists as assigned, so a later owner knows where to look for tasks.
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

  /** Takes over a machine's record of the given revision; the machine may be known already. */
  upsert(id: string, record: MachineRecord, revision: number, now: number): void {
    const known = this.machines.get(id);
    if (known) {
      known.record = record;
      known.revision = revision;
      // Never uncordoned here: a transfer may be in progress, and the new owner would not know of a task started now.
      known.cordoned ||= record.phase === 'deprovisioning';
      return;
    }
    const confirmed = this.hasNoEarlierTasks(id, revision);
    const machine = new MachineState({ id, record, revision, confirmed, now });
    machine.cordoned = record.phase === 'deprovisioning';
    this.machines.set(id, machine);
    if (!confirmed) this.options.unconfirmedMachines.set(id, this.freeOn(machine));
  }

  /**
   * A machine that joined after this owner took over was empty when it came (see `cordon`). So is one that no owner of this
   * partition has assigned; were it not confirmed at once, machines that boot during a failover would delay it by a lease.
   */
  private hasNoEarlierTasks(id: string, revision: number): boolean {
    return revision > this.options.epoch || !this.isAssigned(id);
  }

  /** Removes a machine; undefined if it is not known. It is assigned anew should it come back. */
  remove(id: string): MachineState | undefined {
    const machine = this.machines.get(id);
    if (!machine) return undefined;
    this.machines.delete(id);
    this.options.assignedMachines.delete(id);
    return machine;
  }

  /** Cordons an empty machine, to be transferred or deprovisioned. False if it is not empty, or not confirmed to be. */
  cordon(id: string): boolean {
    const machine = this.machines.get(id);
    if (!machine || machine.cordoned || !machine.confirmed || machine.tasks.size > 0) return false;
    if (machine.hasReservations) return false;
    machine.cordoned = true;
    return true;
  }

  /** Lets tasks on a machine again, unless its record says that it is being deprovisioned. */
  uncordon(id: string): void {
    const machine = this.machines.get(id);
    if (machine) machine.cordoned = machine.record.phase === 'deprovisioning';
  }

  /**
   * Marks a machine to be drained for a transfer; naming this partition takes that back. Returns the machine if it is to be
   * drained, else null.
   */
  setTransferTarget(id: string, partition: string): MachineState | null {
    const machine = this.machines.get(id);
    if (!machine || machine.cordoned) return null;
    machine.transferTarget = partition === this.options.partition ? null : partition;
    return machine.transferTarget === null ? null : machine;
  }

  /** Machines that have been drained for a transfer. */
  drained(): DrainedMachine[] {
    const found: DrainedMachine[] = [];
    for (const { id, transferTarget, tasks, hasReservations, cordoned } of this.machines.values()) {
      if (transferTarget === null || tasks.size > 0 || hasReservations || cordoned) continue;
      found.push({ id, toPartition: transferTarget });
    }
    return found;
  }

  /**
   * Machines that could take tasks once the state store lists them as assigned. The store's list drops machines that are not here
   * to make room, so they are dropped here as well: one that left and came back would otherwise be given tasks while it is not
   * on the list, and the next owner would take it to be empty.
   */
  unassigned(): string[] {
    const { assignedMachines } = this.options;
    for (const id of assignedMachines) if (!this.machines.has(id)) assignedMachines.delete(id);
    const found: string[] = [];
    for (const { id, cordoned, lastHeartbeatAt } of this.machines.values())
      if (!assignedMachines.has(id) && !cordoned && lastHeartbeatAt !== null) found.push(id);
    return found;
  }

  /** The state store lists these machines as assigned now. */
  markAssigned(ids: readonly string[]): void {
    for (const id of ids) if (this.machines.has(id)) this.options.assignedMachines.add(id);
  }

  /** Capacity of a machine; null while its type is unknown. */
  capacityOf(machine: MachineState): Resources | null {
    return this.options.machineTypes().get(machine.record.type) ?? null;
  }

  /** Free resources of a machine; null while its type, or a task on it, is unknown. */
  freeOn(machine: MachineState): Resources | null {
    const capacity = this.capacityOf(machine);
    return capacity && machine.free(capacity);
  }

  /** CPUs of all machines of known type. */
  totalCpus(): number {
    let cpus = 0;
    for (const machine of this.machines.values()) cpus += this.capacityOf(machine)?.cpus ?? 0;
    return cpus;
  }
}
