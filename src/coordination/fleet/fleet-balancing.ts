import { type LoadSummary } from '@heathbridge/load-balancer';
import { type FleetAction } from './capacity-plan';

/** What became of machine transfers that planning proposed. */
export interface ReviewedActions {
  actions: FleetAction[];
  /** Decisions as lines of the log. */
  allowed: object[];
  rejected: object[];
}

/** How many machines there are, and how many are being drained for another partition. */
export interface FleetSize {
  machines: number;
  draining: number;
}

/** Checks transfers of machines between partitions, for the leader. */
export interface FleetBalancing {
  recordSummary(summary: LoadSummary, now: number): void;
  /** A frame of a peer that could not be read. */
  countMalformed(): void;
  review(actions: readonly FleetAction[], fleet: FleetSize, now: number): ReviewedActions;
  status(now: number): object;
}
