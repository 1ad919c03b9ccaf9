import { type MoveExecutor } from './move-executor';
import { type MoveCause, type MovePlan, type PlannedMove } from './move-plan';
import { isTerminal, transition, type MoveEffect, type MoveEvent, type MoveState } from './move-state';
import { taskKey, type TaskId } from './partition-snapshot';

/** Resources that are being freed on a machine for a pending job. */
export interface JobReservation {
  readonly machine: string;
  readonly job: string;
  /** When it is given up. */
  readonly expiresAt: number;
}

/** A move that was begun. */
export interface Move {
  readonly id: string;
  readonly task: TaskId;
  readonly source: string;
  /** Null: the task is put back to wait. */
  readonly target: string | null;
  readonly cause: MoveCause;
  readonly gainS: number;
  readonly costS: number;
  state: MoveState;
  /** When it is abandoned unless its state changes. */
  timeoutAt: number;
  /** Why it was abandoned; null: it was not. */
  reason: string | null;
}

/** What was decided of a move, for the log. */
export interface MoveDecision {
  move: Readonly<Move>;
  event: 'begun' | 'completed' | 'abandoned';
}

/** What the timeouts of moves are computed from. */
export interface MoveTimeouts {
  heartbeatIntervalMs: number;
  leaseMs: number;
}

/** Heartbeats within which a step that depends on one must be done. */
const MAX_PENDING_HEARTBEATS = 4;
/** Decisions that are kept until they are taken; later ones are dropped. */
const MAX_BUFFERED_DECISIONS = 200;

/**
 * The moves of one partition under one owner. They end with the owner's epoch, and none is kept anywhere else: the tasks of a
 * move that is forgotten are placed in the ordinary way.
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

  get inFlight(): number {
    return this.moves.size;
  }

  /** Whether there are neither moves nor reservations for jobs. */
  get isIdle(): boolean {
    return this.moves.size === 0 && this.jobReservations.length === 0;
  }

  get movesInProgress(): readonly Readonly<Move>[] {
    return [...this.moves.values()];
  }

  /** Whether a task is being moved, by its key. */
  isMoving(task: string): boolean {
    return this.moves.has(task);
  }

  /** Whether moves for this job are in progress, or what they freed waits for a task of it. */
  hasMovesFor(job: string): boolean {
    return (
      this.jobReservations.some((reservation) => reservation.job === job) ||
      this.movesInProgress.some(({ cause }) => cause.job === job)
    );
  }

  /** Reserves the targets of a plan and has its tasks stopped; false: a target is no longer free, and nothing was begun. */
  begin(plan: MovePlan, now: number): boolean {
    if (!this.reserveTargets(plan.moves)) return false;
    if (plan.clearedMachine !== null) this.reserveForJob(plan.clearedMachine, plan, now);
    for (const planned of plan.moves) this.track(planned, plan, now);
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

  private track({ task, source, target, costS }: PlannedMove, plan: MovePlan, now: number): void {
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

  /** Ends the reservations for which `isOver` holds: they were used, or are not needed any more. */
  releaseJobReservations(isOver: (reservation: JobReservation) => boolean): void {
    const over = this.jobReservations.filter(isOver);
    this.jobReservations = this.jobReservations.filter((reservation) => !over.includes(reservation));
    for (const { machine, job } of over) this.executor.releaseJobReservation(machine, job);
  }

  /** Takes what happened to a task; nothing follows if it is not being moved. */
  handleEvent(task: TaskId, event: MoveEvent, now: number): void {
    const move = this.moves.get(taskKey(task));
    if (!move) return;
    const isPutBack = move.target === null && event.kind === 'source-gone';
    this.apply(move, isPutBack ? { kind: 'put-back' } : event, now);
  }

  /** A machine accepts no tasks any more. */
  machineUnavailable(machine: string, now: number): void {
    this.releaseJobReservations((reservation) => reservation.machine === machine);
    for (const { target, task } of this.movesInProgress)
      if (target === machine) this.handleEvent(task, { kind: 'target-lost' }, now);
  }

  /** A job is closed, and its tasks are not started again. */
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

  /** Abandons what is due. */
  tick(now: number): void {
    this.releaseJobReservations(({ expiresAt }) => now >= expiresAt);
    for (const { timeoutAt, task } of this.movesInProgress)
      if (now >= timeoutAt) this.handleEvent(task, { kind: 'timeout' }, now);
  }

  /** Decisions since the last call, at most MAX_BUFFERED_DECISIONS. */
  takeDecisions(): MoveDecision[] {
    return this.decisions.splice(0);
  }

  private apply(move: Move, event: MoveEvent, now: number, checkpointS = 0): void {
    const { state, effects, reason } = transition(move.state, event);
    if (state === move.state) return;
    move.state = state;
    move.timeoutAt = now + this.timeoutMs(state, checkpointS);
    move.reason = reason ?? null;
    for (const effect of effects) this.carryOut(effect, move);
    if (isTerminal(state)) this.end(move, state);
  }

  private end(move: Move, outcome: 'completed' | 'abandoned'): void {
    this.moves.delete(taskKey(move.task));
    this.counters[outcome]++;
    this.recordDecision(move, outcome);
  }

  private timeoutMs(state: MoveState, checkpointS: number): number {
    const { heartbeatIntervalMs, leaseMs } = this.timeouts;
    const heartbeatsMs = MAX_PENDING_HEARTBEATS * heartbeatIntervalMs;
    // A source that falls silent is certainly without its tasks only once their lease has expired.
    if (state === 'stopping') return leaseMs + checkpointS * 1000 + heartbeatsMs;
    return state === 'starting' ? leaseMs : heartbeatsMs;
  }

  private carryOut(effect: MoveEffect, move: Move): void {
    const { executor } = this;
    switch (effect) {
      case 'stop-source':
        return executor.stop(move.source, move.task);
      case 'release-room':
        return move.target === null ? undefined : executor.release(move.target, move.task);
      case 'hold-task':
        return executor.holdTask(move.task, move.timeoutAt);
      case 'free-task':
        return executor.releaseHeldTask(move.task);
    }
  }

  private recordDecision(move: Move, event: MoveDecision['event']): void {
    if (this.decisions.length < MAX_BUFFERED_DECISIONS) this.decisions.push({ move: { ...move }, event });
  }
}
