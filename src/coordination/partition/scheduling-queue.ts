import { type Objective } from '../../protocol/settings';
import { type PartitionJob } from './job';
import { type RuntimeEstimates } from './priority';
import { schedulingOrder } from './scheduling-order';
import { type TeamQuota } from './team-quota';

/** Priorities age with time, so the order is computed anew at least this often. */
const REORDER_INTERVAL_MS = 1000;

export interface SchedulingQueueOptions {
  jobs: ReadonlyMap<string, PartitionJob>;
  quota: TeamQuota;
  estimates: RuntimeEstimates;
  objectives: readonly Objective[];
  /** CPUs of all machines of the partition. */
  totalCpus: () => number;
}

/** The open jobs of a partition in scheduling order. The order is cached: it is read at every heartbeat. */
export class SchedulingQueue {
  private ordered: PartitionJob[] = [];
  private stale = false;
  private orderedAt = Number.NEGATIVE_INFINITY;
  private wallClockMs = 0;

  constructor(private readonly options: SchedulingQueueOptions) {}

  /** Makes the next read compute the order anew. */
  invalidate(): void {
    this.stale = true;
  }

  /** Advances the time of day by which jobs age, in milliseconds; `now` is steady time. */
  tick(now: number, wallClockMs: number): void {
    this.wallClockMs = wallClockMs;
    if (now - this.orderedAt <= REORDER_INTERVAL_MS) return;
    this.orderedAt = now;
    this.stale = true;
  }

  /** Open jobs, the first to be offered resources first. */
  jobsInOrder(): readonly PartitionJob[] {
    if (!this.stale) return this.ordered;
    this.stale = false;
    const { jobs, quota, estimates, objectives, totalCpus } = this.options;
    this.ordered = schedulingOrder([...jobs.values()], {
      // One more, so that it can be divided by while no machine is known.
      cpus: 1 + totalCpus(),
      estimates,
      teams: quota.teams,
      objectives,
      wallClockMs: this.wallClockMs,
    });
    return this.ordered;
  }
}
