import { type LoadSummary } from '@heathbridge/load-balancer';
import { type TaskObserver } from './task-observer';

/** Balances the tasks of one partition, and summarizes its load. */
export interface PartitionBalancing extends TaskObserver {
  summary(now: number): LoadSummary;
  /** Moves that are under way, for operators. */
  movesInProgress(): object[];
  /** Decisions since they were last asked for, as lines of the log. */
  takeDecisions(): object[];
}
