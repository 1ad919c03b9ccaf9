import { planFetchMoves } from './fetch-planner';
import { outstandingS, partitionWorkload, totalWork, type PartitionWorkload } from './load-model';
import { type LoadSummary } from './load-summary';
import { MoveBudget } from './move-budget';
import { RefusalCounter, type MovePlan } from './move-plan';
import { MovePlanner } from './move-planner';
import { type MoveExecutor } from './move-executor';
import { MoveTracker, type MoveTimeouts } from './move-tracker';
import { type PlanContext } from './plan-context';
import { taskKey, type JobSnapshot, type PartitionSnapshot } from './partition-snapshot';
import { RuntimeEstimator } from './runtime-estimator';
import { type BalancerSettings } from './settings';
import { Trend } from './statistics';

export interface PartitionBalancerOptions {
  /** The partition's name. */
  partition: string;
  /** Number of priorities. */
  priorityCount: number;
  settings: BalancerSettings;
  timeouts: MoveTimeouts;
  snapshot: PartitionSnapshot;
  executor: MoveExecutor;
}

/**
 * Balances the load of one partition, for its owner. It has no clock, no timers and no input or output of its own: time comes
 * in as an argument, the partition through the snapshot, and moves go out through the executor.
 */
export class PartitionBalancer {
  readonly estimator = new RuntimeEstimator();
  readonly tracker: MoveTracker;
  private readonly budget: MoveBudget;
  private readonly refusals = new RefusalCounter();
  private readonly trend = new Trend();
  private plannedCount = 0;
  private sequence = 0;

  constructor(private readonly options: PartitionBalancerOptions) {
    const { snapshot, executor, timeouts, settings } = options;
    this.tracker = new MoveTracker(snapshot.epoch, executor, timeouts);
    this.budget = new MoveBudget(settings);
  }

  /** Plans and begins the moves of one round. The caller decides how often that is due. */
  plan(now: number): void {
    const { snapshot, settings } = this.options;
    if (!settings.task_moves) return;
    const machines = snapshot.machines().length;
    const context = this.context(now);
    const maxMoves = this.budget.remaining(now, machines, this.tracker.inFlight);
    this.beginMoves(new MovePlanner(snapshot, context, maxMoves).plan(), now);
    // Planned from the snapshot as the moves above have left it, with their reservations.
    const maxFetchMoves = this.budget.remaining(now, machines, this.tracker.inFlight);
    if (maxFetchMoves > 0) this.beginMoves(planFetchMoves(snapshot, context, maxFetchMoves), now);
  }

  private beginMoves(plans: readonly MovePlan[], now: number): void {
    for (const plan of plans) {
      this.plannedCount += plan.moves.length;
      if (!this.tracker.begin(plan, now)) {
        this.refusals.count('no room elsewhere');
        continue;
      }
      for (const { task } of plan.moves) this.budget.begin(taskKey(task), plan.cause, now);
    }
  }

  private context(now: number): PlanContext {
    const { settings, timeouts } = this.options;
    let excessWork: Map<string, number> | null = null;
    return {
      now,
      settings,
      budget: this.budget,
      refusals: this.refusals,
      estimator: this.estimator,
      heartbeatIntervalS: timeouts.heartbeatIntervalMs / 1000,
      localityWeight: settings.locality_weight,
      isMoving: (task) => this.tracker.isMoving(task),
      hasMovesInProgress: (job) => this.tracker.hasMovesFor(job),
      requeueDelayS: this.requeueSeconds(),
      // Computed for all machines at once, and only in a round that weighs targets.
      excessWorkS: (machine) => (excessWork ??= this.excessWorkByMachine()).get(machine) ?? 0,
    };
  }

  /**
   * Estimates in how many seconds a task that is put back to wait starts again: once the pending work of its priority and of
   * higher ones, and the task's own, has been completed on all CPUs.
   */
  private requeueSeconds(): (job: JobSnapshot) => number {
    const { snapshot } = this.options;
    const pendingJobs = snapshot.pendingTasks();
    const cpus = snapshot.machines().reduce((sum, { capacity }) => sum + capacity.cpus, 0);
    return (job) => {
      const ownWork = this.estimator.estimateRuntime(job).meanS * job.resources.cpus;
      let workAhead = 0;
      for (const { spec, taskCount } of pendingJobs) {
        if (spec.priority > job.priority) continue;
        workAhead += taskCount * spec.resources.cpus * this.estimator.estimateRuntime(spec).meanS;
      }
      return (workAhead + ownWork) / Math.max(1, cpus);
    };
  }

  private excessWorkByMachine(): Map<string, number> {
    const { byMachine } = this.workload();
    const cpus = new Map(this.options.snapshot.machines().map(({ id, capacity }) => [id, capacity.cpus]));
    const seconds = new Map([...byMachine].map(([id, work]) => [id, outstandingS(work, cpus.get(id) ?? 1)]));
    const mean = [...seconds.values()].reduce((sum, s) => sum + s, 0) / Math.max(1, seconds.size);
    return new Map([...seconds].map(([id, s]) => [id, s - mean]));
  }

  /** The outstanding work of the partition, by machine and team. */
  workload(): PartitionWorkload {
    return partitionWorkload(this.options.snapshot, this.estimator, this.options.priorityCount);
  }

  /** The load as it is sent to the leader; each call gets the next sequence number. */
  summary(now: number): LoadSummary {
    const { partition, snapshot } = this.options;
    const { total, cpus, freeCpus, byTeam } = this.workload();
    this.trend.observe(totalWork(total.running) + totalWork(total.queued), now);
    const { begun, completed, abandoned } = this.tracker.counters;
    const accepting = snapshot.machines().filter((machine) => machine.accepting);
    return {
      partition,
      epoch: snapshot.epoch,
      sequence: ++this.sequence,
      ageMs: 0,
      cpus,
      freeCpus,
      largestFreeCpus: Math.max(0, ...accepting.map(({ free }) => free.cpus)),
      running: total.running,
      waiting: total.queued,
      trendPerS: this.trend.changePerS,
      teams: [...byTeam].map(([team, { running, queued }]) => ({
        team,
        running: totalWork(running),
        waiting: totalWork(queued),
      })),
      moves: { planned: this.plannedCount, begun, completed, abandoned, inFlight: this.tracker.inFlight },
      refusals: this.refusals.byReason(),
    };
  }
}
