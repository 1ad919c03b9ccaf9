import { FailureStreak } from './failure-streak';
import { taskKey } from './in-flight-task';
import { type MachineState } from './machine';

/**
 * A job is considered faulty if none of its tasks is done and tasks failed on at least this many machines, which make up at least
 * `FAILED_MACHINE_RATIO` of those it was started on.
 */
const MIN_FAILED_MACHINE_COUNT = 3;
const FAILED_MACHINE_RATIO = 0.8;
/** Pauses between the retries of a job that fails everywhere; each is twice as long as the one before, up to the maximum. */
const FIRST_RETRY_PAUSE_MS = 1000;
const MAX_RETRY_PAUSE_MS = 30_000;

/** The task failures of one job, and whether it is retried although it fails everywhere. All times are in milliseconds of the steady clock. */
export class JobFailures {
  private readonly failedMachines = new Set<string>();
  /** Machines on which tasks of the job were in flight before its first success; empty from then on. */
  private readonly triedMachines = new Set<string>();
  /** Failures on any machine. */
  private streak = new FailureStreak();
  /** The machines of tasks in flight that were started while the job failed everywhere, by the task's index. */
  private readonly retries = new Map<number, MachineState>();
  /** Time before which no task is started, because the job fails everywhere. */
  private pausedUntil = 0;
  private retryPauseMs = FIRST_RETRY_PAUSE_MS;
  /** Number of failures of each task that is not done, by the task's index. */
  private readonly countByTask = new Map<number, number>();

  /** `hasSucceeded`: whether a task of the job is done. */
  constructor(
    private readonly ref: string,
    private hasSucceeded: boolean,
  ) {}

  /**
   * Whether the job itself seems faulty. A job whose long tasks keep running on most machines is not faulty; the machines on
   * which it failed are.
   */
  get failsEverywhere(): boolean {
    const { size } = this.failedMachines;
    return (
      !this.hasSucceeded &&
      size >= MIN_FAILED_MACHINE_COUNT &&
      size >= FAILED_MACHINE_RATIO * this.triedMachines.size
    );
  }

  /** Whether the job may have machines on which it is not started for a while, because it failed there. */
  get avoidsMachines(): boolean {
    return !this.hasSucceeded && this.streak.count > 0;
  }

  /** See `PartitionJob.maxNewStarts`. */
  maxNewStarts(now: number): number {
    if (!this.failsEverywhere) return Number.POSITIVE_INFINITY;
    return now < this.pausedUntil || this.retries.size > 0 ? 0 : 1;
  }

  /** Whether a task that was retried while the job failed everywhere runs for longer than those that failed. */
  get isOutlived(): boolean {
    for (const [index, { tasks, lastHeartbeatAt }] of this.retries) {
      const task = tasks.get(taskKey(this.ref, index));
      if (task && lastHeartbeatAt !== null && this.streak.isOutlivedBy(task, lastHeartbeatAt)) return true;
    }
    return false;
  }

  /** Drops the failures on all machines. Should the job fail everywhere again, its pauses continue to grow. */
  drop(): void {
    this.failedMachines.clear();
    this.triedMachines.clear();
    this.retries.clear();
    this.streak = new FailureStreak();
  }

  /** Records that a task is in flight on a machine. */
  recordStart(index: number, machine: MachineState): void {
    if (!this.hasSucceeded) this.triedMachines.add(machine.id);
    if (this.failsEverywhere) this.retries.set(index, machine);
  }

  /** Records that a task is no longer in flight. */
  recordEnd(index: number): void {
    this.retries.delete(index);
  }

  recordSuccess(index: number): void {
    this.hasSucceeded = true;
    this.triedMachines.clear();
    this.countByTask.delete(index);
  }

  /** Records a failure of a task that ran for `runMs` on a machine, and returns the number of the task's failures so far. */
  recordFailure(index: number, machine: string, runMs: number, now: number): number {
    this.failedMachines.add(machine);
    this.streak.add(runMs, now);
    const count = (this.countByTask.get(index) ?? 0) + 1;
    this.countByTask.set(index, count);
    if (this.failsEverywhere) this.pauseRetries(now);
    return count;
  }

  private pauseRetries(now: number): void {
    this.pausedUntil = now + this.retryPauseMs;
    this.retryPauseMs = Math.min(MAX_RETRY_PAUSE_MS, this.retryPauseMs * 2);
  }
}
