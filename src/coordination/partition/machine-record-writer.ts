import { planFleetEdit, type FleetLimits } from '../../storage/fleet-edit';
import { RequestPriority } from '../../storage/request-queue';
import { type MachineRecord } from '../../protocol/records';
import { type Condition, type Write } from '../../protocol/store';
import { type PartitionCore } from './partition-core';
import { type PartitionStore } from './partition-store';

const CATCH_UP_TIMEOUT_MS = 2000;

export interface MachineRecordWriterOptions {
  core: PartitionCore;
  store: PartitionStore;
  limits: FleetLimits;
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

  constructor(private readonly options: MachineRecordWriterOptions) {}

  /**
   * Cordons a machine and queues a change of its record. Ignored if the machine cannot be cordoned (see `MachineSet.cordon`). With
   * `force`, neither tasks, reservations nor a missing confirmation prevent it.
   */
  queueChange(id: string, change: Partial<MachineRecord>, force = false): void {
    const { core } = this.options;
    const machine = core.machines.get(id);
    if (!machine || machine.record.phase === 'deprovisioning' || this.pending.has(id)) return;
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
    const { store, limits, onDecided } = this.options;
    const { partition, epoch, replica } = store;
    const name = `${partition}-${epoch}-${++this.writeCount}`;
    const edit = planFleetEdit(replica, partition, this.pending, name, limits);
    if (edit.ids.length === 0) this.pending.clear();
    for (const id of edit.ids) this.pending.delete(id);
    if (edit.ids.length > 0) {
      await this.writeUntilDecided(edit.conditions, edit.writes);
      onDecided(edit.ids);
    }
    this.writing = false;
  }

  /**
   * Repeats a write until it is applied, or can no longer be applied because the values have changed: an attempt whose response
   * was lost may still be applied. Resolves once the replica shows the outcome; until then the machines stay cordoned. Resolves
   * without an outcome once the partition is released.
   */
  private async writeUntilDecided(conditions: Condition[], writes: Write[]): Promise<void> {
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
      if (result.kind === 'refused' && !outcomeUnknown) return;
      if (result.kind === 'applied' && (await stateStore.whenCaughtUp(result.revision, CATCH_UP_TIMEOUT_MS)))
        return;
      if (result.kind === 'conflict' && (await stateStore.ensureFresh())) return;
      outcomeUnknown ||= result.kind !== 'refused';
      await store.waitToRetry();
    }
  }
}
