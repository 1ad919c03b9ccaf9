import { type LoadSummary } from '@heathbridge/load-balancer';
import { type FleetAction } from './fleet-snapshot';

/** The result of reviewing a plan's transfers of machines. */
export interface ReviewedActions {
  /** The actions to carry out, in the order of the plan. */
  actions: FleetAction[];
  /** Approved transfers, as log entries. */
  allowed: object[];
  /** Rejected transfers, as log entries. */
  rejected: object[];
}

export interface FleetSize {
  machines: number;
  /** Machines that are being drained for another partition. */
  draining: number;
}

/** Reviews transfers of machines between partitions, for the leader. */
export interface FleetBalancing {
  /** Stores a load summary that was received at `now`, in milliseconds of the steady clock. */
  recordSummary(summary: LoadSummary, now: number): void;
  /** Counts a frame from a peer that could not be decoded. */
  countMalformed(): void;
  review(actions: readonly FleetAction[], fleet: FleetSize, now: number): ReviewedActions;
  /** Load summaries and counters for `GET /status`. */
  status(now: number): object;
}
