// State service, as PROTOCOL "Controller nodes -> state service" describes it. One HTTP port for each controller, so that a
// single controller can be refused or delayed.
import http from 'node:http';
import { readJson, sendJson } from './http.mjs';

const KEPT_CHANGES = 10_000;
const MAX_BODY_BYTES = 64 * 1024;
const now = () => performance.now();
const bytes = (value) => Buffer.byteLength(JSON.stringify(value));

class Bucket {
  constructor(rate) {
    this.setRate(rate);
    this.tokens = rate;
    this.at = now();
  }
  setRate(rate) {
    this.rate = rate;
  }
  take(n) {
    const t = now();
    this.tokens = Math.min(this.rate, this.tokens + ((t - this.at) / 1000) * this.rate);
    this.at = t;
    if (this.tokens < n) return false;
    this.tokens -= n;
    return true;
  }
}

export class Store {
  constructor({ rps, write_rps, value_kb, txn_ops }, record) {
    this.limits = { value_kb, txn_ops };
    this.requests = new Bucket(rps);
    this.writes = new Bucket(write_rps);
    this.record = record;
    this.keys = new Map();
    this.changes = [];
    this.leases = new Map();
    this.watches = new Set();
    this.rev = 0;
    this.nextLease = 1;
    this.down = false;
    this.latencyMs = 4;
    this.refused = new Set();
    this.rejected = 0;
    /** Called with (controller, transaction body); returns null, or {atOnce} or {lateMs}: the answer is lost. */
    this.disturb = () => null;
    /** Called with (controller, transaction body) once a transaction is carried out. */
    this.onApplied = () => undefined;
    /** Called with (controller, transaction body); returns by how many milliseconds its answer comes later than usual. */
    this.answerDelay = () => 0;
    this.servers = [];
    this.sockets = new Set();
    this.timer = setInterval(() => this.expire(), 25);
  }
  /** Opens a port for one controller. */
  async listen(controller) {
    const server = http.createServer((req, res) => {
      void readJson(req).then((body) => this.handle(controller, req, res, body));
    });
    server.keepAliveTimeout = 0;
    server.on('connection', (s) => {
      this.sockets.add(s);
      s.on('close', () => this.sockets.delete(s));
    });
    await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve));
    this.servers.push(server);
    return server.address().port;
  }
  close() {
    clearInterval(this.timer);
    for (const s of this.servers) s.close();
    for (const s of this.sockets) s.destroy();
  }
  /** The limits change without notice; what is stored stays readable. */
  lowerLimits({ value_kb, txn_ops, write_rps }) {
    this.limits = { value_kb, txn_ops };
    this.writes.setRate(write_rps);
    this.record('store', 'limits lowered', { value_kb, txn_ops, write_rps });
  }
  outage(on) {
    this.down = on;
    this.record('store', on ? 'outage begins' : 'outage ends');
    if (on) return;
    for (const lease of this.leases.values()) lease.endsAt = now() + lease.ttl;
    this.notify();
  }
  refuse(controller, on) {
    if (on) this.refused.add(controller);
    else this.refused.delete(controller);
    this.record('store', on ? 'refuses' : 'serves again', { controller });
    this.notify();
  }
  unavailable(controller) {
    return this.down || this.refused.has(controller);
  }
  async handle(controller, req, res, body) {
    await new Promise((resolve) => setTimeout(resolve, this.latencyMs * (0.5 + Math.random())));
    const url = new URL(req.url, 'http://store');
    const answer = (status, content) => sendJson(res, status, content);
    if (this.unavailable(controller)) return answer(503, { error: 'unavailable' });
    if (!this.requests.take(1)) return answer(429, {});
    if (url.pathname === '/watch') return this.watch(controller, url, res);
    if (url.pathname === '/store') return answer(200, this.page(url));
    if (url.pathname.startsWith('/store/')) {
      const path = url.pathname.slice('/store/'.length);
      const entry = this.keys.get(path);
      return entry ? answer(200, { path, ...entry }) : answer(404, { ledger_rev: this.rev });
    }
    if (url.pathname === '/multi') {
      const trouble = this.disturb(controller, body);
      if (!trouble) {
        const result = this.multi(controller, body);
        const delay = this.answerDelay(controller, body);
        return delay > 0 ? void setTimeout(() => answer(...result), delay) : answer(...result);
      }
      this.record('store', 'transaction without an answer', { controller, ...trouble, paths: paths(body) });
      setTimeout(() => {
        const [status] = this.multi(controller, body);
        this.record('store', 'that transaction is carried out', { controller, status, paths: paths(body) });
      }, trouble.lateMs ?? 0);
      return;
    }
    if (url.pathname === '/grants') {
      const id = this.nextLease++;
      this.leases.set(id, { ttl: body.ttl_ms, endsAt: now() + body.ttl_ms });
      return answer(200, { permit: id });
    }
    const id = Number(url.pathname.split('/')[2]);
    const lease = this.leases.get(id);
    if (!lease) return answer(404, {});
    if (req.method === 'DELETE') {
      lease.endsAt = 0;
      this.expire();
    } else lease.endsAt = now() + lease.ttl;
    return answer(200, {});
  }
  page(url) {
    const prefix = url.searchParams.get('prefix') ?? '';
    const from = url.searchParams.get('from') ?? '';
    const limit = Math.min(1000, Number(url.searchParams.get('limit') ?? 1000));
    const all = [...this.keys.keys()].filter((k) => k.startsWith(prefix) && k > from).sort((a, b) => (a < b ? -1 : 1));
    const pairs = all.slice(0, limit).map((path) => ({ path, v: this.keys.get(path).v, stamp: this.keys.get(path).stamp }));
    return { pairs, truncated: all.length > pairs.length, ledger_rev: this.rev };
  }
  multi(controller, { if: conditions = [], apply = [] }) {
    const { value_kb, txn_ops } = this.limits;
    const reject = (error) => {
      this.rejected++;
      this.record('store', 'transaction rejected (400)', { controller, error, paths: paths({ apply }), conditions: conditions.length });
      return [400, { error }];
    };
    if (apply.length > txn_ops) return reject('too many changes');
    if (conditions.length > 4 * txn_ops) return reject('too many conditions');
    if (bytes({ if: conditions, apply }) > MAX_BODY_BYTES) return reject('too large');
    for (const op of apply) if ('set' in op && bytes(op.v) > value_kb * 1024) return reject('value too large');
    if (apply.length > 0 && !this.writes.take(apply.length)) return [429, {}];
    for (const op of apply)
      if ('set' in op && op.permit != null && !this.leases.has(op.permit)) return [400, { error: 'no such lease' }];
    const failed = conditions.filter((c) => (this.keys.get(c.path)?.stamp ?? 0) !== c.stamp).map((c) => c.path);
    if (failed.length > 0) return [409, { failed, ledger_rev: this.rev }];
    if (apply.length > 0) this.rev++;
    for (const op of apply) {
      if ('set' in op) {
        this.keys.set(op.set, { v: op.v, stamp: this.rev, permit: op.permit ?? null });
        this.changes.push({ set: op.set, v: op.v, stamp: this.rev });
      } else this.remove(op.delete);
    }
    if (this.changes.length > KEPT_CHANGES) this.changes.splice(0, this.changes.length - KEPT_CHANGES);
    this.notify();
    this.onApplied(controller, { if: conditions, apply });
    return [200, { ledger_rev: this.rev }];
  }
  remove(path) {
    if (this.keys.delete(path)) this.changes.push({ delete: path, stamp: this.rev });
  }
  expire() {
    if (this.down) return;
    for (const [id, lease] of this.leases) {
      if (lease.endsAt > now()) continue;
      this.leases.delete(id);
      const attached = [...this.keys].filter(([, e]) => e.permit === id).map(([path]) => path);
      if (attached.length === 0) continue;
      this.rev++;
      for (const path of attached) this.remove(path);
      this.notify();
    }
  }
  notify() {
    for (const check of [...this.watches]) check();
  }
  watch(controller, url, res) {
    const from = Number(url.searchParams.get('from'));
    const prefix = url.searchParams.get('prefix') ?? '';
    if (this.changes.length === KEPT_CHANGES && this.changes[0].stamp > from + 1) return sendJson(res, 410, {});
    const endsAt = now() + Math.min(60_000, Number(url.searchParams.get('hold_ms') ?? 0));
    const check = () => {
      if (res.destroyed) return this.watches.delete(check);
      if (this.unavailable(controller)) return;
      const news = this.changes.filter((c) => c.stamp > from && (c.set ?? c.delete).startsWith(prefix));
      if (news.length === 0 && now() < endsAt) return;
      this.watches.delete(check);
      sendJson(res, 200, { ledger_rev: this.rev, news });
    };
    this.watches.add(check);
    setTimeout(check, Math.max(0, endsAt - now()) + 1);
    check();
  }
}

function paths({ apply = [] }) {
  return apply.map((op) => op.set ?? `-${op.delete}`);
}
