import { rebalanceMachines, revokeDrains } from './machine-rebalancer';
import { CapacityPlan, type FleetAction, type FleetSnapshot } from './capacity-plan';
import { scaleOut } from './scale-out';
import { scaleInBroken, scaleInIdle, scaleInLateBooting, drainSurplus } from './scale-in';

/** What to rent, move and return, given what waits and what there is. Pure. */
export function planCapacity(snapshot: FleetSnapshot): FleetAction[] {
  const plan = new CapacityPlan(snapshot);
  scaleInBroken(plan);
  scaleOut(plan);
  rebalanceMachines(plan);
  revokeDrains(plan);
  scaleInLateBooting(plan);
  drainSurplus(plan);
  scaleInIdle(plan);
  return plan.actions;
}
