import { type MoveBudget } from './move-budget';
import { type CostContext } from './move-cost';
import { type RefusalCounter } from './move-plan';
import { type BalancerSettings } from './settings';

/** What a round of planning depends on besides the partition. */
export interface PlanContext extends CostContext {
  /** Milliseconds of the steady clock. */
  now: number;
  settings: BalancerSettings;
  budget: MoveBudget;
  refusals: RefusalCounter;
  /** Whether a task is being moved, by its key. */
  isMoving: (task: string) => boolean;
  /** Whether moves for a job are in progress. */
  hasMovesInProgress: (job: string) => boolean;
}
