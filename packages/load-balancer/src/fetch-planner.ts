import { costSeconds, fetchSeconds, moveCost } from './move-cost';
import { MoveCandidates } from './move-candidates';
import { type MoveCause, type MovePlan } from './move-plan';
import { type PlanContext } from './plan-context';
import {
  taskKey,
  type MachineSnapshot,
  type PartitionSnapshot,
  type TaskSnapshot,
} from './partition-snapshot';

/** Source machines planned for in one round: those with the most concurrent fetches. */
const MAX_SOURCES_PER_ROUND = 16;
/** A single fetch has the whole bandwidth of its machine, so moving its task gains nothing. */
const MIN_SHARED_FETCH_COUNT = 2;
const NO_RESERVATIONS = new Map<string, never>();

/**
 * Plans moves of tasks that are waiting for their image, from machines where several fetches share the bandwidth to machines
 * that have the image. These tasks are not running yet, so nothing is preempted and no work is lost.
 */
export function planFetchMoves(
  partition: PartitionSnapshot,
  context: PlanContext,
  maxMoves: number,
): MovePlan[] {
  const sources = machinesWithMostFetches(partition);
  if (sources.length === 0) return [];
  const candidates = new MoveCandidates(partition);
  const plans: MovePlan[] = [];
  for (const source of sources) {
    for (const task of partition.tasksOn(source.id)) {
      if (plans.length >= maxMoves) return plans;
      if (task.phase !== 'fetching') continue;
      const plan = planMoveToMachineWithImage(task, source, candidates, context);
      if (!plan) continue;
      plans.push(plan);
      for (const { target } of plan.moves)
        if (target !== null) candidates.reserve(target, task.spec.resources);
    }
  }
  return plans;
}

function machinesWithMostFetches(partition: PartitionSnapshot): MachineSnapshot[] {
  return partition
    .machines()
    .filter(({ activeFetchCount }) => activeFetchCount >= MIN_SHARED_FETCH_COUNT)
    .sort((a, b) => b.activeFetchCount - a.activeFetchCount)
    .slice(0, MAX_SOURCES_PER_ROUND);
}

function planMoveToMachineWithImage(
  task: TaskSnapshot,
  source: MachineSnapshot,
  candidates: MoveCandidates,
  context: PlanContext,
): MovePlan | null {
  const { settings, budget, refusals } = context;
  const { spec } = task;
  const key = taskKey(task);
  const cause: MoveCause = { kind: 'fetch', job: spec.job };
  if (task.pinned !== null || context.isMoving(key) || source.hasImage(spec.image)) return null;
  if (budget.wasMovedFor(key, cause)) {
    refusals.count('moved for this before');
    return null;
  }
  const targets = candidates.targetsFor(task, source.id, NO_RESERVATIONS);
  const target = targets.find((machine) => machine.hasImage(spec.image));
  if (!target) return null;
  const gainS = Math.max(0, fetchSecondsAtSource(task, source) - task.elapsedS);
  const cost = moveCost(task, target, context);
  const costS = costSeconds(cost, context.localityWeight);
  if (gainS <= settings.hysteresis * costS + settings.min_gain_s) {
    refusals.count('costs more than it gains');
    return null;
  }
  const moves = [{ task, source: source.id, target: target.id, cost, costS }];
  return { cause, clearedMachine: null, gainS, costS, moves };
}

/** Duration of the whole fetch on its present machine, whose fetch count already includes this fetch. */
function fetchSecondsAtSource({ spec }: TaskSnapshot, source: MachineSnapshot): number {
  return fetchSeconds(spec, {
    ...source,
    activeFetchCount: source.activeFetchCount - 1,
    hasImage: () => false,
  });
}
