import { type MoveExecutor } from './move-executor';
import { type MoveCause, type MovePlan, type PlannedMove } from './move-plan';
import { isTerminal, transition, type MoveEffect, type MoveEvent, type MoveState } from './move-state';
import { taskKey, type TaskId } from './partition-snapshot';

/** A reservation of resources that are being freed on a machine for a pending job. */
export interface JobReservation {
  readonly machine: string;
  readonly job: string;
  /** When the reservation is given up, in milliseconds of the steady clock. */
  readonly expiresAt: number;
}

/** A move that has begun. */
export interface Move {
  readonly id: string;
  readonly task: TaskId;
  readonly source: string;
  /** Null if the task is requeued. */
  readonly target: string | null;
  readonly cause: MoveCause;
  readonly gainS: number;
  readonly costS: number;
  state: MoveState;
  /** When the move is abandoned unless its state changes, in milliseconds of the steady clock. */
  timeoutAt: number;
  /** The reason for abandoning the move; null if it was not abandoned. */
  reason: string | null;
}

/** The beginning or end of a move, for the log. */
export interface MoveDecision {
  move: Readonly<Move>;
  event: 'begun' | 'completed' | 'abandoned';
}

/** The durations from which the timeouts of moves are computed. */
export interface MoveTimeouts {
  heartbeatIntervalMs: number;
  leaseMs: number;
}

/** Timeout of a step that depends on a heartbeat, in heartbeat intervals. */
const STEP_TIMEOUT_HEARTBEAT_INTERVALS = 4;
/** Number of decisions that are buffered until they are taken. Further decisions are dropped. */
const MAX_BUFFERED_DECISIONS = 200;

/**
 * Tracks the moves of one partition under one owner. Moves are kept only in memory and end with the owner's epoch; their tasks
 * are then left to ordinary placement.
 */
export class MoveTracker {
  /** Number of moves by outcome; shown in `GET /status`. */
  readonly counters = { begun: 0, completed: 0, abandoned: 0 };
  private readonly moves = new Map<string, Move>();
  private readonly decisions: MoveDecision[] = [];
  private jobReservations: JobReservation[] = [];

  constructor(
    private readonly epoch: number,
    private readonly executor: MoveExecutor,
    private readonly timeouts: MoveTimeouts,
  ) {}

  /** Number of moves in progress. */
  get inFlightCount(): number {
    return this.moves.size;
  }

  /** Whether there are neither moves nor reservations for jobs. */
  get isIdle(): boolean {
    return this.moves.size === 0 && this.jobReservations.length === 0;
  }

  get movesInProgress(): readonly Readonly<Move>[] {
    return [...this.moves.values()];
  }

  /** Whether the task with this key is being moved. */
  isMoving(task: string): boolean {
    return this.moves.has(task);
  }

  /** Whether moves for this job are in progress, or resources are still reserved for it on a cleared machine. */
  hasMovesFor(job: string): boolean {
    return (
      this.jobReservations.some((reservation) => reservation.job === job) ||
      this.movesInProgress.some(({ cause }) => cause.job === job)
    );
  }

  /**
   * Reserves resources on the targets of a plan and has its tasks stopped. Returns false, with nothing begun, if a target is no
   * longer free or a task is being moved already.
   */
  begin(plan: MovePlan, now: number): boolean {
    if (!this.reserveTargets(plan.moves)) return false;
    if (plan.clearedMachine !== null) this.reserveForJob(plan.clearedMachine, plan, now);
    for (const planned of plan.moves) this.startMove(planned, plan, now);
    return true;
  }

  private reserveTargets(moves: readonly PlannedMove[]): boolean {
    const reserved: PlannedMove[] = [];
    for (const move of moves) {
      if (!this.isMoving(taskKey(move.task)) && this.reserveTarget(move)) {
        reserved.push(move);
        continue;
      }
      for (const { target, task } of reserved) if (target !== null) this.executor.release(target, task);
      return false;
    }
    return true;
  }

  private reserveTarget({ target, task }: PlannedMove): boolean {
    return target === null || this.executor.reserve(target, task);
  }

  private reserveForJob(machine: string, { cause, moves }: MovePlan, now: number): void {
    const checkpointS = Math.max(0, ...moves.map(({ task }) => task.spec.checkpointDurationS));
    this.jobReservations.push({
      machine,
      job: cause.job,
      expiresAt: now + this.timeoutMs('stopping', checkpointS),
    });
    this.executor.reserveForJob(machine, cause.job);
  }

  private startMove({ task, source, target, costS }: PlannedMove, plan: MovePlan, now: number): void {
    const { job, index, spec } = task;
    const move: Move = {
      id: `${this.epoch}-${++this.counters.begun}`,
      task: { job, index },
      source,
      target,
      cause: plan.cause,
      gainS: plan.gainS,
      costS,
      state: 'reserved',
      timeoutAt: now,
      reason: null,
    };
    this.moves.set(taskKey(task), move);
    this.recordDecision(move, 'begun');
    this.apply(move, { kind: 'stop-sent' }, now, spec.checkpointDurationS);
  }

  /** Reservations for jobs on a machine. */
  jobReservationsOn(machine: string): readonly JobReservation[] {
    return this.jobReservations.filter((reservation) => reservation.machine === machine);
  }

  /** Releases the job reservations for which `hasEnded` holds: they were used, or are no longer needed. */
  releaseJobReservations(hasEnded: (reservation: JobReservation) => boolean): void {
    const ended = this.jobReservations.filter(hasEnded);
    this.jobReservations = this.jobReservations.filter((reservation) => !ended.includes(reservation));
    for (const { machine, job } of ended) this.executor.releaseJobReservation(machine, job);
  }

  /** Applies an event to the move of a task. Has no effect if the task is not being moved. */
  handleEvent(task: TaskId, event: MoveEvent, now: number): void {
    const move = this.moves.get(taskKey(task));
    if (!move) return;
    const isRequeued = move.target === null && event.kind === 'source-gone';
    this.apply(move, isRequeued ? { kind: 'task-requeued' } : event, now);
  }

  /** Releases the job reservations on a machine that no longer accepts tasks, and ends the moves to it. */
  machineUnavailable(machine: string, now: number): void {
    this.releaseJobReservations((reservation) => reservation.machine === machine);
    for (const { target, task } of this.movesInProgress)
      if (target === machine) this.handleEvent(task, { kind: 'target-lost' }, now);
  }

  /** Releases the reservations for a closed job and ends the moves of its tasks, which are not started again. */
  jobClosed(job: string, now: number): void {
    this.releaseJobReservations((reservation) => reservation.job === job);
    for (const { task } of this.movesInProgress)
      if (task.job === job) this.handleEvent(task, { kind: 'job-closed' }, now);
  }

  /** Tasks that are to be started on this machine now. */
  tasksToStartOn(machine: string): TaskId[] {
    const due: TaskId[] = [];
    for (const { target, state, task } of this.moves.values())
      if (target === machine && state === 'restarting') due.push(task);
    return due;
  }

  /** Releases the job reservations and ends the moves whose time is up. */
  tick(now: number): void {
    this.releaseJobReservations(({ expiresAt }) => now >= expiresAt);
    for (const { timeoutAt, task } of this.movesInProgress)
      if (now >= timeoutAt) this.handleEvent(task, { kind: 'timeout' }, now);
  }

  /** Returns and removes the decisions since the last call, at most MAX_BUFFERED_DECISIONS. */
  takeDecisions(): MoveDecision[] {
    return this.decisions.splice(0);
  }

  private apply(move: Move, event: MoveEvent, now: number, checkpointS = 0): void {
    const { state, effects, reason } = transition(move.state, event);
    if (state === move.state) return;
    move.state = state;
    move.timeoutAt = now + this.timeoutMs(state, checkpointS);
    move.reason = reason ?? null;
    for (const effect of effects) this.executeEffect(effect, move);
    if (isTerminal(state)) this.finish(move, state);
  }

  private finish(move: Move, outcome: 'completed' | 'abandoned'): void {
    this.moves.delete(taskKey(move.task));
    this.counters[outcome]++;
    this.recordDecision(move, outcome);
  }

  private timeoutMs(state: MoveState, checkpointS: number): number {
    const { heartbeatIntervalMs, leaseMs } = this.timeouts;
    const heartbeatTimeoutMs = STEP_TIMEOUT_HEARTBEAT_INTERVALS * heartbeatIntervalMs;
    // The tasks of a source that stops sending heartbeats are certainly gone only after their lease has expired.
    if (state === 'stopping') return leaseMs + checkpointS * 1000 + heartbeatTimeoutMs;
    return state === 'starting' ? leaseMs : heartbeatTimeoutMs;
  }

  private executeEffect(effect: MoveEffect, move: Move): void {
    const { executor } = this;
    switch (effect) {
      case 'stop-source':
        return executor.stop(move.source, move.task);
      case 'release-reservation':
        return move.target === null ? undefined : executor.release(move.target, move.task);
      case 'hold-task':
        return executor.holdTask(move.task, move.timeoutAt);
      case 'release-held-task':
        return executor.releaseHeldTask(move.task);
    }
  }

  private recordDecision(move: Move, event: MoveDecision['event']): void {
    if (this.decisions.length < MAX_BUFFERED_DECISIONS) this.decisions.push({ move: { ...move }, event });
  }
}
