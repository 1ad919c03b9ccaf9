import { URGENCIES, type JobSpec } from '../protocol/jobs';
import { type Objective } from '../protocol/settings';

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
export function lateness(deadlines: readonly number[], ageS: number, runS: number): number {
  const last = deadlines[deadlines.length - 1];
  if (last === undefined || ageS > 2 * last) return 0;
  return deadlines.filter((due) => ageS + runS > due).length;
}

/**
 * The urgency that a job is placed with: one step up once half of the time to its first due is gone while it can
 * still be met. Waiting behind everything more urgent until it is too late helps nobody.
 */
export function effectivePriority(
  spec: JobSpec,
  deadlines: readonly number[],
  ageS: number,
  runS: number,
): number {
  const due = deadlines[0];
  if (due === undefined || spec.rank < URGENCIES.length - 1) return spec.rank;
  return ageS > due / 2 && ageS + runS <= due ? spec.rank - 1 : spec.rank;
}

/** The urgency that a job goes up to of which nothing has begun for too long: nothing but `prod` goes before it. */
const RAISED = 1;
/** The urgency that work goes up to which its team is owed: it waits behind urgent work, not behind normal one. */
const RAISED_OWED = 2;
/** A job of which nothing has begun for so long goes first, however large, late or idle it is. */
export const BEGIN_WITHIN_S = 150;
/** Nor is a single task of hundreds a beginning: a large job with one was passed over for four minutes. */
const HALF_WITHIN_S = 210;
/** Work within its team's guarantee goes up once this share of the time in which it is to begin is over. */
const GUARANTEE_SHARE = 0.3;
const GUARANTEE_S = 60;

export interface Waited {
  ageS: number;
  /** How much of what its team's limit allows at once has begun. */
  begun: number;
  /** It fits into its team's guarantee together with the team's earlier unfinished jobs. */
  withinGuarantee: boolean;
}

/** Whether a job has waited so long that it goes up: nobody starves, and a guarantee counts for more than urgency. */
export function raisedPriority(rank: number, waited: Waited, objectives: readonly Objective[]): number {
  const within = objectives.find((o) => o.kind === 'guarantee')?.withinS ?? GUARANTEE_S;
  const owed = waited.withinGuarantee && waited.ageS > GUARANTEE_SHARE * within;
  if (starves(waited)) return Math.min(rank, RAISED);
  return owed ? Math.min(rank, RAISED_OWED) : rank;
}

export function starves({ ageS, begun }: Waited): boolean {
  return begun === 0 ? ageS > BEGIN_WITHIN_S : begun < 0.5 && ageS > HALF_WITHIN_S;
}

const ENOUGH = 10;

/** Corrects the owners' estimates of a class by what its tasks really took. */
export class Estimates {
  private readonly seen = new Map<string, { expected: number; actual: number; tasks: number }>();

  learn(workload: string, expectedS: number, actualS: number): void {
    const known = this.seen.get(workload) ?? { expected: 0, actual: 0, tasks: 0 };
    known.expected += expectedS;
    known.actual += actualS;
    known.tasks++;
    this.seen.set(workload, known);
  }

  expect(spec: JobSpec): number {
    const known = this.seen.get(spec.workload);
    if (!known || known.tasks < ENOUGH || known.expected <= 0) return spec.expectedS;
    return spec.expectedS * Math.min(2.5, Math.max(0.4, known.actual / known.expected));
  }
}
