import type { HttpAnswer } from '../../src/transport/http-client';
import type { StandinTime } from './clock';

interface Stored {
  v: unknown;
  stamp: number;
  permit: number | null;
}

interface Change {
  path: string;
  v: unknown;
  deleted: boolean;
  stamp: number;
}

/** Keys on a page unless said otherwise: pages are short, and what one shows may have changed by the next. */
const SHORT_PAGE = 7;

/** Stands in for the state service: keys, transactions, session leases, watches, outages. */
export class StandinStore {
  readonly keys = new Map<string, Stored>();
  private readonly changes: Change[] = [];
  private readonly grants = new Map<number, { ttl: number; until: number }>();
  private readonly watchers = new Set<() => void>();
  private revision = 0;
  private nextGrant = 1;
  private down = false;

  constructor(
    private readonly time: StandinTime,
    private readonly pageKeys = SHORT_PAGE,
  ) {
    const sweep = (): void => {
      this.endGrants();
      time.at(time.now + 50, sweep);
    };
    time.at(50, sweep);
  }

  outage(ms: number): void {
    this.down = true;
    this.time.at(this.time.now + ms, () => {
      this.down = false;
      for (const grant of this.grants.values()) grant.until = this.time.now + grant.ttl;
    });
  }

  value(path: string): unknown {
    return this.keys.get(path)?.v;
  }

  request(method: string, path: string, body: unknown, refused: () => boolean): Promise<HttpAnswer> {
    const answer = (status: number, content: unknown): Promise<HttpAnswer> =>
      Promise.resolve({ status, body: JSON.parse(JSON.stringify(content)) as unknown });
    const url = new URL(path, 'http://store');
    if (this.down || refused()) return answer(503, {});
    if (url.pathname === '/watch') return this.watch(url, refused);
    if (method === 'GET' && url.pathname === '/store') {
      const prefix = url.searchParams.get('prefix') ?? '';
      const pairs = [...this.keys]
        .filter(([key]) => key.startsWith(prefix))
        .sort(([a], [b]) => (a < b ? -1 : 1));
      const from = url.searchParams.get('from') ?? '';
      const after = pairs.filter(([key]) => key > from);
      const shown = after.slice(0, this.pageKeys).map(([key, e]) => ({ path: key, v: e.v, stamp: e.stamp }));
      return answer(200, {
        pairs: shown,
        truncated: after.length > this.pageKeys,
        ledger_rev: this.revision,
      });
    }
    if (method === 'GET') {
      const key = url.pathname.slice('/store/'.length);
      const found = this.keys.get(key);
      return found ? answer(200, { path: key, ...found }) : answer(404, { ledger_rev: this.revision });
    }
    if (url.pathname === '/multi') return this.multi(body as Multi, answer);
    if (url.pathname === '/grants') {
      const ttl = (body as { ttl_ms: number }).ttl_ms;
      this.grants.set(this.nextGrant, { ttl, until: this.time.now + ttl });
      return answer(200, { permit: this.nextGrant++ });
    }
    const [, , id] = url.pathname.split('/');
    const grant = this.grants.get(Number(id));
    if (!grant) return answer(404, {});
    if (method === 'DELETE') {
      grant.until = 0;
      this.endGrants();
    } else grant.until = this.time.now + grant.ttl;
    return answer(200, {});
  }

  private multi(
    body: Multi,
    answer: (status: number, content: unknown) => Promise<HttpAnswer>,
  ): Promise<HttpAnswer> {
    for (const op of body.apply) {
      if ('set' in op && op.permit != null && !this.grants.has(op.permit))
        return answer(400, { error: 'no such lease' });
    }
    const failed = body.if.filter((c) => (this.keys.get(c.path)?.stamp ?? 0) !== c.stamp).map((c) => c.path);
    if (failed.length > 0) return answer(409, { failed, ledger_rev: this.revision });
    if (body.apply.length > 0) this.revision++;
    for (const op of body.apply) {
      if ('set' in op) this.change(op.set, op.v, op.permit ?? null);
      else this.remove(op.delete);
    }
    this.wake();
    return answer(200, { ledger_rev: this.revision });
  }

  private change(path: string, v: unknown, permit: number | null): void {
    this.keys.set(path, { v, stamp: this.revision, permit });
    this.changes.push({ path, v, deleted: false, stamp: this.revision });
  }

  private remove(path: string): void {
    if (this.keys.delete(path)) this.changes.push({ path, v: null, deleted: true, stamp: this.revision });
  }

  private endGrants(): void {
    if (this.down) return;
    for (const [id, grant] of this.grants) {
      if (grant.until > this.time.now) continue;
      this.grants.delete(id);
      this.revision++;
      for (const [path, entry] of this.keys) if (entry.permit === id) this.remove(path);
    }
    this.wake();
  }

  private wake(): void {
    for (const watcher of [...this.watchers]) watcher();
  }

  private watch(url: URL, refused: () => boolean): Promise<HttpAnswer> {
    const after = Number(url.searchParams.get('from'));
    const prefix = url.searchParams.get('prefix') ?? '';
    const end = this.time.now + Number(url.searchParams.get('hold_ms') ?? 0);
    return new Promise((resolve) => {
      const look = (): void => {
        // Open watches wait while nobody, or this node alone, is not served.
        if (this.down || refused()) return;
        const news = this.changes
          .filter((c) => c.stamp > after && c.path.startsWith(prefix))
          .map((c) =>
            c.deleted ? { delete: c.path, stamp: c.stamp } : { set: c.path, v: c.v, stamp: c.stamp },
          );
        if (news.length === 0 && this.time.now < end) return;
        this.watchers.delete(look);
        const body = JSON.parse(JSON.stringify({ ledger_rev: this.revision, news })) as unknown;
        resolve({ status: 200, body });
      };
      this.watchers.add(look);
      this.time.at(end, look);
      look();
    });
  }
}

interface Multi {
  if: { path: string; stamp: number }[];
  apply: ({ set: string; v: unknown; permit?: number } | { delete: string })[];
}
