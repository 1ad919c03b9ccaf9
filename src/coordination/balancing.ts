import { type LoadSummary } from '@heathbridge/load-balancer';
import { type FleetAction } from './fleet-plan';
import { type PartitionCore } from './partition';
import { type TaskObserver } from './task-observer';

/** Balances the tasks of one partition, and tells how it stands. */
export interface PartitionBalancing extends TaskObserver {
  summary(now: number): LoadSummary;
  /** Moves that are under way, for operators. */
  running(): object[];
  /** Decisions since they were last asked for, as lines of the log. */
  takeDecisions(): object[];
}

/** What became of moves of machines that planning proposed. */
export interface ReviewedActions {
  actions: FleetAction[];
  /** Decisions as lines of the log. */
  allowed: object[];
  refused: object[];
}

/** Checks moves of machines between partitions, for the leader. */
export interface FleetBalancing {
  take(summary: LoadSummary, now: number): void;
  /** A frame of a peer that could not be read. */
  countMalformed(): void;
  review(actions: readonly FleetAction[], fleet: FleetSize, now: number): ReviewedActions;
  status(now: number): object;
}

/** How many machines there are, and how many are being emptied for another partition. */
export interface FleetSize {
  machines: number;
  draining: number;
}

/** Load balancing as it is switched on for a controller; what implements it is loaded only then. */
export interface Balancing {
  forPartition(core: PartitionCore): PartitionBalancing;
  readonly fleet: FleetBalancing;
}
