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
 * Balances the load of one partition for its owner. It has no clock, timers or I/O of its own: the caller passes the time, and
 * the executor carries out the moves.
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

  /** Plans and begins the moves of one round. The caller decides how often a round is due. */
  plan(now: number): void {
    const { snapshot, settings } = this.options;
    if (!settings.task_moves) return;
    const machineCount = snapshot.machines().length;
    const context = this.planContext(now);
    const maxMoves = this.budget.remainingMoves(now, machineCount, this.tracker.inFlightCount);
    this.beginMoves(new MovePlanner(snapshot, context, maxMoves).plan(), now);
    // The snapshot now includes the reservations of the moves above.
    const maxFetchMoves = this.budget.remainingMoves(now, machineCount, this.tracker.inFlightCount);
    if (maxFetchMoves > 0) this.beginMoves(planFetchMoves(snapshot, context, maxFetchMoves), now);
  }

  private beginMoves(plans: readonly MovePlan[], now: number): void {
    for (const plan of plans) {
      this.plannedCount += plan.moves.length;
      if (!this.tracker.begin(plan, now)) {
        this.refusals.count('no room elsewhere');
        continue;
      }
      for (const { task } of plan.moves) this.budget.recordMove(taskKey(task), plan.cause, now);
    }
  }

  private planContext(now: number): PlanContext {
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
      requeueDelayS: this.requeueDelayEstimator(),
      // Computed for all machines at once, and only in a round that compares targets.
      excessWorkS: (machine) => (excessWork ??= this.excessWorkByMachine()).get(machine) ?? 0,
    };
  }

  /**
   * Returns a function that estimates the seconds until a requeued task starts again: the time in which all CPUs complete the
   * pending work of its priority and of higher ones, and the task's own work.
   */
  private requeueDelayEstimator(): (job: JobSnapshot) => number {
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
    const outstandingSecondsById = new Map(
      [...byMachine].map(([id, work]) => [id, outstandingS(work, cpus.get(id) ?? 1)]),
    );
    const meanS =
      [...outstandingSecondsById.values()].reduce((sum, s) => sum + s, 0) /
      Math.max(1, outstandingSecondsById.size);
    return new Map([...outstandingSecondsById].map(([id, s]) => [id, s - meanS]));
  }

  /** The outstanding work of the partition, by machine and team. */
  workload(): PartitionWorkload {
    return partitionWorkload(this.options.snapshot, this.estimator, this.options.priorityCount);
  }

  /** The load summary to send to the leader. Each call uses the next sequence number. */
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
      moves: {
        planned: this.plannedCount,
        begun,
        completed,
        abandoned,
        inFlight: this.tracker.inFlightCount,
      },
      refusals: this.refusals.byReason(),
    };
  }
}
