import { isTerminal, nextStep, type MoveEffect, type MoveEvent, type MoveState } from './move-state';
import { type MoveCause, type MovePlan, type PlannedMove } from './move-plan';
import { taskKey, type TaskId } from './partition-view';
import { type Resources } from './resources';

/** How the service carries out the steps of moves. */
export interface MoveExecutor {
  /** Holds room on a machine for a task; false: it is not there. */
  reserve(machine: string, task: TaskId): boolean;
  release(machine: string, task: TaskId): void;
  /** Has the task stopped, saving if it can; repeated by the service until it is gone. */
  stop(machine: string, task: TaskId): void;
  /** Lets nobody but the move start the task, and nobody else use what its team is allowed, until this moment at most. */
  holdTask(task: TaskId, untilMs: number): void;
  releaseHeldTask(task: TaskId): void;
  /** Keeps what comes free on a machine for the next task of a job; its room may not be there yet. */
  reserveForJob(machine: string, job: string): void;
  releaseJobReservation(machine: string, job: string): void;
}

/** Room that is being made on a machine for a waiting job. */
export interface JobReservation {
  readonly machine: string;
  readonly job: string;
  dueAt: number;
}

/** A move that was begun. */
export interface Move {
  readonly id: string;
  readonly epoch: number;
  readonly task: TaskId;
  readonly needs: Resources;
  readonly source: string;
  /** Null: it is put back to wait. */
  readonly target: string | null;
  readonly cause: MoveCause;
  readonly gainS: number;
  readonly costS: number;
  state: MoveState;
  /** When it is given up unless it goes on. */
  dueAt: number;
  reason: string | null;
}

/** What was decided of a move, for the operators' log. */
export interface MoveDecision {
  move: Readonly<Move>;
  event: 'begun' | 'completed' | 'abandoned';
}

/** How long a move may stay in each state before it is given up. */
export interface MoveTimeouts {
  heartbeatIntervalMs: number;
  leaseMs: number;
}

/** Reports that may pass before a step that hangs on one is given up. */
const MAX_PENDING_HEARTBEATS = 4;
/** Decisions that are kept for the log until they are asked for. */
const MAX_BUFFERED_DECISIONS = 200;

/** The moves of one partition under one owner. It ends with the owner's epoch, and nothing of it outlives the process. */
export class MoveTracker {
  private readonly moves = new Map<string, Move>();
  private readonly decisions: MoveDecision[] = [];
  private jobReservations: JobReservation[] = [];
  private count = 0;
  readonly counters = { begun: 0, completed: 0, abandoned: 0 };

  constructor(
    private readonly epoch: number,
    private readonly executor: MoveExecutor,
    private readonly timeouts: MoveTimeouts,
  ) {}

  get inFlight(): number {
    return this.moves.size;
  }

  /** Nothing is moved, and no room is kept. */
  get isIdle(): boolean {
    return this.moves.size === 0 && this.jobReservations.length === 0;
  }

  get movesInProgress(): readonly Readonly<Move>[] {
    return [...this.moves.values()];
  }

  isMoving(task: string): boolean {
    return this.moves.has(task);
  }

  /** Whether moves for this job are under way. */
  hasMovesFor(job: string): boolean {
    return (
      this.jobReservations.some((room) => room.job === job) ||
      this.movesInProgress.some(({ cause }) => cause.job === job)
    );
  }

  /** Reserves room for all moves of a plan, then has the tasks stopped; false: some room is gone, and nothing was begun. */
  begin(plan: MovePlan, now: number): boolean {
    const reserved: PlannedMove[] = [];
    for (const move of plan.moves) {
      if (!this.moves.has(taskKey(move.task)) && this.reserve(move)) {
        reserved.push(move);
        continue;
      }
      for (const { target, task } of reserved) if (target !== null) this.executor.release(target, task);
      return false;
    }
    if (plan.clearedMachine !== null) this.reserveForJob(plan.clearedMachine, plan, now);
    for (const planned of reserved) this.track(planned, plan, now);
    return true;
  }

  private reserve({ target, task }: PlannedMove): boolean {
    return target === null || this.executor.reserve(target, task);
  }

  private reserveForJob(machine: string, { cause, moves }: MovePlan, now: number): void {
    const saveS = Math.max(0, ...moves.map(({ task }) => task.spec.saveS));
    this.jobReservations.push({ machine, job: cause.job, dueAt: now + this.timeoutMs('stopping', saveS) });
    this.executor.reserveForJob(machine, cause.job);
  }

  /** Rooms that are being made on a machine. */
  jobReservationsOn(machine: string): readonly JobReservation[] {
    return this.jobReservations.filter((room) => room.machine === machine);
  }

  /** A kept room was taken by who it was for, or is needed no more. */
  releaseJobReservations(isOver: (room: JobReservation) => boolean): void {
    const over = this.jobReservations.filter(isOver);
    this.jobReservations = this.jobReservations.filter((room) => !over.includes(room));
    for (const { machine, job } of over) this.executor.releaseJobReservation(machine, job);
  }

  private track({ task, source, target, costS }: PlannedMove, plan: MovePlan, now: number): void {
    const { job, index, spec } = task;
    const move: Move = {
      ...{
        id: `${this.epoch}-${++this.count}`,
        epoch: this.epoch,
        task: { job, index },
        needs: spec.resources,
      },
      ...{ source, target, cause: plan.cause, gainS: plan.gainS, costS },
      ...{ state: 'reserved', dueAt: now, reason: null },
    };
    this.moves.set(taskKey(task), move);
    this.counters.begun++;
    this.recordDecision(move, 'begun');
    this.apply(move, { kind: 'stop-sent' }, now, spec.saveS);
  }

  /** Something happened to a task that may be moving. */
  handleEvent(task: TaskId, event: MoveEvent, now: number): void {
    const move = this.moves.get(taskKey(task));
    if (!move) return;
    const putBack = move.target === null && event.kind === 'source-gone';
    this.apply(move, putBack ? { kind: 'put-back' } : event, now);
  }

  /** A machine takes nothing any more. */
  targetLost(machine: string, now: number): void {
    this.releaseJobReservations((room) => room.machine === machine);
    for (const move of this.movesInProgress)
      if (move.target === machine) this.handleEvent(move.task, { kind: 'target-lost' }, now);
  }

  /** All tasks of a job need no place any more. */
  jobClosed(job: string, now: number): void {
    this.releaseJobReservations((room) => room.job === job);
    for (const move of this.movesInProgress)
      if (move.task.job === job) this.handleEvent(move.task, { kind: 'job-closed' }, now);
  }

  /** Tasks that are to be started on this machine now. */
  startsOn(machine: string): TaskId[] {
    const due: TaskId[] = [];
    for (const { target, state, task } of this.moves.values())
      if (target === machine && state === 'restarting') due.push(task);
    return due;
  }

  tick(now: number): void {
    this.releaseJobReservations((room) => now >= room.dueAt);
    for (const move of this.movesInProgress)
      if (now >= move.dueAt) this.handleEvent(move.task, { kind: 'timeout' }, now);
  }

  /** Decisions since they were last asked for. */
  takeDecisions(): MoveDecision[] {
    return this.decisions.splice(0);
  }

  private apply(move: Move, event: MoveEvent, now: number, saveS = 0): void {
    const { state, effects, reason } = nextStep(move.state, event);
    if (state === move.state) return;
    move.state = state;
    move.dueAt = now + this.timeoutMs(state, saveS);
    move.reason = reason ?? null;
    for (const effect of effects) this.carryOut(effect, move);
    if (!isTerminal(state)) return;
    this.moves.delete(taskKey(move.task));
    if (state === 'completed') this.counters.completed++;
    else this.counters.abandoned++;
    this.recordDecision(move, state === 'completed' ? 'completed' : 'abandoned');
  }

  private timeoutMs(state: MoveState, saveS: number): number {
    const { heartbeatIntervalMs, leaseMs } = this.timeouts;
    // A source that falls silent is surely without its tasks after its lease, and not sooner.
    if (state === 'stopping') return leaseMs + saveS * 1000 + MAX_PENDING_HEARTBEATS * heartbeatIntervalMs;
    return state === 'starting' ? leaseMs : MAX_PENDING_HEARTBEATS * heartbeatIntervalMs;
  }

  private carryOut(effect: MoveEffect, move: Move): void {
    const { executor } = this;
    switch (effect) {
      case 'stop-source':
        return executor.stop(move.source, move.task);
      case 'release-room':
        return move.target === null ? undefined : executor.release(move.target, move.task);
      case 'hold-task':
        return executor.holdTask(move.task, move.dueAt);
      case 'free-task':
        return executor.releaseHeldTask(move.task);
    }
  }

  private recordDecision(move: Move, event: MoveDecision['event']): void {
    if (this.decisions.length < MAX_BUFFERED_DECISIONS) this.decisions.push({ move: { ...move }, event });
  }
}
