import { costSeconds, fetchSeconds, moveCost } from './move-cost';
import { type MovePlan } from './move-plan';
import { MoveCandidates } from './move-candidates';
import { type PlanContext } from './move-planner';
import { taskKey, type MachineSnapshot, type PartitionSnapshot, type TaskSnapshot } from './partition-view';

/** Machines whose fetches are looked at in one round: those that fetch most images at once. */
const MAX_SOURCES_PER_ROUND = 16;
/** A single fetch has the whole bandwidth: there is nothing to even out. */
const MIN_SHARED_FETCH_COUNT = 2;
const NO_RESERVATIONS = new Map<string, never>();

/**
 * Plans moves of tasks that have not started: from machines where several images share the bandwidth to machines that have
 * the task's image. Nothing runs yet, so no rule of preemption is touched and no work is lost.
 */
export function planFetchMoves(
  partition: PartitionSnapshot,
  context: PlanContext,
  movesLeft: number,
): MovePlan[] {
  const busy = partition
    .machines()
    .filter(({ fetching }) => fetching >= MIN_SHARED_FETCH_COUNT)
    .sort((a, b) => b.fetching - a.fetching)
    .slice(0, MAX_SOURCES_PER_ROUND);
  if (busy.length === 0) return [];
  const candidates = new MoveCandidates(partition);
  const plans: MovePlan[] = [];
  for (const machine of busy) {
    for (const task of partition.tasksOn(machine.id)) {
      if (plans.length >= movesLeft) return plans;
      const plan = task.phase === 'fetching' ? planMoveToImage(task, machine, candidates, context) : null;
      if (!plan) continue;
      plans.push(plan);
      for (const { target } of plan.moves)
        if (target !== null) candidates.reserve(target, task.spec.resources);
    }
  }
  return plans;
}

function planMoveToImage(
  task: TaskSnapshot,
  source: MachineSnapshot,
  candidates: MoveCandidates,
  context: PlanContext,
): MovePlan | null {
  const { settings, budget, refusals } = context;
  const name = taskKey(task);
  const cause = { kind: 'fetch' as const, job: task.spec.job };
  if (task.pinned !== null || context.isMoving(name) || source.hasImage(task.spec.image)) return null;
  if (budget.movedFor(name, cause)) {
    refusals.count('moved for this before');
    return null;
  }
  const targets = candidates.targetsFor(task, source.id, NO_RESERVATIONS);
  const target = targets.find((machine) => machine.hasImage(task.spec.image));
  if (!target) return null;
  // `fetching` counts this task's image already.
  const alone = fetchSeconds(task.spec, { ...source, fetching: source.fetching - 1, hasImage: () => false });
  const gainS = Math.max(0, alone - task.elapsedS);
  const cost = moveCost(task, target, context);
  const costS = costSeconds(cost, context.localityWeight);
  if (gainS <= settings.hysteresis * costS + settings.min_gain_s) {
    refusals.count('costs more than it gains');
    return null;
  }
  return {
    cause,
    clearedMachine: null,
    gainS,
    costS,
    moves: [{ task, source: source.id, target: target.id, cost, costS }],
  };
}
