import { type Objective } from '../../protocol/settings';
import { type PartitionJob } from './job';
import { type RuntimeEstimates } from './priority';
import { schedulingOrder } from './scheduling-order';
import { type TeamQuota } from './team-quota';

/** Interval after which the order is recomputed, because priorities change as jobs age. */
const REORDER_INTERVAL_MS = 1000;

export interface SchedulingQueueOptions {
  jobs: ReadonlyMap<string, PartitionJob>;
  quota: TeamQuota;
  estimates: RuntimeEstimates;
  objectives: readonly Objective[];
  /** Returns the total number of CPUs of the partition's machines. */
  totalCpus: () => number;
}

/** The open jobs of a partition in scheduling order. The order is cached because it is read at every heartbeat. */
export class SchedulingQueue {
  private ordered: PartitionJob[] = [];
  private orderedWithoutCpus: PartitionJob[] = [];
  private stale = false;
  private orderedAt = Number.NEGATIVE_INFINITY;
  private wallClockMs = 0;

  constructor(private readonly options: SchedulingQueueOptions) {}

  /** Makes the next read recompute the order. */
  invalidate(): void {
    this.stale = true;
  }

  /** Sets the wall-clock time from which the ages of jobs are computed. Both times are in milliseconds; `now` is steady time. */
  tick(now: number, wallClockMs: number): void {
    this.wallClockMs = wallClockMs;
    if (now - this.orderedAt <= REORDER_INTERVAL_MS) return;
    this.orderedAt = now;
    this.stale = true;
  }

  /** The open jobs in the order in which they are offered resources. */
  jobsInOrder(): readonly PartitionJob[] {
    if (!this.stale) return this.ordered;
    this.stale = false;
    const { jobs, quota, estimates, objectives, totalCpus } = this.options;
    this.ordered = schedulingOrder([...jobs.values()], {
      // Incremented by one to avoid a division by zero while no machine is known.
      cpus: 1 + totalCpus(),
      estimates,
      teams: quota.teams,
      objectives,
      wallClockMs: this.wallClockMs,
    });
    this.orderedWithoutCpus = this.ordered.filter(({ spec }) => spec.cpus === 0);
    return this.ordered;
  }

  /** Those of the jobs whose tasks take no CPUs, so that they may run on machines without free CPUs, in the same order. */
  jobsWithoutCpus(): readonly PartitionJob[] {
    this.jobsInOrder();
    return this.orderedWithoutCpus;
  }
}
