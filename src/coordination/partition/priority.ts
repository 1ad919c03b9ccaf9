import { PRIORITIES, type JobSpec } from '../../protocol/jobs';
import { type Objective } from '../../protocol/settings';

/** The times, in seconds from its submission, by which a job is expected to be done; earliest first. */
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
 * How many of its deadlines a job has missed for certain, `remainingS` being the least that it still needs. A job
 * that cannot meet its deadlines is scheduled after those that can. One that is late by the length of its last deadline counts as
 * having missed none, so that it does not starve.
 */
export function missedDeadlineCount(deadlines: readonly number[], ageS: number, remainingS: number): number {
  const last = deadlines[deadlines.length - 1];
  if (last === undefined || ageS > 2 * last) return 0;
  return deadlines.filter((deadlineS) => ageS + remainingS > deadlineS).length;
}

/**
 * A job's priority raised one step once half of the time to its first deadline has passed, as long as the deadline can be met:
 * behind all jobs of a higher priority it would be late.
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

/** Priority of a job that exceeds the maximal wait: only the most urgent jobs go before it. */
const AGED_PRIORITY = 1;
/** Priority of a job within its team's guarantee that has waited: it goes before jobs of normal priority. */
const AGED_GUARANTEED_PRIORITY = 2;
/** A job must have started a task by this time, however large or late it is. */
export const MAX_WAIT_TO_START_S = 150;
/** A single task of hundreds is no start: by this time half of what the quota allows at once must have started. */
const MAX_WAIT_TO_HALF_STARTED_S = 210;
/** A job within its team's guarantee is raised after this share of the time in which it is to start. */
const GUARANTEE_WAIT_RATIO = 0.3;
const DEFAULT_GUARANTEE_S = 60;

export interface WaitState {
  ageS: number;
  /** Tasks started, as a ratio of those that its team's limit allows at once. */
  startedRatio: number;
  /** It fits into its team's guarantee together with the team's earlier unfinished jobs. */
  withinGuarantee: boolean;
}

/** A job's priority raised by its waiting time, so that no job starves and teams get what they are guaranteed. */
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

/** Whether a job has waited longer than any may, to start its first task or half of its tasks. */
export function exceedsMaxWait({ ageS, startedRatio }: WaitState): boolean {
  return startedRatio === 0
    ? ageS > MAX_WAIT_TO_START_S
    : startedRatio < 0.5 && ageS > MAX_WAIT_TO_HALF_STARTED_S;
}

const MIN_SAMPLE_COUNT = 10;

/** Corrects the estimated run time of tasks by what tasks of the same workload took. */
export class RuntimeEstimates {
  private readonly samplesByWorkload = new Map<string, { expected: number; actual: number; tasks: number }>();

  addSample(workload: string, expectedS: number, actualS: number): void {
    const samples = this.samplesByWorkload.get(workload) ?? { expected: 0, actual: 0, tasks: 0 };
    samples.expected += expectedS;
    samples.actual += actualS;
    samples.tasks++;
    this.samplesByWorkload.set(workload, samples);
  }

  expectedSeconds(spec: JobSpec): number {
    const samples = this.samplesByWorkload.get(spec.workload);
    if (!samples || samples.tasks < MIN_SAMPLE_COUNT || samples.expected <= 0) return spec.expectedS;
    return spec.expectedS * Math.min(2.5, Math.max(0.4, samples.actual / samples.expected));
  }
}
