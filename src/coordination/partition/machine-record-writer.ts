import { type Log } from '../../transport/log';
import { planFleetEdit, type FleetEdit } from '../../storage/fleet-edit';
import { RejectedMachines } from '../../storage/rejected-machines';
import { RequestPriority } from '../../storage/request-queue';
import { type TransactionLimits } from '../../storage/transaction-size';
import { type MachineRecord } from '../../protocol/records';
import { type PartitionCore } from './partition-core';
import { type PartitionStore } from './partition-store';

const CATCH_UP_TIMEOUT_MS = 2000;

export interface MachineRecordWriterOptions {
  core: PartitionCore;
  store: PartitionStore;
  limits: TransactionLimits;
  log: Log;
  /** Whether the partition is handed over or being handed over, so that nothing is written any more. */
  isReleased: () => boolean;
  /** Called once it is known whether the change of these machines' records was applied, or once the partition is released. */
  onDecided: (machines: string[]) => void;
}

/** Changes the records of machines that are transferred to another partition or deprovisioned, in batches. */
export class MachineRecordWriter {
  private readonly pending = new Map<string, MachineRecord>();
  private writing = false;
  private writeCount = 0;
  private readonly rejected: RejectedMachines;

  constructor(private readonly options: MachineRecordWriterOptions) {
    this.rejected = new RejectedMachines(options.log);
  }

  /**
   * Cordons a machine and queues a change of its record. Ignored if the machine cannot be cordoned (see `MachineSet.cordon`), or if
   * the state store rejects changes of its record. With `force`, neither tasks, reservations nor a missing confirmation prevent it.
   */
  queueChange(id: string, change: Partial<MachineRecord>, force = false): void {
    const { core } = this.options;
    const machine = core.machines.get(id);
    if (!machine || machine.record.phase === 'deprovisioning' || this.pending.has(id)) return;
    if (this.rejected.isExcluded(id)) return;
    if (!core.cordon(id)) {
      if (!force || machine.cordoned) return;
      machine.cordoned = true;
    }
    this.pending.set(id, { ...machine.record, ...change });
  }

  /** Starts to write the queued changes, unless a write is in progress. */
  writePending(): void {
    if (this.pending.size > 0) void this.write();
  }

  private async write(): Promise<void> {
    if (this.writing) return;
    this.writing = true;
    const edit = this.planNextEdit();
    for (const id of [...edit.ids, ...edit.unwritable]) this.pending.delete(id);
    if (edit.unwritable.length > 0) {
      this.rejected.logUnwritable(edit.unwritable);
      this.options.onDecided(edit.unwritable);
    }
    if (edit.ids.length > 0) {
      await this.writeUntilDecided(edit);
      this.options.onDecided(edit.ids);
    }
    this.writing = false;
  }

  private planNextEdit(): FleetEdit {
    const { store, limits } = this.options;
    const { partition, epoch, replica } = store;
    const name = `${partition}-${epoch}-${++this.writeCount}`;
    const changes = this.rejected.changesToTry(this.pending);
    const edit = planFleetEdit(replica, partition, changes, name, limits);
    if (edit.ids.length === 0) this.dropMachinesThatLeft();
    return edit;
  }

  private dropMachinesThatLeft(): void {
    const { partition, replica } = this.options.store;
    for (const id of this.pending.keys())
      if (replica.machines.get(id)?.record.partition !== partition) this.pending.delete(id);
  }

  /**
   * Repeats a write until it is applied, or can no longer be applied because the values have changed or the store rejects it: an
   * attempt whose response was lost may still be applied. Resolves once the replica shows the outcome; until then the machines
   * stay cordoned. Resolves without an outcome once the partition is released.
   */
  private async writeUntilDecided({ ids, conditions, writes }: FleetEdit): Promise<void> {
    const { store, isReleased } = this.options;
    const { stateStore } = store;
    let outcomeUnknown = false;
    while (!isReleased()) {
      // If the session lease has expired, an attempt in transit may still be applied, so no machine is uncordoned.
      if (!store.isActive) {
        await store.waitToRetry();
        continue;
      }
      const result = await store.transact(conditions, writes, RequestPriority.Decision);
      if (result.kind === 'rejected') return this.rejected.recordRejection(ids);
      if (result.kind === 'refused' && !outcomeUnknown) return;
      if (result.kind === 'applied') this.rejected.recordAccepted(ids);
      if (result.kind === 'applied' && (await stateStore.whenCaughtUp(result.revision, CATCH_UP_TIMEOUT_MS)))
        return;
      if (result.kind === 'conflict' && (await stateStore.ensureFresh())) return;
      outcomeUnknown ||= result.kind !== 'refused';
      await store.waitToRetry();
    }
  }
}
