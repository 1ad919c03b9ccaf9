import { ClearingPlanner, type ClearingPlan } from './machine-clearing';
import { MoveCandidates } from './move-candidates';
import { type MovePlan, type Refusal } from './move-plan';
import { type PlanContext } from './plan-context';
import {
  type MachineSnapshot,
  type PartitionSnapshot,
  type PendingTasks,
  type TaskSnapshot,
} from './partition-snapshot';
import { addResources, fits, type Resources } from './resources';

/** Number of machines examined for one pending job: those with the most free CPUs. */
const MAX_MACHINES_PER_JOB = 8;
/** Number of pending jobs planned for in one round, the most urgent first. */
const MAX_JOBS_PER_ROUND = 6;
const MAX_CLEARED_MACHINES_PER_JOB = 4;
/** A longer wait without moves counts as this long when the gain of a clearing is computed. */
const MAX_COUNTED_WAIT_S = 300;
/**
 * Tasks are assumed to end within the time in which they end with this probability. It is below one half, because shortening a
 * wait that may end by itself is worth less.
 */
const EARLY_END_PROBABILITY = 0.35;

/**
 * Plans moves that free resources for pending tasks that fit on no machine, although the partition may have enough in total.
 * All plans of a round take resources from the same candidates, so no two plans use the same resources.
 */
export class MovePlanner {
  private readonly candidates: MoveCandidates;
  private readonly clearingPlanner: ClearingPlanner;
  private remainingMoves: number;

  constructor(
    private readonly partition: PartitionSnapshot,
    private readonly context: PlanContext,
    maxMoves: number,
  ) {
    this.candidates = new MoveCandidates(partition);
    this.clearingPlanner = new ClearingPlanner(partition, this.candidates, context);
    this.remainingMoves = maxMoves;
  }

  /** Returns the plans of one round. */
  plan(): MovePlan[] {
    const plans: MovePlan[] = [];
    const pendingJobs = [...this.partition.pendingTasks()].sort((a, b) => a.spec.priority - b.spec.priority);
    for (const pending of pendingJobs.slice(0, MAX_JOBS_PER_ROUND)) {
      if (pending.taskCount === 0 || this.context.hasMovesInProgress(pending.spec.job)) continue;
      plans.push(...this.planClearings(pending));
    }
    return plans;
  }

  private planClearings(pending: PendingTasks): MovePlan[] {
    const plans: MovePlan[] = [];
    const maxPlans = Math.min(MAX_CLEARED_MACHINES_PER_JOB, pending.taskCount);
    while (plans.length < maxPlans) {
      const plan = this.planClearing(pending);
      if (!plan) break;
      plans.push(plan);
    }
    return plans;
  }

  /** Plans to clear one machine for a task of a job; null if that is not needed, not possible or not worth its cost. */
  private planClearing(pending: PendingTasks): MovePlan | null {
    const { spec } = pending;
    const suitable = this.candidates.suitableMachines(spec);
    if (suitable.some(({ id }) => fits(this.candidates.freeResources(id), spec.resources))) return null;
    if (this.remainingMoves <= 0) return this.refuse('too many moves');
    const machines = suitable
      .sort((a, b) => this.candidates.freeResources(b.id).cpus - this.candidates.freeResources(a.id).cpus)
      .slice(0, MAX_MACHINES_PER_JOB);
    const waitsS = machines.map((machine) => this.waitWithoutMoves(machine, spec.resources));
    const best = this.cheapestClearing(machines, pending);
    return best && this.accept(best, pending, Math.min(MAX_COUNTED_WAIT_S, ...waitsS));
  }

  private cheapestClearing(machines: readonly MachineSnapshot[], pending: PendingTasks): ClearingPlan | null {
    let best: ClearingPlan | null = null;
    let bestS = Infinity;
    for (const machine of machines) {
      const clearing = this.clearingPlanner.planClearing(machine, pending, this.remainingMoves);
      if (!clearing || clearing.costS + clearing.clearedInS >= bestS) continue;
      best = clearing;
      bestS = clearing.costS + clearing.clearedInS;
    }
    return best;
  }

  private accept(clearing: ClearingPlan, pending: PendingTasks, waitS: number): MovePlan | null {
    const { settings } = this.context;
    const { machine, moves, costS } = clearing;
    const gainS = Math.max(0, waitS - clearing.clearedInS) * this.priorityWeight(clearing, pending);
    if (gainS <= settings.hysteresis * costS + settings.min_gain_s)
      return this.refuse('costs more than it gains');
    for (const { task, source, target } of moves) {
      if (target !== null) this.candidates.reserve(target, task.spec.resources);
      this.candidates.removeTask(source, task);
    }
    // The cleared resources are for this job, so no other plan of the round may use them.
    this.candidates.reserve(machine.id, pending.spec.resources);
    this.remainingMoves -= moves.length;
    const cause = { kind: 'make-room' as const, job: pending.spec.job };
    return { cause, clearedMachine: machine.id, moves, gainS, costS };
  }

  /** Weight of a second of waiting, which grows with the urgency of the pending tasks over that of the moved ones. */
  private priorityWeight({ moves }: ClearingPlan, { spec }: PendingTasks): number {
    const mostUrgentPriority = Math.min(...moves.map(({ task }) => task.spec.priority));
    return this.context.settings.priority_weight ** Math.max(0, mostUrgentPriority - spec.priority);
  }

  /** Seconds until a task fits on a machine because other tasks end; Infinity if it never does. */
  private waitWithoutMoves(machine: MachineSnapshot, needed: Resources): number {
    let free = this.candidates.freeResources(machine.id);
    const ends = this.candidates
      .tasksOn(machine.id)
      .map((task) => ({ task, endS: this.earlyEndS(task) }))
      .sort((a, b) => a.endS - b.endS);
    for (const { task, endS } of ends) {
      free = addResources(free, task.spec.resources, 1);
      if (fits(free, needed)) return endS;
    }
    return Number.POSITIVE_INFINITY;
  }

  private earlyEndS(task: TaskSnapshot): number {
    const elapsedS = task.phase === 'running' ? task.elapsedS : 0;
    return this.context.estimator.remainingS(task.spec, elapsedS, EARLY_END_PROBABILITY);
  }

  private refuse(reason: Refusal): null {
    this.context.refusals.count(reason);
    return null;
  }
}
