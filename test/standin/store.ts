import type { HttpResponse } from '../../src/transport/http-client';
import type { SimulatedTime } from './clock';

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

/** Keys on a page unless said otherwise: pages are short, and what one shows may have changed by the next. */
const DEFAULT_PAGE_KEYS = 7;

/** Stands in for the state service: keys, transactions, session leases, watches, outages. */
export class FakeStateStore {
  readonly keys = new Map<string, StoredEntry>();
  private readonly changes: RecordedChange[] = [];
  private readonly leases = new Map<number, { ttl: number; until: number }>();
  private readonly watchers = new Set<() => void>();
  private revision = 0;
  private nextLeaseId = 1;
  private down = false;

  constructor(
    private readonly time: SimulatedTime,
    private readonly pageKeys = DEFAULT_PAGE_KEYS,
  ) {
    const sweep = (): void => {
      this.expireLeases();
      time.at(time.now + 50, sweep);
    };
    time.at(50, sweep);
  }

  startOutage(ms: number): void {
    this.down = true;
    this.time.at(this.time.now + ms, () => {
      this.down = false;
      for (const lease of this.leases.values()) lease.until = this.time.now + lease.ttl;
    });
  }

  value(path: string): unknown {
    return this.keys.get(path)?.v;
  }

  request(method: string, path: string, body: unknown, refused: () => boolean): Promise<HttpResponse> {
    const respond = (status: number, content: unknown): Promise<HttpResponse> =>
      Promise.resolve({ status, body: JSON.parse(JSON.stringify(content)) as unknown });
    const url = new URL(path, 'http://store');
    if (this.down || refused()) return respond(503, {});
    if (url.pathname === '/watch') return this.watch(url, refused);
    if (method === 'GET' && url.pathname === '/store') {
      const prefix = url.searchParams.get('prefix') ?? '';
      const pairs = [...this.keys]
        .filter(([key]) => key.startsWith(prefix))
        .sort(([a], [b]) => (a < b ? -1 : 1));
      const from = url.searchParams.get('from') ?? '';
      const after = pairs.filter(([key]) => key > from);
      const shown = after.slice(0, this.pageKeys).map(([key, e]) => ({ path: key, v: e.v, stamp: e.stamp }));
      return respond(200, {
        pairs: shown,
        truncated: after.length > this.pageKeys,
        ledger_rev: this.revision,
      });
    }
    if (method === 'GET') {
      const key = url.pathname.slice('/store/'.length);
      const found = this.keys.get(key);
      return found ? respond(200, { path: key, ...found }) : respond(404, { ledger_rev: this.revision });
    }
    if (url.pathname === '/multi') return this.applyTransaction(body as TransactionBody, respond);
    if (url.pathname === '/grants') {
      const ttl = (body as { ttl_ms: number }).ttl_ms;
      this.leases.set(this.nextLeaseId, { ttl, until: this.time.now + ttl });
      return respond(200, { permit: this.nextLeaseId++ });
    }
    const [, , id] = url.pathname.split('/');
    const lease = this.leases.get(Number(id));
    if (!lease) return respond(404, {});
    if (method === 'DELETE') {
      lease.until = 0;
      this.expireLeases();
    } else lease.until = this.time.now + lease.ttl;
    return respond(200, {});
  }

  private applyTransaction(
    body: TransactionBody,
    respond: (status: number, content: unknown) => Promise<HttpResponse>,
  ): Promise<HttpResponse> {
    for (const op of body.apply) {
      if ('set' in op && op.permit != null && !this.leases.has(op.permit))
        return respond(400, { error: 'no such lease' });
    }
    const failed = body.if.filter((c) => (this.keys.get(c.path)?.stamp ?? 0) !== c.stamp).map((c) => c.path);
    if (failed.length > 0) return respond(409, { failed, ledger_rev: this.revision });
    if (body.apply.length > 0) this.revision++;
    for (const op of body.apply) {
      if ('set' in op) this.put(op.set, op.v, op.permit ?? null);
      else this.remove(op.delete);
    }
    this.notifyWatchers();
    return respond(200, { ledger_rev: this.revision });
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
      if (lease.until > this.time.now) continue;
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
      const answerIfChanged = (): void => {
        // Open watches wait while nobody, or this node alone, is not served.
        if (this.down || refused()) return;
        const news = this.changes
          .filter((c) => c.stamp > after && c.path.startsWith(prefix))
          .map((c) =>
            c.deleted ? { delete: c.path, stamp: c.stamp } : { set: c.path, v: c.v, stamp: c.stamp },
          );
        if (news.length === 0 && this.time.now < end) return;
        this.watchers.delete(answerIfChanged);
        const body = JSON.parse(JSON.stringify({ ledger_rev: this.revision, news })) as unknown;
        resolve({ status: 200, body });
      };
      this.watchers.add(answerIfChanged);
      this.time.at(end, answerIfChanged);
      answerIfChanged();
    });
  }
}

interface TransactionBody {
  if: { path: string; stamp: number }[];
  apply: ({ set: string; v: unknown; permit?: number } | { delete: string })[];
}
