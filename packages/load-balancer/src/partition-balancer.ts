import { planFetchMoves } from './fetch-planner';
import { partitionWorkload, outstandingS, totalWork, Trend, type PartitionWorkload } from './load-model';
import { type LoadSummary } from './load-summary';
import { MoveBudget } from './move-budget';
import { RefusalCounter, type MovePlan } from './move-plan';
import { MovePlanner, type PlanContext } from './move-planner';
import { MoveTracker, type MoveExecutor, type MoveTimeouts } from './move-tracker';
import { taskKey, type JobSnapshot, type PartitionSnapshot } from './partition-view';
import { RuntimeEstimator } from './runtime-estimator';
import { type BalancerSettings } from './settings';

/** What a partition's balancer is made of. */
export interface PartitionBalancerOptions {
  partition: string;
  /** How many priorities there are. */
  priorities: number;
  settings: BalancerSettings;
  timeouts: MoveTimeouts;
  snapshot: PartitionSnapshot;
  executor: MoveExecutor;
}

/** Balances the load of one partition, for its owner. Pure but for what it is given: time comes in as an argument. */
export class PartitionBalancer {
  readonly estimator = new RuntimeEstimator();
  readonly tracker: MoveTracker;
  private readonly budget: MoveBudget;
  private readonly refusals = new RefusalCounter();
  private readonly trend = new Trend();
  private planned = 0;
  private sequence = 0;

  constructor(private readonly options: PartitionBalancerOptions) {
    const { snapshot, executor, timeouts, settings } = options;
    this.tracker = new MoveTracker(snapshot.epoch, executor, timeouts);
    this.budget = new MoveBudget(settings);
  }

  /** One round of planning; how often it is due is the service's to say, by what it costs. */
  plan(now: number): void {
    const { snapshot, settings } = this.options;
    if (!settings.task_moves) return;
    const machines = snapshot.machines().length;
    const left = this.budget.remaining(now, machines, this.tracker.inFlight);
    const context = this.context(now);
    const plans = new MovePlanner(snapshot, context, left).plan();
    this.beginMoves(plans, now);
    // Planned from the rooms that are left: what was just reserved is taken.
    const rest = this.budget.remaining(now, machines, this.tracker.inFlight);
    if (rest > 0) this.beginMoves(planFetchMoves(snapshot, context, rest), now);
  }

  private beginMoves(plans: MovePlan[], now: number): void {
    for (const plan of plans) {
      this.planned += plan.moves.length;
      if (!this.tracker.begin(plan, now)) {
        this.refusals.count('no room elsewhere');
        continue;
      }
      for (const { task } of plan.moves) this.budget.begin(taskKey(task), plan.cause, now);
    }
  }

  private context(now: number): PlanContext {
    const { settings, timeouts } = this.options;
    let busier: Map<string, number> | null = null;
    const requeue = this.requeueSeconds();
    return {
      ...{ now, settings, budget: this.budget, refusals: this.refusals, estimator: this.estimator },
      heartbeatIntervalS: timeouts.heartbeatIntervalMs / 1000,
      localityWeight: settings.locality_weight,
      isMoving: (task) => this.tracker.isMoving(task),
      hasMovesInProgress: (job) => this.tracker.hasMovesFor(job),
      requeueS: (job) => requeue(job),
      // Only a round that weighs targets pays for the picture of all machines.
      excessWorkS: (machine) => (busier ??= this.excessWorkByMachine()).get(machine) ?? 0,
    };
  }

  /**
   * Seconds until a task that is put back finds room: after what waits already of its priority and of higher ones, and the next
   * natural ends.
   */
  private requeueSeconds(): (job: JobSnapshot) => number {
    const { snapshot } = this.options;
    const pendingJobs = snapshot.pendingTasks();
    const cpus = snapshot.machines().reduce((sum, { capacity }) => sum + capacity.cpus, 0);
    return (job) => {
      const totalS = this.estimator.total(job).meanS;
      let ahead = 0;
      for (const { spec, tasks } of pendingJobs)
        if (spec.priority <= job.priority)
          ahead += tasks * spec.resources.cpus * this.estimator.total(spec).meanS;
      return (ahead + totalS * job.resources.cpus) / Math.max(1, cpus);
    };
  }

  private excessWorkByMachine(): Map<string, number> {
    const { snapshot, priorities } = this.options;
    const { byMachine } = partitionWorkload(snapshot, this.estimator, priorities);
    const cpus = new Map(snapshot.machines().map(({ id, capacity }) => [id, capacity.cpus]));
    const seconds = new Map([...byMachine].map(([id, load]) => [id, outstandingS(load, cpus.get(id) ?? 1)]));
    const mean = [...seconds.values()].reduce((sum, s) => sum + s, 0) / Math.max(1, seconds.size);
    return new Map([...seconds].map(([id, s]) => [id, s - mean]));
  }

  /** How the partition stands, by machine and team. */
  workload(): PartitionWorkload {
    return partitionWorkload(this.options.snapshot, this.estimator, this.options.priorities);
  }

  /** What the leader and operators are told. */
  summary(now: number): LoadSummary {
    const { partition, snapshot } = this.options;
    const { total, cpus, freeCpus, byTeam } = this.workload();
    this.trend.observe(totalWork(total.running) + totalWork(total.queued), now);
    const { begun, completed, abandoned } = this.tracker.counters;
    const accepting = snapshot.machines().filter((machine) => machine.accepting);
    return {
      ...{ partition, epoch: snapshot.epoch, sequence: ++this.sequence, ageMs: 0 },
      ...{ cpus, freeCpus, running: total.running, waiting: total.queued, trendPerS: this.trend.changePerS },
      largestFreeCpus: Math.max(0, ...accepting.map(({ free }) => free.cpus)),
      teams: [...byTeam].map(([team, { running, queued }]) => ({
        ...{ team, running: totalWork(running), waiting: totalWork(queued) },
      })),
      moves: { planned: this.planned, begun, completed, abandoned, inFlight: this.tracker.inFlight },
      refusals: this.refusals.byReason(),
    };
  }
}
