import { type InFlightTask } from './in-flight-task';

/** A task that runs for this long after a failure counts as healthy, if no failed task ran for longer. */
const MIN_HEALTHY_RUN_MS = 5000;
/** A task that runs for this long counts as healthy even if failed tasks ran for longer. */
const MAX_HEALTHY_RUN_MS = 30_000;

/** Successive task failures with the same suspected cause. All times are in milliseconds of the steady clock. */
export class FailureStreak {
  count = 0;
  lastAt = Number.NEGATIVE_INFINITY;
  private longestRunMs = 0;

  /** Counts a failure of a task that ran for `runMs`. */
  add(runMs: number, now: number): void {
    this.count++;
    this.lastAt = now;
    this.longestRunMs = Math.max(this.longestRunMs, runMs);
  }

  /** Whether a task was started after the last failure. */
  precedes({ startedAt }: InFlightTask): boolean {
    return startedAt > this.lastAt;
  }

  /** Whether a task that was reported running at `reportedAt` has run for longer than those that failed, and was started after them. */
  isOutlivedBy(task: InFlightTask, reportedAt: number): boolean {
    if (task.runningSince === null || !this.precedes(task)) return false;
    const healthyRunMs = Math.min(MAX_HEALTHY_RUN_MS, Math.max(MIN_HEALTHY_RUN_MS, this.longestRunMs));
    return reportedAt - task.runningSince > healthyRunMs;
  }
}
