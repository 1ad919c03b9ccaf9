import { PRIORITIES, type JobSpec } from '../../protocol/jobs';
import { type Objective } from '../../protocol/settings';

/** The times, in seconds from its submission, by which a job is expected to be done; earliest first. */
export function deadlinesOf(spec: JobSpec, objectives: readonly Objective[]): number[] {
  const deadlines: number[] = [];
  for (const o of objectives) {
    if (o.kind === 'guarantee' || o.workload !== spec.workload) continue;
    if (o.kind === 'finished') deadlines.push(o.withinS);
    else if (spec.deadlineS !== null) deadlines.push(spec.deadlineS * o.times);
  }
  if (deadlines.length === 0 && spec.deadlineS !== null) deadlines.push(spec.deadlineS);
  return deadlines.sort((a, b) => a - b);
}

/**
 * How many of its deadlines a job has missed for certain, `runS` being the least that it still needs. A job that
 * can be in time no more goes behind those that can. One that has been late for as long again as its last due
 * goes before them: nobody is forgotten for good.
 */
export function missedDeadlineCount(deadlines: readonly number[], ageS: number, remainingS: number): number {
  const last = deadlines[deadlines.length - 1];
  if (last === undefined || ageS > 2 * last) return 0;
  return deadlines.filter((deadlineS) => ageS + remainingS > deadlineS).length;
}

/**
 * The urgency that a job is placed with: one step up once half of the time to its first due is gone while it can
 * still be met. Waiting behind everything more urgent until it is too late helps nobody.
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

/** The urgency that a job goes up to of which nothing has begun for too long: nothing but `prod` goes before it. */
const AGED_PRIORITY = 1;
/** The urgency that work goes up to which its team is owed: it waits behind urgent work, not behind normal one. */
const AGED_GUARANTEED_PRIORITY = 2;
/** A job of which nothing has begun for so long goes first, however large, late or idle it is. */
export const MAX_WAIT_TO_START_S = 150;
/** A single task of hundreds is no start: by this time half of what the quota allows at once must have started. */
const MAX_WAIT_TO_HALF_STARTED_S = 210;
/** Work within its team's guarantee goes up once this share of the time in which it is to begin is over. */
const GUARANTEE_WAIT_RATIO = 0.3;
const DEFAULT_GUARANTEE_S = 60;

export interface WaitState {
  ageS: number;
  /** How much of what its team's limit allows at once has begun. */
  startedRatio: number;
  /** It fits into its team's guarantee together with the team's earlier unfinished jobs. */
  withinGuarantee: boolean;
}

/** Whether a job has waited so long that it goes up: nobody starves, and a guarantee counts for more than urgency. */
export function agedPriority(
  priority: number,
  waitState: WaitState,
  objectives: readonly Objective[],
): number {
  const within = objectives.find((o) => o.kind === 'guarantee')?.withinS ?? DEFAULT_GUARANTEE_S;
  const guaranteeDue = waitState.withinGuarantee && waitState.ageS > GUARANTEE_WAIT_RATIO * within;
  if (exceedsMaxWait(waitState)) return Math.min(priority, AGED_PRIORITY);
  return guaranteeDue ? Math.min(priority, AGED_GUARANTEED_PRIORITY) : priority;
}

export function exceedsMaxWait({ ageS, startedRatio }: WaitState): boolean {
  return startedRatio === 0
    ? ageS > MAX_WAIT_TO_START_S
    : startedRatio < 0.5 && ageS > MAX_WAIT_TO_HALF_STARTED_S;
}

const MIN_SAMPLE_COUNT = 10;

/** Corrects the owners' estimates of a class by what its tasks really took. */
export class RuntimeEstimates {
  private readonly samplesByWorkload = new Map<string, { expected: number; actual: number; tasks: number }>();

  addSample(workload: string, expectedS: number, actualS: number): void {
    const known = this.samplesByWorkload.get(workload) ?? { expected: 0, actual: 0, tasks: 0 };
    known.expected += expectedS;
    known.actual += actualS;
    known.tasks++;
    this.samplesByWorkload.set(workload, known);
  }

  expectedSeconds(spec: JobSpec): number {
    const known = this.samplesByWorkload.get(spec.workload);
    if (!known || known.tasks < MIN_SAMPLE_COUNT || known.expected <= 0) return spec.expectedS;
    return spec.expectedS * Math.min(2.5, Math.max(0.4, known.actual / known.expected));
  }
}
