import { URGENCIES, type JobSpec } from '../protocol/jobs';
import { type Objective } from '../protocol/settings';

/** The times, in seconds from its submission, by which a job is expected to be done; earliest first. */
export function duesOf(spec: JobSpec, objectives: readonly Objective[]): number[] {
  const dues: number[] = [];
  for (const o of objectives) {
    if (o.workload !== spec.workload) continue;
    if (o.kind === 'finished') dues.push(o.withinS);
    else if (spec.deadlineS !== null) dues.push(spec.deadlineS * o.times);
  }
  if (dues.length === 0 && spec.deadlineS !== null) dues.push(spec.deadlineS);
  return dues.sort((a, b) => a - b);
}

/**
 * How many of its dues a job has missed for certain, `runS` being the least that it still needs. A job that
 * can be in time no more goes behind those that can. One that has been late for as long again as its last due
 * goes before them: nobody is forgotten for good.
 */
export function missed(dues: readonly number[], ageS: number, runS: number): number {
  const last = dues[dues.length - 1];
  if (last === undefined || ageS > 2 * last) return 0;
  return dues.filter((due) => ageS + runS > due).length;
}

/**
 * The urgency that a job is placed with: one step up once half of the time to its first due is gone while it can
 * still be met. Waiting behind everything more urgent until it is too late helps nobody.
 */
export function effectiveRank(spec: JobSpec, dues: readonly number[], ageS: number, runS: number): number {
  const due = dues[0];
  if (due === undefined || spec.rank < URGENCIES.length - 1) return spec.rank;
  return ageS > due / 2 && ageS + runS <= due ? spec.rank - 1 : spec.rank;
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
