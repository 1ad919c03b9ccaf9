import { costSeconds, endsBeforeMove, moveCost } from './move-cost';
import { type MoveCandidates } from './move-candidates';
import { moveRefusal } from './move-eligibility';
import { type PlannedMove, type Refusal } from './move-plan';
import { type PlanContext } from './plan-context';
import {
  type MachineSnapshot,
  type PartitionSnapshot,
  type PendingTasks,
  type TaskSnapshot,
} from './partition-snapshot';
import { addResources, fits, NO_RESOURCES, type Resources } from './resources';

/** Resources that the moves of one clearing plan reserve on their targets, by machine. */
type TargetReservations = Map<string, Resources>;

const NO_RESERVATIONS: ReadonlyMap<string, Resources> = new Map();

/** The moves that free enough of a machine for one task of a pending job. */
export interface ClearingPlan {
  machine: MachineSnapshot;
  moves: PlannedMove[];
  costS: number;
  /** Seconds until the moved tasks have left the machine. */
  clearedInS: number;
}

/** Finds the cheapest moves that free enough of a machine for a pending task. */
export class ClearingPlanner {
  constructor(
    private readonly partition: PartitionSnapshot,
    private readonly candidates: MoveCandidates,
    private readonly context: PlanContext,
  ) {}

  /** The cheapest moves, at most `maxMoves`, that clear a machine for a task; null if there are none. */
  planClearing(machine: MachineSnapshot, pending: PendingTasks, maxMoves: number): ClearingPlan | null {
    const { resources } = pending.spec;
    const { moves, free } = this.chooseMoves(machine, pending);
    if (!fits(free, resources)) return null;
    const neededMoves = withoutUnneededMoves(moves, free, resources);
    if (neededMoves.length > maxMoves) return this.refuse('too many moves');
    return {
      machine,
      moves: neededMoves,
      costS: neededMoves.reduce((sum, { costS }) => sum + costS, 0),
      clearedInS: Math.max(0, ...neededMoves.map(({ cost }) => cost.commandLatencyS + cost.checkpointS)),
    };
  }

  /** Chooses moves off a machine, lowest cost per CPU first, until the pending task fits; `free` is what they leave free. */
  private chooseMoves(
    machine: MachineSnapshot,
    pending: PendingTasks,
  ): { moves: PlannedMove[]; free: Resources } {
    const reserved: TargetReservations = new Map();
    const moves: PlannedMove[] = [];
    let free = this.candidates.freeResources(machine.id);
    for (const { task } of this.cheapestFirst(machine, pending)) {
      if (fits(free, pending.spec.resources)) break;
      // Chosen again, because another task of this clearing may have taken the cheapest target.
      const move = this.cheapestMove(task, machine, pending, reserved);
      if (!move) continue;
      moves.push(move);
      free = addResources(free, task.spec.resources, 1);
      if (move.target !== null) addReservation(reserved, move.target, task.spec.resources);
    }
    return { moves, free };
  }

  private cheapestFirst(machine: MachineSnapshot, pending: PendingTasks): PlannedMove[] {
    const moves = this.candidates
      .tasksOn(machine.id)
      .map((task) => this.cheapestMove(task, machine, pending, NO_RESERVATIONS))
      .filter((move) => move !== null);
    return moves.sort((a, b) => costPerCpu(a) - costPerCpu(b));
  }

  private cheapestMove(
    task: TaskSnapshot,
    source: MachineSnapshot,
    pending: PendingTasks,
    reserved: ReadonlyMap<string, Resources>,
  ): PlannedMove | null {
    const { context } = this;
    const refusal = moveRefusal(task, pending, this.partition, context);
    if (refusal !== null) return this.refuse(refusal);
    let best = this.moveToQueue(task, source, pending);
    for (const target of this.candidates.targetsFor(task, source.id, reserved)) {
      const move = this.plannedMove(task, source, target);
      if (move.costS < (best?.costS ?? Infinity)) best = move;
    }
    if (!best) return this.refuse('no room elsewhere');
    return endsBeforeMove(task, best.cost, context.estimator) ? this.refuse('ends first') : best;
  }

  /** Only a task of lower priority may also be requeued. A task that is stopped for a team's guarantee needs a target. */
  private moveToQueue(
    task: TaskSnapshot,
    source: MachineSnapshot,
    pending: PendingTasks,
  ): PlannedMove | null {
    if (pending.spec.priority >= task.spec.priority) return null;
    return this.plannedMove(task, source, null);
  }

  private plannedMove(
    task: TaskSnapshot,
    source: MachineSnapshot,
    target: MachineSnapshot | null,
  ): PlannedMove {
    const cost = moveCost(task, target, this.context);
    const costS = costSeconds(cost, this.context.localityWeight);
    return { task, source: source.id, target: target?.id ?? null, cost, costS };
  }

  private refuse(reason: Refusal): null {
    this.context.refusals.count(reason);
    return null;
  }
}

function costPerCpu({ costS, task }: PlannedMove): number {
  return costS / task.spec.resources.cpus;
}

function addReservation(reserved: TargetReservations, machine: string, resources: Resources): void {
  reserved.set(machine, addResources(reserved.get(machine) ?? NO_RESOURCES, resources, 1));
}

/** Leaves out moves without which the pending task still fits, the most expensive first. */
function withoutUnneededMoves(moves: PlannedMove[], free: Resources, needed: Resources): PlannedMove[] {
  let remaining = free;
  const kept = new Set(moves);
  for (const move of [...moves].sort((a, b) => b.costS - a.costS)) {
    const freeWithoutMove = addResources(remaining, move.task.spec.resources, -1);
    if (!fits(freeWithoutMove, needed)) continue;
    kept.delete(move);
    remaining = freeWithoutMove;
  }
  return moves.filter((move) => kept.has(move));
}
