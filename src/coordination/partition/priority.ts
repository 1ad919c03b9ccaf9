import { PRIORITIES, type JobSpec } from '../../protocol/jobs';
import { type Objective } from '../../protocol/settings';

/** The deadlines of a job in seconds from acceptance, earliest first; empty if it has none. */
export function deadlinesOf(spec: JobSpec, objectives: readonly Objective[]): number[] {
  const deadlines: number[] = [];
  for (const objective of objectives) {
    if (objective.kind === 'guarantee' || objective.workload !== spec.workload) continue;
    if (objective.kind === 'finished') deadlines.push(objective.withinS);
    else if (spec.deadlineS !== null) deadlines.push(spec.deadlineS * objective.times);
  }
  if (deadlines.length === 0 && spec.deadlineS !== null) deadlines.push(spec.deadlineS);
  return deadlines.sort((a, b) => a - b);
}

/**
 * Number of its deadlines that a job is certain to miss, where `remainingS` is the minimum run time that it still needs. A job that
 * cannot meet its deadlines is scheduled after the jobs that can. A job whose age exceeds twice its last deadline counts as having
 * missed none, so that it does not starve.
 */
export function missedDeadlineCount(deadlines: readonly number[], ageS: number, remainingS: number): number {
  const last = deadlines[deadlines.length - 1];
  if (last === undefined || ageS > 2 * last) return 0;
  return deadlines.filter((deadlineS) => ageS + remainingS > deadlineS).length;
}

/**
 * Priority of a job with its deadlines taken into account. A job of the lowest priority is raised by one step once more than half
 * of the time to its first deadline has passed, as long as it can meet that deadline. Otherwise it would be scheduled after all
 * jobs of a higher priority and miss the deadline.
 */
export function deadlinePriority(
  spec: JobSpec,
  deadlines: readonly number[],
  ageS: number,
  remainingS: number,
): number {
  const deadlineS = deadlines[0];
  if (deadlineS === undefined || spec.priority < PRIORITIES.length - 1) return spec.priority;
  return ageS > deadlineS / 2 && ageS + remainingS <= deadlineS ? spec.priority - 1 : spec.priority;
}

/** Priority of a job that has exceeded the maximum wait: only jobs of the highest priority go before it. */
const AGED_PRIORITY = 1;
/**
 * Priority (`normal`) to which a job within its team's guarantee is raised once it has waited, so that it goes before jobs of the
 * lowest priority (`idle`).
 */
const AGED_GUARANTEED_PRIORITY = 2;
/** Age in seconds by which a job must have started a task, however large or late it is. */
export const MAX_WAIT_TO_START_S = 150;
/**
 * Age in seconds by which a job must have started half of the tasks that the quota allows to run at once: a single started task of
 * hundreds does not count as a start of the job.
 */
const MAX_WAIT_TO_HALF_STARTED_S = 210;
/** A job within its team's guarantee is raised after this share of the time in which it must start. */
const GUARANTEE_WAIT_RATIO = 0.3;
/** Time from acceptance in which such a job must start if no objective sets it. */
const DEFAULT_GUARANTEE_S = 60;

/** How long ago a job was accepted, and how much of it has been started. */
export interface WaitState {
  /** Seconds since the job was accepted, in wall-clock time. */
  ageS: number;
  /** Ratio of the tasks in flight or done to the tasks of the job that its team's limit allows to run at once. */
  startedRatio: number;
  /** Whether the job fits into its team's guarantee together with the team's earlier unfinished jobs. */
  withinGuarantee: boolean;
}

/** Priority of a job raised by its waiting time, so that no job starves and every team gets what it is guaranteed. */
export function agedPriority(
  priority: number,
  waitState: WaitState,
  objectives: readonly Objective[],
): number {
  const withinS = objectives.find((o) => o.kind === 'guarantee')?.withinS ?? DEFAULT_GUARANTEE_S;
  const guaranteeDue = waitState.withinGuarantee && waitState.ageS > GUARANTEE_WAIT_RATIO * withinS;
  if (exceedsMaxWait(waitState)) return Math.min(priority, AGED_PRIORITY);
  return guaranteeDue ? Math.min(priority, AGED_GUARANTEED_PRIORITY) : priority;
}

/**
 * Whether a job has exceeded the maximum age for the start of its first task, or for the start of half of the tasks that its
 * team's limit allows to run at once.
 */
export function exceedsMaxWait({ ageS, startedRatio }: WaitState): boolean {
  return startedRatio === 0
    ? ageS > MAX_WAIT_TO_START_S
    : startedRatio < 0.5 && ageS > MAX_WAIT_TO_HALF_STARTED_S;
}

/** Number of tasks of a workload below which their run times are not used. */
const MIN_SAMPLE_COUNT = 10;

/** Corrects the estimated run time of tasks by the measured run times of tasks of the same workload. */
export class RuntimeEstimates {
  private readonly samplesByWorkload = new Map<string, { expected: number; actual: number; tasks: number }>();

  addSample(workload: string, expectedS: number, actualS: number): void {
    const samples = this.samplesByWorkload.get(workload) ?? { expected: 0, actual: 0, tasks: 0 };
    samples.expected += expectedS;
    samples.actual += actualS;
    samples.tasks++;
    this.samplesByWorkload.set(workload, samples);
  }

  /**
   * Expected run time of a task of a job, in seconds: the job's own estimate, multiplied by the ratio of measured to estimated run
   * times of its workload, within bounds, once there are `MIN_SAMPLE_COUNT` samples.
   */
  expectedSeconds(spec: JobSpec): number {
    const samples = this.samplesByWorkload.get(spec.workload);
    if (!samples || samples.tasks < MIN_SAMPLE_COUNT || samples.expected <= 0) return spec.expectedS;
    return spec.expectedS * Math.min(2.5, Math.max(0.4, samples.actual / samples.expected));
  }
}
