import { CapacityPlan } from './capacity-plan';
import { type FleetAction, type FleetSnapshot } from './fleet-snapshot';
import { rebalanceMachines, revokeDrains } from './machine-rebalancer';
import { drainSurplus, scaleInUnhealthy, scaleInIdle, scaleInLateBooting } from './scale-in';
import { scaleOut } from './scale-out';

/**
 * Plans one round: which machines to provision, to transfer between partitions and to return to the cloud. A pure function of
 * the snapshot. Each step takes the decisions of the previous steps into account.
 */
export function planCapacity(snapshot: FleetSnapshot): FleetAction[] {
  const plan = new CapacityPlan(snapshot);
  scaleInUnhealthy(plan);
  scaleOut(plan);
  rebalanceMachines(plan);
  revokeDrains(plan);
  scaleInLateBooting(plan);
  drainSurplus(plan);
  scaleInIdle(plan);
  return plan.actions;
}
