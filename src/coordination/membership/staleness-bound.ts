import { MAX_CLOCK_DRIFT_RATIO } from '../../transport/clock';

/** What a stop takes once its owner knows: the worker's steps, answers on their way, timers that fire late. */
const TASK_STOP_MS = 1500;
/** If the settings leave no time at all, an owner must at least have heard of the store a moment ago. */
const MIN_STALENESS_MS = 1000;
/** How often an owner asks anew, as a share of how long it may go without. */
const REFRESHES_PER_STALENESS_BOUND_COUNT = 8;
const MAX_REFRESH_INTERVAL_MS = 2000;

/**
 * How long an owner may go on answering workers without knowing which jobs were cancelled. A cancellation that was
 * confirmed just after the owner last knew all of them (`freshAsOf`) is unknown to it, and each answer may keep a task of that
 * job for another lease. So the last answer before it hears is given by `freshAsOf + maxStalenessMs`, and then
 *
 *     freshAsOf + maxStalenessMs + leaseMs + STOP_MS <= confirmed + cancelMs
 *
 * with both steady clocks drifting apart. This is the only place where the bound stands; it holds the same for a living
 * session lease, an extended lease, an election and a new owner, for all of them answer workers through `Member.mayRenewLeases`.
 */
export function maxStalenessMs(leaseMs: number, cancelMs: number): number {
  return Math.max(
    MIN_STALENESS_MS,
    cancelMs * (1 - 2 * MAX_CLOCK_DRIFT_RATIO) - leaseMs * (1 + 2 * MAX_CLOCK_DRIFT_RATIO) - TASK_STOP_MS,
  );
}

/** An owner asks the store what is new at least this often, so that an outage finds it with nearly all of that time. */
export function refreshIntervalMs(maxStalenessMs: number): number {
  return Math.min(MAX_REFRESH_INTERVAL_MS, maxStalenessMs / REFRESHES_PER_STALENESS_BOUND_COUNT);
}
