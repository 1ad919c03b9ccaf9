// The cloud, as PROTOCOL "Controller nodes -> cloud" describes it.
import http from 'node:http';
import { readJson, sendJson } from './http.mjs';
import { Worker } from './worker.mjs';

const now = () => performance.now();

export class Cloud {
  /** `bootMs(machine)`: time from the rental until the worker reports. `capacity(model, yard, loaners)`: machines to be had. */
  constructor(world, { types, lagMs, bootMs, capacity, record }) {
    Object.assign(this, { world, types, lagMs, bootMs, capacity, record });
    this.machines = new Map();
    this.orders = new Map();
    this.snapshots = [];
    this.count = 0;
    this.down = false;
    this.sockets = new Set();
    this.timer = setInterval(() => this.snapshot(), 200);
  }
  async listen() {
    this.server = http.createServer((req, res) => {
      void readJson(req).then((body) => setTimeout(() => this.handle(req, res, body), 80));
    });
    this.server.keepAliveTimeout = 0;
    this.server.on('connection', (s) => {
      this.sockets.add(s);
      s.on('close', () => this.sockets.delete(s));
    });
    await new Promise((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    return this.server.address().port;
  }
  close() {
    clearInterval(this.timer);
    this.server.close();
    for (const s of this.sockets) s.destroy();
    for (const m of this.machines.values()) {
      clearTimeout(m.timer);
      m.worker?.close();
    }
  }
  workers() {
    return [...this.machines.values()].flatMap((m) => (m.worker?.up ? [m.worker] : []));
  }
  add(model, yard, loaners, bootMs) {
    const ref = `i-${String(++this.count).padStart(6, '0')}`;
    const m = { ref, model, yard, loaners, status: 'booting', at: now(), worker: null };
    this.machines.set(ref, m);
    const boot = () => {
      m.status = 'running';
      m.worker = new Worker(this.world, m);
    };
    if (bootMs === 0) boot();
    else m.timer = setTimeout(boot, bootMs);
    return ref;
  }
  /** The cloud takes a machine away: everything on it is gone and it is listed no more. */
  remove(ref, why) {
    const m = this.machines.get(ref);
    if (!m) return;
    clearTimeout(m.timer);
    m.worker?.stop(why);
    m.gone = true;
    this.retired ??= [];
    if (m.worker) this.retired.push(m.worker);
    this.machines.delete(ref);
  }
  snapshot() {
    const rows = [...this.machines.values()]
      .filter((m) => !m.gone)
      .sort((a, b) => (a.ref < b.ref ? -1 : 1))
      .map(({ ref, model, yard, loaners, status, at }) => ({ ref, address: '127.0.0.1:9', model, yard, loaners, status, age_s: (now() - at) / 1000 }));
    this.snapshots.push({ at: now(), rows });
    if (this.snapshots.length > 200) this.snapshots.shift();
  }
  handle(req, res, body) {
    const url = new URL(req.url, 'http://cloud');
    if (this.down) return sendJson(res, 503, { error: 'trouble' });
    if (url.pathname === '/catalog') return sendJson(res, 200, { models: this.types });
    if (url.pathname === '/rentals/return') {
      for (const ref of body.velodromes) this.remove(ref, 'returned');
      this.record('cloud', 'returned', { machines: body.velodromes });
      return sendJson(res, 200, {});
    }
    if (req.method === 'POST') return this.rent(body, res);
    const from = url.searchParams.get('from') ?? '';
    const limit = Math.min(500, Number(url.searchParams.get('limit') ?? 500));
    const old = this.snapshots.filter((s) => s.at <= now() - this.lagMs).pop();
    const rows = (old?.rows ?? []).filter((r) => r.ref > from);
    return sendJson(res, 200, { velodromes: rows.slice(0, limit), truncated: rows.length > limit });
  }
  rent({ hire_order, model, yard, loaners, how_many }, res) {
    const repeated = this.orders.get(hire_order);
    if (repeated) return sendJson(res, 200, { velodromes: repeated });
    const used = [...this.machines.values()].filter((m) => m.model === model && m.yard === yard && m.loaners === loaners);
    const n = Math.min(how_many, this.capacity(model, yard, loaners) - used.length);
    this.record('cloud', 'rental', { model, yard, loaners, asked: how_many, rented: Math.max(0, n) });
    if (n <= 0) return sendJson(res, 503, { error: 'no capacity' });
    const refs = Array.from({ length: n }, () => this.add(model, yard, loaners, this.bootMs({ model, yard, loaners })));
    this.orders.set(hire_order, refs);
    return sendJson(res, 200, { velodromes: refs });
  }
}
