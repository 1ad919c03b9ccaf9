import { type JobProgress } from '../../protocol/records';
import { type PartitionState } from './partition-state';
import { MIN_TASK_CPUS } from './resources';

/** Start watermarks are raised ahead of what can start now by this share of the partition's capacity. */
const WATERMARK_AHEAD_RATIO = 0.5;

/** Progress of open jobs as it is to be written. */
export interface ProgressToWrite {
  jobs: Map<string, JobProgress>;
  /** Tasks wait for it to be written. */
  watermarksRaised: boolean;
}

/** Progress of the open jobs, in arrival order; with start watermarks that let the next tasks in turn start. */
export function progressToWrite(partition: PartitionState, now: number): ProgressToWrite {
  const jobs = new Map<string, JobProgress>();
  let watermarksRaised = false;
  let room = startableCpus(partition, now);
  const teams = new Map<string, number>();
  const allConfirmed = partition.unconfirmedCount === 0;
  for (const job of partition.jobsInSchedulingOrder()) {
    if (job.state !== 'open' || job.finished) continue;
    const waiting = Math.min(job.startableCount(allConfirmed), job.maxNewStarts(now));
    const { team, cpus } = job.spec;
    // What its team's limit holds back takes no room ahead: jobs behind it would otherwise never get a watermark.
    const ofTeam =
      teams.get(team) ??
      partition.quota.remaining(team).cpus + WATERMARK_AHEAD_RATIO * partition.quota.usageOf(team).cpus;
    const able = Math.floor(Math.min(room, ofTeam) / Math.max(cpus, MIN_TASK_CPUS));
    const wants = job.heldByPipeline ? 0 : Math.max(0, Math.min(waiting, able));
    room -= wants * cpus;
    teams.set(team, ofTeam - wants * cpus);
    const startWatermark =
      wants > 0
        ? Math.max(job.startWatermark, job.watermarkToStart(wants, allConfirmed))
        : job.startWatermark;
    if (startWatermark > job.startWatermark) watermarksRaised = true;
    else if (!job.hasProgress) continue;
    jobs.set(job.ref, { ...job.progress(partition.maxRangeBytes), startWatermark });
  }
  return { jobs, watermarksRaised };
}

/** CPUs that could be given out until start watermarks are raised the next time. */
function startableCpus(partition: PartitionState, now: number): number {
  let room = 0;
  for (const machine of partition.machines.values()) {
    const has = partition.capacityOf(machine);
    if (!has) continue;
    room += WATERMARK_AHEAD_RATIO * has.cpus;
    if (!partition.isUnschedulable(machine, now)) room += Math.max(0, machine.free(has)?.cpus ?? 0);
  }
  return room;
}
