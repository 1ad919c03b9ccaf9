import type { HttpResponse } from '../../src/transport/http-client';
import type { TimeSource } from './clock';
import { jsonResponse } from './json-response';
import { transactionError, type StoreLimits, type TransactionBody } from './transaction-limits';

interface StoredEntry {
  v: unknown;
  stamp: number;
  permit: number | null;
}

interface RecordedChange {
  path: string;
  v: unknown;
  deleted: boolean;
  stamp: number;
}

/** Default number of keys on a page. Pages are short, so that the keys can change between two of them. */
const DEFAULT_KEYS_PER_PAGE = 7;
const DEFAULT_LIMITS: StoreLimits = { valueKb: 4, txnOps: 12 };

/** A fake state store with keys, transactions, session leases, watches and outages. */
export class FakeStateStore {
  readonly keys = new Map<string, StoredEntry>();
  /** Called with the reason for each transaction that is rejected because of the protocol's limits. */
  onRejected: (reason: string, transaction: TransactionBody) => void = () => undefined;
  /** Called for each transaction that is applied, before its sender gets the response. */
  onApplied: (transaction: TransactionBody) => void = () => undefined;
  private readonly changes: RecordedChange[] = [];
  private readonly leases = new Map<number, { ttlMs: number; expiresAt: number }>();
  private readonly watchers = new Set<() => void>();
  private revision = 0;
  private nextLeaseId = 1;
  private down = false;

  constructor(
    private readonly time: TimeSource,
    private readonly keysPerPage = DEFAULT_KEYS_PER_PAGE,
    private readonly limits = DEFAULT_LIMITS,
  ) {
    const expirePeriodically = (): void => {
      this.expireLeases();
      time.at(time.now + 50, expirePeriodically);
    };
    time.at(50, expirePeriodically);
  }

  /** Answers new requests with 503 for `ms`. No session lease expires meanwhile; afterwards each has its full TTL again. */
  startOutage(ms: number): void {
    this.down = true;
    this.time.at(this.time.now + ms, () => {
      this.down = false;
      for (const lease of this.leases.values()) lease.expiresAt = this.time.now + lease.ttlMs;
    });
  }

  /** Number of changes of keys so far. */
  get changeCount(): number {
    return this.changes.length;
  }

  value(path: string): unknown {
    return this.keys.get(path)?.v;
  }

  /** Answers a request; `refused` tells whether the store refuses its sender at the moment. */
  request(method: string, path: string, body: unknown, refused: () => boolean): Promise<HttpResponse> {
    const url = new URL(path, 'http://store');
    if (this.down || refused()) return jsonResponse(503, {});
    if (url.pathname === '/watch') return this.watch(url, refused);
    if (method === 'GET' && url.pathname === '/store') return this.readPage(url);
    if (method === 'GET') return this.readKey(url.pathname.slice('/store/'.length));
    if (url.pathname === '/multi') return this.applyTransaction(body as TransactionBody);
    if (url.pathname === '/grants') return this.grantLease((body as { ttl_ms: number }).ttl_ms);
    return this.renewOrEndLease(method, Number(url.pathname.split('/')[2]));
  }

  private readPage(url: URL): Promise<HttpResponse> {
    const prefix = url.searchParams.get('prefix') ?? '';
    const from = url.searchParams.get('from') ?? '';
    const entries = [...this.keys]
      .filter(([key]) => key.startsWith(prefix) && key > from)
      .sort(([a], [b]) => (a < b ? -1 : 1));
    return jsonResponse(200, {
      pairs: entries.slice(0, this.keysPerPage).map(([key, { v, stamp }]) => ({ path: key, v, stamp })),
      truncated: entries.length > this.keysPerPage,
      ledger_rev: this.revision,
    });
  }

  private readKey(key: string): Promise<HttpResponse> {
    const found = this.keys.get(key);
    if (!found) return jsonResponse(404, { ledger_rev: this.revision });
    return jsonResponse(200, { path: key, ...found });
  }

  private grantLease(ttlMs: number): Promise<HttpResponse> {
    const id = this.nextLeaseId++;
    this.leases.set(id, { ttlMs, expiresAt: this.time.now + ttlMs });
    return jsonResponse(200, { permit: id });
  }

  private renewOrEndLease(method: string, id: number): Promise<HttpResponse> {
    const lease = this.leases.get(id);
    if (!lease) return jsonResponse(404, {});
    if (method === 'DELETE') {
      lease.expiresAt = 0;
      this.expireLeases();
    } else {
      lease.expiresAt = this.time.now + lease.ttlMs;
    }
    return jsonResponse(200, {});
  }

  private applyTransaction(body: TransactionBody): Promise<HttpResponse> {
    const error = transactionError(body, this.limits);
    if (error !== null) {
      this.onRejected(error, body);
      return jsonResponse(400, { error });
    }
    for (const op of body.apply) {
      if ('set' in op && op.permit != null && !this.leases.has(op.permit))
        return jsonResponse(400, { error: 'no such lease' });
    }
    const failed = body.if.filter((c) => (this.keys.get(c.path)?.stamp ?? 0) !== c.stamp).map((c) => c.path);
    if (failed.length > 0) return jsonResponse(409, { failed, ledger_rev: this.revision });
    if (body.apply.length > 0) this.revision++;
    for (const op of body.apply) {
      if ('set' in op) this.put(op.set, op.v, op.permit ?? null);
      else this.remove(op.delete);
    }
    this.notifyWatchers();
    this.onApplied(body);
    return jsonResponse(200, { ledger_rev: this.revision });
  }

  private put(path: string, v: unknown, permit: number | null): void {
    this.keys.set(path, { v, stamp: this.revision, permit });
    this.changes.push({ path, v, deleted: false, stamp: this.revision });
  }

  private remove(path: string): void {
    if (this.keys.delete(path)) this.changes.push({ path, v: null, deleted: true, stamp: this.revision });
  }

  private expireLeases(): void {
    if (this.down) return;
    for (const [id, lease] of this.leases) {
      if (lease.expiresAt > this.time.now) continue;
      this.leases.delete(id);
      this.revision++;
      for (const [path, entry] of this.keys) if (entry.permit === id) this.remove(path);
    }
    this.notifyWatchers();
  }

  private notifyWatchers(): void {
    for (const watcher of [...this.watchers]) watcher();
  }

  private watch(url: URL, refused: () => boolean): Promise<HttpResponse> {
    const after = Number(url.searchParams.get('from'));
    const prefix = url.searchParams.get('prefix') ?? '';
    const end = this.time.now + Number(url.searchParams.get('hold_ms') ?? 0);
    return new Promise((resolve) => {
      const respondIfChanged = (): void => {
        // Open watches wait during an outage, and while the store refuses their sender.
        if (this.down || refused()) return;
        const news = this.changes
          .filter((c) => c.stamp > after && c.path.startsWith(prefix))
          .map((c) =>
            c.deleted ? { delete: c.path, stamp: c.stamp } : { set: c.path, v: c.v, stamp: c.stamp },
          );
        if (news.length === 0 && this.time.now < end) return;
        this.watchers.delete(respondIfChanged);
        const body = JSON.parse(JSON.stringify({ ledger_rev: this.revision, news })) as unknown;
        resolve({ status: 200, body });
      };
      this.watchers.add(respondIfChanged);
      this.time.at(end, respondIfChanged);
      respondIfChanged();
    });
  }
}
