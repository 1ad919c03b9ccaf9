import { type Clock } from '../transport/clock';
import { encodeAccepted, keys, type AcceptedJob } from '../protocol/records';
import { type Write } from '../protocol/store';
import { type ReplicaView } from './replica-view';
import { RequestPriority, type StateStoreClient } from './state-store-client';

/** `accepted`: by this request; `known`: it was accepted before; `failed`: nobody knows, the user asks again. */
export type SubmitResult = 'accepted' | 'known' | 'failed';

interface PendingSubmission {
  job: AcceptedJob;
  bytes: number;
  resolve: (result: SubmitResult) => void;
}

export interface SubmissionBatcherOptions {
  valueBytes: number;
  txnOps: number;
  /** In no other process's names, of this controller's earlier lives included. */
  processIncarnation: string;
}

const BATCH_WINDOW_MS = 12;
const WRITE_TIMEOUT_MS = 3000;
const MAX_WRITES_IN_FLIGHT = 2;
/** What a value costs beside the jobs in it. */
const VALUE_OVERHEAD_BYTES = 64;

/**
 * Accepts jobs, many with one change: whatever comes while a write waits for its turn goes with the next one. A
 * job is accepted once its batch is in the store; if it stands in two, the earlier revision counts. So no job's
 * name needs a key of its own, and any controller may take any job.
 */
export class SubmissionBatcher {
  private readonly queue: PendingSubmission[] = [];
  private readonly pending = new Map<string, Promise<SubmitResult>>();
  private inFlight = 0;
  private batches = 0;

  constructor(
    private readonly stateStore: StateStoreClient,
    private readonly replica: ReplicaView,
    private readonly clock: Clock,
    private readonly options: SubmissionBatcherOptions,
  ) {}

  /** How many submissions wait for the store. */
  get pendingCount(): number {
    return this.pending.size;
  }

  /** Whether a job's description fits into a stored value at all. */
  fitsInValue(job: AcceptedJob): boolean {
    return encodedBytes(job) + VALUE_OVERHEAD_BYTES <= this.options.valueBytes;
  }

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
    if (this.inFlight >= MAX_WRITES_IN_FLIGHT || this.queue.length === 0) return;
    this.inFlight++;
    this.clock.schedule(BATCH_WINDOW_MS, () => {
      void this.write().finally(() => {
        this.inFlight--;
        this.scheduleWrite();
      });
    });
  }

  private async write(): Promise<void> {
    const values: PendingSubmission[][] = [];
    let room = 0;
    while (this.queue.length > 0) {
      const next = this.queue[0] as PendingSubmission;
      if (next.bytes + 1 > room) {
        if (values.length === this.options.txnOps) break;
        values.push([]);
        room = this.options.valueBytes - VALUE_OVERHEAD_BYTES;
      }
      room -= next.bytes + 1;
      (values[values.length - 1] as PendingSubmission[]).push(next);
      this.queue.shift();
    }
    if (values.length === 0) return;
    const writes: Write[] = values.map((jobs) => ({
      put: keys.batch(`${this.options.processIncarnation}-${++this.batches}`),
      value: jobs.map((w) => encodeAccepted(w.job)),
    }));
    const conditions = writes.map((w) => ({ key: 'put' in w ? w.put : '', revision: 0 }));
    const result = await this.stateStore.transact(
      conditions,
      writes,
      RequestPriority.Decision,
      WRITE_TIMEOUT_MS,
    );
    // Which of two batches came first is known once the replica holds all up to ours.
    const seen =
      result.kind === 'applied' && (await this.stateStore.whenCaughtUp(result.revision, WRITE_TIMEOUT_MS));
    for (const { job, resolve } of values.flat()) {
      if (!seen || result.kind !== 'applied') resolve('failed');
      else resolve(this.replica.jobs.get(job.spec.ref)?.revision === result.revision ? 'accepted' : 'known');
    }
  }
}

function encodedBytes(job: AcceptedJob): number {
  return Buffer.byteLength(JSON.stringify(encodeAccepted(job)));
}
