import { type JobSpec } from '../../protocol/jobs';
import { decodeRanges, encodeRanges } from '../../protocol/task-ranges';
import { INITIAL_START_WATERMARK, type JobProgress, type JobState } from '../../protocol/records';
import { type MachineState } from './machine';
import { MIN_TASK_CPUS } from './resources';

/** A job that failed on this many machines, most of those it was started on, and never succeeded is taken to be faulty. */
const MIN_FAILED_MACHINE_COUNT = 3;
const FAILED_MACHINE_RATIO = 0.8;
const MAX_RETRY_PAUSE_MS = 30_000;

enum TaskState {
  Pending,
  InFlight,
  Done,
  /** Done, and recorded in the state store. */
  Durable,
}

export interface PartitionJobOptions {
  spec: JobSpec;
  /** Wall-clock time in milliseconds. */
  acceptedAt: number;
  /** Seconds from acceptance, earliest first. */
  deadlines: readonly number[];
  /** Null: no progress has been written. */
  progress: JobProgress | null;
  /** Accepted before this owner took over: its tasks may be on unconfirmed machines. */
  unconfirmed: boolean;
  /** Steady time in milliseconds. */
  now: number;
}

/** An open job as its partition's owner sees it: the state of each task, and when it may be started or retried. */
export class PartitionJob {
  readonly spec: JobSpec;
  readonly ref: string;
  /** Wall-clock time in milliseconds. */
  readonly acceptedAt: number;
  /** Seconds from acceptance, earliest first. */
  readonly deadlines: readonly number[];
  /** Steady time in milliseconds at which this owner first saw the job. */
  readonly firstSeenAt: number;
  state: JobState = 'open';
  private readonly tasks: Uint8Array;
  /** Tasks that are neither in flight nor done. */
  pendingCount: number;
  doneCount = 0;
  /** Machines that tasks are in flight on, by the task's index. */
  readonly inFlight = new Map<number, MachineState>();
  /** Machines that a task of it failed on. */
  readonly failedMachines = new Set<string>();
  /** Machines that its tasks were started on, until the first task is done. */
  private readonly triedMachines = new Set<string>();
  /** Steady time before which a failed task is not retried, by the task's index. */
  private readonly retryNotBefore = new Map<number, number>();
  private readonly errorCounts = new Map<number, number>();
  /** Steady time until which no task is started, as the job fails everywhere. */
  private pausedUntil = 0;
  private pauseMs = 1000;
  /** Tasks from this index on may not be started yet: a later owner would take them never to have been started. */
  startWatermark: number;
  /** Tasks below this index wait until all machines are confirmed: an earlier owner may have started them. */
  readonly unconfirmedBelow: number;
  /** How many tasks below `unconfirmedBelow` are pending. */
  unconfirmedCount = 0;
  private readonly initialWatermark: number;
  /** No pending task has a smaller index. */
  private firstPending = 0;
  /** Priority that it is placed with, after deadlines and waiting time. */
  effectivePriority: number;
  /** Its pipeline does not let its tasks start. */
  heldByPipeline = false;

  constructor({ spec, acceptedAt, deadlines, progress, unconfirmed, now }: PartitionJobOptions) {
    this.spec = spec;
    this.ref = spec.ref;
    this.acceptedAt = acceptedAt;
    this.deadlines = deadlines;
    this.firstSeenAt = now;
    this.effectivePriority = spec.priority;
    this.tasks = new Uint8Array(spec.tasks);
    for (const [from, to] of decodeRanges(progress?.doneRanges ?? '')) {
      this.tasks.fill(TaskState.Durable, from, to + 1);
    }
    for (const state of this.tasks) if (state === TaskState.Durable) this.doneCount++;
    this.pendingCount = spec.tasks - this.doneCount;
    // Of a job that runs at most once it must be known whether it was started, so that is recorded before the first start.
    this.initialWatermark = Math.min(spec.tasks, this.runsAtMostOnce ? 0 : INITIAL_START_WATERMARK);
    this.startWatermark = progress?.startWatermark ?? this.initialWatermark;
    // If zones bind its tasks to each other, none may be placed while one may be anywhere.
    const bound = spec.singleZone || spec.spreadZones;
    this.unconfirmedBelow = unconfirmed ? (bound ? spec.tasks : this.startWatermark) : 0;
    for (let i = 0; i < this.unconfirmedBelow; i++) if (this.isPending(i)) this.unconfirmedCount++;
  }

  /** Its tasks must not be run a second time. */
  get runsAtMostOnce(): boolean {
    return this.spec.pipeline?.reExecutable === false;
  }

  /** Whether a task that an earlier owner may have started is neither done nor in flight. */
  get hasInterruptedTasks(): boolean {
    for (let i = 0; i < Math.min(this.unconfirmedBelow, this.startWatermark); i++)
      if (this.tasks[i] === TaskState.Pending) return true;
    return false;
  }

  /**
   * Whether the job itself seems faulty: it failed on nearly every machine it was started on, and no task was ever done. A job
   * whose long tasks keep running on most machines has merely met failing machines.
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
   * How many of its tasks may be in flight at once. A job that fails everywhere is tried with a single task now and then, until its
   * user cancels it, so that it takes no resources from others.
   */
  maxNewStarts(now: number): number {
    if (!this.failsEverywhere) return Number.POSITIVE_INFINITY;
    return now < this.pausedUntil ? 0 : Math.max(0, 1 - this.inFlight.size);
  }

  /** The job has failed everywhere once more: the next attempt is later. */
  backOff(now: number): void {
    this.pausedUntil = now + this.pauseMs;
    this.pauseMs = Math.min(MAX_RETRY_PAUSE_MS, this.pauseMs * 2);
  }

  /** Tasks started, as a ratio of those that its team's limit in CPUs allows at once. */
  startedRatio(limitCpus: number): number {
    const maxStarted = Math.min(
      this.spec.tasks,
      Math.max(1, Math.floor(limitCpus / Math.max(this.spec.cpus, MIN_TASK_CPUS))),
    );
    return (this.doneCount + this.inFlight.size) / maxStarted;
  }

  /** Whether all tasks are done. */
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

  /** Whether the state store has it that the task is done. */
  isDurable(index: number): boolean {
    return this.tasks[index] === TaskState.Durable;
  }

  /** The state store has this progress. */
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

  /** The task is not in flight any more; unless it is done, it is pending again. */
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

  /** The task is done, whichever attempt of it succeeded. */
  markDone(index: number): void {
    if (this.isPending(index)) this.leavePending(index);
    this.tasks[index] = TaskState.Done;
    this.doneCount++;
    this.triedMachines.clear();
    this.retryNotBefore.delete(index);
    this.errorCounts.delete(index);
  }

  /** Counts a failure of the task; returns how many it has had. */
  countFailure(index: number): number {
    const errors = (this.errorCounts.get(index) ?? 0) + 1;
    this.errorCounts.set(index, errors);
    return errors;
  }

  /** Does not start the task before this steady time. */
  delayRetry(index: number, until: number): void {
    this.retryNotBefore.set(index, until);
  }

  /** The task may be started at once. */
  clearRetryDelay(index: number): void {
    this.retryNotBefore.delete(index);
  }

  /**
   * How many pending tasks may be started. Until all machines are confirmed these are the ones that no earlier owner may have
   * started. Kept as counts: searched for at each first heartbeat after a failover, they would delay the answers.
   */
  startableCount(allConfirmed: boolean): number {
    return allConfirmed ? this.pendingCount : this.pendingCount - this.unconfirmedCount;
  }

  /** Index from which tasks may be started. */
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
   * Whether there is progress to record. Once the start watermark was raised it stays recorded: without it a later owner would take
   * the job never to have been started.
   */
  get hasProgress(): boolean {
    return this.startWatermark > this.initialWatermark || this.doneCount > 0 || this.inFlight.size > 0;
  }

  /** The smallest start watermark that lets `n` more pending tasks start; tasks that wait for confirmation do not count. */
  watermarkToStart(n: number, allConfirmed: boolean): number {
    let left = n;
    let i = this.firstStartable(allConfirmed);
    for (; i < this.tasks.length && left > 0; i++) if (this.tasks[i] === TaskState.Pending) left--;
    return i;
  }

  /** Progress to be recorded; the list of finished tasks takes at most `maxLength` bytes, and may be cut short for it. */
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
