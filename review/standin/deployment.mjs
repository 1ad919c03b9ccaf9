// A small deployment on loopback: controllers as separate processes, started with the deploy file's command, and stand-ins for
// everything that they talk to.
import { spawn } from 'node:child_process';
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Cloud } from './cloud.mjs';
import { call } from './http.mjs';
import { Store } from './store.mjs';

export const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
export const now = () => performance.now();
export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
const FIRST_PORT = 12_000;
const PORT_COUNT = 18_000;
const PROBE_MS = 1000;
const MAX_CASE_MS = 117_000;

/** The small deployment of Ruedandina (DEPLOY-heathbridge.md, BRIEF-heathbridge.md). */
export const LIMA = {
  zones: ['lima-norte', 'callao', 'arequipa'],
  controllers: 3,
  teams: ['almacen-00'].map((name) => ({ name, cpus: 24, cpus_max: 48, gpus: 0, gpus_max: 0 })),
  workers: { report_s: 2, lease_s: 12, gang_wait_s: 30, gang_peer_s: 4, cancel_s: 37 },
  state: { rps: 150, write_rps: 25, value_kb: 4, txn_ops: 12 },
  cloud: { rps: 6, list_lag_s: 3 },
  types: [
    { label: 'mototaxi', cpus: 4, accelerators: 0, memory_gb: 16, local_gb: 50, fetch_gb_per_s: 0.25, rate: 0.16, spot_price: 0.06, ready_s: 20 },
    { label: 'camion', cpus: 64, accelerators: 0, memory_gb: 512, local_gb: 50, fetch_gb_per_s: 0.4, rate: 2.84, spot_price: 1.08, ready_s: 35 },
  ],
  bootMs: () => 20_000,
  capacity: (model) => (model === 'mototaxi' ? 8 : 1),
  objectives: [
    { kind: 'deadline', class: 'price-sheets', share: 0.85, times: 1 },
    { kind: 'deadline', class: 'pick-plan', share: 0.82, times: 1 },
    { kind: 'finished', class: 'stock-photos', within_s: 250, share: 0.8 },
  ],
};

/** Free ports below those from which the system takes the ports of outgoing connections. */
export async function freePorts(n) {
  const ports = new Set();
  while (ports.size < n) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORT_COUNT);
    const server = createServer();
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

export class Deployment {
  static async start(site, options) {
    const d = new Deployment();
    await d.open(site, options);
    return d;
  }
  async open(site, { recordFile, runMs, machines, settings: extra = {}, before }) {
    this.site = site;
    this.startedAt = now();
    this.out = createWriteStream(recordFile);
    this.record = (who, what, more = {}) =>
      this.out.write(`${((now() - this.startedAt) / 1000).toFixed(3).padStart(8)} ${who}: ${what} ${JSON.stringify(more)}\n`);
    this.folder = mkdtempSync(join(tmpdir(), 'review-'));
    this.processes = new Map();
    this.names = Array.from({ length: site.controllers }, (_, i) => `velodrome-${i}`);
    const ports = await freePorts(2 * site.controllers);
    this.nodes = new Map(this.names.map((n, i) => [n, ports[2 * i]]));
    this.peerPorts = new Map(this.names.map((n, i) => [n, ports[2 * i + 1]]));
    this.jobs = new Map();
    this.done = new Set();
    const world = (this.world = {
      names: this.names,
      nodes: new Map(this.nodes),
      jobs: this.jobs,
      done: this.done,
      saved: new Map(),
      types: site.types.map((t) => ({ ...t, yards: site.zones })),
      reportMs: site.workers.report_s * 1000,
      leaseMs: site.workers.lease_s * 1000,
      runMs,
      record: this.record,
    });
    this.store = new Store(site.state, this.record);
    this.cloud = new Cloud(world, { types: world.types, lagMs: site.cloud.list_lag_s * 1000, bootMs: site.bootMs, capacity: site.capacity, record: this.record });
    before?.(this);
    const cloudPort = await this.cloud.listen();
    for (const name of this.names) {
      const others = this.names.filter((n) => n !== name);
      const zone = (n) => site.zones[this.names.indexOf(n) % site.zones.length];
      const settings = {
        member: name,
        site: zone(name),
        serve_on: `127.0.0.1:${this.nodes.get(name)}`,
        cluster_listen: `127.0.0.1:${this.peerPorts.get(name)}`,
        peers: others.map((n) => ({ member: n, site: zone(n), addr: `127.0.0.1:${this.peerPorts.get(n)}` })),
        external: { cloud: `127.0.0.1:${cloudPort}`, state: `127.0.0.1:${await this.store.listen(name)}` },
        facts: {
          nodes: site.controllers,
          zones: [...site.zones].sort(),
          teams: site.teams,
          objectives: site.objectives,
          workers: site.workers,
          state: { ...site.state, ...extra.state },
          cloud: site.cloud,
          resources: { core_share: 0.255, mem_mb: 178, max_connections: 1500 },
          time_bound_ms: 250,
        },
      };
      writeFileSync(join(this.folder, `${name}.json`), JSON.stringify(settings, null, 1));
      this.startController(name);
    }
    for (const m of machines) this.cloud.add(m.model, m.yard, m.loaners, 0);
    this.healthy = new Set();
    this.prober = setInterval(() => void this.probe(), PROBE_MS / 2);
    this.next = 0;
  }
  /** Runs the `run` command of the deploy file; the settings file is appended. */
  startController(name) {
    if (this.stopped) return;
    const run = /^run = "(.*)"$/m.exec(readFileSync(join(ROOT, 'deploy', 'service.toml'), 'utf8'))[1];
    const [program, ...args] = run.split(' ');
    const child = spawn(program, [...args, join(this.folder, `${name}.json`)], {
      cwd: ROOT,
      env: { ...process.env, LOG_LEVEL: process.env.LOG_LEVEL ?? 'info' },
      stdio: ['ignore', 'ignore', 'pipe'],
    });
    child.stderr.on('data', (text) => {
      for (const line of String(text).trimEnd().split('\n')) this.record(name, 'log', { line });
    });
    child.on('exit', (code, signal) => this.record(name, 'process ended', { code, signal }));
    this.processes.set(name, child);
    this.record(name, 'process started', { pid: child.pid });
  }
  signal(name, signal) {
    this.record(name, 'signal', { signal });
    this.processes.get(name).kill(signal);
  }
  async restart(name, afterMs) {
    this.signal(name, 'SIGKILL');
    await sleep(afterMs);
    this.startController(name);
  }
  async probe() {
    await Promise.all(
      this.names.map(async (name) => {
        const answer = await call(this.nodes.get(name), 'GET', '/ready', undefined, 1000);
        if (answer?.status === 200) this.healthy.add(name);
        else this.healthy.delete(name);
      }),
    );
  }
  /** A node, as a load balancer would choose one. */
  pick() {
    const names = this.healthy.size > 0 ? [...this.healthy] : this.names;
    return names[this.next++ % names.length];
  }
  async ready(count = this.names.length, withinMs = 15_000) {
    const end = now() + withinMs;
    while (this.healthy.size < count) {
      if (now() > end) throw new Error('the controllers did not become ready');
      await sleep(50);
    }
  }
  /** One request of a user; every request and answer is recorded. */
  async ask(method, path, body, timeoutMs, node = this.pick()) {
    const answer = await call(this.nodes.get(node), method, path, body, timeoutMs);
    this.record('user', `${method} ${path}`, { node, status: answer?.status ?? null, body: answer?.body ?? null });
    return answer;
  }
  /** Submits a job until it is accepted or refused for good, for at most 60 s. */
  async submit(job) {
    this.jobs.set(job.ref, job);
    const end = now() + 60_000;
    for (;;) {
      const answer = await this.ask('POST', '/v2/runs', job, 5000);
      if ([200, 201, 400, 422].includes(answer?.status)) return answer;
      if (now() > end) return answer;
      await sleep(Math.max(1000, 1000 * (answer?.retryAfter ?? 0)));
    }
  }
  /** Cancels a job, repeated until it is answered; resolves to null if that takes longer than `withinMs`. */
  async cancel(ref, withinMs = Infinity) {
    const end = now() + withinMs;
    while (now() < end) {
      const answer = await this.ask('POST', `/v2/runs/${ref}/cancel`, undefined, 5000);
      if (answer?.status === 200) return answer;
      await sleep(1000);
    }
    return null;
  }
  status(ref, node) {
    return this.ask('GET', `/v2/runs/${ref}`, undefined, 2000, node);
  }
  async operatorStatus(name) {
    return (await call(this.nodes.get(name), 'GET', '/status', undefined, 2000))?.body ?? null;
  }
  async stop() {
    this.stopped = true;
    clearInterval(this.prober);
    for (const child of this.processes.values()) {
      if (child.exitCode === null && child.signalCode === null) {
        child.kill('SIGKILL');
        await new Promise((resolve) => child.once('exit', resolve));
      }
    }
    this.cloud.close();
    for (const w of this.cloud.retired ?? []) w.close();
    this.store.close();
    rmSync(this.folder, { recursive: true, force: true });
    await new Promise((resolve) => this.out.end(resolve));
  }
}

let jobCount = 0;
/** A submission with the fields of PROTOCOL, "POST /v2/runs". */
export function job(fields) {
  return {
    ref: `job-${String(100 + ++jobCount).padStart(6, '0')}`,
    workload: 'stock-photos',
    crew: 'almacen-00',
    shape: 'sweep',
    urgency: 'normal',
    pieces: 1,
    cpus: 1,
    accelerators: 0,
    memory_gb: 2.9,
    build: 'img-1',
    image_gb: 0.2,
    models: null,
    yard: null,
    together: false,
    apart: false,
    loaners: true,
    expected_s: 20,
    snapshot_every_s: 0,
    snapshot_s: 0,
    due_s: null,
    ...fields,
  };
}

/** Runs a case: `run(deployment)` returns a list of violations; exits with 0, 1 or 2 as the review asks. */
export async function main(caseUrl, site, options, run) {
  const trouble = process.env.TROUBLE !== '0';
  // A case that takes too long could not run; the controllers are ended all the same.
  setTimeout(() => void give('the case took too long'), MAX_CASE_MS).unref();
  for (const signal of ['SIGTERM', 'SIGINT']) process.on(signal, () => void give(signal));
  const give = async (why) => {
    console.log(`the case could not run: ${why}`);
    deployment?.record('case', 'could not run', { why });
    await deployment?.stop();
    process.exit(2);
  };
  const recordFile = process.env.RECORD ?? join(dirname(fileURLToPath(caseUrl)), 'record.txt');
  let deployment = null;
  let code = 2;
  try {
    deployment = await Deployment.start(site, { recordFile, ...options, before: (d) => options.before?.(d, trouble) });
    deployment.record('case', 'begins', { trouble });
    const violations = await run(deployment, trouble);
    for (const v of violations) deployment.record('case', 'RULE BROKEN', { v });
    deployment.record('case', 'ends', { violations: violations.length });
    for (const v of violations) console.log(`rule broken: ${v}`);
    if (violations.length === 0) console.log('the rule held');
    code = violations.length > 0 ? 1 : 0;
  } catch (error) {
    console.log(`the case could not run: ${error.stack}`);
    deployment?.record?.('case', 'could not run', { error: String(error) });
  }
  try {
    await deployment?.stop();
  } catch (error) {
    console.log(`stop: ${error}`);
  }
  process.exit(code);
}
