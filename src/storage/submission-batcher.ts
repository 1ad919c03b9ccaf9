import { type Clock } from '../transport/clock';
import { encodeAccepted, keys, type AcceptedJob } from '../protocol/records';
import { type Write } from '../protocol/store';
import { type ReplicaView } from './replica-view';
import { RequestPriority, type Ledger } from './ledger';

/** `accepted`: by this request; `known`: it was accepted before; `failed`: nobody knows, the user asks again. */
export type IntakeResult = 'accepted' | 'known' | 'failed';

interface Waiting {
  job: AcceptedJob;
  bytes: number;
  resolve: (result: IntakeResult) => void;
}

export interface IntakeOptions {
  valueBytes: number;
  txnOps: number;
  /** In no other process's names, of this controller's earlier lives included. */
  life: string;
}

const GATHER_MS = 12;
const DURABLE_MS = 3000;
const IN_FLIGHT = 2;
/** What a value costs beside the jobs in it. */
const SPARE_BYTES = 64;

/**
 * Accepts jobs, many with one change: whatever comes while a write waits for its turn goes with the next one. A
 * job is accepted once its batch is in the store; if it stands in two, the earlier revision counts. So no job's
 * name needs a key of its own, and any controller may take any job.
 */
export class SubmissionBatcher {
  private readonly queue: Waiting[] = [];
  private readonly pending = new Map<string, Promise<IntakeResult>>();
  private inFlight = 0;
  private batches = 0;

  constructor(
    private readonly ledger: Ledger,
    private readonly replica: ReplicaView,
    private readonly clock: Clock,
    private readonly options: IntakeOptions,
  ) {}

  /** How many submissions wait for the store. */
  get waiting(): number {
    return this.pending.size;
  }

  /** Whether a job's description fits into a stored value at all. */
  holds(job: AcceptedJob): boolean {
    return bytesOf(job) + SPARE_BYTES <= this.options.valueBytes;
  }

  submit(job: AcceptedJob): Promise<IntakeResult> {
    const { ref } = job.spec;
    const known = this.pending.get(ref);
    if (known) return known;
    const result = new Promise<IntakeResult>((resolve) => {
      this.queue.push({ job, bytes: bytesOf(job), resolve });
    }).finally(() => this.pending.delete(ref));
    this.pending.set(ref, result);
    this.pump();
    return result;
  }

  private pump(): void {
    if (this.inFlight >= IN_FLIGHT || this.queue.length === 0) return;
    this.inFlight++;
    this.clock.after(GATHER_MS, () => {
      void this.write().finally(() => {
        this.inFlight--;
        this.pump();
      });
    });
  }

  private async write(): Promise<void> {
    const values: Waiting[][] = [];
    let room = 0;
    while (this.queue.length > 0) {
      const next = this.queue[0] as Waiting;
      if (next.bytes + 1 > room) {
        if (values.length === this.options.txnOps) break;
        values.push([]);
        room = this.options.valueBytes - SPARE_BYTES;
      }
      room -= next.bytes + 1;
      (values[values.length - 1] as Waiting[]).push(next);
      this.queue.shift();
    }
    if (values.length === 0) return;
    const writes: Write[] = values.map((jobs) => ({
      put: keys.batch(`${this.options.life}-${++this.batches}`),
      value: jobs.map((w) => encodeAccepted(w.job)),
    }));
    const conditions = writes.map((w) => ({ key: 'put' in w ? w.put : '', version: 0 }));
    const result = await this.ledger.txn(conditions, writes, RequestPriority.Decision, DURABLE_MS);
    // Which of two batches came first is known once the replica holds all up to ours.
    const seen = result.kind === 'applied' && (await this.ledger.caughtUp(result.revision, DURABLE_MS));
    for (const { job, resolve } of values.flat()) {
      if (!seen || result.kind !== 'applied') resolve('failed');
      else resolve(this.replica.jobs.get(job.spec.ref)?.version === result.revision ? 'accepted' : 'known');
    }
  }
}

function bytesOf(job: AcceptedJob): number {
  return Buffer.byteLength(JSON.stringify(encodeAccepted(job)));
}
