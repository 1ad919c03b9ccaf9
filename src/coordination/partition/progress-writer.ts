import { ProgressSlots, type ProgressValue } from '../../storage/progress-slots';
import { RequestPriority } from '../../storage/request-queue';
import { writesThatFit } from '../../storage/transaction-size';
import { encodeProgress, type JobProgress } from '../../protocol/records';
import { keys } from '../../protocol/keys';
import { type Write } from '../../protocol/store';
import { type PartitionStore } from './partition-store';
import { type ProgressToWrite } from './start-watermarks';

const WRITE_TIMEOUT_MS = 2000;

export interface ProgressWriterOptions {
  store: PartitionStore;
  /** Size in bytes of the largest value that the state store accepts. */
  valueBytes: number;
  /** Maximum number of operations in one transaction. */
  txnOps: number;
  /** Minimum interval between two writes if no task waits for a start watermark. */
  intervalMs: number;
  /** Minimum interval between two writes if tasks wait for start watermarks. */
  minIntervalMs: number;
  /** Returns the progress to be written now. */
  progress: (now: number) => ProgressToWrite;
  /** Called once the state store has the progress of these jobs. */
  onWritten: (jobs: ReadonlyMap<string, JobProgress>) => void;
}

/** Writes the progress of the open jobs to the state store. Only values that have changed are written. */
export class ProgressWriter {
  private readonly slots: ProgressSlots;
  private writing = false;
  private lastWriteAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: ProgressWriterOptions) {
    this.slots = new ProgressSlots(options.valueBytes);
  }

  /** Records that the stored progress of a job is in this slot. */
  assignSlot(ref: string, slot: number): void {
    this.slots.assign(ref, slot);
  }

  /** Releases the slot of a closed job for another job. */
  releaseSlot(ref: string): void {
    this.slots.release(ref);
  }

  /** Writes progress if that is due: at regular intervals, and sooner if tasks wait for start watermarks. */
  async writeIfDue(now: number): Promise<void> {
    const { store, txnOps, intervalMs, minIntervalMs, onWritten } = this.options;
    if (this.writing || now - this.lastWriteAt < minIntervalMs) return;
    const { jobs, watermarksRaised } = this.options.progress(now);
    if (!watermarksRaised && now - this.lastWriteAt < intervalMs) return;
    this.lastWriteAt = now;
    const changed = this.slots.changedValues(jobs);
    if (changed.length === 0) return;
    this.writing = true;
    const writes = writesThatFit(
      changed.map((value) => this.toWrite(value)),
      txnOps,
    );
    const values = changed.slice(0, writes.length);
    // An earlier attempt that is applied late must not restore lower start watermarks.
    const unchangedConditions = values.map(({ slot }) => {
      const key = keys.progress(store.partition, slot);
      return { key, revision: store.stateStore.revisionOf(key) };
    });
    const priority = watermarksRaised ? RequestPriority.Decision : RequestPriority.Progress;
    const result = await store.transact(unchangedConditions, writes, priority, WRITE_TIMEOUT_MS);
    if (result.kind === 'applied') await store.stateStore.whenCaughtUp(result.revision, WRITE_TIMEOUT_MS);
    this.writing = false;
    if (result.kind !== 'applied') return;
    for (const value of values) {
      this.slots.markWritten(value);
      onWritten(value.jobs);
    }
  }

  private toWrite({ slot, jobs }: ProgressValue): Write {
    return { put: keys.progress(this.options.store.partition, slot), value: encodeProgress(jobs) };
  }
}
