import { type JobSpec } from '../../protocol/jobs';
import { decodeRanges, encodeRanges } from '../../protocol/task-ranges';
import { INITIAL_START_WATERMARK, type JobProgress, type JobState } from '../../protocol/records';
import { type MachineState } from './machine';

/** A job that failed on this many machines, most of those it was on, and never succeeded is taken to be at fault itself. */
const MIN_FAILED_MACHINE_COUNT = 3;
const FAILED_MACHINE_RATIO = 0.8;
const MAX_RETRY_PAUSE_MS = 30_000;

enum TaskState {
  Pending,
  InFlight,
  Done,
  /** Done, and the store knows it. */
  Durable,
}

/** A job as its partition's owner sees it: where each task stands. */
export class PartitionJob {
  readonly ref: string;
  state: JobState = 'open';
  private readonly tasks: Uint8Array;
  pendingCount: number;
  doneCount = 0;
  /** Where tasks that are out are in flight to be. */
  readonly inFlight = new Map<number, MachineState>();
  readonly failedMachines = new Set<string>();
  /** Machines that its tasks were started on, until the first one is done. */
  private readonly triedMachines = new Set<string>();
  private readonly retryNotBefore = new Map<number, number>();
  private readonly errorCounts = new Map<number, number>();
  /** All of it pauses until then: it fails wherever it runs. */
  private pausedUntil = 0;
  private pauseMs = 1000;
  /** Tasks from here on may not be started yet: a later owner would take them to be nowhere. */
  startWatermark: number;
  /** Tasks before this one wait until all machines are confirmed: an earlier owner may have started them. */
  readonly unconfirmedBelow: number;
  /** How many of those are neither done nor on a machine that we know of. */
  unconfirmedCount = 0;
  private readonly initialWatermark: number;
  /** No waiting task has a smaller number. */
  private firstPending = 0;
  /** Urgency that it is placed with. */
  effectivePriority: number;
  /** Its pipeline does not let it begin, or go on. */
  heldByPipeline = false;

  constructor(
    readonly spec: JobSpec,
    readonly acceptedAt: number,
    readonly deadlines: readonly number[],
    progress: JobProgress | null,
    /** Accepted before this owner took over: its tasks may be on unconfirmed machines. */
    unconfirmed: boolean,
    /** When this owner first saw it. */
    readonly firstSeenAt: number,
  ) {
    this.ref = spec.ref;
    this.effectivePriority = spec.priority;
    this.tasks = new Uint8Array(spec.tasks);
    for (const [from, to] of decodeRanges(progress?.doneRanges ?? '')) {
      this.tasks.fill(TaskState.Durable, from, to + 1);
    }
    for (const state of this.tasks) if (state === TaskState.Durable) this.doneCount++;
    this.pendingCount = spec.tasks - this.doneCount;
    // Of a job that may not be run again it must be known whether it was begun: nothing starts before that is kept.
    this.initialWatermark = Math.min(spec.tasks, this.runsAtMostOnce ? 0 : INITIAL_START_WATERMARK);
    this.startWatermark = progress?.startWatermark ?? this.initialWatermark;
    // Where its tasks may be matters to all of them if they must be together or apart.
    const bound = spec.singleZone || spec.spreadZones;
    this.unconfirmedBelow = unconfirmed ? (bound ? spec.tasks : this.startWatermark) : 0;
    for (let i = 0; i < this.unconfirmedBelow; i++) if (this.isPending(i)) this.unconfirmedCount++;
  }

  /** Its tasks may not be run a second time. */
  get runsAtMostOnce(): boolean {
    return this.spec.pipeline?.reExecutable === false;
  }

  /** Tasks that an earlier owner may have started are neither done nor anywhere. */
  get hasInterruptedTasks(): boolean {
    for (let i = 0; i < Math.min(this.unconfirmedBelow, this.startWatermark); i++)
      if (this.tasks[i] === TaskState.Pending) return true;
    return false;
  }

  /**
   * Submitted with a mistake, as far as can be told: it failed nearly wherever it was started, and nothing of it was ever
   * done. One whose long tasks run on in most places has merely met machines that fail.
   */
  get failsEverywhere(): boolean {
    const { size } = this.failedMachines;
    return (
      this.doneCount === 0 &&
      size >= MIN_FAILED_MACHINE_COUNT &&
      size >= FAILED_MACHINE_RATIO * this.triedMachines.size
    );
  }

  /**
   * How many of its tasks may be out at once. One that is at fault is tried with a single task now and then, until its user
   * cancels it: it holds no room, and crowds nobody out.
   */
  maxInFlight(now: number): number {
    if (!this.failsEverywhere) return Number.POSITIVE_INFINITY;
    return now < this.pausedUntil ? 0 : Math.max(0, 1 - this.inFlight.size);
  }

  /** It failed once more though it is at fault: the next try is later. */
  backOff(now: number): void {
    this.pausedUntil = now + this.pauseMs;
    this.pauseMs = Math.min(MAX_RETRY_PAUSE_MS, this.pauseMs * 2);
  }

  /** How much of what its team's limit allows at once has begun. */
  startedRatio(limitCpus: number): number {
    const most = Math.min(
      this.spec.tasks,
      Math.max(1, Math.floor(limitCpus / Math.max(this.spec.cpus, 0.01))),
    );
    return (this.doneCount + this.inFlight.size) / most;
  }

  get finished(): boolean {
    return this.doneCount === this.tasks.length;
  }

  hasTask(index: number): boolean {
    return index < this.tasks.length;
  }

  isPending(index: number): boolean {
    return this.tasks[index] === TaskState.Pending;
  }

  isDone(index: number): boolean {
    return (this.tasks[index] ?? TaskState.Pending) >= TaskState.Done;
  }

  isDurable(index: number): boolean {
    return this.tasks[index] === TaskState.Durable;
  }

  /** The store has this progress. */
  markProgressWritten({ doneRanges, startWatermark }: JobProgress): void {
    this.startWatermark = Math.max(this.startWatermark, startWatermark);
    for (const [from, to] of decodeRanges(doneRanges)) this.tasks.fill(TaskState.Durable, from, to + 1);
  }

  /** The task is in flight on a machine. */
  markInFlight(index: number, machine: MachineState): void {
    if (this.isPending(index)) this.leavePending(index);
    this.tasks[index] = TaskState.InFlight;
    this.inFlight.set(index, machine);
    if (this.doneCount === 0) this.triedMachines.add(machine.id);
  }

  requeue(index: number): void {
    this.inFlight.delete(index);
    if (this.tasks[index] !== TaskState.InFlight) return;
    this.tasks[index] = TaskState.Pending;
    this.pendingCount++;
    if (index < this.unconfirmedBelow) this.unconfirmedCount++;
    this.firstPending = Math.min(this.firstPending, index);
  }

  private leavePending(index: number): void {
    this.pendingCount--;
    if (index < this.unconfirmedBelow) this.unconfirmedCount--;
  }

  /** Done is done, whichever attempt it was. */
  markDone(index: number): void {
    if (this.isPending(index)) this.leavePending(index);
    this.tasks[index] = TaskState.Done;
    this.doneCount++;
    this.triedMachines.clear();
    this.retryNotBefore.delete(index);
    this.errorCounts.delete(index);
  }

  /** Notes a failure and returns how many this task has had. */
  countFailure(index: number): number {
    const errors = (this.errorCounts.get(index) ?? 0) + 1;
    this.errorCounts.set(index, errors);
    return errors;
  }

  delayRetry(index: number, until: number): void {
    this.retryNotBefore.set(index, until);
  }

  /** It need not wait any longer. */
  clearRetryDelay(index: number): void {
    this.retryNotBefore.delete(index);
  }

  /**
   * How many wait that may be started. Until all machines are confirmed that is what no earlier owner may have started;
   * to look for it among hundreds that may have been, at each of hundreds of first reports, costs what these need most.
   */
  startableCount(allConfirmed: boolean): number {
    return allConfirmed ? this.pendingCount : this.pendingCount - this.unconfirmedCount;
  }

  /** The first task that may be started. */
  private firstStartable(allConfirmed: boolean): number {
    return allConfirmed ? this.firstPending : Math.max(this.firstPending, this.unconfirmedBelow);
  }

  /** Up to `n` pending tasks that may start now; `allConfirmed`: no machine can have unreported tasks of earlier owners. */
  startableTasks(n: number, allConfirmed: boolean, now: number): number[] {
    const found: number[] = [];
    if (this.heldByPipeline) return found;
    while (this.firstPending < this.tasks.length && this.tasks[this.firstPending] !== TaskState.Pending)
      this.firstPending++;
    for (let i = this.firstStartable(allConfirmed); i < this.startWatermark && found.length < n; i++) {
      if (this.tasks[i] !== TaskState.Pending) continue;
      if (this.retryNotBefore.size > 0 && (this.retryNotBefore.get(i) ?? 0) > now) continue;
      found.push(i);
    }
    return found;
  }

  /**
   * Whether the store must know anything of it yet. Once its start watermark was raised it must, for good: left out of a value
   * that was written anew, it would count as never begun for an owner that has read the store only since.
   */
  get hasProgress(): boolean {
    return this.startWatermark > this.initialWatermark || this.doneCount > 0 || this.inFlight.size > 0;
  }

  /** The smallest start watermark that lets `n` more waiting tasks start; tasks that wait for machines to be confirmed do not count. */
  watermarkToStart(n: number, allConfirmed: boolean): number {
    let left = n;
    let i = this.firstStartable(allConfirmed);
    for (; i < this.tasks.length && left > 0; i++) if (this.tasks[i] === TaskState.Pending) left--;
    return i;
  }

  progress(maxLength: number): JobProgress {
    const doneRanges = encodeRanges(this.tasks, (s) => s >= TaskState.Done, maxLength);
    return {
      doneRanges,
      doneCount: this.doneCount,
      runningCount: this.inFlight.size,
      startWatermark: this.startWatermark,
    };
  }
}
