import { type MoveBudget } from './move-budget';
import { type CostContext } from './move-cost';
import { type RefusalCounter } from './move-plan';
import { type BalancerSettings } from './settings';

/** Inputs to a planning round, other than the partition. */
export interface PlanContext extends CostContext {
  /** Time of the round, in milliseconds of the steady clock. */
  now: number;
  settings: BalancerSettings;
  budget: MoveBudget;
  refusals: RefusalCounter;
  /** Whether the task with this key is being moved. */
  isMoving: (task: string) => boolean;
  /** Whether moves for a job are in progress, or resources are still reserved for it on a cleared machine. */
  hasMovesInProgress: (job: string) => boolean;
}
