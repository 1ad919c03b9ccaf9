import { type Log } from '../../transport/log';
import { planFleetEdit, type FleetEdit } from '../../storage/fleet-edit';
import { RejectedMachines } from '../../storage/rejected-machines';
import { RequestPriority } from '../../storage/request-queue';
import { type TransactionResult } from '../../storage/state-store-client';
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
  /** Called once it is known whether the change of these machines' records was applied. Not called once the partition is lost. */
  onDecided: (machines: string[]) => void;
}

/** An edit that is being written. */
interface EditInProgress {
  edit: FleetEdit;
  /** Whether an attempt may have been applied, or may still be. */
  outcomeUnknown: boolean;
}

/** Changes the records of machines that are transferred to another partition or deprovisioned, in batches. */
export class MachineRecordWriter {
  private readonly pending = new Map<string, MachineRecord>();
  private writing = false;
  /** Kept while the partition is being handed over: if the handover fails, the edit is still to be decided. */
  private inProgress: EditInProgress | null = null;
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

  /** Starts to write the queued changes, or continues with the edit that a failed handover interrupted. */
  writePending(): void {
    if (this.pending.size > 0 || this.inProgress) void this.write();
  }

  private async write(): Promise<void> {
    if (this.writing) return;
    this.writing = true;
    this.inProgress ??= this.beginNextEdit();
    if (this.inProgress && (await this.writeUntilDecided(this.inProgress))) {
      this.options.onDecided(this.inProgress.edit.ids);
      this.inProgress = null;
    }
    this.writing = false;
  }

  /** Takes the next edit from the queued changes; null if none of them can be written now. */
  private beginNextEdit(): EditInProgress | null {
    const edit = this.planNextEdit();
    for (const id of [...edit.ids, ...edit.unwritable]) this.pending.delete(id);
    if (edit.unwritable.length > 0) {
      this.rejected.logUnwritable(edit.unwritable);
      this.options.onDecided(edit.unwritable);
    }
    return edit.ids.length > 0 ? { edit, outcomeUnknown: false } : null;
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
   * attempt whose response was lost may still be applied. Resolves to true once the replica shows the outcome; until then the
   * machines stay cordoned. Resolves to false, without an outcome, if the partition is released meanwhile.
   */
  private async writeUntilDecided(progress: EditInProgress): Promise<boolean> {
    const { store, isReleased } = this.options;
    const { ids, conditions, writes } = progress.edit;
    while (!isReleased()) {
      // If the session lease has expired, an attempt in transit may still be applied, so no machine is uncordoned.
      if (!store.isActive) {
        await store.waitToRetry();
        continue;
      }
      const result = await store.transact(conditions, writes, RequestPriority.Decision);
      if (result.kind === 'rejected') this.rejected.recordRejection(ids);
      if (result.kind === 'applied') this.rejected.recordAccepted(ids);
      if (await this.isDecided(result, progress.outcomeUnknown)) return true;
      progress.outcomeUnknown ||= result.kind !== 'refused';
      await store.waitToRetry();
    }
    return false;
  }

  /** Whether no attempt can be applied any more, and the replica shows what was. */
  private async isDecided(result: TransactionResult, outcomeUnknown: boolean): Promise<boolean> {
    const { stateStore } = this.options.store;
    switch (result.kind) {
      case 'applied':
        return stateStore.whenCaughtUp(result.revision, CATCH_UP_TIMEOUT_MS);
      case 'conflict':
        return stateStore.ensureFresh();
      case 'rejected':
        return true;
      case 'refused':
        return !outcomeUnknown;
      case 'unknown':
        return false;
    }
  }
}
