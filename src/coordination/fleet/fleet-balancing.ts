import { type LoadSummary } from '@heathbridge/load-balancer';
import { type FleetAction } from './fleet-snapshot';

/** What is left of a plan after its transfers of machines were reviewed. */
export interface ReviewedActions {
  /** The actions to carry out, in their order. */
  actions: FleetAction[];
  /** Transfers that were let through, as log entries. */
  allowed: object[];
  /** Transfers that were left out, as log entries. */
  rejected: object[];
}

export interface FleetSize {
  machines: number;
  /** Machines that are being drained for another partition. */
  draining: number;
}

/** Reviews transfers of machines between partitions, for the leader. */
export interface FleetBalancing {
  /** Takes a load summary received at `now`, milliseconds of the steady clock. */
  recordSummary(summary: LoadSummary, now: number): void;
  /** Counts a peer's frame that could not be decoded. */
  countMalformed(): void;
  review(actions: readonly FleetAction[], fleet: FleetSize, now: number): ReviewedActions;
  /** Summaries and counters, for `GET /status`. */
  status(now: number): object;
}
