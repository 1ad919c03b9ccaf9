import { lendMachines, revokeDrains } from './fleet-lending';
import { FleetPlan, type FleetAction, type FleetPicture } from './fleet-plan';
import { provideMachines } from './fleet-rental';
import { returnBroken, returnIdle, returnLate, spareMachines } from './fleet-returns';

/** What to rent, move and return, given what waits and what there is. Pure. */
export function scale(picture: FleetPicture): FleetAction[] {
  const plan = new FleetPlan(picture);
  returnBroken(plan);
  provideMachines(plan);
  lendMachines(plan);
  revokeDrains(plan);
  returnLate(plan);
  spareMachines(plan);
  returnIdle(plan);
  return plan.actions;
}
