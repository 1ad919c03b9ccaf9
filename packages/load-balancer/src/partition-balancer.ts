import { planFetchMoves } from './fetch-planner';
import { loadPicture, outstandingS, sumOf, Trend, type PartitionLoadPicture } from './load-model';
import { type LoadSummary } from './load-summary';
import { MoveBudget } from './move-budget';
import { RefusalCounter, type MovePlan } from './move-plan';
import { MovePlanner, type PlanContext } from './move-planner';
import { MoveTracker, type MoveExecutor, type MoveTimeouts } from './move-tracker';
import { taskName, type JobView, type PartitionView } from './partition-view';
import { RuntimeEstimator } from './runtime-estimator';
import { type BalancerSettings } from './settings';

/** What a partition's balancer is made of. */
export interface PartitionBalancerOptions {
  partition: string;
  /** How many priorities there are. */
  priorities: number;
  settings: BalancerSettings;
  timeouts: MoveTimeouts;
  view: PartitionView;
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
    const { view, executor, timeouts, settings } = options;
    this.tracker = new MoveTracker(view.epoch, executor, timeouts);
    this.budget = new MoveBudget(settings);
  }

  /** One round of planning; how often it is due is the service's to say, by what it costs. */
  plan(now: number): void {
    const { view, settings } = this.options;
    if (!settings.task_moves) return;
    const machines = view.machines().length;
    const left = this.budget.left(now, machines, this.tracker.inFlight);
    const context = this.context(now);
    const plans = new MovePlanner(view, context, left).plan();
    this.begin(plans, now);
    // Planned from the rooms that are left: what was just reserved is taken.
    const rest = this.budget.left(now, machines, this.tracker.inFlight);
    if (rest > 0) this.begin(planFetchMoves(view, context, rest), now);
  }

  private begin(plans: MovePlan[], now: number): void {
    for (const plan of plans) {
      this.planned += plan.moves.length;
      if (!this.tracker.begin(plan, now)) {
        this.refusals.count('no room elsewhere');
        continue;
      }
      for (const { task } of plan.moves) this.budget.begin(taskName(task), plan.cause, now);
    }
  }

  private context(now: number): PlanContext {
    const { settings, timeouts } = this.options;
    let busier: Map<string, number> | null = null;
    const requeue = this.requeueSeconds();
    return {
      ...{ now, settings, budget: this.budget, refusals: this.refusals, estimator: this.estimator },
      reportS: timeouts.reportMs / 1000,
      localityWeight: settings.locality_weight,
      isMoving: (task) => this.tracker.isMoving(task),
      isServed: (job) => this.tracker.serves(job),
      requeueS: (job) => requeue(job),
      // Only a round that weighs targets pays for the picture of all machines.
      busierS: (machine) => (busier ??= this.busierThanMean()).get(machine) ?? 0,
    };
  }

  /**
   * Seconds until a task that is put back finds room: after what waits already of its priority and of higher ones, and the next
   * natural ends.
   */
  private requeueSeconds(): (job: JobView) => number {
    const { view } = this.options;
    const waiting = view.waiting();
    const cpus = view.machines().reduce((sum, { capacity }) => sum + capacity.cpus, 0);
    return (job) => {
      const totalS = this.estimator.total(job).meanS;
      let ahead = 0;
      for (const { of, tasks } of waiting)
        if (of.priority <= job.priority) ahead += tasks * of.needs.cpus * this.estimator.total(of).meanS;
      return (ahead + totalS * job.needs.cpus) / Math.max(1, cpus);
    };
  }

  private busierThanMean(): Map<string, number> {
    const { view, priorities } = this.options;
    const { byMachine } = loadPicture(view, this.estimator, priorities);
    const cpus = new Map(view.machines().map(({ id, capacity }) => [id, capacity.cpus]));
    const seconds = new Map([...byMachine].map(([id, load]) => [id, outstandingS(load, cpus.get(id) ?? 1)]));
    const mean = [...seconds.values()].reduce((sum, s) => sum + s, 0) / Math.max(1, seconds.size);
    return new Map([...seconds].map(([id, s]) => [id, s - mean]));
  }

  /** How the partition stands, by machine and team. */
  picture(): PartitionLoadPicture {
    return loadPicture(this.options.view, this.estimator, this.options.priorities);
  }

  /** What the leader and operators are told. */
  summary(now: number): LoadSummary {
    const { partition, view } = this.options;
    const { total, cpus, freeCpus, byTeam } = this.picture();
    this.trend.observe(sumOf(total.running) + sumOf(total.queued), now);
    const { begun, completed, abandoned } = this.tracker.counters;
    const accepting = view.machines().filter((machine) => machine.accepting);
    return {
      ...{ partition, epoch: view.epoch, sequence: ++this.sequence, ageMs: 0 },
      ...{ cpus, freeCpus, running: total.running, waiting: total.queued, trendPerS: this.trend.perS },
      largestFreeCpus: Math.max(0, ...accepting.map(({ free }) => free.cpus)),
      teams: [...byTeam].map(([team, { running, queued }]) => ({
        ...{ team, running: sumOf(running), waiting: sumOf(queued) },
      })),
      moves: { planned: this.planned, begun, completed, abandoned, inFlight: this.tracker.inFlight },
      refusals: this.refusals.byReason(),
    };
  }
}
