import { INITIAL_START_WATERMARK, type JobProgress } from '../../protocol/records';
import { type PartitionJob } from './job';
import { type PartitionState } from './partition-state';
import { PlacementPlan, roomsOn } from './placement-plan';
import { RemainingQuota } from './remaining-quota';
import { MIN_TASK_CPUS } from './resources';

/** Share of the partition's capacity, and of a team's usage, by which start watermarks run ahead of the tasks that can start. */
const WATERMARK_AHEAD_RATIO = 0.5;

/** The progress of open jobs that is to be written. */
export interface ProgressToWrite {
  jobs: Map<string, JobProgress>;
  /** Whether the progress raises a start watermark, so that tasks wait for it to be written. */
  watermarksRaised: boolean;
}

/** The progress of the open jobs, with start watermarks high enough for the next tasks in scheduling order to start. */
export function progressToWrite(partition: PartitionState, now: number): ProgressToWrite {
  const jobs = new Map<string, JobProgress>();
  let watermarksRaised = false;
  for (const [job, startWatermark] of new StartWatermarkPlan(partition, now).watermarks) {
    if (startWatermark > job.startWatermark) watermarksRaised = true;
    else if (!job.hasProgress) continue;
    jobs.set(job.ref, { ...job.progress(partition.maxDoneRangesBytes), startWatermark });
  }
  return { jobs, watermarksRaised };
}

/** The start watermarks that the next write of progress records. */
export class StartWatermarkPlan {
  /** The start watermark of each open job that has tasks left, in scheduling order. */
  readonly watermarks = new Map<PartitionJob, number>();
  private readonly allConfirmed: boolean;

  constructor(
    private readonly partition: PartitionState,
    private readonly now: number,
  ) {
    this.allConfirmed = partition.unconfirmedCount === 0;
    this.shareCpus();
    this.raiseBlockedJobs();
  }

  /** Shares the CPUs that may be allocated before the next write among the jobs, in scheduling order. */
  private shareCpus(): void {
    const { partition } = this;
    let cpusLeft = this.allocatableCpus();
    const teamCpusLeft = new Map<string, number>();
    for (const job of partition.jobsInSchedulingOrder()) {
      if (job.state !== 'open' || job.finished) continue;
      const { team, cpus } = job.spec;
      // Tasks that their team's limit holds back are not counted; otherwise the watermarks of later jobs would never be raised.
      const cpusLeftToTeam =
        teamCpusLeft.get(team) ??
        partition.quota.remaining(team).cpus + WATERMARK_AHEAD_RATIO * partition.quota.usageOf(team).cpus;
      const fitting = Math.floor(Math.min(cpusLeft, cpusLeftToTeam) / Math.max(cpus, MIN_TASK_CPUS));
      const tasksToStart = Math.max(0, Math.min(this.waitingTasks(job), fitting));
      cpusLeft -= tasksToStart * cpus;
      teamCpusLeft.set(team, cpusLeftToTeam - tasksToStart * cpus);
      this.watermarks.set(job, this.watermarkFor(job, tasksToStart));
    }
  }

  /**
   * Raises the start watermarks of jobs that can start no task although a machine has room for one: the shared CPUs went to jobs before
   * them that can be placed on no machine now.
   */
  private raiseBlockedJobs(): void {
    const waiting = [...this.watermarks.keys()].filter((job) => this.waitingTasks(job) > 0);
    const blocked = new Set(waiting.filter((job) => this.isBlocked(job)));
    if (blocked.size === 0) return;
    const { partition, now } = this;
    const rooms = roomsOn(partition, (machine) => !partition.isUnschedulable(machine, now), now);
    const plan = new PlacementPlan(rooms, waiting.length, now);
    const quota = new RemainingQuota(partition.quota);
    for (const job of waiting) {
      const placed = plan.place(job, quota.count(job.spec, this.waitingTasks(job)));
      quota.take(job.spec, placed);
      if (placed > 0 && blocked.has(job))
        this.watermarks.set(job, this.watermarkFor(job, placed + tasksAhead(job)));
    }
  }

  /** Whether a job can start no task under its start watermark, and was given no share that raises it. */
  private isBlocked(job: PartitionJob): boolean {
    if (this.watermarks.get(job) !== job.startWatermark) return false;
    return job.startableTasks(1, this.allConfirmed, this.now).length === 0;
  }

  /** Number of pending tasks that could start if there were room and the start watermark were high enough. */
  private waitingTasks(job: PartitionJob): number {
    if (job.heldByPipeline) return 0;
    return Math.min(job.startableCount(this.allConfirmed), job.maxNewStarts(this.now));
  }

  private watermarkFor(job: PartitionJob, tasksToStart: number): number {
    if (tasksToStart === 0) return job.startWatermark;
    return Math.max(job.startWatermark, job.watermarkToStart(tasksToStart, this.allConfirmed));
  }

  /** Number of CPUs that may be allocated before start watermarks are raised the next time. */
  private allocatableCpus(): number {
    const { partition, now } = this;
    let cpus = 0;
    for (const machine of partition.machines.values()) {
      const capacity = partition.capacityOf(machine);
      if (!capacity) continue;
      cpus += WATERMARK_AHEAD_RATIO * capacity.cpus;
      if (!partition.isUnschedulable(machine, now)) cpus += Math.max(0, machine.free(capacity)?.cpus ?? 0);
    }
    return cpus;
  }
}

/**
 * Tasks by which the watermark of a blocked job runs ahead, so that not every task needs a write. None for a job that runs at most
 * once: a later owner would count them as interrupted.
 */
function tasksAhead(job: PartitionJob): number {
  return job.runsAtMostOnce ? 0 : INITIAL_START_WATERMARK;
}
