import type { HttpResponse } from '../../src/transport/http-client';
import type { SimulatedTime } from './clock';

export interface WireCommand {
  order: 'start' | 'kill' | 'reap';
  piece: string;
  try: number;
  wind_down_s?: number;
}

interface TaskAttempt {
  try: number;
  status: 'pulling' | 'running' | 'flushing' | 'ended';
  exit_reason?: string;
  saved?: boolean;
  timer?: unknown;
  /** When it began to run here. */
  startedAt?: number;
}

export interface FleetHooks {
  /** Called when a task begins on a machine; throws if a rule is broken. */
  taskStarted: (machine: FakeWorker, piece: string) => void;
  taskCompleted: (piece: string) => void;
  /** A lease ran out, and with it everything on the machine. */
  leaseExpired: () => void;
  runMs: (piece: string) => number;
  /** Time until a task's image is on a machine. */
  imageFetchMs?: (machine: FakeWorker, piece: string) => number;
  /** Time that a task needs to save when it is stopped; null: it never saves. */
  checkpointMs?: (piece: string) => number | null;
  /** A task was stopped after it had run so long here; `saved`: it goes on from there. */
  taskStopped?: (piece: string, ranMs: number, saved: boolean) => void;
  /** Brings a report to a controller; null: no answer in time. */
  deliver: (node: number, worker: FakeWorker, report: object) => Promise<HttpResponse | null>;
  controllerIndex: (name: string) => number | null;
  controllers: number;
  heartbeatIntervalMs: number;
  leaseMs: number;
}

/** Stands in for a machine and its worker, after the users' description of both. */
export class FakeWorker {
  readonly tasks = new Map<string, TaskAttempt>();
  agentEpoch = 1;
  sequence = 0;
  token = 0;
  up = true;
  hung = false;
  /** It reaches no controller. */
  heartbeatsLost = false;
  /** Its reports arrive, but nothing that it is answered. */
  responsesLost = false;
  /** Every task fails. */
  failsAllTasks = false;
  private controller = 0;
  private leaseRenewedAt: number;
  private awaitingResponse = false;
  private lastHeartbeatAt = Number.NEGATIVE_INFINITY;
  private heartbeatDueSoon = false;

  constructor(
    private readonly time: SimulatedTime,
    private readonly hooks: FleetHooks,
    readonly name: string,
    readonly type: string,
    readonly zone: string,
    readonly spot: boolean,
  ) {
    this.leaseRenewedAt = time.now;
    this.controller = Number(name.slice(-1)) % hooks.controllers;
    this.scheduleNextCheck();
  }

  executes(piece: string): boolean {
    const p = this.tasks.get(piece);
    // Hanging longer than its lease it executes nothing any more: the first thing it does when it goes on is to stop.
    if (this.hung && this.time.now - this.leaseRenewedAt > this.hooks.leaseMs) return false;
    return this.up && (p?.status === 'running' || p?.status === 'flushing');
  }

  terminate(): void {
    this.up = false;
    this.dropAllTasks();
  }

  private dropAllTasks(): void {
    for (const p of this.tasks.values()) if (p.timer) this.time.cancel(p.timer);
    this.tasks.clear();
  }

  private scheduleNextCheck(): void {
    if (!this.up) return;
    if (!this.hung) {
      this.checkLease();
      const due =
        this.time.now - this.lastHeartbeatAt >=
        (this.heartbeatDueSoon ? 500 : this.hooks.heartbeatIntervalMs);
      if (!this.awaitingResponse && due) void this.sendHeartbeat();
    }
    this.time.at(this.time.now + 100, () => this.scheduleNextCheck());
  }

  private checkLease(): void {
    if (this.time.now - this.leaseRenewedAt <= this.hooks.leaseMs) return;
    if (this.tasks.size > 0) this.hooks.leaseExpired();
    this.dropAllTasks();
    this.agentEpoch++;
    this.leaseRenewedAt = this.time.now;
    this.heartbeatDueSoon = true;
  }

  heartbeatBody(): object {
    return {
      velodrome: this.name,
      address: '10.1.0.1:9000',
      model: this.type,
      yard: this.zone,
      loaners: this.spot,
      shift: this.agentEpoch,
      tick: ++this.sequence,
      baton: this.token,
      recall_s: null,
      pieces: [...this.tasks].map(([piece, { try: attempt, status, exit_reason, saved }]) => ({
        ...{ piece, try: attempt, status, exit_reason, saved },
      })),
    };
  }

  private async sendHeartbeat(): Promise<void> {
    this.awaitingResponse = true;
    this.heartbeatDueSoon = false;
    const sentAt = this.time.now;
    const shift = this.agentEpoch;
    this.lastHeartbeatAt = sentAt;
    const answer = await this.hooks.deliver(this.controller, this, this.heartbeatBody());
    this.awaitingResponse = false;
    if (!this.up || this.hung) return;
    if (answer?.status === 200) {
      const body = answer.body as { baton: number; orders: WireCommand[] };
      if (shift !== this.agentEpoch || body.baton < this.token) return;
      if (body.baton > this.token) this.heartbeatDueSoon = true;
      this.token = body.baton;
      this.leaseRenewedAt = sentAt;
      for (const order of body.orders) this.execute(order);
      return;
    }
    const named = answer?.status === 421 ? (answer.body as { dispatcher?: string }).dispatcher : undefined;
    const owner = named === undefined ? null : this.hooks.controllerIndex(named);
    const next =
      owner !== null && owner !== this.controller ? owner : (this.controller + 1) % this.hooks.controllers;
    // The pause before the next try; 421 with an owner is followed at once.
    const pause = owner !== null && owner !== this.controller ? 50 : 1000;
    this.controller = next;
    this.lastHeartbeatAt = this.time.now + pause - this.hooks.heartbeatIntervalMs;
  }

  private execute(order: WireCommand): void {
    const known = this.tasks.get(order.piece);
    if (order.order === 'reap') {
      if (known?.status === 'ended' && known.try === order.try) this.tasks.delete(order.piece);
      return;
    }
    if (order.order === 'kill') {
      if (known && known.try === order.try && known.status !== 'ended')
        this.stopTask(order.piece, known, order.wind_down_s ?? 0);
      return;
    }
    if (known && known.status !== 'ended') return;
    if (known && known.try === order.try) return;
    const piece: TaskAttempt = { try: order.try, status: 'pulling' };
    this.tasks.set(order.piece, piece);
    this.heartbeatDueSoon = true;
    const fetchMs = this.hooks.imageFetchMs?.(this, order.piece) ?? DEFAULT_IMAGE_FETCH_MS;
    piece.timer = this.time.at(this.time.now + fetchMs, () => this.startTask(order.piece, piece));
  }

  private startTask(name: string, piece: TaskAttempt): void {
    if (this.hung) {
      piece.timer = this.time.at(this.time.now + 200, () => this.startTask(name, piece));
      return;
    }
    piece.status = 'running';
    piece.startedAt = this.time.now;
    this.hooks.taskStarted(this, name);
    this.heartbeatDueSoon = true;
    const finish = (): void => {
      if (this.hung) piece.timer = this.time.at(this.time.now + 200, finish);
      else this.endTask(name, piece, this.failsAllTasks ? 'error' : 'done');
    };
    piece.timer = this.time.at(this.time.now + (this.failsAllTasks ? 300 : this.hooks.runMs(name)), finish);
  }

  /** A running task that can save does so if it is given the time; anything else ends at once. */
  private stopTask(name: string, piece: TaskAttempt, windDownS: number): void {
    const saveMs = this.hooks.checkpointMs?.(name) ?? null;
    if (piece.status === 'flushing' && windDownS > 0) return;
    if (piece.status !== 'running' || saveMs === null || saveMs > windDownS * 1000)
      return this.endTask(name, piece, 'stopped');
    this.time.cancel(piece.timer);
    piece.status = 'flushing';
    this.heartbeatDueSoon = true;
    const ranMs = this.time.now - (piece.startedAt ?? this.time.now);
    piece.timer = this.time.at(this.time.now + saveMs, () => {
      piece.saved = true;
      this.hooks.taskStopped?.(name, ranMs, true);
      this.endTask(name, piece, 'stopped');
    });
  }

  private endTask(name: string, piece: TaskAttempt, reason: string): void {
    const ranMs = piece.status === 'running' ? this.time.now - (piece.startedAt ?? this.time.now) : 0;
    if (reason === 'stopped' && ranMs > 0) this.hooks.taskStopped?.(name, ranMs, false);
    if (piece.timer) this.time.cancel(piece.timer);
    piece.status = 'ended';
    piece.exit_reason = reason;
    this.heartbeatDueSoon = true;
    if (reason === 'done') this.hooks.taskCompleted(name);
  }
}

/** Time that an image takes unless a hook says otherwise. */
const DEFAULT_IMAGE_FETCH_MS = 700;

export interface FakeMachineType {
  label: string;
  cpus: number;
  memory: number;
}

/** Machines on a page of the list unless said otherwise: what one page shows may have changed by the next. */
const DEFAULT_PAGE_MACHINES = 4;

/** Stands in for the cloud: rents, lists late, takes back. */
export class FakeCloud {
  readonly workers = new Map<string, FakeWorker>();
  private readonly booting = new Map<string, { model: string; yard: string; loaners: boolean }>();
  private readonly provisionedAt = new Map<string, number>();
  private readonly provisionedByRequest = new Map<string, string[]>();
  private readonly lists: { at: number; body: { velodromes: { ref: string }[] } }[] = [];
  private count = 0;
  unavailable = false;
  private closed = false;

  constructor(
    private readonly time: SimulatedTime,
    private readonly hooks: FleetHooks,
    private readonly types: readonly FakeMachineType[],
    private readonly zones: readonly string[],
    private readonly capacity: number,
    private readonly listLagMs: number,
    private readonly bootMs: number,
    private readonly pageMachines = DEFAULT_PAGE_MACHINES,
  ) {}

  machineType(label: string): FakeMachineType {
    return this.types.find((k) => k.label === label) as FakeMachineType;
  }

  addMachine(model: string, yard: string, loaners: boolean, bootMs: number): string {
    const name = `i-${String(this.count++).padStart(6, '0')}`;
    this.booting.set(name, { model, yard, loaners });
    this.provisionedAt.set(name, this.time.now);
    if (bootMs === Infinity) return name;
    this.time.at(this.time.now + bootMs, () => {
      if (!this.booting.delete(name) || this.closed) return;
      this.workers.set(name, new FakeWorker(this.time, this.hooks, name, model, yard, loaners));
    });
    return name;
  }

  /** How many times as long as usual machines rented now take to boot; Infinity: they never come up. */
  bootFactor = (): number => 1;

  /** Machines that are rented and not up. */
  get bootingCount(): number {
    return this.booting.size;
  }

  /** How many machines were taken or given back. */
  terminatedCount = 0;

  terminateMachine(name: string): void {
    this.terminatedCount++;
    this.workers.get(name)?.terminate();
    this.workers.delete(name);
    this.booting.delete(name);
  }

  /** Ends all machines, those that still boot included, and lets none up any more. */
  close(): void {
    this.closed = true;
    for (const name of [...this.workers.keys(), ...this.booting.keys()]) this.terminateMachine(name);
  }

  request(method: string, path: string, body: unknown): Promise<HttpResponse> {
    const respond = (status: number, content: unknown): Promise<HttpResponse> =>
      Promise.resolve({ status, body: JSON.parse(JSON.stringify(content)) as unknown });
    if (this.unavailable) return respond(503, { error: 'trouble' });
    if (path === '/catalog') {
      const models = this.types.map((k) => ({
        ...{
          label: k.label,
          cpus: k.cpus,
          accelerators: 0,
          memory_gb: k.memory,
          local_gb: 50,
          fetch_gb_per_s: 1,
        },
        ...{ rate: k.cpus * 0.05, spot_price: k.cpus * 0.02, ready_s: this.bootMs / 1000, yards: this.zones },
      }));
      return respond(200, { models });
    }
    if (path === '/rentals/return') {
      for (const name of (body as { velodromes: string[] }).velodromes) this.terminateMachine(name);
      return respond(200, {});
    }
    if (method === 'POST') return this.provision(body as ProvisionBody, respond);
    this.lists.push({ at: this.time.now, body: this.machineList() });
    const shown = this.lists.filter((l) => l.at <= this.time.now - this.listLagMs).pop();
    const from = /from=([^&]*)/.exec(path)?.[1] ?? '';
    const after = (shown?.body.velodromes ?? []).filter((row) => row.ref > from);
    const page = after.slice(0, this.pageMachines);
    return respond(200, { velodromes: page, truncated: after.length > page.length });
  }

  private provision(
    order: ProvisionBody,
    respond: (status: number, content: unknown) => Promise<HttpResponse>,
  ): Promise<HttpResponse> {
    const repeated = this.provisionedByRequest.get(order.hire_order);
    if (repeated) return respond(200, { velodromes: repeated });
    const room = this.capacity - this.workers.size - this.booting.size;
    if (room <= 0) return respond(503, { error: 'no capacity' });
    const names: string[] = [];
    for (let i = 0; i < Math.min(room, order.how_many); i++) {
      names.push(this.addMachine(order.model, order.yard, order.loaners, this.bootMs * this.bootFactor()));
    }
    this.provisionedByRequest.set(order.hire_order, names);
    return respond(200, { velodromes: names });
  }

  private machineList(): { velodromes: { ref: string }[] } {
    const row = (
      ref: string,
      m: { model: string; yard: string; loaners: boolean },
      status: string,
    ): { ref: string; age_s: number } => ({
      ...{ ref, address: '10.1.0.1:9000', model: m.model, yard: m.yard, loaners: m.loaners, status },
      age_s: (this.time.now - (this.provisionedAt.get(ref) ?? 0)) / 1000,
    });
    const rows = [
      ...[...this.workers].map(([ref, w]) =>
        row(ref, { model: w.type, yard: w.zone, loaners: w.spot }, 'running'),
      ),
      ...[...this.booting].map(([ref, m]) => row(ref, m, 'booting')),
    ];
    return { velodromes: rows.sort((a, b) => (a.ref < b.ref ? -1 : 1)) };
  }
}

interface ProvisionBody {
  hire_order: string;
  model: string;
  yard: string;
  loaners: boolean;
  how_many: number;
}
