import { MachineClearing, type Clearing } from './machine-clearing';
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

/** Machines that are looked at closely for one pending job: those with most free CPUs. */
const MAX_MACHINES_PER_JOB = 8;
/** Pending jobs that are planned for in one round, the most urgent first. */
const MAX_JOBS_PER_ROUND = 6;
const MAX_CLEARED_MACHINES_PER_JOB = 4;
/** No clearing is worth more than this, however long the wait would be. */
const MAX_GAIN_S = 300;
/** Tasks are taken to end at this quantile of their remaining time: a wait that may end by itself is worth less. */
const EARLY_END_PROBABILITY = 0.35;

/**
 * Plans moves that free resources for pending tasks that fit on no machine, though the partition may have enough in all. All
 * plans of a round take their resources from the same candidates, so no two count on the same ones.
 */
export class MovePlanner {
  private readonly candidates: MoveCandidates;
  private readonly clearing: MachineClearing;
  private movesLeft: number;

  constructor(
    private readonly partition: PartitionSnapshot,
    private readonly context: PlanContext,
    maxMoves: number,
  ) {
    this.candidates = new MoveCandidates(partition);
    this.clearing = new MachineClearing(partition, this.candidates, context);
    this.movesLeft = maxMoves;
  }

  /** The plans of one round. */
  plan(): MovePlan[] {
    const plans: MovePlan[] = [];
    const pendingJobs = [...this.partition.pendingTasks()].sort((a, b) => a.spec.priority - b.spec.priority);
    for (const pending of pendingJobs.slice(0, MAX_JOBS_PER_ROUND)) {
      if (pending.taskCount === 0 || this.context.hasMovesInProgress(pending.spec.job)) continue;
      plans.push(...this.planFor(pending));
    }
    return plans;
  }

  private planFor(pending: PendingTasks): MovePlan[] {
    const plans: MovePlan[] = [];
    const maxPlans = Math.min(MAX_CLEARED_MACHINES_PER_JOB, pending.taskCount);
    while (plans.length < maxPlans) {
      const plan = this.planClearing(pending);
      if (!plan) break;
      plans.push(plan);
    }
    return plans;
  }

  /** Clears one machine for a task of a job; null: it is not worth it, or not needed. */
  private planClearing(pending: PendingTasks): MovePlan | null {
    const { spec } = pending;
    const suitable = this.candidates.suitableMachines(spec);
    if (suitable.some(({ id }) => fits(this.candidates.free(id), spec.resources))) return null;
    if (this.movesLeft <= 0) return this.refuse('too many moves');
    const machines = suitable
      .sort((a, b) => this.candidates.free(b.id).cpus - this.candidates.free(a.id).cpus)
      .slice(0, MAX_MACHINES_PER_JOB);
    const waits = machines.map((machine) => this.waitWithoutMoves(machine, spec.resources));
    const best = this.cheapestClearing(machines, pending);
    return best && this.accept(best, pending, Math.min(MAX_GAIN_S, ...waits));
  }

  private cheapestClearing(machines: readonly MachineSnapshot[], pending: PendingTasks): Clearing | null {
    let best: Clearing | null = null;
    let bestS = Infinity;
    for (const machine of machines) {
      const clearing = this.clearing.clear(machine, pending, this.movesLeft);
      if (!clearing || clearing.costS + clearing.clearedInS >= bestS) continue;
      best = clearing;
      bestS = clearing.costS + clearing.clearedInS;
    }
    return best;
  }

  private accept(clearing: Clearing, pending: PendingTasks, waitS: number): MovePlan | null {
    const { settings } = this.context;
    const { machine, moves, costS } = clearing;
    const gainS = Math.max(0, waitS - clearing.clearedInS) * this.priorityWeight(clearing, pending);
    if (gainS <= settings.hysteresis * costS + settings.min_gain_s)
      return this.refuse('costs more than it gains');
    for (const { task, source, target } of moves) {
      if (target !== null) this.candidates.reserve(target, task.spec.resources);
      this.candidates.removeTask(source, task);
    }
    // What is cleared is for this job: no other plan of the round counts on it.
    this.candidates.reserve(machine.id, pending.spec.resources);
    this.movesLeft -= moves.length;
    const cause = { kind: 'make-room' as const, job: pending.spec.job };
    return { cause, clearedMachine: machine.id, moves, gainS, costS };
  }

  /** A second of waiting counts more, the more urgent the pending tasks are than those that are moved. */
  private priorityWeight({ moves }: Clearing, { spec }: PendingTasks): number {
    const mostUrgent = Math.min(...moves.map(({ task }) => task.spec.priority));
    return this.context.settings.priority_weight ** Math.max(0, mostUrgent - spec.priority);
  }

  /** Seconds until a task fits on a machine because others end; Infinity: never. */
  private waitWithoutMoves(machine: MachineSnapshot, needed: Resources): number {
    let free = this.candidates.free(machine.id);
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
