import { Subject } from 'rxjs';
import { type Clock } from '../transport/clock';
import { type HttpResponse } from '../transport/http-client';
import { type Log } from '../transport/log';
import { Metrics } from '../transport/metrics';
import { RateLimiter } from '../transport/rate-limiter';
import {
  parseEntry,
  parseFailedKeys,
  parseLease,
  parseRevision,
  parseScan,
  parseWatch,
  paths,
  transactionBody,
  type Change,
  type Condition,
  type Entry,
  type Write,
} from '../protocol/store';
import { keys, KEY_PREFIX } from '../protocol/records';

export type TransactionResult =
  | { kind: 'applied'; revision: number }
  | { kind: 'conflict'; failed: string[] }
  /** Certainly not executed. */
  | { kind: 'refused' }
  /** No answer: it may have been executed, or may yet be. */
  | { kind: 'unknown' };

export type ReadResult = { kind: 'entry'; entry: Entry } | { kind: 'absent' } | { kind: 'failed' };

/** Which requests go first when the state service's limits are near. */
export enum RequestPriority {
  Lease,
  Decision,
  Read,
  Progress,
}

export interface StoreTransport {
  call(method: string, path: string, body: unknown, timeoutMs: number): Promise<HttpResponse | null>;
}

interface QueuedRequest {
  priority: RequestPriority;
  writes: number;
  deadline: number;
  queuedAt: number;
  run: () => void;
  expire: () => void;
}

export interface StateStoreOptions {
  requestRate: number;
  writeRate: number;
  controllers: number;
  /** How long a watch may wait for news. */
  watchHoldMs?: number;
}

interface FreshRead {
  deadline: number;
  resolve: (fresh: boolean) => void;
}

const CALL_TIMEOUT_MS = 1500;
const MAX_WATCH_HOLD_MS = 10_000;
/** An answer that is late by this much is not coming. */
const WATCH_TIMEOUT_MARGIN_MS = 3000;
/** Each answer of the watch costs a request: changes are gathered for this long between two, longer if they cost much. */
const WATCH_PAUSE_MS = { least: 100, most: 400 };
/** Taking in what the watch brings may cost this share of the time. */
const MAX_WATCH_COST_RATIO = 0.1;
/** Questions are gathered for as long as the last answer took, so fewer requests are made when answers are slow to come. */
const MAX_GATHER_MS = 250;
/** If somebody waits for a revision, only for this long. */
const WATCH_EXPEDITED_PAUSE_MS = 12;
/** A change is overtaken by smaller ones for this long at most. */
const MAX_OVERTAKEN_MS = 300;
/** Of the requests that the state service allows, at most one in this many asks for the revision. */
const FRESH_READ_REQUEST_DIVISOR = 4;

/**
 * All of this controller's dealings with the state service: within its limits, most urgent first. It also
 * keeps a replica of every key, fed by one watch: a picture of the store at `revision`, never a mixture.
 */
export class StateStoreClient {
  readonly changes = new Subject<Change>();
  /** Tells that the replica stands at a revision as a whole, after one change or many. */
  readonly batches = new Subject<void>();
  readonly entries = new Map<string, Entry>();
  revision = 0;
  /** Whether the replica is a picture of the store at one revision. While it is filled it is a mixture. */
  synced = false;
  private filled = false;
  /** The newest revision of the pages that it was filled from. */
  private filledToRevision = 0;
  /** The replica surely holds all that was in the store at this moment of our steady clock. */
  freshAsOf = Number.NEGATIVE_INFINITY;
  private readonly requestLimiter: RateLimiter;
  private readonly writeLimiter: RateLimiter;
  private readonly queue: QueuedRequest[] = [];
  private pumpTimer: (() => void) | null = null;
  private lastOkAt = Number.NEGATIVE_INFINITY;
  private lastRefusedAt = Number.NEGATIVE_INFINITY;
  private readonly freshReads: FreshRead[] = [];
  private readonly minGatherMs: number;
  private lastFreshReadMs = 0;
  private readonly holdMs: number;
  private readonly waiters: { revision: number; resolve: () => void }[] = [];
  /** Ends the pause between two watches early. */
  private expediteWatch: (() => void) | null = null;
  readonly counters = { requests: 0, throttled: 0, refused: 0, unanswered: 0, writes: 0 };
  /** Changes asked for, by the kind of key. */
  readonly changesByKind: Record<string, number> = {};

  constructor(
    private readonly transport: StoreTransport,
    private readonly watchTransport: StoreTransport,
    private readonly clock: Clock,
    private readonly log: Log,
    options: StateStoreOptions,
    private readonly metrics = new Metrics(),
  ) {
    // The limits are shared by all controllers without their speaking about it. Load is uneven, so each may
    // use more than its even partition; a 429 empties the bucket, which brings the sum back under the limit.
    const share = Math.min(1, 1.8 / options.controllers);
    this.requestLimiter = new RateLimiter(options.requestRate * share, options.requestRate * share);
    this.writeLimiter = new RateLimiter(options.writeRate * share, options.writeRate * share);
    this.holdMs = Math.min(MAX_WATCH_HOLD_MS, options.watchHoldMs ?? MAX_WATCH_HOLD_MS);
    this.minGatherMs = Math.max(
      20,
      (1000 * options.controllers * FRESH_READ_REQUEST_DIVISOR) / options.requestRate,
    );
  }

  /** True if the state service answered within the last `ms` and has not refused us since. */
  respondedWithin(ms: number): boolean {
    return this.clock.steady() - this.lastOkAt < ms && this.lastOkAt >= this.lastRefusedAt;
  }

  async transact(
    conditions: Condition[],
    writes: Write[],
    priority: RequestPriority,
    withinMs = 3000,
  ): Promise<TransactionResult> {
    const body = transactionBody(conditions, writes);
    for (const w of writes) {
      const kind = ('put' in w ? w.put : w.remove).split('/')[1] ?? '';
      this.changesByKind[kind] = (this.changesByKind[kind] ?? 0) + 1;
    }
    const response = await this.request('POST', paths.transaction, body, priority, withinMs, writes.length);
    if (response === 'expired') return { kind: 'refused' };
    if (response === null) return { kind: 'unknown' };
    if (response.status === 200) {
      const revision = this.logIfMalformed(parseRevision(response.body), paths.transaction);
      return revision === null ? { kind: 'unknown' } : { kind: 'applied', revision };
    }
    if (response.status === 409) return { kind: 'conflict', failed: parseFailedKeys(response.body) ?? [] };
    if (response.status === 400) {
      const values = writes.map((w) => ('put' in w ? [w.put, JSON.stringify(w.value).length] : [w.remove]));
      this.log.error({ response: response.body, values }, 'state store rejected a transaction as malformed');
      return { kind: 'refused' };
    }
    return response.status === 503 || response.status === 429 ? { kind: 'refused' } : { kind: 'unknown' };
  }

  /** Reads a key as it is now, not as the replica remembers it. */
  async read(key: string, withinMs = 1500): Promise<ReadResult> {
    const response = await this.request(
      'GET',
      paths.entry(key),
      undefined,
      RequestPriority.Read,
      withinMs,
      0,
    );
    if (response === null || response === 'expired') return { kind: 'failed' };
    if (response.status === 404) return { kind: 'absent' };
    const entry = response.status === 200 ? this.logIfMalformed(parseEntry(response.body), key) : null;
    return entry ? { kind: 'entry', entry } : { kind: 'failed' };
  }

  /** The version of a key in the replica, 0 if it is not there. */
  revisionOf(key: string): number {
    return this.entries.get(key)?.revision ?? 0;
  }

  /**
   * Resolves once the replica is no older than this question: the store is asked for its revision, and the replica
   * has come to it. Questions asked within a short time share one request. False if there is no such proof in time.
   */
  ensureFresh(withinMs = 1500): Promise<boolean> {
    return new Promise((resolve) => {
      this.freshReads.push({ deadline: this.clock.steady() + withinMs, resolve });
      if (this.freshReads.length > 1) return;
      const gatherMs = Math.max(this.minGatherMs, Math.min(this.lastFreshReadMs, MAX_GATHER_MS));
      this.clock.schedule(gatherMs, () => void this.readRevision());
    });
  }

  private async readRevision(): Promise<void> {
    const asked = this.freshReads.splice(0);
    const within = Math.max(...asked.map((q) => q.deadline)) - this.clock.steady();
    const path = paths.entry(keys.neverWritten);
    const askedAt = this.clock.steady();
    const response = await this.request('GET', path, undefined, RequestPriority.Read, Math.max(0, within), 0);
    this.lastFreshReadMs = this.clock.steady() - askedAt;
    const known = response !== null && response !== 'expired' && response.status === 404;
    const revision = known ? this.logIfMalformed(parseRevision(response.body), path) : null;
    for (const { deadline, resolve } of asked) {
      if (revision === null) resolve(false);
      else
        void this.whenCaughtUp(revision, deadline - this.clock.steady()).then((fresh) => {
          if (fresh) this.freshAsOf = Math.max(this.freshAsOf, askedAt);
          resolve(fresh);
        });
    }
  }

  async openLease(ttlMs: number): Promise<number | null> {
    const response = await this.request(
      'POST',
      paths.leases,
      { ttl_ms: ttlMs },
      RequestPriority.Lease,
      2000,
      0,
    );
    return response && response !== 'expired' && response.status === 200 ? parseLease(response.body) : null;
  }

  async renewLease(leaseId: number): Promise<'renewed' | 'ended' | 'failed'> {
    const response = await this.request(
      'POST',
      paths.renewLease(leaseId),
      {},
      RequestPriority.Lease,
      1000,
      0,
    );
    if (response === null || response === 'expired') return 'failed';
    if (response.status === 200) return 'renewed';
    return response.status === 404 ? 'ended' : 'failed';
  }

  async endLease(leaseId: number): Promise<boolean> {
    const response = await this.request(
      'DELETE',
      paths.lease(leaseId),
      undefined,
      RequestPriority.Lease,
      1000,
      0,
    );
    return (
      response !== null && response !== 'expired' && (response.status === 200 || response.status === 404)
    );
  }

  /** Fills the replica and follows the changes for ever. */
  async follow(): Promise<void> {
    for (;;) {
      if (!this.filled && !(await this.fill())) {
        await this.pause(300);
        continue;
      }
      const started = this.clock.steady();
      const path = paths.watch(KEY_PREFIX, this.revision, this.holdMs);
      // Watches are counted as requests; they wait for their turn like the others.
      await this.awaitTurn(RequestPriority.Decision, 0, Number.POSITIVE_INFINITY);
      const askedAt = this.clock.steady();
      const response = await this.watchTransport.call(
        'GET',
        path,
        undefined,
        this.holdMs + WATCH_TIMEOUT_MARGIN_MS,
      );
      const watched =
        response?.status === 200 ? this.logIfMalformed(parseWatch(response.body), 'watch') : null;
      if (watched) {
        const answeredAt = this.clock.steady();
        this.lastOkAt = answeredAt;
        for (const change of watched.changes) this.apply(change);
        this.revision = Math.max(this.revision, watched.revision);
        this.freshAsOf = Math.max(this.freshAsOf, askedAt);
        this.publishIfComplete();
        const now = this.clock.steady();
        const { least, most } = WATCH_PAUSE_MS;
        const pauseMs = Math.min(most, Math.max(least, (now - answeredAt) / MAX_WATCH_COST_RATIO));
        await this.pauseBetweenWatches(pauseMs - (now - started));
      } else {
        if (response?.status === 410) this.filled = this.synced = false;
        await this.pause(200);
      }
    }
  }

  /**
   * Pages are read one after the other, so later ones may show what came after the earlier ones were read: a partition that was
   * given to us meanwhile, without the machines opened and the start watermarks raised before that. The picture is whole, and told
   * as such, once the watch has brought all of it to the newest page's revision.
   */
  private publishIfComplete(): void {
    if (this.revision < this.filledToRevision) return;
    this.synced = true;
    this.batches.next();
    this.resolveWaiters();
  }

  /** Resolves once the replica holds everything up to `revision`. */
  whenCaughtUp(revision: number, withinMs: number): Promise<boolean> {
    if (this.synced && this.revision >= revision) return Promise.resolve(true);
    return new Promise((resolve) => {
      const waiter = {
        revision,
        resolve: (): void => {
          tooLate();
          resolve(true);
        },
      };
      const tooLate = this.clock.schedule(Math.max(0, withinMs), () => {
        const i = this.waiters.indexOf(waiter);
        if (i >= 0) this.waiters.splice(i, 1);
        resolve(false);
      });
      this.waiters.push(waiter);
      this.expediteWatch?.();
    });
  }

  private resolveWaiters(): void {
    for (const waiter of this.waiters.filter((w) => w.revision <= this.revision)) {
      this.waiters.splice(this.waiters.indexOf(waiter), 1);
      waiter.resolve();
    }
  }

  /** Lets changes gather, unless somebody waits for one. */
  private pauseBetweenWatches(ms: number): Promise<void> {
    return new Promise((resolve) => {
      let over = false;
      const go = (): void => {
        if (over) return;
        over = true;
        this.expediteWatch = null;
        resolve();
      };
      this.clock.schedule(Math.max(1, ms), go);
      this.expediteWatch = (): void => void this.clock.schedule(WATCH_EXPEDITED_PAUSE_MS, go);
      if (this.waiters.length > 0) this.expediteWatch();
    });
  }

  private apply(change: Change): void {
    const known = this.entries.get(change.key);
    if (known && known.revision >= change.revision) return;
    if ('deleted' in change) this.entries.delete(change.key);
    else
      this.entries.set(change.key, {
        key: change.key,
        value: change.value,
        revision: change.revision,
        leaseId: null,
      });
    this.changes.next(change);
  }

  /** Reads everything anew; differences to what was known are told as changes. */
  private async fill(): Promise<boolean> {
    const found = new Map<string, Entry>();
    let after = '';
    let revision: number | null = null;
    const askedAt = this.clock.steady();
    for (;;) {
      const path = paths.scan(KEY_PREFIX, after);
      const response = await this.request('GET', path, undefined, RequestPriority.Decision, 3000, 0);
      const page =
        response && response !== 'expired' && response.status === 200 ? parseScan(response.body) : null;
      if (!page) return false;
      // Later pages may be newer than the first; watching from the first page's revision repeats what differs.
      revision ??= page.revision;
      this.filledToRevision = page.revision;
      for (const entry of page.entries) found.set(entry.key, entry);
      const last = page.entries[page.entries.length - 1];
      if (!page.more || !last) break;
      after = last.key;
    }
    for (const key of [...this.entries.keys()]) {
      if (!found.has(key)) this.apply({ key, deleted: true, revision: Number.MAX_SAFE_INTEGER });
    }
    for (const entry of found.values()) this.apply(entry);
    this.revision = Math.max(this.revision, revision);
    this.freshAsOf = Math.max(this.freshAsOf, askedAt);
    this.filled = true;
    this.publishIfComplete();
    return true;
  }

  private async request(
    method: string,
    path: string,
    body: unknown,
    priority: RequestPriority,
    withinMs: number,
    writes: number,
  ): Promise<HttpResponse | null | 'expired'> {
    const deadline = this.clock.steady() + withinMs;
    for (;;) {
      if (!(await this.awaitTurn(priority, writes, deadline))) return 'expired';
      this.counters.requests++;
      this.counters.writes += writes;
      const sentAt = this.clock.steady();
      const left = Math.max(50, Math.min(CALL_TIMEOUT_MS, deadline - sentAt));
      const response = await this.transport.call(method, path, body, left);
      const now = this.clock.steady();
      this.metrics.record(writes > 0 ? 'store write' : 'store read', now - sentAt);
      if (response === null) {
        this.counters.unanswered++;
        return null;
      }
      if (response.status === 429) {
        this.counters.throttled++;
        this.requestLimiter.drain(now);
        if (writes > 0) this.writeLimiter.drain(now);
        if (now + 100 >= deadline) return 'expired';
        await this.pause(60);
        continue;
      }
      if (response.status === 503) {
        this.counters.refused++;
        this.lastRefusedAt = now;
      } else {
        this.lastOkAt = now;
      }
      return response;
    }
  }

  /** Waits until a request of this priority may be sent; false if its time runs out before. */
  private awaitTurn(priority: RequestPriority, writes: number, deadline: number): Promise<boolean> {
    return new Promise((resolve) => {
      const entry: QueuedRequest = {
        priority,
        writes,
        deadline,
        queuedAt: this.clock.steady(),
        run: () => resolve(true),
        expire: () => resolve(false),
      };
      const at = this.queue.findIndex((q) => q.priority > priority);
      if (at < 0) this.queue.push(entry);
      else this.queue.splice(at, 0, entry);
      this.pump();
    });
  }

  private pump(): void {
    const now = this.clock.steady();
    // A change of many values needs a nearly full bucket. Small ones that overtook it for ever kept machines from
    // changing sides for as long as there was other work to write down.
    let held = false;
    for (let i = 0; i < this.queue.length;) {
      const entry = this.queue[i] as QueuedRequest;
      if (now > entry.deadline) {
        this.queue.splice(i, 1);
        entry.expire();
        continue;
      }
      const waits = held && entry.writes > 0 && entry.priority !== RequestPriority.Lease;
      if (!waits && this.admit(entry, now)) {
        this.queue.splice(i, 1);
        entry.run();
        continue;
      }
      held ||=
        entry.priority === RequestPriority.Decision &&
        entry.writes > 0 &&
        now - entry.queuedAt > MAX_OVERTAKEN_MS;
      i++;
    }
    if (this.queue.length > 0 && this.pumpTimer === null) {
      this.pumpTimer = this.clock.schedule(25, () => {
        this.pumpTimer = null;
        this.pump();
      });
    }
  }

  private admit(entry: QueuedRequest, now: number): boolean {
    // Session leases are never paced: a controller that loses its session lease costs more than one request too many.
    if (entry.priority === RequestPriority.Lease)
      return this.requestLimiter.take(now, 1, -this.requestLimiter.burst);
    const keep =
      entry.priority === RequestPriority.Progress ? 0.5 : entry.priority === RequestPriority.Read ? 0.2 : 0.1;
    if (!this.requestLimiter.take(now, 1, this.requestLimiter.burst * keep)) return false;
    if (entry.writes === 0) return true;
    const spare = entry.priority === RequestPriority.Progress ? this.writeLimiter.burst * 0.4 : 0;
    return this.writeLimiter.take(now, entry.writes, spare);
  }

  /** A malformed answer counts as none, but somebody should know. */
  private logIfMalformed<T>(parsed: T | null, what: string): T | null {
    if (parsed === null) this.log.info({ source: what }, 'malformed response from the state store');
    return parsed;
  }

  private pause(ms: number): Promise<void> {
    return new Promise((resolve) => this.clock.schedule(ms, resolve));
  }
}
