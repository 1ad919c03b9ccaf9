import { type JobSpec } from '../../protocol/jobs';
import { maxTaskBytesInHeartbeat, maxStartBytes } from '../../protocol/message-limits';
import { decodeRanges, encodeRanges } from '../../protocol/task-ranges';
import { INITIAL_START_WATERMARK, type JobProgress, type JobState } from '../../protocol/records';
import { JobFailures } from './job-failures';
import { type MachineState } from './machine';
import { isZoneBound } from './placement';
import { MIN_TASK_CPUS } from './resources';

enum TaskState {
  Pending,
  InFlight,
  /**
   * Shown as done by a heartbeat of an unconfirmed machine only, which may be a late copy: the task is not started again, but another
   * attempt of it may still run on another unconfirmed machine.
   */
  UnconfirmedDone,
  Done,
  /** Done, and recorded in the state store. */
  Durable,
}

export interface PartitionJobOptions {
  spec: JobSpec;
  /** Wall-clock time in milliseconds. */
  acceptedAt: number;
  /** Deadlines in seconds from acceptance, earliest first. */
  deadlines: readonly number[];
  /** Null if no progress has been written. */
  progress: JobProgress | null;
  /** Whether the job was accepted before this owner took over, so that its tasks may be on unconfirmed machines. */
  unconfirmed: boolean;
  /** Steady time in milliseconds. */
  now: number;
}

/** An open job in the state of its partition's owner: the state of each task, and when it may be started or retried. */
export class PartitionJob {
  readonly spec: JobSpec;
  readonly ref: string;
  /** Wall-clock time in milliseconds. */
  readonly acceptedAt: number;
  /** Deadlines in seconds from acceptance, earliest first. */
  readonly deadlines: readonly number[];
  /** Steady time in milliseconds at which the job became known to this owner. */
  readonly firstSeenAt: number;
  state: JobState = 'open';
  private readonly taskStates: Uint8Array;
  /** Number of tasks that are neither in flight nor done. */
  pendingCount: number;
  doneCount = 0;
  /** Machine of each task in flight, by the task's index. */
  readonly inFlight = new Map<number, MachineState>();
  /** Steady time in milliseconds before which a task is not started again, by the task's index. */
  private readonly retryNotBefore = new Map<number, number>();
  readonly failures: JobFailures;
  /** Tasks from this index on may not be started yet: a later owner will assume that they were never started. */
  startWatermark: number;
  /**
   * Tasks below this index are not started until all machines are confirmed: an earlier owner may have started them, or other tasks
   * of the job that determine their zone.
   */
  readonly unconfirmedBelow: number;
  /** Number of pending tasks below `unconfirmedBelow`. */
  unconfirmedCount = 0;
  private unconfirmedDoneCount = 0;
  private readonly initialWatermark: number;
  /** Equal for jobs whose tasks need the same resources and may run on the same machines, zones of other tasks aside. */
  readonly requirementsKey: string;
  /** The most bytes that a task of the job can take in a heartbeat of its worker. */
  readonly heartbeatBytes: number;
  /** The most bytes that the command to start a task of the job can take. */
  readonly startBytes: number;
  /** No pending task has a smaller index. */
  private firstPending = 0;
  /** Priority used in scheduling: the job's own, raised by its deadlines and waiting time. */
  effectivePriority: number;
  /** Whether the job's pipeline does not allow its tasks to start yet. */
  heldByPipeline = false;

  constructor({ spec, acceptedAt, deadlines, progress, unconfirmed, now }: PartitionJobOptions) {
    this.spec = spec;
    this.ref = spec.ref;
    this.acceptedAt = acceptedAt;
    this.deadlines = deadlines;
    this.firstSeenAt = now;
    this.effectivePriority = spec.priority;
    this.taskStates = new Uint8Array(spec.tasks);
    for (const [from, to] of decodeRanges(progress?.doneRanges ?? '')) {
      this.taskStates.fill(TaskState.Durable, from, to + 1);
    }
    for (const state of this.taskStates) if (state === TaskState.Durable) this.doneCount++;
    this.pendingCount = spec.tasks - this.doneCount;
    this.failures = new JobFailures(this.ref, this.doneCount > 0);
    // A later owner must know whether a job that runs at most once was started, so this is recorded before the first start.
    this.initialWatermark = Math.min(spec.tasks, this.runsAtMostOnce ? 0 : INITIAL_START_WATERMARK);
    this.startWatermark = progress?.startWatermark ?? this.initialWatermark;
    this.requirementsKey = requirementsKey(spec);
    this.heartbeatBytes = maxTaskBytesInHeartbeat(spec.ref, spec.tasks - 1);
    this.startBytes = maxStartBytes(spec.ref, spec.tasks - 1);
    // If the tasks must share or spread over zones, none is placed while one may be on an unconfirmed machine in any zone.
    this.unconfirmedBelow = unconfirmed ? (this.isZoneBound ? spec.tasks : this.startWatermark) : 0;
    for (let i = 0; i < this.unconfirmedBelow; i++) if (this.isPending(i)) this.unconfirmedCount++;
  }

  /** Whether the zones in which a task may run depend on where the other tasks of the job are. */
  get isZoneBound(): boolean {
    return isZoneBound(this.spec);
  }

  /** Number of tasks in flight in each zone, if the job is zone-bound; otherwise empty. */
  inFlightByZone(): Map<string, number> {
    const zones = new Map<string, number>();
    if (!this.isZoneBound) return zones;
    for (const { record } of this.inFlight.values())
      zones.set(record.zone, (zones.get(record.zone) ?? 0) + 1);
    return zones;
  }

  /** Whether the job's tasks must not be run a second time. */
  get runsAtMostOnce(): boolean {
    return this.spec.pipeline?.reExecutable === false;
  }

  /** Whether a task that an earlier owner may have started is neither done nor in flight. */
  get hasInterruptedTasks(): boolean {
    for (let i = 0; i < Math.min(this.unconfirmedBelow, this.startWatermark); i++)
      if (this.taskStates[i] === TaskState.Pending) return true;
    return false;
  }

  /** Whether the job itself seems faulty: it has succeeded nowhere, and fails on nearly all machines. */
  get failsEverywhere(): boolean {
    return this.failures.failsEverywhere;
  }

  /**
   * Number of further tasks that may be started; infinity unless the job fails everywhere. Such a job is retried with a single task
   * at a time, with pauses in between, so that it takes no resources from other jobs. That ends when one of its tasks succeeds or
   * runs for longer than those that failed, or when its user cancels it.
   */
  maxNewStarts(now: number): number {
    return this.failures.maxNewStarts(now);
  }

  /** Ratio of the tasks in flight or done to the tasks of the job that its team's limit in CPUs allows to run at once. */
  startedRatio(limitCpus: number): number {
    const maxStarted = Math.min(
      this.spec.tasks,
      Math.max(1, Math.floor(limitCpus / Math.max(this.spec.cpus, MIN_TASK_CPUS))),
    );
    return (this.doneCount + this.inFlight.size) / maxStarted;
  }

  /** Whether all tasks are done. */
  get finished(): boolean {
    return this.doneCount === this.taskStates.length;
  }

  /** Number of tasks of which an unreported attempt may run on an unconfirmed machine. */
  get reservedTaskCount(): number {
    return this.unconfirmedCount + this.unconfirmedDoneCount;
  }

  /** Whether all tasks are done, and certainly no attempt of them is left on a machine. */
  get certainlyOver(): boolean {
    return this.finished && this.inFlight.size === 0 && this.unconfirmedDoneCount === 0;
  }

  hasTask(index: number): boolean {
    return index < this.taskStates.length;
  }

  isPending(index: number): boolean {
    return this.taskStates[index] === TaskState.Pending;
  }

  /** Whether the task is pending, and an earlier owner may have started it on an unconfirmed machine. */
  isUnconfirmed(index: number): boolean {
    return index < this.unconfirmedBelow && this.isPending(index);
  }

  isDone(index: number): boolean {
    return (this.taskStates[index] ?? TaskState.Pending) >= TaskState.UnconfirmedDone;
  }

  /** Whether the state store has recorded that the task is done. */
  isDurable(index: number): boolean {
    return this.taskStates[index] === TaskState.Durable;
  }

  /** Records that the state store has this progress. */
  markProgressWritten({ doneRanges, startWatermark }: JobProgress): void {
    this.startWatermark = Math.max(this.startWatermark, startWatermark);
    for (const [from, to] of decodeRanges(doneRanges)) this.taskStates.fill(TaskState.Durable, from, to + 1);
  }

  /** Marks a task as in flight on a machine. */
  markInFlight(index: number, machine: MachineState): void {
    if (this.isPending(index)) this.removeFromPending(index);
    this.taskStates[index] = TaskState.InFlight;
    this.inFlight.set(index, machine);
    this.failures.recordStart(index, machine);
  }

  /** Records that no attempt of a task that is done can be left on an unconfirmed machine. Ignores any other task. */
  confirmDone(index: number): void {
    if (this.taskStates[index] !== TaskState.UnconfirmedDone) return;
    this.taskStates[index] = TaskState.Done;
    this.unconfirmedDoneCount--;
  }

  /** Records that all machines are confirmed, so that no attempt of a task that is done can be left on one. */
  confirmAllDone(): void {
    for (let i = 0; this.unconfirmedDoneCount > 0 && i < this.unconfirmedBelow; i++) this.confirmDone(i);
  }

  /** Marks a task as no longer in flight. It is pending again unless it is done. */
  requeue(index: number): void {
    this.inFlight.delete(index);
    this.failures.recordEnd(index);
    if (this.taskStates[index] !== TaskState.InFlight) return;
    this.taskStates[index] = TaskState.Pending;
    this.pendingCount++;
    if (index < this.unconfirmedBelow) this.unconfirmedCount++;
    this.firstPending = Math.min(this.firstPending, index);
  }

  private removeFromPending(index: number): void {
    this.pendingCount--;
    if (index < this.unconfirmedBelow) this.unconfirmedCount--;
  }

  /**
   * Marks a task as done, whichever of its attempts succeeded. `confirmed`: the machine that reported it is confirmed, so that no other
   * attempt can be left on an unconfirmed one.
   */
  markDone(index: number, confirmed: boolean): void {
    const isCertain = confirmed || index >= this.unconfirmedBelow;
    if (this.isPending(index)) this.removeFromPending(index);
    this.taskStates[index] = isCertain ? TaskState.Done : TaskState.UnconfirmedDone;
    if (!isCertain) this.unconfirmedDoneCount++;
    this.doneCount++;
    this.failures.recordSuccess(index);
    this.retryNotBefore.delete(index);
  }

  /** Prevents a task from being started before this steady time in milliseconds. */
  delayRetry(index: number, until: number): void {
    this.retryNotBefore.set(index, until);
  }

  /** Allows a delayed task to be started at once. */
  clearRetryDelay(index: number): void {
    this.retryNotBefore.delete(index);
  }

  /**
   * Number of pending tasks, without those below `unconfirmedBelow` until all machines are confirmed. The start watermark, the
   * pipeline and retry delays are not taken into account. The counts are maintained incrementally: a search at every first
   * heartbeat after a failover would delay the answers.
   */
  startableCount(allConfirmed: boolean): number {
    return allConfirmed ? this.pendingCount : this.pendingCount - this.unconfirmedCount;
  }

  /** Smallest index that a task to be started may have. */
  private firstStartable(allConfirmed: boolean): number {
    return allConfirmed ? this.firstPending : Math.max(this.firstPending, this.unconfirmedBelow);
  }

  /**
   * Indices of up to `n` pending tasks that may be started now. `allConfirmed` states that no machine can have unreported tasks of
   * earlier owners.
   */
  startableTasks(n: number, allConfirmed: boolean, now: number): number[] {
    const found: number[] = [];
    if (this.heldByPipeline) return found;
    while (
      this.firstPending < this.taskStates.length &&
      this.taskStates[this.firstPending] !== TaskState.Pending
    )
      this.firstPending++;
    for (let i = this.firstStartable(allConfirmed); i < this.startWatermark && found.length < n; i++) {
      if (this.taskStates[i] !== TaskState.Pending) continue;
      if (this.retryNotBefore.size > 0 && (this.retryNotBefore.get(i) ?? 0) > now) continue;
      found.push(i);
    }
    return found;
  }

  /**
   * Whether there is progress to record. A start watermark that was raised stays recorded: without it, a later owner would assume
   * that tasks below it were never started.
   */
  get hasProgress(): boolean {
    return this.startWatermark > this.initialWatermark || this.doneCount > 0 || this.inFlight.size > 0;
  }

  /**
   * The smallest start watermark that allows `n` pending tasks to start, or all if there are fewer. Tasks that wait until all
   * machines are confirmed are not counted.
   */
  watermarkToStart(n: number, allConfirmed: boolean): number {
    let remaining = n;
    let i = this.firstStartable(allConfirmed);
    for (; i < this.taskStates.length && remaining > 0; i++)
      if (this.taskStates[i] === TaskState.Pending) remaining--;
    return i;
  }

  /** Progress to be recorded. The text that lists the finished tasks is truncated to at most `maxLength` characters. */
  progress(maxLength: number): JobProgress {
    const doneRanges = encodeRanges(this.taskStates, (s) => s >= TaskState.Done, maxLength);
    return {
      doneRanges,
      doneCount: this.doneCount,
      runningCount: this.inFlight.size,
      startWatermark: this.startWatermark,
    };
  }
}

function requirementsKey({ cpus, accelerators, memoryGb, machineTypes, zone, spot }: JobSpec): string {
  return JSON.stringify([cpus, accelerators, memoryGb, machineTypes, zone, spot]);
}
