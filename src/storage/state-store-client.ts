import { type Clock } from '../transport/clock';
import { type HttpResponse } from '../transport/http-client';
import { type Log } from '../transport/log';
import { Metrics } from '../transport/metrics';
import {
  isEndedLeaseError,
  jsonBytes,
  openLeaseBody,
  parseEntry,
  parseFailedKeys,
  parseLease,
  parseRevision,
  storePaths,
  transactionBody,
  type Condition,
  type Entry,
  type Write,
} from '../protocol/store';
import { keyKind } from '../protocol/keys';
import { FreshReadBatcher } from './fresh-read-batcher';
import { ReplicaFeed } from './replica-feed';
import { RequestPriority, RequestQueue, type RequestLimits } from './request-queue';
import {
  logIfMalformed,
  responseWithStatus,
  StoreConnection,
  type RequestCounters,
  type StoreTransport,
} from './store-connection';
import { StoreReplica } from './store-replica';

/** The outcome of a transaction, which is applied as a whole or not at all. */
export type TransactionResult =
  | { kind: 'applied'; revision: number }
  /** Not applied: the conditions on the keys in `failed` do not hold. */
  | { kind: 'conflict'; failed: string[] }
  /** Certainly not applied, but it may succeed later. */
  | { kind: 'refused' }
  /**
   * Certainly not applied, neither now nor by an earlier or later attempt: the store holds the transaction to be malformed or
   * above its limits. Repeating it unchanged is useless.
   */
  | { kind: 'rejected' }
  /** No usable response: it may have been applied, or may still be. */
  | { kind: 'unknown' };

export type ReadResult = { kind: 'entry'; entry: Entry } | { kind: 'absent' } | { kind: 'failed' };

/**
 * `ended`: the store no longer holds the lease. `failed`: no response, or one that does not tell whether the lease still
 * exists.
 */
export type LeaseRenewal = 'renewed' | 'ended' | 'failed';

export interface StateStoreDependencies {
  transport: StoreTransport;
  /** Separate transport for watches, because a pending watch occupies its connection. */
  watchTransport: StoreTransport;
  clock: Clock;
  log: Log;
  metrics?: Metrics;
}

/** Limits of the state store. */
export interface StateStoreOptions extends RequestLimits {
  /** Maximum time for which the store holds a watch without changes; at most 10 seconds, the default. */
  watchHoldMs?: number;
}

const MAX_WATCH_HOLD_MS = 10_000;
const TRANSACTION_TIMEOUT_MS = 3000;
const READ_TIMEOUT_MS = 1500;
const OPEN_LEASE_TIMEOUT_MS = 2000;
const LEASE_TIMEOUT_MS = 1000;
const STATUS = { ok: 200, badRequest: 400, notFound: 404, conflict: 409, tooMany: 429, unavailable: 503 };

/**
 * This controller's access to the state store: transactions, reads, session leases, and a replica of every key. Requests are
 * sent within the store's rates, most urgent first. Failures of a request are part of its result; a method rejects only for a
 * key with characters that a URL path cannot hold.
 */
export class StateStoreClient {
  readonly replica: StoreReplica;
  /** Number of keys that transactions were to write, by the kind of key. */
  readonly requestedWritesByKind: Record<string, number> = {};
  private readonly log: Log;
  private readonly queue: RequestQueue;
  private readonly connection: StoreConnection;
  private readonly feed: ReplicaFeed;
  private readonly freshReads: FreshReadBatcher;

  constructor(dependencies: StateStoreDependencies, options: StateStoreOptions) {
    const { transport, watchTransport, clock, log, metrics = new Metrics() } = dependencies;
    this.log = log;
    this.replica = new StoreReplica(clock);
    this.queue = new RequestQueue(clock, options);
    this.connection = new StoreConnection(transport, this.queue, clock, metrics);
    this.freshReads = new FreshReadBatcher(this.connection, this.replica, clock, log, options);
    this.feed = new ReplicaFeed({
      replica: this.replica,
      connection: this.connection,
      queue: this.queue,
      watchTransport,
      clock,
      log,
      watchHoldMs: Math.min(MAX_WATCH_HOLD_MS, options.watchHoldMs ?? MAX_WATCH_HOLD_MS),
    });
  }

  /** Request counters for operators. */
  get counters(): Readonly<RequestCounters> {
    return this.connection.counters;
  }

  /** Whether the store responded within the last `ms` and has not refused a request since. */
  respondedWithin(ms: number): boolean {
    return this.connection.respondedWithin(ms);
  }

  /** Fills the replica and applies changes until the client is closed. */
  followChanges(): Promise<void> {
    return this.feed.followChanges();
  }

  /** Ends the replica feed and drops the requests that still wait for their turn. */
  close(): void {
    this.feed.close();
    this.queue.close();
  }

  /** Applies the writes if all conditions hold; waits for its turn and a response for `withinMs` at most. */
  async transact(
    conditions: Condition[],
    writes: Write[],
    priority: RequestPriority,
    withinMs = TRANSACTION_TIMEOUT_MS,
  ): Promise<TransactionResult> {
    this.countRequestedWrites(writes);
    const outcome = await this.connection.send({
      method: 'POST',
      path: storePaths.transaction,
      body: transactionBody(conditions, writes),
      priority,
      withinMs,
      writes: writes.length,
    });
    if (outcome === 'expired') return { kind: 'refused' };
    if (outcome === 'unanswered') return { kind: 'unknown' };
    return this.transactionResult(outcome, writes);
  }

  /** Reads a key from the store, not from the replica. */
  async read(key: string, withinMs = READ_TIMEOUT_MS): Promise<ReadResult> {
    const outcome = await this.connection.send({
      method: 'GET',
      path: storePaths.entry(key),
      priority: RequestPriority.Read,
      withinMs,
    });
    if (responseWithStatus(STATUS.notFound, outcome)) return { kind: 'absent' };
    const response = responseWithStatus(STATUS.ok, outcome);
    const entry = response && logIfMalformed(this.log, parseEntry(response.body), key);
    return entry ? { kind: 'entry', entry } : { kind: 'failed' };
  }

  /** The revision at which a key last changed in the replica; 0 if the replica does not hold it. */
  revisionOf(key: string): number {
    return this.replica.revisionOf(key);
  }

  /**
   * Resolves to true once the replica holds everything that was in the store at the time of this call. Resolves to false if
   * that is not proven within `withinMs`. Calls within a short time share one request.
   */
  ensureFresh(withinMs = READ_TIMEOUT_MS): Promise<boolean> {
    return this.freshReads.ensureFresh(withinMs);
  }

  /** Resolves to true once the replica holds everything up to `revision`, to false if that takes longer than `withinMs`. */
  whenCaughtUp(revision: number, withinMs: number): Promise<boolean> {
    return this.replica.whenCaughtUp(revision, withinMs);
  }

  /**
   * Opens a lease that ends unless it is renewed within `ttlMs`. Resolves to its id, or null if the store did not grant one.
   */
  async openLease(ttlMs: number): Promise<number | null> {
    const outcome = await this.connection.send({
      method: 'POST',
      path: storePaths.leases,
      body: openLeaseBody(ttlMs),
      priority: RequestPriority.Lease,
      withinMs: OPEN_LEASE_TIMEOUT_MS,
    });
    return parseLease(responseWithStatus(STATUS.ok, outcome)?.body);
  }

  /** Restarts the time to live of a lease. */
  async renewLease(leaseId: number): Promise<LeaseRenewal> {
    const outcome = await this.connection.send({
      method: 'POST',
      path: storePaths.renewLease(leaseId),
      body: {},
      priority: RequestPriority.Lease,
      withinMs: LEASE_TIMEOUT_MS,
    });
    if (responseWithStatus(STATUS.ok, outcome)) return 'renewed';
    return responseWithStatus(STATUS.notFound, outcome) ? 'ended' : 'failed';
  }

  /** Ends a lease and removes its keys. Resolves to true if the store has certainly done so. */
  async endLease(leaseId: number): Promise<boolean> {
    const outcome = await this.connection.send({
      method: 'DELETE',
      path: storePaths.lease(leaseId),
      priority: RequestPriority.Lease,
      withinMs: LEASE_TIMEOUT_MS,
    });
    return (
      responseWithStatus(STATUS.ok, outcome) !== null || responseWithStatus(STATUS.notFound, outcome) !== null
    );
  }

  private transactionResult(response: HttpResponse, writes: Write[]): TransactionResult {
    switch (response.status) {
      case STATUS.ok: {
        const revision = logIfMalformed(this.log, parseRevision(response.body), storePaths.transaction);
        return revision === null ? { kind: 'unknown' } : { kind: 'applied', revision };
      }
      case STATUS.conflict:
        return { kind: 'conflict', failed: parseFailedKeys(response.body) ?? [] };
      case STATUS.badRequest:
        return this.badRequestResult(response, writes);
      case STATUS.unavailable:
      case STATUS.tooMany:
        return { kind: 'refused' };
      default:
        return { kind: 'unknown' };
    }
  }

  private badRequestResult(response: HttpResponse, writes: Write[]): TransactionResult {
    if (isEndedLeaseError(response.body)) return { kind: 'refused' };
    this.connection.counters.rejected++;
    const bytesByKey = writes.map((w) => ('put' in w ? [w.put, jsonBytes(w.value)] : [w.remove]));
    this.log.error(
      { response: response.body, values: bytesByKey },
      'state store rejected a transaction as malformed',
    );
    return { kind: 'rejected' };
  }

  private countRequestedWrites(writes: Write[]): void {
    for (const write of writes) {
      const kind = keyKind('put' in write ? write.put : write.remove);
      this.requestedWritesByKind[kind] = (this.requestedWritesByKind[kind] ?? 0) + 1;
    }
  }
}
