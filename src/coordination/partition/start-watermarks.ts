import { type JobProgress } from '../../protocol/records';
import { type PartitionState } from './partition-state';
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
  let cpusLeft = allocatableCpus(partition, now);
  const teamCpusLeft = new Map<string, number>();
  const allConfirmed = partition.unconfirmedCount === 0;
  for (const job of partition.jobsInSchedulingOrder()) {
    if (job.state !== 'open' || job.finished) continue;
    const startable = Math.min(job.startableCount(allConfirmed), job.maxNewStarts(now));
    const { team, cpus } = job.spec;
    // Tasks that their team's limit holds back are not counted; otherwise the watermarks of later jobs would never be raised.
    const cpusLeftToTeam =
      teamCpusLeft.get(team) ??
      partition.quota.remaining(team).cpus + WATERMARK_AHEAD_RATIO * partition.quota.usageOf(team).cpus;
    const fitting = Math.floor(Math.min(cpusLeft, cpusLeftToTeam) / Math.max(cpus, MIN_TASK_CPUS));
    const tasksToStart = job.heldByPipeline ? 0 : Math.max(0, Math.min(startable, fitting));
    cpusLeft -= tasksToStart * cpus;
    teamCpusLeft.set(team, cpusLeftToTeam - tasksToStart * cpus);
    const startWatermark =
      tasksToStart > 0
        ? Math.max(job.startWatermark, job.watermarkToStart(tasksToStart, allConfirmed))
        : job.startWatermark;
    if (startWatermark > job.startWatermark) watermarksRaised = true;
    else if (!job.hasProgress) continue;
    jobs.set(job.ref, { ...job.progress(partition.maxDoneRangesBytes), startWatermark });
  }
  return { jobs, watermarksRaised };
}

/** Number of CPUs that may be allocated before start watermarks are raised the next time. */
function allocatableCpus(partition: PartitionState, now: number): number {
  let cpus = 0;
  for (const machine of partition.machines.values()) {
    const capacity = partition.capacityOf(machine);
    if (!capacity) continue;
    cpus += WATERMARK_AHEAD_RATIO * capacity.cpus;
    if (!partition.isUnschedulable(machine, now)) cpus += Math.max(0, machine.free(capacity)?.cpus ?? 0);
  }
  return cpus;
}
