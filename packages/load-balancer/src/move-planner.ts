import { endsBeforeMove, moveCost, costSeconds, type CostContext } from './move-cost';
import { type MovePlan, type PlannedMove, type Refusal, type RefusalCounter } from './move-plan';
import { MoveCandidates } from './move-candidates';
import {
  taskKey,
  type MachineSnapshot,
  type PartitionSnapshot,
  type TaskSnapshot,
  type PendingTasks,
} from './partition-view';
import { addResources, fits, type Resources } from './resources';
import { type MoveBudget } from './move-budget';
import { type BalancerSettings } from './settings';

/** Machines that are looked at closely for one waiting job: those that lack least. */
const MAX_MACHINES_PER_JOB = 8;
/** Waiting jobs that are looked at in one round, the most urgent first. */
const MAX_JOBS_PER_ROUND = 6;
/** Rooms that are made for one job in a round. */
const MAX_CLEARED_MACHINES_PER_JOB = 4;
/** No move is worth more than this, however long the wait would be. */
const MAX_GAIN_S = 300;

/** Natural ends are taken at this quantile of what is left. */
const EARLY_END_PROBABILITY = 0.35;

/** What planning depends on besides the partition. */
export interface PlanContext extends CostContext {
  now: number;
  settings: BalancerSettings;
  budget: MoveBudget;
  refusals: RefusalCounter;
  /** Tasks that are being moved. */
  isMoving(task: string): boolean;
  /** Jobs for which moves are under way. */
  hasMovesInProgress(job: string): boolean;
}

/** A machine that could be cleared for a waiting task. */
interface Clearing {
  machine: MachineSnapshot;
  moves: PlannedMove[];
  costS: number;
  clearedInS: number;
}

/**
 * Plans moves that make room for waiting tasks which fit nowhere as the room lies. All rooms that a plan relies on are taken
 * from one account, so two plans of a round never count on the same one.
 */
export class MovePlanner {
  private readonly candidates: MoveCandidates;
  private movesLeft: number;

  constructor(
    private readonly partition: PartitionSnapshot,
    private readonly context: PlanContext,
    movesLeft: number,
  ) {
    this.candidates = new MoveCandidates(partition);
    this.movesLeft = movesLeft;
  }

  /** The moves of one round. */
  plan(): MovePlan[] {
    const plans: MovePlan[] = [];
    const pendingJobs = [...this.partition.pendingTasks()].sort((a, b) => a.spec.priority - b.spec.priority);
    for (const pending of pendingJobs.slice(0, MAX_JOBS_PER_ROUND)) {
      if (pending.tasks === 0 || this.context.hasMovesInProgress(pending.spec.job)) continue;
      for (let rooms = 0; rooms < Math.min(MAX_CLEARED_MACHINES_PER_JOB, pending.tasks); rooms++) {
        const plan = this.planClearing(pending);
        if (!plan) break;
        plans.push(plan);
      }
    }
    return plans;
  }

  /** Moves tasks off one machine so that a task of this job fits there; null: not worth it, or not needed. */
  private planClearing(pending: PendingTasks): MovePlan | null {
    const { spec } = pending;
    const suitable = this.candidates.suitableMachines(spec);
    if (suitable.some((machine) => fits(this.candidates.free(machine.id), spec.resources))) return null;
    if (this.movesLeft <= 0) return this.refuse('too many moves');
    const tried = suitable
      .sort((a, b) => this.candidates.free(b.id).cpus - this.candidates.free(a.id).cpus)
      .slice(0, MAX_MACHINES_PER_JOB);
    const waitS = Math.min(MAX_GAIN_S, ...tried.map((machine) => this.naturalWaitS(machine, spec.resources)));
    let best: Clearing | null = null;
    for (const machine of tried) {
      const clearing = this.clear(machine, pending);
      if (clearing && clearing.costS + clearing.clearedInS < (best ? best.costS + best.clearedInS : Infinity))
        best = clearing;
    }
    return best && this.accept(best, pending, waitS);
  }

  private accept(clearing: Clearing, pending: PendingTasks, waitS: number): MovePlan | null {
    const { settings, refusals } = this.context;
    const gainS = Math.max(0, waitS - clearing.clearedInS) * this.priorityWeight(clearing, pending);
    if (gainS <= settings.hysteresis * clearing.costS + settings.min_gain_s) {
      refusals.count('costs more than it gains');
      return null;
    }
    for (const { task, source, target } of clearing.moves) {
      if (target !== null) this.candidates.reserve(target, task.spec.resources);
      this.candidates.removeTask(source, task);
    }
    // What is cleared is for this job: no other plan of the round counts on it.
    this.candidates.reserve(clearing.machine.id, pending.spec.resources);
    this.movesLeft -= clearing.moves.length;
    const cause = { kind: 'make-room' as const, job: pending.spec.job };
    return {
      cause,
      clearedMachine: clearing.machine.id,
      moves: clearing.moves,
      gainS,
      costS: clearing.costS,
    };
  }

  /** A second of waiting counts more the more urgent who waits is than those that make room. */
  private priorityWeight({ moves }: Clearing, { spec }: PendingTasks): number {
    const lowest = Math.min(...moves.map(({ task }) => task.spec.priority));
    return this.context.settings.priority_weight ** Math.max(0, lowest - spec.priority);
  }

  /** Seconds until a task of this shape fits on a machine without any move. */
  private naturalWaitS(machine: MachineSnapshot, needs: Resources): number {
    let free = this.candidates.free(machine.id);
    const ends = this.candidates
      .tasksOn(machine.id)
      .map((task) => ({ task, endS: this.earliestEndS(task) }))
      .sort((a, b) => a.endS - b.endS);
    for (const { task, endS } of ends) {
      free = addResources(free, task.spec.resources, 1);
      if (fits(free, needs)) return endS;
    }
    return Number.POSITIVE_INFINITY;
  }

  /** Rather early than late: a wait that may end by itself is worth less. */
  private earliestEndS(task: TaskSnapshot): number {
    const elapsedS = task.phase === 'running' ? task.elapsedS : 0;
    return this.context.estimator.remainingS(task.spec, elapsedS, EARLY_END_PROBABILITY);
  }

  /** The cheapest moves that clear a machine for a task; null: they are not possible. */
  private clear(machine: MachineSnapshot, pending: PendingTasks): Clearing | null {
    const reserved = new Map<string, Resources>();
    const options = this.candidates
      .tasksOn(machine.id)
      .map((task) => this.cheapestMove(task, machine, pending, reserved))
      .filter((move) => move !== null)
      .sort((a, b) => a.costS / a.task.spec.resources.cpus - b.costS / b.task.spec.resources.cpus);
    let free = this.candidates.free(machine.id);
    const moves: PlannedMove[] = [];
    for (const option of options) {
      if (fits(free, pending.spec.resources)) break;
      // The room that looked cheapest may have gone to another task of this plan.
      const move = this.cheapestMove(option.task, machine, pending, reserved);
      if (!move) continue;
      moves.push(move);
      free = addResources(free, move.task.spec.resources, 1);
      if (move.target === null) continue;
      const before = reserved.get(move.target) ?? { cpus: 0, accelerators: 0, memoryGb: 0 };
      reserved.set(move.target, addResources(before, move.task.spec.resources, 1));
    }
    if (!fits(free, pending.spec.resources)) return null;
    const needed = withoutUnneededMoves(moves, free, pending.spec.resources);
    if (needed.length > this.movesLeft) {
      this.context.refusals.count('too many moves');
      return null;
    }
    return {
      machine,
      moves: needed,
      costS: needed.reduce((sum, { costS }) => sum + costS, 0),
      clearedInS: Math.max(0, ...needed.map(({ cost }) => cost.messagesS + cost.saveS)),
    };
  }

  private cheapestMove(
    task: TaskSnapshot,
    source: MachineSnapshot,
    pending: PendingTasks,
    reserved: ReadonlyMap<string, Resources>,
  ): PlannedMove | null {
    const refusal = this.refusalFor(task, pending);
    if (refusal !== null) return this.refuse(refusal);
    const { context } = this;
    let best = this.moveToQueue(task, source, pending);
    for (const target of this.candidates.targetsFor(task, source.id, reserved)) {
      const cost = moveCost(task, target, context);
      const costS = costSeconds(cost, context.localityWeight);
      if (costS < (best?.costS ?? Infinity))
        best = { task, source: source.id, target: target.id, cost, costS };
    }
    if (!best) return this.refuse('no room elsewhere');
    return endsBeforeMove(task, best.cost, context.estimator) ? this.refuse('ends first') : best;
  }

  /** Lower priority may also be put back to wait; so may nothing that runs for a guarantee, or that has not begun. */
  private moveToQueue(
    task: TaskSnapshot,
    source: MachineSnapshot,
    pending: PendingTasks,
  ): PlannedMove | null {
    if (pending.spec.priority >= task.spec.priority) return null;
    const cost = moveCost(task, null, this.context);
    const costS = costSeconds(cost, this.context.localityWeight);
    return { task, source: source.id, target: null, cost, costS };
  }

  /** Why a task is not to be moved for a waiting job, whatever it costs; null: it may be. */
  private refusalFor(task: TaskSnapshot, pending: PendingTasks): Refusal | null {
    const { budget, settings, now } = this.context;
    const name = taskKey(task);
    if (task.pinned !== null || this.context.isMoving(name)) return 'pinned';
    if (budget.movedFor(name, { kind: 'make-room', job: pending.spec.job })) return 'moved for this before';
    const residenceMs = settings.min_residence_s * 1000;
    if (budget.sinceMovedMs(name, now) < residenceMs) return 'too short on its machine';
    if (task.phase === 'fetching') return null;
    if (task.elapsedS * 1000 < residenceMs) return 'too short on its machine';
    return this.mayStop(task, pending) ? null : 'not allowed to stop it';
  }

  /** PROTOCOL, "Preemption": for higher priority, or beyond one's guarantee for another team's guarantee. */
  private mayStop({ spec }: TaskSnapshot, pending: PendingTasks): boolean {
    if (pending.spec.priority < spec.priority) return true;
    if (spec.team === pending.spec.team || !pending.withinGuarantee) return false;
    const { usedCpus, guaranteedCpus } = this.partition.team(spec.team);
    return usedCpus - spec.resources.cpus >= guaranteedCpus;
  }

  private refuse(reason: Refusal): null {
    this.context.refusals.count(reason);
    return null;
  }
}

/** Leaves out moves that are not needed once the others are made, the dearest first. */
function withoutUnneededMoves(moves: PlannedMove[], free: Resources, needs: Resources): PlannedMove[] {
  let room = free;
  const kept = new Set(moves);
  for (const move of [...moves].sort((a, b) => b.costS - a.costS)) {
    const without = addResources(room, move.task.spec.resources, -1);
    if (!fits(without, needs)) continue;
    kept.delete(move);
    room = without;
  }
  return moves.filter((move) => kept.has(move));
}
