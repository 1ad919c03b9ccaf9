import { type LoadSummary } from '@heathbridge/load-balancer';
import { type TaskObserver } from './task-observer';

/** Balances the tasks of one partition between its machines, and states its load. */
export interface PartitionBalancing extends TaskObserver {
  /** The load as it is now; each call gets the next sequence number. */
  loadSummary(now: number): LoadSummary;
  /** Moves of tasks in progress, for `GET /status`. */
  movesInProgress(): object[];
  /** Decisions since the last call, as log entries. */
  takeDecisions(): object[];
}
