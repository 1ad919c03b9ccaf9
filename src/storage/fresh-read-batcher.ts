import { keys } from '../protocol/keys';
import { parseRevision, storePaths } from '../protocol/store';
import { type Clock } from '../transport/clock';
import { type Log } from '../transport/log';
import { RequestPriority, type RequestLimits } from './request-queue';
import { logIfMalformed, responseWithStatus, type StoreConnection } from './store-connection';
import { type StoreReplica } from './store-replica';

interface FreshRead {
  deadline: number;
  resolve: (fresh: boolean) => void;
}

/**
 * Fresh reads are batched for as long as the last one took, so that slow responses lead to fewer requests, but at most this
 * long, unless the share of the request rate requires a longer delay.
 */
const MAX_BATCH_DELAY_MS = 250;
const MIN_BATCH_DELAY_MS = 20;
/** The controllers together use at most one in this many of the requests that the state store allows for reading the revision. */
const FRESH_READ_REQUEST_DIVISOR = 4;
/** Status of the store's response to a read of an absent key; the body holds the store's revision. */
const STATUS_NOT_FOUND = 404;

/** Proves that the replica is fresh, with one request to the state store for all calls within a short time. */
export class FreshReadBatcher {
  private readonly pending: FreshRead[] = [];
  private readonly minBatchDelayMs: number;
  private lastReadMs = 0;

  constructor(
    private readonly connection: StoreConnection,
    private readonly replica: StoreReplica,
    private readonly clock: Clock,
    private readonly log: Log,
    limits: RequestLimits,
  ) {
    const fairShareIntervalMs = (1000 * limits.controllers * FRESH_READ_REQUEST_DIVISOR) / limits.requestRate;
    this.minBatchDelayMs = Math.max(MIN_BATCH_DELAY_MS, fairShareIntervalMs);
  }

  /**
   * Resolves to true once the replica holds everything that was in the store at the time of this call, or at a later time.
   * Resolves to false if that is not proven within `withinMs`.
   */
  ensureFresh(withinMs: number): Promise<boolean> {
    return new Promise((resolve) => {
      this.pending.push({ deadline: this.clock.steady() + withinMs, resolve });
      if (this.pending.length > 1) return;
      const batchDelayMs = Math.max(this.minBatchDelayMs, Math.min(this.lastReadMs, MAX_BATCH_DELAY_MS));
      this.clock.schedule(batchDelayMs, () => void this.resolvePending());
    });
  }

  /** Reads the revision and resolves the pending reads. Never rejects. */
  private async resolvePending(): Promise<void> {
    const reads = this.pending.splice(0);
    const requestedAt = this.clock.steady();
    const withinMs = Math.max(0, Math.max(...reads.map((read) => read.deadline)) - requestedAt);
    const revision = await this.readRevision(withinMs);
    this.lastReadMs = this.clock.steady() - requestedAt;
    for (const { deadline, resolve } of reads) {
      if (revision === null) {
        resolve(false);
        continue;
      }
      void this.replica.whenCaughtUp(revision, deadline - this.clock.steady()).then((fresh) => {
        if (fresh) this.replica.markFresh(requestedAt);
        resolve(fresh);
      });
    }
  }

  /** Reads the store's current revision; null if the store sent no valid response. */
  private async readRevision(withinMs: number): Promise<number | null> {
    const path = storePaths.entry(keys.neverWritten);
    const outcome = await this.connection.send({
      method: 'GET',
      path,
      priority: RequestPriority.Read,
      withinMs,
    });
    const response = responseWithStatus(STATUS_NOT_FOUND, outcome);
    return response && logIfMalformed(this.log, parseRevision(response.body), path);
  }
}
