import { type Clock } from '../transport/clock';
import { keys } from '../protocol/keys';
import { encodeAcceptedJob, type AcceptedJob } from '../protocol/records';
import { jsonBytes, MAX_TRANSACTION_BYTES } from '../protocol/store';
import { type ReplicaView } from './replica-view';
import { RequestPriority } from './request-queue';
import { type StateStoreClient } from './state-store-client';

/**
 * `accepted`: this call accepted the job. `known`: the job was accepted before. `failed`: it is unknown whether the job was
 * accepted; the user retries.
 */
export type SubmitResult = 'accepted' | 'known' | 'failed';

export interface SubmissionBatcherDependencies {
  stateStore: StateStoreClient;
  replica: ReplicaView;
  clock: Clock;
}

/** The state store's limits on values and transactions, and the identity of this process. */
export interface SubmissionBatcherOptions {
  valueBytes: number;
  txnOps: number;
  /**
   * Differs from that of any other process, including earlier ones of the same controller, because it is part of the batches'
   * keys.
   */
  processIncarnation: string;
}

interface PendingSubmission {
  job: AcceptedJob;
  bytes: number;
  resolve: (result: SubmitResult) => void;
}

/** Time for which submissions are collected before they are written. */
const BATCH_WINDOW_MS = 12;
const WRITE_TIMEOUT_MS = 3000;
const MAX_WRITES_IN_FLIGHT = 2;
/** Bytes that a value takes besides the jobs in it. */
const VALUE_OVERHEAD_BYTES = 64;
/** Total size of the jobs of one transaction; the rest is left for keys, conditions and punctuation. */
const MAX_BATCHES_BYTES = MAX_TRANSACTION_BYTES - 8 * 1024;
/** Size of the comma between two jobs of a value. */
const SEPARATOR_BYTES = 1;

/**
 * Accepts jobs, many with one transaction: submissions that arrive while a write waits for its turn go into the next one. A job
 * is accepted once its batch is in the store. If a job is in two batches, the one with the lower revision counts. So no job
 * needs a key of its own, and any controller may accept any job.
 */
export class SubmissionBatcher {
  private readonly queue: PendingSubmission[] = [];
  private readonly pending = new Map<string, Promise<SubmitResult>>();
  private writesInFlight = 0;
  private batchCount = 0;

  constructor(
    private readonly dependencies: SubmissionBatcherDependencies,
    private readonly options: SubmissionBatcherOptions,
  ) {}

  /** Number of submissions that wait for the store. */
  get pendingCount(): number {
    return this.pending.size;
  }

  /** Whether a job's description fits into a stored value at all. */
  fitsInValue(job: AcceptedJob): boolean {
    return encodedBytes(job) + VALUE_OVERHEAD_BYTES <= this.options.valueBytes;
  }

  /** Writes a job to the store. Never rejects; calls for a job that is being written share the result. */
  submit(job: AcceptedJob): Promise<SubmitResult> {
    const { ref } = job.spec;
    const known = this.pending.get(ref);
    if (known) return known;
    const result = new Promise<SubmitResult>((resolve) => {
      this.queue.push({ job, bytes: encodedBytes(job), resolve });
    }).finally(() => this.pending.delete(ref));
    this.pending.set(ref, result);
    this.scheduleWrite();
    return result;
  }

  private scheduleWrite(): void {
    if (this.writesInFlight >= MAX_WRITES_IN_FLIGHT || this.queue.length === 0) return;
    this.writesInFlight++;
    this.dependencies.clock.schedule(BATCH_WINDOW_MS, () => {
      void this.writeBatches().finally(() => {
        this.writesInFlight--;
        this.scheduleWrite();
      });
    });
  }

  private async writeBatches(): Promise<void> {
    const batches = this.takeBatches();
    if (batches.length === 0) return;
    const { stateStore, replica } = this.dependencies;
    const writes = batches.map((batch) => ({
      put: keys.batch(`${this.options.processIncarnation}-${++this.batchCount}`),
      value: batch.map(({ job }) => encodeAcceptedJob(job)),
    }));
    const conditions = writes.map(({ put }) => ({ key: put, revision: 0 }));
    const result = await stateStore.transact(conditions, writes, RequestPriority.Decision, WRITE_TIMEOUT_MS);
    // Which of two batches came first is known only once the replica holds everything up to this one.
    const revision = result.kind === 'applied' ? result.revision : null;
    const caughtUp = revision !== null && (await stateStore.whenCaughtUp(revision, WRITE_TIMEOUT_MS));
    for (const { job, resolve } of batches.flat()) {
      if (!caughtUp) resolve('failed');
      else resolve(replica.jobs.get(job.spec.ref)?.revision === revision ? 'accepted' : 'known');
    }
  }

  /** Removes submissions from the queue, as many as fit into the values of one transaction. */
  private takeBatches(): PendingSubmission[][] {
    const { valueBytes, txnOps } = this.options;
    const batches: PendingSubmission[][] = [];
    let batch: PendingSubmission[] = [];
    let freeBytes = 0;
    let freeTransactionBytes = MAX_BATCHES_BYTES;
    for (let next = this.queue[0]; next !== undefined; next = this.queue[0]) {
      const bytes = next.bytes + SEPARATOR_BYTES;
      if (bytes > freeTransactionBytes && batches.length > 0) break;
      if (bytes > freeBytes) {
        if (batches.length === txnOps) break;
        batch = [];
        batches.push(batch);
        freeBytes = valueBytes - VALUE_OVERHEAD_BYTES;
      }
      freeBytes -= bytes;
      freeTransactionBytes -= bytes;
      batch.push(next);
      this.queue.shift();
    }
    return batches;
  }
}

function encodedBytes(job: AcceptedJob): number {
  return jsonBytes(encodeAcceptedJob(job));
}
