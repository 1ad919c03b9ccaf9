import type { HttpResponse } from '../../src/transport/http-client';
import type { TimeSource } from './clock';

/** Time that an image takes unless a hook says otherwise. */
const DEFAULT_IMAGE_FETCH_MS = 700;
const LOOP_INTERVAL_MS = 100;
/** The interval of heartbeats while something has changed that the controller does not know. */
const SHORT_HEARTBEAT_INTERVAL_MS = 500;
/** A worker that hangs looks again after so long whether it goes on. */
const HUNG_RETRY_MS = 200;
const FAILING_TASK_MS = 300;
/** The pause before another controller is tried; an owner that is named is tried almost at once. */
const NEXT_CONTROLLER_PAUSE_MS = 1000;
const REDIRECT_PAUSE_MS = 50;

/** A command as the response to a heartbeat carries it. */
interface WireCommand {
  order: 'start' | 'kill' | 'reap';
  piece: string;
  try: number;
  wind_down_s?: number;
}

/** A task on the machine, with its state as heartbeats name it. */
interface TaskAttempt {
  attempt: number;
  status: 'pulling' | 'running' | 'flushing' | 'ended';
  exitReason?: string;
  saved?: boolean;
  timer?: unknown;
  /** When it began to run here. */
  startedAt?: number;
}

/** What surrounds the workers: the network, the run times of tasks, and who is told of them. */
export interface FakeWorkerHooks {
  /** A task starts to run on a machine; checks of rules belong here. */
  taskStarted: (worker: FakeWorker, taskId: string) => void;
  taskCompleted: (taskId: string) => void;
  /** A lease ran out on a machine with tasks. */
  leaseExpired: () => void;
  runMs: (taskId: string) => number;
  /** Time until a task's image is on a machine. */
  imageFetchMs?: (worker: FakeWorker, taskId: string) => number;
  /** Time that a task needs to write a checkpoint when it is stopped; null: it writes none. */
  checkpointDurationMs?: (taskId: string) => number | null;
  /** A task was stopped after it had run so long here; `saved`: it goes on from there. */
  taskStopped?: (taskId: string, ranMs: number, saved: boolean) => void;
  /** Brings a heartbeat to a controller; null: no answer in time. */
  deliverHeartbeat: (
    controller: number,
    worker: FakeWorker,
    heartbeat: object,
  ) => Promise<HttpResponse | null>;
  /** The index of a controller, from the name in a redirect; null: unknown. */
  controllerIndex: (name: string) => number | null;
  controllerCount: number;
  heartbeatIntervalMs: number;
  leaseMs: number;
}

/** The machine that a worker runs on. */
export interface MachineProfile {
  name: string;
  type: string;
  zone: string;
  spot: boolean;
}

/** Stands in for a machine and its worker, after the users' description of both. */
export class FakeWorker {
  readonly name: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly tasks = new Map<string, TaskAttempt>();
  up = true;
  hung = false;
  /** It reaches no controller. */
  heartbeatsLost = false;
  /** Its heartbeats arrive, but no response to them does. */
  responsesLost = false;
  failsAllTasks = false;
  private agentEpoch = 1;
  private sequence = 0;
  private token = 0;
  private controller: number;
  private leaseRenewedAt: number;
  private awaitingResponse = false;
  private lastHeartbeatAt = Number.NEGATIVE_INFINITY;
  private heartbeatDueSoon = false;

  constructor(
    private readonly time: TimeSource,
    private readonly hooks: FakeWorkerHooks,
    { name, type, zone, spot }: MachineProfile,
  ) {
    this.name = name;
    this.type = type;
    this.zone = zone;
    this.spot = spot;
    this.leaseRenewedAt = time.now;
    this.controller = Number(name.slice(-1)) % hooks.controllerCount;
    this.loop();
  }

  /** Whether a task takes its place on the machine now. */
  executes(taskId: string): boolean {
    // Hanging longer than its lease it executes nothing any more: the first thing it does when it goes on is to stop.
    if (this.hung && this.time.now - this.leaseRenewedAt > this.hooks.leaseMs) return false;
    const status = this.tasks.get(taskId)?.status;
    return this.up && (status === 'running' || status === 'flushing');
  }

  /** The machine is gone, with all that is on it. */
  terminate(): void {
    this.up = false;
    this.dropAllTasks();
  }

  private dropAllTasks(): void {
    for (const { timer } of this.tasks.values()) if (timer) this.time.cancel(timer);
    this.tasks.clear();
  }

  private loop(): void {
    if (!this.up) return;
    if (!this.hung) {
      this.checkLease();
      const intervalMs = this.heartbeatDueSoon ? SHORT_HEARTBEAT_INTERVAL_MS : this.hooks.heartbeatIntervalMs;
      const due = this.time.now - this.lastHeartbeatAt >= intervalMs;
      if (!this.awaitingResponse && due) void this.sendHeartbeat();
    }
    this.after(LOOP_INTERVAL_MS, () => this.loop());
  }

  /** A worker whose lease has run out stops everything and begins a new agent epoch. */
  private checkLease(): void {
    if (this.time.now - this.leaseRenewedAt <= this.hooks.leaseMs) return;
    if (this.tasks.size > 0) this.hooks.leaseExpired();
    this.dropAllTasks();
    this.agentEpoch++;
    this.leaseRenewedAt = this.time.now;
    this.heartbeatDueSoon = true;
  }

  private heartbeatBody(): object {
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
      pieces: [...this.tasks].map(([taskId, { attempt, status, exitReason, saved }]) => ({
        piece: taskId,
        try: attempt,
        status,
        exit_reason: exitReason,
        saved,
      })),
    };
  }

  private async sendHeartbeat(): Promise<void> {
    this.awaitingResponse = true;
    this.heartbeatDueSoon = false;
    const sentAt = this.time.now;
    const sentEpoch = this.agentEpoch;
    this.lastHeartbeatAt = sentAt;
    const response = await this.hooks.deliverHeartbeat(this.controller, this, this.heartbeatBody());
    this.awaitingResponse = false;
    if (!this.up || this.hung) return;
    if (response?.status !== 200) return this.tryNextController(response);
    if (sentEpoch === this.agentEpoch) this.takeResponse(response.body, sentAt);
  }

  /** A response with an older token than one seen before counts for nothing. */
  private takeResponse(body: unknown, sentAt: number): void {
    const { baton: token, orders } = body as { baton: number; orders: WireCommand[] };
    if (token < this.token) return;
    if (token > this.token) this.heartbeatDueSoon = true;
    this.token = token;
    this.leaseRenewedAt = sentAt;
    for (const command of orders) this.execute(command);
  }

  private tryNextController(response: HttpResponse | null): void {
    const redirect = response?.status === 421 ? (response.body as { dispatcher?: string }) : {};
    const owner = redirect.dispatcher === undefined ? null : this.hooks.controllerIndex(redirect.dispatcher);
    const redirected = owner !== null && owner !== this.controller;
    const pauseMs = redirected ? REDIRECT_PAUSE_MS : NEXT_CONTROLLER_PAUSE_MS;
    this.controller = redirected ? owner : (this.controller + 1) % this.hooks.controllerCount;
    this.lastHeartbeatAt = this.time.now + pauseMs - this.hooks.heartbeatIntervalMs;
  }

  private execute({ order, piece: taskId, try: attempt, wind_down_s: graceS }: WireCommand): void {
    const known = this.tasks.get(taskId);
    const same = known?.attempt === attempt;
    const ended = known?.status === 'ended';
    if (order === 'reap') {
      if (same && ended) this.tasks.delete(taskId);
    } else if (order === 'kill') {
      if (known && same && !ended) this.stopTask(taskId, known, graceS ?? 0);
    } else if (!known || (ended && !same)) this.fetchImage(taskId, attempt);
  }

  private fetchImage(taskId: string, attempt: number): void {
    const task: TaskAttempt = { attempt, status: 'pulling' };
    this.tasks.set(taskId, task);
    this.heartbeatDueSoon = true;
    const fetchMs = this.hooks.imageFetchMs?.(this, taskId) ?? DEFAULT_IMAGE_FETCH_MS;
    task.timer = this.after(fetchMs, () => this.startTask(taskId, task));
  }

  private startTask(taskId: string, task: TaskAttempt): void {
    if (this.hung) {
      task.timer = this.after(HUNG_RETRY_MS, () => this.startTask(taskId, task));
      return;
    }
    task.status = 'running';
    task.startedAt = this.time.now;
    this.hooks.taskStarted(this, taskId);
    this.heartbeatDueSoon = true;
    const runMs = this.failsAllTasks ? FAILING_TASK_MS : this.hooks.runMs(taskId);
    task.timer = this.after(runMs, () => this.finishTask(taskId, task));
  }

  private finishTask(taskId: string, task: TaskAttempt): void {
    if (this.hung) task.timer = this.after(HUNG_RETRY_MS, () => this.finishTask(taskId, task));
    else this.endTask(taskId, task, this.failsAllTasks ? 'error' : 'done');
  }

  /** A running task that can write a checkpoint does so if it is given the time; anything else ends at once. */
  private stopTask(taskId: string, task: TaskAttempt, graceS: number): void {
    const checkpointMs = this.hooks.checkpointDurationMs?.(taskId) ?? null;
    if (task.status === 'flushing' && graceS > 0) return;
    if (task.status !== 'running' || checkpointMs === null || checkpointMs > graceS * 1000)
      return this.endTask(taskId, task, 'stopped');
    this.time.cancel(task.timer);
    task.status = 'flushing';
    this.heartbeatDueSoon = true;
    const ranMs = this.ranMs(task);
    task.timer = this.after(checkpointMs, () => {
      task.saved = true;
      this.hooks.taskStopped?.(taskId, ranMs, true);
      this.endTask(taskId, task, 'stopped');
    });
  }

  private endTask(taskId: string, task: TaskAttempt, exitReason: string): void {
    const ranMs = task.status === 'running' ? this.ranMs(task) : 0;
    if (exitReason === 'stopped' && ranMs > 0) this.hooks.taskStopped?.(taskId, ranMs, false);
    if (task.timer) this.time.cancel(task.timer);
    task.status = 'ended';
    task.exitReason = exitReason;
    this.heartbeatDueSoon = true;
    if (exitReason === 'done') this.hooks.taskCompleted(taskId);
  }

  private ranMs({ startedAt }: TaskAttempt): number {
    return this.time.now - (startedAt ?? this.time.now);
  }

  private after(ms: number, action: () => void): unknown {
    return this.time.at(this.time.now + ms, action);
  }
}
