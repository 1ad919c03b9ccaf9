// A worker, as PROTOCOL "Workers -> controller nodes" describes it.
import http from 'node:http';
import { call } from './http.mjs';

const now = () => performance.now();
const ANSWER_MS = 4000;
const MIN_REPORT_MS = 500;

export class Worker {
  /** `world`: nodes (ports by name), names, jobs, done, saved, reportMs, leaseMs, record, onStart(worker, piece), onEnd. */
  constructor(world, { ref, model, yard, loaners }) {
    Object.assign(this, { world, ref, model, yard, loaners });
    this.shift = 1;
    this.tick = 0;
    this.baton = 0;
    this.recallAt = null;
    this.pieces = new Map();
    this.images = new Map();
    this.leaseFrom = now();
    this.node = Math.floor(Math.random() * world.names.length);
    this.up = true;
    this.hung = false;
    this.muted = false;
    this.deaf = false;
    this.inFlight = false;
    this.lastReport = -1e9;
    this.nextDue = 0;
    this.tokenChangeAt = -1e9;
    this.agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    this.timer = setInterval(() => this.loop(), 20);
    this.record('up', { model, yard, loaners });
  }
  record(what, more) {
    this.world.record(this.ref, what, more);
  }
  /** The machine stops with all that is on it. Its connection stays open in silence: no packet announces the end. */
  stop(why) {
    if (!this.up) return;
    this.up = false;
    clearInterval(this.timer);
    this.record('gone', { why });
    for (const p of this.pieces.values()) this.leave(p, 'machine gone');
    this.pieces.clear();
  }
  close() {
    this.up = false;
    clearInterval(this.timer);
    this.agent.destroy();
  }
  notice(seconds) {
    this.recallAt = now() + seconds * 1000;
    this.record('spot notice', { seconds });
    this.changed();
  }
  changed() {
    this.nextDue = Math.min(this.nextDue, Math.max(now(), this.lastReport + MIN_REPORT_MS));
  }
  live() {
    return [...this.pieces.values()].filter((p) => p.status !== 'ended');
  }
  free() {
    const type = this.world.types.find((t) => t.label === this.model);
    let { cpus, memory_gb } = type;
    for (const p of this.live()) {
      cpus -= p.job.cpus;
      memory_gb -= p.job.memory_gb;
    }
    return { cpus, memory_gb };
  }
  loop() {
    if (!this.up || this.hung) return;
    if (now() - this.leaseFrom > this.world.leaseMs) this.newSession();
    if (!this.inFlight && now() >= this.nextDue) void this.report();
  }
  newSession() {
    if (this.live().length > 0) this.record('lease expired', { pieces: this.live().map((p) => p.piece) });
    for (const p of this.pieces.values()) this.leave(p, 'lease expired');
    this.pieces.clear();
    this.shift++;
    this.leaseFrom = now();
    this.changed();
  }
  body() {
    return {
      velodrome: this.ref,
      address: '127.0.0.1:9',
      model: this.model,
      yard: this.yard,
      loaners: this.loaners,
      shift: this.shift,
      tick: ++this.tick,
      baton: this.baton,
      recall_s: this.recallAt === null ? null : Math.max(0, (this.recallAt - now()) / 1000),
      pieces: [...this.pieces.values()].map(({ piece, attempt, status, why, saved }) => ({
        piece,
        try: attempt,
        status,
        ...(status === 'ended' ? { exit_reason: why, ...(saved ? { saved } : {}) } : {}),
      })),
    };
  }
  async report() {
    const { names, nodes, reportMs } = this.world;
    this.inFlight = true;
    const sentAt = now();
    const shift = this.shift;
    this.lastReport = sentAt;
    this.nextDue = sentAt + reportMs * (0.75 + Math.random() / 2);
    const name = names[this.node];
    const body = this.body();
    this.lastBody = body;
    this.world.onReport?.(this, body, name);
    const answer = this.muted ? await silent() : await call(nodes.get(name), 'POST', '/hello', body, ANSWER_MS, this.agent);
    const heard = this.deaf ? (await silent(Math.max(0, ANSWER_MS - (now() - sentAt))), null) : answer;
    this.inFlight = false;
    if (!this.up) return;
    while (this.hung) await new Promise((r) => setTimeout(r, 20));
    if (heard?.status !== 200 || now() - sentAt > ANSWER_MS) return this.leaveNode(heard, name);
    if (shift === this.shift) this.accept(heard.body, sentAt);
  }
  leaveNode(answer, from) {
    const { names } = this.world;
    const named = answer?.status === 421 ? names.indexOf(answer.body?.dispatcher) : -1;
    const redirected = named >= 0 && named !== this.node;
    this.node = redirected ? named : (this.node + 1) % names.length;
    this.agent.destroy();
    this.agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    this.nextDue = now() + (redirected ? Math.random() * 500 : 1000);
    this.lastReport = now() - MIN_REPORT_MS;
  }
  accept({ baton, orders = [] }, sentAt) {
    if (!Number.isInteger(baton) || baton < this.baton) return;
    if (baton > this.baton && now() - this.tokenChangeAt > this.world.leaseMs / 2) {
      this.tokenChangeAt = now();
      this.changed();
    }
    this.baton = baton;
    this.leaseFrom = Math.max(this.leaseFrom, sentAt);
    for (const order of orders) this.execute(order);
  }
  execute({ order, piece, try: attempt, wind_down_s }) {
    const key = `${piece}#${attempt}`;
    const known = this.pieces.get(key);
    if (order === 'reap') {
      if (known?.status === 'ended') this.pieces.delete(key);
    } else if (order === 'kill') {
      if (known && known.status !== 'ended') this.kill(known, wind_down_s ?? 0);
    } else if (order === 'start' && !known) this.start(key, piece, attempt);
  }
  start(key, piece, attempt) {
    this.changed();
    const job = this.world.jobs.get(piece.split('/')[0]);
    const refuse = (why) => this.pieces.set(key, { piece, attempt, status: 'ended', why, job: job ?? null });
    this.record('ordered to start', { piece, attempt });
    if (!job || Number(piece.split('/')[1]) >= job.pieces) return refuse('no_such');
    if (this.live().some((p) => p.piece === piece)) return refuse('busy');
    const free = this.free();
    if (free.cpus + 1e-9 < job.cpus || free.memory_gb + 1e-9 < job.memory_gb) return refuse('full');
    const p = { piece, attempt, status: 'pulling', job };
    this.pieces.set(key, p);
    const type = this.world.types.find((t) => t.label === this.model);
    const ready = this.images.get(job.build) ?? now() + (1000 * job.image_gb) / type.fetch_gb_per_s;
    this.images.set(job.build, ready);
    p.timer = setTimeout(() => this.run(p), Math.max(0, ready - now()));
  }
  run(p) {
    if (!this.up || p.status !== 'pulling') return;
    if (this.hung) return void (p.timer = setTimeout(() => this.run(p), 50));
    p.status = 'running';
    p.since = now();
    this.changed();
    if (this.world.done.has(p.piece)) return this.end(p, 'done');
    this.record('runs', { piece: p.piece, attempt: p.attempt });
    this.world.onStart?.(this, p);
    if (this.sick) return void (p.timer = setTimeout(() => this.end(p, 'error'), 1000));
    const left = Math.max(50, this.world.runMs(p.piece) - (this.world.saved.get(p.piece) ?? 0));
    p.timer = setTimeout(() => this.end(p, 'done'), left);
  }
  kill(p, windDown) {
    const { job } = p;
    if (p.status === 'flushing' && windDown > 0) return;
    if (p.status === 'running' && job.snapshot_every_s > 0 && windDown >= job.snapshot_s) {
      clearTimeout(p.timer);
      p.status = 'flushing';
      this.changed();
      const progress = (this.world.saved.get(p.piece) ?? 0) + now() - p.since;
      p.timer = setTimeout(() => {
        p.saved = true;
        this.world.saved.set(p.piece, progress);
        this.end(p, 'stopped');
      }, job.snapshot_s * 1000);
      return;
    }
    this.end(p, 'stopped');
  }
  end(p, why) {
    if (!this.up || p.status === 'ended') return;
    if (this.hung) return void (p.timer = setTimeout(() => this.end(p, why), 50));
    this.leave(p, why);
    if (why === 'done') {
      this.world.done.add(p.piece);
      this.world.onDone?.(this, p);
    }
    p.status = 'ended';
    p.why = why;
    this.changed();
  }
  leave(p, why) {
    clearTimeout(p.timer);
    if (p.status === 'running' || p.status === 'flushing') {
      this.record('ends', { piece: p.piece, attempt: p.attempt, why });
      this.world.onLeave?.(this, p, why);
    }
    if (p.status !== 'ended') p.status = 'left';
  }
}

function silent(ms = ANSWER_MS) {
  return new Promise((resolve) => setTimeout(() => resolve(null), ms));
}
