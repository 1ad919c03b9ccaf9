import { planAssignedMachinesEdit } from '../../storage/assigned-machines';
import { RequestPriority } from '../../storage/request-queue';
import { type PartitionCore } from './partition-core';
import { type PartitionStore } from './partition-store';

const WRITE_TIMEOUT_MS = 2000;

export interface AssignedMachineWriterOptions {
  core: PartitionCore;
  store: PartitionStore;
  /** Size in bytes of the largest value that the state store accepts. */
  valueBytes: number;
  /** Minimum interval between two writes. */
  minIntervalMs: number;
  /** Called once the state store lists these machines as assigned. */
  onAssigned: (machines: string[]) => void;
}

/**
 * Lists machines as assigned in the state store before the first task is started on them, so that a later owner knows on which
 * machines an earlier one may have left tasks.
 */
export class AssignedMachineWriter {
  private writing = false;
  private lastWriteAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: AssignedMachineWriterOptions) {}

  /** Adds unlisted machines to the stored list, at most once per minimum interval. */
  async writeIfDue(now: number): Promise<void> {
    const { core, store, valueBytes, minIntervalMs, onAssigned } = this.options;
    if (this.writing || now - this.lastWriteAt < minIntervalMs) return;
    const machines = core.unassignedMachines();
    if (machines.length === 0) return;
    this.writing = true;
    this.lastWriteAt = now;
    const exists = (id: string): boolean => core.machines.has(id);
    const edit = planAssignedMachinesEdit(store.replica, {
      partition: store.partition,
      machines,
      exists,
      valueBytes,
    });
    const result = await store.transact(
      [edit.condition],
      [edit.write],
      RequestPriority.Decision,
      WRITE_TIMEOUT_MS,
    );
    if (result.kind === 'applied') {
      onAssigned(edit.ids);
      await store.stateStore.whenCaughtUp(result.revision, WRITE_TIMEOUT_MS);
    }
    this.writing = false;
  }
}
