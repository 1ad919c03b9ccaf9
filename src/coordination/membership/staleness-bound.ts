/** The bound on how stale an owner's knowledge of cancellations may be. */
import { MAX_CLOCK_DRIFT_RATIO } from '../../transport/clock';

/** The time from when an owner knows of a cancellation until its task has stopped, beyond the lease: late timers and messages. */
const TASK_STOP_MS = 1500;
/** Where the settings leave no time at all, workers are still answered with news of the state store that are this fresh. */
const MIN_STALENESS_MS = 1000;
const REFRESHES_PER_STALENESS_BOUND = 8;
const MAX_REFRESH_INTERVAL_MS = 2000;

/**
 * How long an owner may go on answering workers without knowing which jobs were cancelled. A cancellation that was
 * confirmed just after the owner last knew all of them (`freshAsOf`) is unknown to it, and each answer may keep a task of
 * that job running for another lease. So the last answer before it learns of it is given by `freshAsOf + maxStalenessMs`,
 * and then
 *
 *     freshAsOf + maxStalenessMs + leaseMs + TASK_STOP_MS <= confirmed + cancelMs
 *
 * with both steady clocks drifting apart. The bound holds the same for a live session lease, an extended lease, an election
 * and a new owner, for all of them answer workers through `Membership.mayRenewLeases`.
 */
export function maxStalenessMs(leaseMs: number, cancelMs: number): number {
  return Math.max(
    MIN_STALENESS_MS,
    cancelMs * (1 - 2 * MAX_CLOCK_DRIFT_RATIO) - leaseMs * (1 + 2 * MAX_CLOCK_DRIFT_RATIO) - TASK_STOP_MS,
  );
}

/** How often an owner refreshes its replica, so that an outage finds it with nearly all of its staleness bound left. */
export function refreshIntervalMs(maxStalenessMs: number): number {
  return Math.min(MAX_REFRESH_INTERVAL_MS, maxStalenessMs / REFRESHES_PER_STALENESS_BOUND);
}
