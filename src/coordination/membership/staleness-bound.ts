/** The bound on how stale an owner's knowledge of cancellations may be. */
import { MAX_CLOCK_DRIFT_RATIO } from '../../transport/clock';

/** Time, beyond the lease, from when an owner knows of a cancellation until its task has stopped: late timers, messages. */
const TASK_STOP_MS = 1500;
/** If the settings leave no time at all, workers are still answered while knowledge of cancellations is newer than this. */
const MIN_STALENESS_MS = 1000;
const REFRESHES_PER_STALENESS_BOUND = 8;
const MAX_REFRESH_INTERVAL_MS = 2000;

/**
 * Returns how long, in milliseconds, an owner may go on answering workers without knowing which jobs were cancelled. A
 * cancellation that was confirmed just after the owner last knew all of them (`freshAsOf`) is unknown to the owner, and each
 * answer may keep a task of that job running for another lease. The last answer before the owner learns of the cancellation
 * is therefore sent by `freshAsOf + maxStalenessMs`, and then
 *
 *     freshAsOf + maxStalenessMs + workerLeaseMs + TASK_STOP_MS <= confirmed + cancellationDeadlineMs
 *
 * while both steady clocks drift apart. The same bound holds with a live session lease, with an extended lease, during an
 * election and for a new owner, because all of them answer workers through `Membership.mayRenewLeases`.
 */
export function maxStalenessMs(workerLeaseMs: number, cancellationDeadlineMs: number): number {
  return Math.max(
    MIN_STALENESS_MS,
    cancellationDeadlineMs * (1 - 2 * MAX_CLOCK_DRIFT_RATIO) -
      workerLeaseMs * (1 + 2 * MAX_CLOCK_DRIFT_RATIO) -
      TASK_STOP_MS,
  );
}

/** How often an owner refreshes its replica, so that nearly all of its staleness bound is left when an outage begins. */
export function refreshIntervalMs(maxStalenessMs: number): number {
  return Math.min(MAX_REFRESH_INTERVAL_MS, maxStalenessMs / REFRESHES_PER_STALENESS_BOUND);
}
