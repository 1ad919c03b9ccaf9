import type { HttpResponse } from '../../src/transport/http-client';
import type { TimeSource } from './clock';

/** The address of workers unless a hook states another; nothing listens there. */
export const DEFAULT_WORKER_ADDRESS = '10.1.0.1:9000';
/** Image fetch time unless a hook returns another. */
const DEFAULT_IMAGE_FETCH_MS = 700;
const LOOP_INTERVAL_MS = 100;
/** The heartbeat interval while the worker has a change that the controller does not know. */
const SHORT_HEARTBEAT_INTERVAL_MS = 500;
/** Interval at which a hung worker checks whether a task can continue. */
const HUNG_RETRY_MS = 200;
const FAILING_TASK_MS = 300;
/** The delay before another controller is tried; the owner that a redirect names is tried after `REDIRECT_DELAY_MS`. */
const NEXT_CONTROLLER_DELAY_MS = 1000;
const REDIRECT_DELAY_MS = 50;

/** A command as the response to a heartbeat carries it. */
interface WireCommand {
  order: 'start' | 'kill' | 'reap';
  piece: string;
  try: number;
  wind_down_s?: number;
}

/** An attempt of a task on the machine; `status` has the values that heartbeats send. */
interface TaskAttempt {
  attempt: number;
  status: 'pulling' | 'running' | 'flushing' | 'ended';
  exitReason?: string;
  saved?: boolean;
  timer?: unknown;
  /** The time at which it began to run on this machine; absent before that. */
  startedAt?: number;
}

/** The environment of fake workers: the network, the durations of tasks, and the listeners for task events. */
export interface FakeWorkerHooks {
  /** Called when a task starts to run on a machine; tests check their rules in it. */
  taskStarted: (worker: FakeWorker, taskId: string) => void;
  taskCompleted: (taskId: string) => void;
  /** Called when a lease expires on a machine with tasks. */
  leaseExpired: () => void;
  runMs: (taskId: string) => number;
  /** Time until a task's image is on a machine. */
  imageFetchMs?: (worker: FakeWorker, taskId: string) => number;
  /** Time that a task needs to write a checkpoint when it is stopped; null if it writes none. */
  checkpointDurationMs?: (taskId: string) => number | null;
  /** Called when a task was stopped after `ranMs` on this machine; `saved` if a later attempt continues from there. */
  taskStopped?: (taskId: string, ranMs: number, saved: boolean) => void;
  /** Delivers a heartbeat to a controller; the response is null if none arrives in time. */
  deliverHeartbeat: (
    controller: number,
    worker: FakeWorker,
    heartbeat: object,
  ) => Promise<HttpResponse | null>;
  /** The index of the controller that a redirect names; null if it is unknown. */
  controllerIndex: (name: string) => number | null;
  controllerCount: number;
  /** The address for direct commands that all workers state. */
  workerAddress?: string;
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

/** A fake machine with its worker, which follows the worker protocol. */
export class FakeWorker {
  readonly name: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly tasks = new Map<string, TaskAttempt>();
  up = true;
  private isHung = false;
  /** Whether its heartbeats reach no controller. */
  heartbeatsLost = false;
  /** Whether its heartbeats arrive but the responses to them are lost. */
  responsesLost = false;
  failsAllTasks = false;
  /** Seconds until the cloud takes the machine back, as its heartbeats state; null without a notice. */
  preemptionNoticeS: number | null = null;
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

  /** Whether the machine hangs. When it resumes after its lease has expired, it drops its tasks before anything else. */
  get hung(): boolean {
    return this.isHung;
  }

  set hung(hung: boolean) {
    this.isHung = hung;
    if (!hung && this.up) this.checkLease();
  }

  /** Whether a task occupies its share of the machine now. */
  executes(taskId: string): boolean {
    // A worker that has hung for longer than its lease executes nothing: when it resumes, it first drops all tasks.
    if (this.hung && this.time.now - this.leaseRenewedAt > this.hooks.leaseMs) return false;
    const status = this.tasks.get(taskId)?.status;
    return this.up && (status === 'running' || status === 'flushing');
  }

  /** Terminates the machine with all tasks on it. */
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
    this.schedule(LOOP_INTERVAL_MS, () => this.loop());
  }

  /** Drops all tasks and begins a new agent epoch if the lease has expired. */
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
      address: this.hooks.workerAddress ?? DEFAULT_WORKER_ADDRESS,
      model: this.type,
      yard: this.zone,
      loaners: this.spot,
      shift: this.agentEpoch,
      tick: ++this.sequence,
      baton: this.token,
      recall_s: this.preemptionNoticeS,
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
    if (sentEpoch === this.agentEpoch) this.handleResponse(response.body, sentAt);
  }

  /**
   * Handles a late copy of a response that was handled before. No worker does that: a response counts only for the heartbeat in
   * flight. Tests use it to show that they would notice a start command that is carried out twice.
   */
  receiveCopiedResponse(body: unknown): void {
    if (this.up && !this.hung) this.handleResponse(body, this.leaseRenewedAt);
  }

  /** Handles a response, unless its token is older than one seen before. */
  private handleResponse(body: unknown, sentAt: number): void {
    const { baton: token, orders } = body as { baton: number; orders: WireCommand[] };
    if (token < this.token) return;
    if (token > this.token) this.heartbeatDueSoon = true;
    this.token = token;
    this.leaseRenewedAt = sentAt;
    for (const command of orders) this.handleCommand(command);
  }

  private tryNextController(response: HttpResponse | null): void {
    const redirect = response?.status === 421 ? (response.body as { dispatcher?: string }) : {};
    const owner = redirect.dispatcher === undefined ? null : this.hooks.controllerIndex(redirect.dispatcher);
    const redirected = owner !== null && owner !== this.controller;
    const delayMs = redirected ? REDIRECT_DELAY_MS : NEXT_CONTROLLER_DELAY_MS;
    this.controller = redirected ? owner : (this.controller + 1) % this.hooks.controllerCount;
    this.lastHeartbeatAt = this.time.now + delayMs - this.hooks.heartbeatIntervalMs;
  }

  private handleCommand({ order, piece: taskId, try: attempt, wind_down_s: graceS }: WireCommand): void {
    const existing = this.tasks.get(taskId);
    const sameAttempt = existing?.attempt === attempt;
    const ended = existing?.status === 'ended';
    if (order === 'reap') {
      if (sameAttempt && ended) this.tasks.delete(taskId);
    } else if (order === 'kill') {
      if (existing && sameAttempt && !ended) this.stopTask(taskId, existing, graceS ?? 0);
    } else if (!existing || (ended && !sameAttempt)) this.fetchImage(taskId, attempt);
  }

  private fetchImage(taskId: string, attempt: number): void {
    const task: TaskAttempt = { attempt, status: 'pulling' };
    this.tasks.set(taskId, task);
    this.heartbeatDueSoon = true;
    const fetchMs = this.hooks.imageFetchMs?.(this, taskId) ?? DEFAULT_IMAGE_FETCH_MS;
    task.timer = this.schedule(fetchMs, () => this.startTask(taskId, task));
  }

  private startTask(taskId: string, task: TaskAttempt): void {
    if (this.hung) {
      task.timer = this.schedule(HUNG_RETRY_MS, () => this.startTask(taskId, task));
      return;
    }
    task.status = 'running';
    task.startedAt = this.time.now;
    this.hooks.taskStarted(this, taskId);
    this.heartbeatDueSoon = true;
    const runMs = this.failsAllTasks ? FAILING_TASK_MS : this.hooks.runMs(taskId);
    task.timer = this.schedule(runMs, () => this.finishTask(taskId, task));
  }

  private finishTask(taskId: string, task: TaskAttempt): void {
    if (this.hung) task.timer = this.schedule(HUNG_RETRY_MS, () => this.finishTask(taskId, task));
    else this.endTask(taskId, task, this.failsAllTasks ? 'error' : 'done');
  }

  /**
   * Stops a task. A running one first writes a checkpoint if it can do so within the grace period, and one that is writing a
   * checkpoint continues unless the grace period is 0; any other ends at once.
   */
  private stopTask(taskId: string, task: TaskAttempt, graceS: number): void {
    const checkpointMs = this.hooks.checkpointDurationMs?.(taskId) ?? null;
    if (task.status === 'flushing' && graceS > 0) return;
    if (task.status !== 'running' || checkpointMs === null || checkpointMs > graceS * 1000)
      return this.endTask(taskId, task, 'stopped');
    this.time.cancel(task.timer);
    task.status = 'flushing';
    this.heartbeatDueSoon = true;
    const ranMs = this.ranMs(task);
    task.timer = this.schedule(checkpointMs, () => {
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

  private schedule(ms: number, action: () => void): unknown {
    return this.time.at(this.time.now + ms, action);
  }
}
