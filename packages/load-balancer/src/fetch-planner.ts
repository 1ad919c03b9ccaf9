import { costSeconds, fetchSeconds, moveCost } from './move-cost';
import { type MovePlan } from './move-plan';
import { MoveCandidates } from './move-candidates';
import { type PlanContext } from './move-planner';
import { taskName, type MachineView, type PartitionView, type TaskView } from './partition-view';

/** Machines whose fetches are looked at in one round: those that fetch most images at once. */
const MACHINES_TRIED = 16;
/** A single fetch has the whole bandwidth: there is nothing to even out. */
const SHARED_FETCHES = 2;
const NOTHING_TAKEN = new Map<string, never>();

/**
 * Plans moves of tasks that have not started: from machines where several images share the bandwidth to machines that have
 * the task's image. Nothing runs yet, so no rule of preemption is touched and no work is lost.
 */
export function planFetchMoves(view: PartitionView, context: PlanContext, movesLeft: number): MovePlan[] {
  const busy = view
    .machines()
    .filter(({ fetching }) => fetching >= SHARED_FETCHES)
    .sort((a, b) => b.fetching - a.fetching)
    .slice(0, MACHINES_TRIED);
  if (busy.length === 0) return [];
  const candidates = new MoveCandidates(view);
  const plans: MovePlan[] = [];
  for (const machine of busy) {
    for (const task of view.tasksOn(machine.id)) {
      if (plans.length >= movesLeft) return plans;
      const plan = task.phase === 'fetching' ? moveNearImage(task, machine, candidates, context) : null;
      if (!plan) continue;
      plans.push(plan);
      for (const { target } of plan.moves) if (target !== null) candidates.take(target, task.of.needs);
    }
  }
  return plans;
}

function moveNearImage(
  task: TaskView,
  source: MachineView,
  candidates: MoveCandidates,
  context: PlanContext,
): MovePlan | null {
  const { settings, budget, refusals } = context;
  const name = taskName(task);
  const cause = { kind: 'fetch' as const, job: task.of.job };
  if (task.pinned !== null || context.isMoving(name) || source.hasImage(task.of.image)) return null;
  if (budget.movedFor(name, cause)) {
    refusals.count('moved for this before');
    return null;
  }
  const targets = candidates.targetsFor(task, source.id, NOTHING_TAKEN);
  const target = targets.find((machine) => machine.hasImage(task.of.image));
  if (!target) return null;
  // `fetching` counts this task's image already.
  const alone = fetchSeconds(task.of, { ...source, fetching: source.fetching - 1, hasImage: () => false });
  const gainS = Math.max(0, alone - task.elapsedS);
  const cost = moveCost(task, target, context);
  const costS = costSeconds(cost, context.localityWeight);
  if (gainS <= settings.hysteresis * costS + settings.min_gain_s) {
    refusals.count('costs more than it gains');
    return null;
  }
  return {
    cause,
    cleared: null,
    gainS,
    costS,
    moves: [{ task, source: source.id, target: target.id, cost, costS }],
  };
}
