import { type LoadSummary } from '@heathbridge/load-balancer';
import { type TaskObserver } from './task-observer';

/** Balances the tasks of one partition across its machines, and reports the partition's load. */
export interface PartitionBalancing extends TaskObserver {
  /** The current load; each summary has the next sequence number. */
  loadSummary(now: number): LoadSummary;
  /** Task moves in progress, as shown in `GET /status`. */
  movesInProgress(): object[];
  /** Removes and returns the decisions since the last call, as log entries. */
  takeDecisions(): object[];
}
