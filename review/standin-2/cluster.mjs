// Stand-ins for the cases of review/REPORT-2.md: state service, cloud, workers, users and platform, written from the protocol pages.
// Everything runs in this process except the controllers, which are started with the `run` command of deploy/service.toml.
import { spawn } from 'node:child_process';
import { appendFileSync, existsSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

export const root = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
export const trouble = process.env.TROUBLE !== '0';
const startedAt = performance.now();
export const now = () => performance.now() - startedAt;
export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** The settings of the first deployment of DEPLOY-heathbridge.md, as they stand there; a case may change a field. */
export const SMALL = {
  zones: ['arequipa', 'callao', 'lima-norte'],
  teams: [0, 1, 2, 3, 4, 5].map((i) => ({ name: `almacen-0${i}`, cpus: 24, cpus_max: 48, gpus: 0, gpus_max: 0 })),
  workers: { report_s: 2, lease_s: 12, gang_wait_s: 30, gang_peer_s: 4, cancel_s: 37 },
  state: { rps: 150, write_rps: 25, value_kb: 4, txn_ops: 12 },
  cloud: { rps: 6, list_lag_s: 3 },
  resources: { core_share: 0.255, mem_mb: 178, max_connections: 1500 },
  models: [
    { label: 'mototaxi', cpus: 4, accelerators: 0, memory_gb: 16, local_gb: 50, fetch_gb_per_s: 0.25, rate: 0.16, spot_price: 0.06, ready_s: 20 },
    { label: 'camion', cpus: 64, accelerators: 0, memory_gb: 512, local_gb: 50, fetch_gb_per_s: 0.4, rate: 2.84, spot_price: 1.08, ready_s: 35 },
  ],
};

/** The deployment of Dala Velo (BRIEF-heathbridge.md). */
export const DALA_VELO = {
  zones: ['almaty-dc', 'astana-dc'],
  teams: [['almaty-ops', 88, 168], ['astana-fleet', 40, 144], ['shymkent-fleet', 72, 200], ['scooter-unit', 56, 144]].map(([name, cpus, cpus_max]) => ({
    name, cpus, cpus_max, gpus: 0, gpus_max: 0,
  })),
  workers: { report_s: 3, lease_s: 19, gang_wait_s: 30, gang_peer_s: 4, cancel_s: 49 },
  state: { rps: 200, write_rps: 40, value_kb: 32, txn_ops: 24 },
  cloud: { rps: 8, list_lag_s: 6 },
  resources: { core_share: 0.102, mem_mb: 242, max_connections: 1800 },
  models: [
    { label: 'tulpar', cpus: 4, accelerators: 0, memory_gb: 8, local_gb: 50, fetch_gb_per_s: 0.25, rate: 0.23, spot_price: 0.09, ready_s: 25 },
    { label: 'nomad', cpus: 32, accelerators: 0, memory_gb: 64, local_gb: 50, fetch_gb_per_s: 0.4, rate: 1.81, spot_price: 0.81, ready_s: 35 },
  ],
};

/** A job as a user sends it; `fields` replaces defaults. */
export function jobBody(fields) {
  return {
    ref: 'job-000001', workload: 'price-sheets', crew: 'almacen-00', shape: 'sweep', urgency: 'normal', pieces: 1, cpus: 1, accelerators: 0,
    memory_gb: 2.9, build: 'img-01', image_gb: 0.1, models: null, yard: null, together: false, apart: false, loaners: true, expected_s: 25,
    snapshot_every_s: 0, snapshot_s: 0, due_s: null, ...fields,
  };
}

function answer(res, status, body) {
  if (res.destroyed) return;
  const text = JSON.stringify(body);
  res.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) });
  res.end(text);
}

async function readBody(req) {
  const chunks = [];
  for await (const chunk of req) chunks.push(chunk);
  const text = Buffer.concat(chunks).toString();
  return { text, json: text ? JSON.parse(text) : undefined };
}

/** Sends a request; the response is null if none comes in time. `text` is the body as received. */
export function request(port, method, path, body, { timeoutMs = 4000, agent } = {}) {
  return new Promise((resolve) => {
    const text = body === undefined ? undefined : typeof body === 'string' ? body : JSON.stringify(body);
    const headers = text === undefined ? {} : { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) };
    const req = http.request({ host: '127.0.0.1', port, method, path, headers, agent });
    const timer = setTimeout(() => { req.destroy(); resolve(null); }, timeoutMs);
    req.on('error', () => { clearTimeout(timer); resolve(null); });
    req.on('response', async (res) => {
      try {
        const got = await readBody(res);
        clearTimeout(timer);
        resolve({ status: res.statusCode, text: got.text, body: got.json });
      } catch {
        clearTimeout(timer);
        resolve(null);
      }
    });
    req.end(text);
  });
}

/** Free ports below those from which the system takes the ports of outgoing connections. */
async function freePorts(count) {
  const ports = new Set();
  while (ports.size < count) {
    const port = 12_000 + Math.floor(Math.random() * 18_000);
    const server = net.createServer();
    const free = await new Promise((resolve) => {
      server.once('error', () => resolve(false));
      server.listen(port, '127.0.0.1', () => resolve(true));
    });
    if (!free) continue;
    await new Promise((resolve) => server.close(resolve));
    ports.add(port);
  }
  return [...ports];
}

class Bucket {
  constructor(rate) { Object.assign(this, { rate, left: rate, at: now() }); }
  take(n) {
    const t = now();
    this.left = Math.min(this.rate, this.left + ((t - this.at) / 1000) * this.rate);
    this.at = t;
    if (this.left < n) return false;
    this.left -= n;
    return true;
  }
}

/** The state service (PROTOCOL, "Controller nodes -> state service"). */
export class StateService {
  constructor(limits, firstRevision = 0) {
    Object.assign(this, { limits, revision: firstRevision, keys: new Map(), sorted: null, changes: [], permits: new Map(), nextPermit: 1, watchers: new Set() });
    this.requests = new Bucket(limits.rps);
    this.writes = new Bucket(limits.write_rps);
    this.timer = setInterval(() => this.expire(), 20);
  }
  async listen(port) {
    this.server = http.createServer((req, res) => void this.handle(req, res));
    this.server.keepAliveTimeout = 0;
    await new Promise((r) => this.server.listen(port, '127.0.0.1', r));
  }
  close() { clearInterval(this.timer); this.server.closeAllConnections(); this.server.close(); }
  /** Puts a key before the service is opened, as it was left by earlier nights. */
  seed(path, v) { this.keys.set(path, { v, stamp: ++this.revision, permit: null }); this.sorted = null; }
  async handle(req, res) {
    const { json } = await readBody(req);
    await sleep(3 + Math.random() * 6);
    const url = new URL(req.url, 'http://state');
    if (!this.requests.take(1)) return answer(res, 429, { error: 'too many requests' });
    if (url.pathname === '/multi') return this.multi(json, res);
    if (url.pathname === '/watch') return this.watch(url, res);
    if (url.pathname === '/store') return this.scan(url, res);
    if (url.pathname.startsWith('/store/')) {
      const path = decodeURIComponent(url.pathname.slice(7));
      const found = this.keys.get(path);
      return found ? answer(res, 200, { path, ...found }) : answer(res, 404, { ledger_rev: this.revision });
    }
    if (url.pathname === '/grants') {
      const permit = this.nextPermit++;
      this.permits.set(permit, { ttl: json.ttl_ms, end: now() + json.ttl_ms });
      return answer(res, 200, { permit });
    }
    const [, , id, touch] = url.pathname.split('/');
    const permit = this.permits.get(Number(id));
    if (!permit) return answer(res, 404, { error: 'no such lease' });
    if (touch) permit.end = now() + permit.ttl;
    else { permit.end = 0; this.expire(); }
    answer(res, 200, {});
  }
  multi({ if: conditions = [], apply = [] }, res) {
    const { write_rps, value_kb, txn_ops } = this.limits;
    if (apply.length > txn_ops || conditions.length > 4 * txn_ops) return answer(res, 400, { error: 'too many operations' });
    if (apply.some((op) => op.set && Buffer.byteLength(JSON.stringify(op.v)) > value_kb * 1024)) return answer(res, 400, { error: 'value too large' });
    if (apply.length > 0 && write_rps && !this.writes.take(apply.length)) return answer(res, 429, { error: 'too many changes' });
    if (apply.some((op) => op.set && op.permit != null && !this.permits.has(op.permit))) return answer(res, 400, { error: 'no such lease' });
    const failed = conditions.filter((c) => (this.keys.get(c.path)?.stamp ?? 0) !== c.stamp).map((c) => c.path);
    if (failed.length > 0) return answer(res, 409, { failed, ledger_rev: this.revision });
    if (apply.length > 0) this.revision++;
    for (const op of apply) {
      if (op.set) this.put(op.set, op.v, op.permit ?? null);
      else this.remove(op.delete);
    }
    answer(res, 200, { ledger_rev: this.revision });
    this.wake();
  }
  put(path, v, permit) {
    if (!this.keys.has(path)) this.sorted = null;
    this.keys.set(path, { v, stamp: this.revision, permit });
    this.changes.push({ set: path, v, stamp: this.revision });
  }
  remove(path) {
    if (!this.keys.delete(path)) return;
    this.sorted = null;
    this.changes.push({ delete: path, stamp: this.revision });
  }
  expire() {
    let changed = false;
    for (const [id, { end }] of this.permits) {
      if (end > now()) continue;
      this.permits.delete(id);
      const paths = [...this.keys].filter(([, e]) => e.permit === id).map(([path]) => path);
      if (paths.length > 0) this.revision++;
      for (const path of paths) this.remove(path);
      changed ||= paths.length > 0;
    }
    if (changed) this.wake();
  }
  wake() { for (const check of [...this.watchers]) check(); }
  watch(url, res) {
    const prefix = url.searchParams.get('prefix') ?? '';
    const from = Number(url.searchParams.get('from'));
    if (from < (this.oldest ?? 0)) return answer(res, 410, { error: 'too old' });
    const end = now() + Math.min(60000, Number(url.searchParams.get('hold_ms') ?? 0));
    const check = () => {
      const news = [];
      for (let i = this.changes.length - 1; i >= 0 && this.changes[i].stamp > from; i--)
        if ((this.changes[i].set ?? this.changes[i].delete).startsWith(prefix)) news.push(this.changes[i]);
      if (news.length === 0 && now() < end && !res.destroyed) return;
      this.watchers.delete(check);
      clearTimeout(timer);
      answer(res, 200, { ledger_rev: this.revision, news: news.reverse() });
    };
    const timer = setTimeout(check, end - now() + 1);
    this.watchers.add(check);
    check();
  }
  scan(url, res) {
    const prefix = url.searchParams.get('prefix') ?? '';
    const from = url.searchParams.get('from') ?? '';
    const limit = Math.min(1000, Number(url.searchParams.get('limit') ?? 1000));
    this.sorted ??= [...this.keys.keys()].sort((a, b) => (a < b ? -1 : 1));
    let low = 0;
    for (let high = this.sorted.length; low < high;) {
      const middle = (low + high) >> 1;
      if (this.sorted[middle] <= from) low = middle + 1;
      else high = middle;
    }
    const pairs = [];
    let bytes = 0;
    let truncated = false;
    for (let i = low; i < this.sorted.length; i++) {
      const path = this.sorted[i];
      if (!path.startsWith(prefix)) continue;
      const { v, stamp } = this.keys.get(path);
      const size = Buffer.byteLength(JSON.stringify(v)) + path.length + 40;
      if (pairs.length === limit || bytes + size > 512 * 1024) { truncated = true; break; }
      bytes += size;
      pairs.push({ path, v, stamp });
    }
    answer(res, 200, { pairs, truncated, ledger_rev: this.revision });
  }
}

/** A machine and its worker (PROTOCOL, "Workers -> controller nodes"). */
export class Worker {
  constructor(cluster, { name, model, yard, loaners }) {
    Object.assign(this, { cluster, name, model, yard, loaners, up: true, mute: false, shift: 1, tick: 0, baton: 0, pieces: new Map(), images: new Set() });
    this.leaseFrom = now();
    this.node = cluster.workerCount++ % cluster.nodes.length;
    this.nextAt = now() + Math.random() * 300;
    this.lastReportAt = -1e9;
    this.agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    this.server = http.createServer((req, res) => void this.direct(req, res));
    this.server.listen(0, '127.0.0.1');
    this.timer = setInterval(() => this.loop(), 20);
  }
  stop() {
    this.up = false;
    clearInterval(this.timer);
    this.dropAll('machine gone');
    this.agent.destroy();
    this.server.closeAllConnections();
    this.server.close();
  }
  loop() {
    if (now() - this.leaseFrom > this.cluster.facts.workers.lease_s * 1000) {
      if (this.pieces.size > 0) this.cluster.log(`${this.name}: lease expired, ${this.pieces.size} tasks killed and forgotten`);
      this.dropAll('lease expired');
      this.shift++;
      this.leaseFrom = now();
      this.changed();
    }
    if (!this.busy && now() >= this.nextAt) void this.report();
  }
  changed() { this.nextAt = Math.min(this.nextAt, Math.max(now(), this.lastReportAt + 500)); }
  body() {
    return {
      velodrome: this.name, address: `127.0.0.1:${this.server.address()?.port ?? 0}`, model: this.model.label, yard: this.yard, loaners: this.loaners,
      shift: this.shift, tick: ++this.tick, baton: this.baton, recall_s: null,
      pieces: [...this.pieces.values()].map(({ piece, try: t, status, exit_reason }) => ({ piece, try: t, status, ...(exit_reason ? { exit_reason } : {}) })),
    };
  }
  async report() {
    this.busy = true;
    this.lastReportAt = now();
    this.nextAt = now() + this.cluster.facts.workers.report_s * 1000 * (0.75 + Math.random() * 0.5);
    const { shift } = this;
    const sentAt = now();
    const body = this.body();
    const node = this.node;
    this.cluster.onReport?.(this, node, body);
    const res = this.mute ? await sleep(4000).then(() => null) : await request(this.cluster.nodes[node].port, 'POST', '/hello', body, { agent: this.agent });
    this.busy = false;
    if (!this.up) return;
    this.cluster.onReportAnswered?.(this, node, body, res);
    if (res?.status === 200) {
      if (shift !== this.shift || !(res.body.baton >= this.baton)) return;
      if (res.body.baton > this.baton) this.changed();
      this.baton = res.body.baton;
      this.leaseFrom = sentAt;
      for (const order of res.body.orders) this.obey(order);
      return;
    }
    const named = res?.status === 421 ? this.cluster.nodes.findIndex(({ member }) => member === res.body?.dispatcher) : -1;
    this.agent.destroy();
    this.agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    if (named >= 0 && named !== node) {
      this.node = named;
      this.nextAt = now() + Math.random() * 500;
    } else {
      this.node = (node + 1) % this.cluster.nodes.length;
      this.nextAt = now() + 1000;
    }
  }
  async direct(req, res) {
    const { json } = await readBody(req);
    if (req.url === '/show') return answer(res, 200, this.body());
    if (req.url !== '/do') return answer(res, 404, {});
    if (json?.baton === undefined || json?.shift === undefined) return answer(res, 400, {});
    if (json.baton < this.baton || json.shift !== this.shift) return answer(res, 409, this.body());
    this.baton = json.baton;
    for (const order of json.orders ?? []) this.obey(order);
    answer(res, 200, this.body());
  }
  obey({ order, piece, try: attempt, wind_down_s = 0 }) {
    const task = this.pieces.get(piece);
    if (order === 'reap') {
      if (task?.status === 'ended' && task.try === attempt) this.pieces.delete(piece);
    } else if (order === 'kill') {
      if (!task || task.try !== attempt || task.status === 'ended') return;
      void wind_down_s; // the jobs of these cases have no checkpoints
      this.end(task, 'stopped');
    } else this.start(piece, attempt);
  }
  start(piece, attempt) {
    const known = this.pieces.get(piece);
    if (known?.try === attempt) return;
    const job = this.cluster.jobs.get(piece.slice(0, piece.lastIndexOf('/')));
    const refuse = (exit_reason) => this.pieces.set(`${piece}`, { piece, try: attempt, status: 'ended', exit_reason });
    if (known && known.status !== 'ended') return;
    this.changed();
    if (!job) return refuse('no_such');
    if (this.used('cpus') + job.cpus > this.model.cpus + 1e-6 || this.used('memory_gb') + job.memory_gb > this.model.memory_gb + 1e-6) return refuse('full');
    const task = { piece, try: attempt, status: 'pulling', job };
    this.pieces.set(piece, task);
    const fetchMs = this.images.has(job.build) ? 0 : (job.image_gb / this.model.fetch_gb_per_s) * 1000;
    task.timer = setTimeout(() => {
      this.images.add(job.build);
      task.status = 'running';
      this.changed();
      this.cluster.taskOn(this, task);
      // A machine that fails every task that it starts.
      if (this.failing) task.timer = setTimeout(() => this.end(task, 'error'), 300);
      else task.timer = setTimeout(() => this.end(task, 'done'), this.cluster.runSeconds(job, piece) * 1000);
    }, fetchMs);
  }
  used(field) {
    let sum = 0;
    for (const { status, job } of this.pieces.values()) if (status !== 'ended') sum += job[field];
    return sum;
  }
  end(task, reason) {
    clearTimeout(task.timer);
    if (task.status === 'running') this.cluster.taskOff(this, task, reason);
    task.status = 'ended';
    task.exit_reason = reason;
    this.changed();
  }
  dropAll(why) {
    for (const task of this.pieces.values()) {
      clearTimeout(task.timer);
      if (task.status === 'running') this.cluster.taskOff(this, task, why);
    }
    this.pieces.clear();
  }
}

/** The cloud (PROTOCOL, "Controller nodes -> cloud"). `capacity` is the number of machines of a kind that may exist: `model/yard/loaners`. */
export class Cloud {
  constructor(cluster, { models, capacity, bootS = 2 }) {
    Object.assign(this, { cluster, models, capacity, bootS, machines: new Map(), orders: new Map(), nextName: 1, calls: new Bucket(cluster.facts.cloud.rps * 2) });
  }
  async listen(port) {
    this.server = http.createServer((req, res) => void this.handle(req, res));
    this.server.keepAliveTimeout = 0;
    await new Promise((r) => this.server.listen(port, '127.0.0.1', r));
  }
  close() {
    for (const { worker, timer } of this.machines.values()) { clearTimeout(timer); worker?.stop(); }
    this.server.closeAllConnections();
    this.server.close();
  }
  model(label) { return this.models.find((m) => m.label === label); }
  rent(label, yard, loaners, bootS = this.bootS) {
    const name = `i-${String(this.nextName++).padStart(6, '0')}`;
    const machine = { name, label, yard, loaners, rentedAt: now(), worker: null, goneAt: null };
    this.machines.set(name, machine);
    const up = () => {
      machine.worker = new Worker(this.cluster, { name, model: this.model(label), yard, loaners });
      this.cluster.log(`${name}: ${label} in ${yard} is up`);
    };
    if (bootS === 0) up();
    else machine.timer = setTimeout(up, bootS * 1000);
    return machine;
  }
  async handle(req, res) {
    const { json } = await readBody(req);
    await sleep(20);
    const url = new URL(req.url, 'http://cloud');
    if (!this.calls.take(1)) return answer(res, 429, { error: 'too many requests' });
    if (url.pathname === '/catalog') {
      return answer(res, 200, { models: this.models.map((m) => ({ ...m, yards: this.cluster.facts.zones })) });
    }
    if (url.pathname === '/rentals/return') {
      for (const name of json.velodromes) {
        const machine = this.machines.get(name);
        if (!machine || machine.goneAt !== null) continue;
        machine.goneAt = now();
        clearTimeout(machine.timer);
        machine.worker?.stop();
        this.cluster.log(`${name}: returned to the cloud`);
      }
      return answer(res, 200, {});
    }
    if (req.method === 'POST') return this.order(json, res);
    const lagMs = this.cluster.facts.cloud.list_lag_s * 1000;
    const at = now() - lagMs;
    const from = url.searchParams.get('from') ?? '';
    const limit = Math.min(500, Number(url.searchParams.get('limit') ?? 500));
    const all = [...this.machines.values()].filter((m) => m.name > from && m.rentedAt <= at && (m.goneAt === null || m.goneAt > at));
    answer(res, 200, {
      velodromes: all.slice(0, limit).map((m) => ({
        ref: m.name, address: '127.0.0.1:9', model: m.label, yard: m.yard, loaners: m.loaners, status: m.worker ? 'running' : 'booting', age_s: (at - m.rentedAt) / 1000,
      })),
      truncated: all.length > limit,
    });
  }
  order({ hire_order, model, yard, loaners, how_many }, res) {
    if (this.orders.has(hire_order)) return answer(res, 200, this.orders.get(hire_order));
    const key = `${model}/${yard}/${loaners}`;
    const present = [...this.machines.values()].filter((m) => m.goneAt === null && `${m.label}/${m.yard}/${m.loaners}` === key).length;
    const count = Math.min(how_many, (this.capacity[key] ?? 0) - present);
    if (!this.model(model) || count <= 0) return answer(res, 503, { error: 'no capacity' });
    const velodromes = Array.from({ length: count }, () => this.rent(model, yard, loaners).name);
    this.cluster.log(`cloud: rented ${velodromes.join(' ')} (${key}), order ${hire_order}`);
    this.orders.set(hire_order, { velodromes });
    answer(res, 200, { velodromes });
  }
}

/** A deployment: three controllers as separate processes, and the stand-ins. */
export class Cluster {
  static async start({ folder, deployment = SMALL, facts = {}, models = deployment.models, capacity = {}, firstRevision = 0, seed, nodes = 3, bootS, memoryLimit = false }) {
    const cluster = new Cluster();
    cluster.record = join(folder, 'record.txt');
    writeFileSync(cluster.record, `TROUBLE=${trouble ? 1 : 0}\n`);
    const { zones, teams, workers, state, cloud, resources } = deployment;
    cluster.facts = { nodes, zones, teams, objectives: [], workers, state, cloud, resources, time_bound_ms: 250, ...facts };
    Object.assign(cluster, { jobs: new Map(), on: new Map(), violations: [], workerCount: 0, memoryLimit, ended: false });
    cluster.temporary = mkdtempSync(join(tmpdir(), 'review-'));
    const ports = await freePorts(2 + 2 * nodes);
    cluster.nodes = Array.from({ length: nodes }, (_, i) => ({
      member: `velodrome-${i}`, site: zones[(i + 2) % zones.length], port: ports[2 + 2 * i], peerPort: ports[3 + 2 * i], child: null, kills: 0, ends: 0,
    }));
    cluster.ports = ports;
    cluster.state = new StateService(cluster.facts.state, firstRevision);
    seed?.(cluster.state);
    await cluster.state.listen(ports[0]);
    cluster.cloud = new Cloud(cluster, { models, capacity, bootS });
    await cluster.cloud.listen(ports[1]);
    process.on('exit', () => cluster.killAll());
    for (const signal of ['SIGINT', 'SIGTERM']) process.on(signal, () => process.exit(2));
    return cluster;
  }
  log(text) { appendFileSync(this.record, `${(now() / 1000).toFixed(3).padStart(8)} ${text}\n`); }
  killAll() {
    for (const { child } of this.nodes) if (child && child.exitCode === null) try { child.kill('SIGKILL'); } catch {}
    rmSync(this.temporary, { recursive: true, force: true });
  }
  settings(i) {
    const { member, site, port, peerPort } = this.nodes[i];
    return {
      member, site, serve_on: `127.0.0.1:${port}`, cluster_listen: `127.0.0.1:${peerPort}`,
      peers: this.nodes.filter((_, j) => j !== i).map((n) => ({ member: n.member, site: n.site, addr: `127.0.0.1:${n.peerPort}` })),
      external: { cloud: `127.0.0.1:${this.ports[1]}`, state: `127.0.0.1:${this.ports[0]}` },
      facts: this.facts,
    };
  }
  startNode(i) {
    if (this.ended) return;
    const node = this.nodes[i];
    const path = join(this.temporary, `settings-${i}.json`);
    writeFileSync(path, JSON.stringify(this.settings(i)));
    const [program, ...args] = /^run = "(.*)"$/m.exec(readFileSync(join(root, 'deploy/service.toml'), 'utf8'))[1].split(' ');
    node.child = spawn(program, [...args, path], { cwd: root, env: { ...process.env, LOG_LEVEL: process.env.LOG_LEVEL ?? 'error' }, stdio: ['ignore', 'ignore', process.env.SHOW_LOG ? 'inherit' : 'ignore'] });
    node.startedAt = now();
    this.log(`platform: ${node.member} started`);
    const { child } = node;
    child.on('exit', (code, signal) => {
      node.ends++;
      if (!this.ended) this.log(`platform: ${node.member} ended (${signal ?? code})`);
    });
  }
  /** Kills a process without a signal that it could handle, as the platform does. */
  async killNode(i) {
    const { child, member } = this.nodes[i];
    this.log(`platform: ${member} killed`);
    const gone = new Promise((resolve) => child.once('exit', resolve));
    child.kill('SIGKILL');
    await gone;
  }
  rssMb(i) {
    const pid = this.nodes[i].child?.pid;
    const path = `/proc/${pid}/status`;
    if (!pid || !existsSync(path)) return 0;
    return Number(/VmRSS:\s+(\d+)/.exec(readFileSync(path, 'utf8'))?.[1] ?? 0) / 1024;
  }
  /** Waits until a condition holds; false if it does not within the time. */
  async until(condition, seconds, stepMs = 100) {
    for (const end = now() + seconds * 1000; now() < end;) {
      if (await condition()) return true;
      await sleep(stepMs);
    }
    return false;
  }
  async ready(i) { return (await request(this.nodes[i].port, 'GET', '/ready', undefined, { timeoutMs: 1000 }))?.status === 200; }
  async status(i) { return (await request(this.nodes[i].port, 'GET', '/status', undefined, { timeoutMs: 1000 }))?.body ?? null; }
  /** The number of the controller that owns a team, by `GET /status`, and the record of its partition; null if none says so. */
  async ownerOf(team) {
    for (const [path, { v }] of this.state.keys)
      if (path.startsWith('hb/part/') && v.teams.includes(team)) return this.nodes.findIndex(({ member }) => member === v.owner);
    return null;
  }
  /** Sends a job to controller `i`, and again after 1 s as long as the protocol tells a user to. */
  async submit(fields, i = 0, seconds = 60, runS = 25) {
    const body = jobBody(fields);
    this.jobs.set(body.ref, { ...body, runS });
    for (const end = now() + seconds * 1000; ;) {
      const res = await request(this.nodes[i].port, 'POST', '/v2/runs', body, { timeoutMs: 5000 });
      this.log(`user: ${body.ref} (${body.crew}, ${body.pieces} x ${body.cpus} cpus) sent to ${this.nodes[i].member}: ${res?.status ?? 'no response'} ${res?.text ?? ''}`);
      if (res && [200, 201, 400, 422].includes(res.status)) return res;
      if (now() > end) return res;
      await sleep(1000);
    }
  }
  async ask(ref, i) {
    const res = await request(this.nodes[i].port, 'GET', `/v2/runs/${ref}`, undefined, { timeoutMs: 2000 });
    this.log(`user: ${ref} asked at ${this.nodes[i].member}: ${res?.status ?? 'no response'} ${res?.text ?? ''}`);
    return res;
  }
  /** Asks until a job is done; false if it is not within the time. */
  async done(ref, seconds, i = 0) {
    return this.until(async () => (await this.ask(ref, i))?.body?.status === 'done', seconds, 1000);
  }
  runSeconds(job) { return job.runS; }
  taskOn(worker, task) {
    const { piece, job } = task;
    const other = this.on.get(piece);
    this.log(`${worker.name}: ${piece} (try ${task.try}) is on the machine`);
    if (other) this.violate(`ran_twice: ${piece} starts on ${worker.name} while it is on ${other.name}`);
    this.on.set(piece, worker);
    const used = this.usage(job.crew);
    const limit = this.facts.teams.find(({ name }) => name === job.crew).cpus_max;
    if (limit > 0 && used > limit + 1e-6) this.violate(`quota: the tasks of ${job.crew} use ${used} CPUs of ${limit}`);
  }
  usage(crew) {
    let used = 0;
    for (const piece of this.on.keys()) {
      const job = this.jobs.get(piece.slice(0, piece.lastIndexOf('/')));
      if (job.crew === crew) used += job.cpus;
    }
    return used;
  }
  taskOff(worker, { piece }, why) {
    if (this.on.get(piece) === worker) this.on.delete(piece);
    this.onTaskOff?.(why);
    if (!this.ended) this.log(`${worker.name}: ${piece} is off the machine (${why})`);
  }
  violate(text) {
    this.violations.push(text);
    this.log(`BROKEN ${text}`);
  }
  /** Ends everything and the process: 1 if a rule was broken, 0 if all held. */
  finish(code = this.violations.length > 0 ? 1 : 0, text = '') {
    this.log(`result: ${code} ${text || this.violations[0] || 'held'}`);
    console.log(`result: ${code} ${text || this.violations[0] || 'held'}`);
    this.ended = true;
    this.killAll();
    process.exit(code);
  }
}

/** Runs a case; a failure of the case itself, or more than 115 s, ends it with 2. */
export async function runCase(options, play) {
  const cluster = await Cluster.start(options);
  const limit = setTimeout(() => cluster.finish(2, 'the case could not run in its time'), 116_000);
  limit.unref?.();
  try {
    await play(cluster);
  } catch (error) {
    cluster.finish(2, `the case could not run: ${error.stack}`);
  }
}
