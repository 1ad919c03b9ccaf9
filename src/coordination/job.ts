import { type JobSpec } from '../protocol/jobs';
import {
  decodeRanges,
  encodeRanges,
  FIRST_WATERMARK,
  type JobProgress,
  type JobState,
} from '../protocol/records';
import { type MachineState } from './machine';

/** A job that failed on this many machines, most of those it was on, and never succeeded is taken to be at fault itself. */
const FAULTY_ON_MACHINES = 3;
const FAULTY_SHARE = 0.8;
const LONGEST_PAUSE_MS = 30_000;

enum TaskState {
  Waiting,
  Out,
  Done,
  /** Done, and the store knows it. */
  Durable,
}

/** A job as its partition's owner sees it: where each task stands. */
export class PartitionJob {
  readonly ref: string;
  state: JobState = 'open';
  private readonly tasks: Uint8Array;
  waiting: number;
  done = 0;
  /** Where tasks that are out are in flight to be. */
  readonly out = new Map<number, MachineState>();
  readonly failedOn = new Set<string>();
  /** Machines that its tasks were started on, until the first one is done. */
  private readonly triedOn = new Set<string>();
  private readonly notBefore = new Map<number, number>();
  private readonly errors = new Map<number, number>();
  /** All of it pauses until then: it fails wherever it runs. */
  private pausedUntil = 0;
  private pauseMs = 1000;
  /** Tasks from here on may not be started yet: a later owner would take them to be nowhere. */
  startWatermark: number;
  /** Tasks before this one wait until all machines have spoken: an earlier owner may have started them. */
  readonly suspectBelow: number;
  /** How many of those are neither done nor on a machine that we know of. */
  suspects = 0;
  private readonly firstWatermark: number;
  /** No waiting task has a smaller number. */
  private first = 0;
  /** Urgency that it is placed with. */
  rank: number;
  /** Its pipeline does not let it begin, or go on. */
  held = false;

  constructor(
    readonly spec: JobSpec,
    readonly acceptedAt: number,
    readonly deadlines: readonly number[],
    progress: JobProgress | null,
    /** Accepted before we took the partition over: its tasks may be on machines that have not spoken yet. */
    suspect: boolean,
    /** When this owner first saw it. */
    readonly readySince: number,
  ) {
    this.ref = spec.ref;
    this.rank = spec.rank;
    this.tasks = new Uint8Array(spec.tasks);
    for (const [from, to] of decodeRanges(progress?.done ?? '')) {
      this.tasks.fill(TaskState.Durable, from, to + 1);
    }
    for (const state of this.tasks) if (state === TaskState.Durable) this.done++;
    this.waiting = spec.tasks - this.done;
    // Of a job that may not be run again it must be known whether it was begun: nothing starts before that is kept.
    this.firstWatermark = Math.min(spec.tasks, this.onceOnly ? 0 : FIRST_WATERMARK);
    this.startWatermark = progress?.startWatermark ?? this.firstWatermark;
    // Where its tasks may be matters to all of them if they must be together or apart.
    const bound = spec.together || spec.apart;
    this.suspectBelow = suspect ? (bound ? spec.tasks : this.startWatermark) : 0;
    for (let i = 0; i < this.suspectBelow; i++) if (this.isWaiting(i)) this.suspects++;
  }

  /** Its tasks may not be run a second time. */
  get onceOnly(): boolean {
    return this.spec.pipeline?.reExecutable === false;
  }

  /** Tasks that an earlier owner may have started are neither done nor anywhere. */
  get interrupted(): boolean {
    for (let i = 0; i < Math.min(this.suspectBelow, this.startWatermark); i++)
      if (this.tasks[i] === TaskState.Waiting) return true;
    return false;
  }

  /**
   * Submitted with a mistake, as far as can be told: it failed nearly wherever it was started, and nothing of it was ever
   * done. One whose long tasks run on in most places has merely met machines that fail.
   */
  get faulty(): boolean {
    const { size } = this.failedOn;
    return this.done === 0 && size >= FAULTY_ON_MACHINES && size >= FAULTY_SHARE * this.triedOn.size;
  }

  /**
   * How many of its tasks may be out at once. One that is at fault is tried with a single task now and then, until its user
   * cancels it: it holds no room, and crowds nobody out.
   */
  mostOut(now: number): number {
    if (!this.faulty) return Number.POSITIVE_INFINITY;
    return now < this.pausedUntil ? 0 : Math.max(0, 1 - this.out.size);
  }

  /** It failed once more though it is at fault: the next try is later. */
  pause(now: number): void {
    this.pausedUntil = now + this.pauseMs;
    this.pauseMs = Math.min(LONGEST_PAUSE_MS, this.pauseMs * 2);
  }

  /** How much of what its team's limit allows at once has begun. */
  begun(limitCpus: number): number {
    const most = Math.min(
      this.spec.tasks,
      Math.max(1, Math.floor(limitCpus / Math.max(this.spec.cpus, 0.01))),
    );
    return (this.done + this.out.size) / most;
  }

  get finished(): boolean {
    return this.done === this.tasks.length;
  }

  has(index: number): boolean {
    return index < this.tasks.length;
  }

  isWaiting(index: number): boolean {
    return this.tasks[index] === TaskState.Waiting;
  }

  isDone(index: number): boolean {
    return (this.tasks[index] ?? TaskState.Waiting) >= TaskState.Done;
  }

  isDurable(index: number): boolean {
    return this.tasks[index] === TaskState.Durable;
  }

  /** The store has this progress. */
  recorded({ done, startWatermark }: JobProgress): void {
    this.startWatermark = Math.max(this.startWatermark, startWatermark);
    for (const [from, to] of decodeRanges(done)) this.tasks.fill(TaskState.Durable, from, to + 1);
  }

  /** The task is in flight on a machine. */
  goesOut(index: number, machine: MachineState): void {
    if (this.isWaiting(index)) this.leavesWaiting(index);
    this.tasks[index] = TaskState.Out;
    this.out.set(index, machine);
    if (this.done === 0) this.triedOn.add(machine.id);
  }

  comesBack(index: number): void {
    this.out.delete(index);
    if (this.tasks[index] !== TaskState.Out) return;
    this.tasks[index] = TaskState.Waiting;
    this.waiting++;
    if (index < this.suspectBelow) this.suspects++;
    this.first = Math.min(this.first, index);
  }

  private leavesWaiting(index: number): void {
    this.waiting--;
    if (index < this.suspectBelow) this.suspects--;
  }

  /** Done is done, whichever attempt it was. */
  finishes(index: number): void {
    if (this.isWaiting(index)) this.leavesWaiting(index);
    this.tasks[index] = TaskState.Done;
    this.done++;
    this.triedOn.clear();
    this.notBefore.delete(index);
    this.errors.delete(index);
  }

  /** Notes a failure and returns how many this task has had. */
  fails(index: number): number {
    const errors = (this.errors.get(index) ?? 0) + 1;
    this.errors.set(index, errors);
    return errors;
  }

  waits(index: number, until: number): void {
    this.notBefore.set(index, until);
  }

  /** It need not wait any longer. */
  waitsNoMore(index: number): void {
    this.notBefore.delete(index);
  }

  /**
   * How many wait that may be started. Until all machines have spoken that is what no earlier owner may have started;
   * to look for it among hundreds that may have been, at each of hundreds of first reports, costs what these need most.
   */
  waitingNow(settled: boolean): number {
    return settled ? this.waiting : this.waiting - this.suspects;
  }

  /** The first task that may be started. */
  private from(settled: boolean): number {
    return settled ? this.first : Math.max(this.first, this.suspectBelow);
  }

  /** Up to `n` waiting tasks that may start now; `settled`: nothing of earlier owners can be anywhere unseen. */
  startable(n: number, settled: boolean, now: number): number[] {
    const found: number[] = [];
    if (this.held) return found;
    while (this.first < this.tasks.length && this.tasks[this.first] !== TaskState.Waiting) this.first++;
    for (let i = this.from(settled); i < this.startWatermark && found.length < n; i++) {
      if (this.tasks[i] !== TaskState.Waiting) continue;
      if (this.notBefore.size > 0 && (this.notBefore.get(i) ?? 0) > now) continue;
      found.push(i);
    }
    return found;
  }

  /**
   * Whether the store must know anything of it yet. Once its start watermark was raised it must, for good: left out of a value
   * that was written anew, it would count as never begun for an owner that has read the store only since.
   */
  get hasProgress(): boolean {
    return this.startWatermark > this.firstWatermark || this.done > 0 || this.out.size > 0;
  }

  /** The smallest start watermark that lets `n` more waiting tasks start; what may not start before all have spoken is no help. */
  watermarkFor(n: number, settled: boolean): number {
    let left = n;
    let i = this.from(settled);
    for (; i < this.tasks.length && left > 0; i++) if (this.tasks[i] === TaskState.Waiting) left--;
    return i;
  }

  progress(maxLength: number): JobProgress {
    const done = encodeRanges(this.tasks, (s) => s >= TaskState.Done, maxLength);
    return { done, doneCount: this.done, running: this.out.size, startWatermark: this.startWatermark };
  }
}
