import { keys } from '../protocol/keys';
import { parseRevision, storePaths } from '../protocol/store';
import { type Clock } from '../transport/clock';
import { type Log } from '../transport/log';
import { RequestPriority, type RequestLimits } from './request-queue';
import { logIfMalformed, responseWith, type StoreConnection } from './store-connection';
import { type StoreReplica } from './store-replica';

interface FreshRead {
  deadline: number;
  resolve: (fresh: boolean) => void;
}

/** Fresh reads are gathered for as long as the last one took, so slow responses lead to fewer requests; but not for longer. */
const MAX_GATHER_MS = 250;
const MIN_GATHER_MS = 20;
/** Of the requests that the state store allows, at most one in this many reads the revision. */
const FRESH_READ_REQUEST_DIVISOR = 4;
/** The status with which the store answers a read of a key that is not there; the body holds its revision. */
const STATUS_NOT_FOUND = 404;

/** Proves that the replica is fresh, with one request to the state store for all who ask within a short time. */
export class FreshReadBatcher {
  private readonly pending: FreshRead[] = [];
  private readonly minGatherMs: number;
  private lastReadMs = 0;

  constructor(
    private readonly connection: StoreConnection,
    private readonly replica: StoreReplica,
    private readonly clock: Clock,
    private readonly log: Log,
    limits: RequestLimits,
  ) {
    const evenIntervalMs = (1000 * limits.controllers * FRESH_READ_REQUEST_DIVISOR) / limits.requestRate;
    this.minGatherMs = Math.max(MIN_GATHER_MS, evenIntervalMs);
  }

  /**
   * Resolves to true once the replica holds all that was in the store when this was called, or later; to false if there is
   * no proof of that within `withinMs`.
   */
  ensureFresh(withinMs: number): Promise<boolean> {
    return new Promise((resolve) => {
      this.pending.push({ deadline: this.clock.steady() + withinMs, resolve });
      if (this.pending.length > 1) return;
      const gatherMs = Math.max(this.minGatherMs, Math.min(this.lastReadMs, MAX_GATHER_MS));
      this.clock.schedule(gatherMs, () => void this.resolvePending());
    });
  }

  /** Never rejects. */
  private async resolvePending(): Promise<void> {
    const reads = this.pending.splice(0);
    const askedAt = this.clock.steady();
    const withinMs = Math.max(0, Math.max(...reads.map((read) => read.deadline)) - askedAt);
    const revision = await this.readRevision(withinMs);
    this.lastReadMs = this.clock.steady() - askedAt;
    for (const { deadline, resolve } of reads) {
      if (revision === null) {
        resolve(false);
        continue;
      }
      void this.replica.whenCaughtUp(revision, deadline - this.clock.steady()).then((fresh) => {
        if (fresh) this.replica.markFresh(askedAt);
        resolve(fresh);
      });
    }
  }

  /** The store's revision now; null if it did not say. */
  private async readRevision(withinMs: number): Promise<number | null> {
    const path = storePaths.entry(keys.neverWritten);
    const outcome = await this.connection.send({
      method: 'GET',
      path,
      priority: RequestPriority.Read,
      withinMs,
    });
    const response = responseWith(STATUS_NOT_FOUND, outcome);
    return response && logIfMalformed(this.log, parseRevision(response.body), path);
  }
}
