import { type Objective, type Team } from '../../protocol/settings';
import { type PartitionJob } from './job';
import {
  deadlinePriority,
  missedDeadlineCount,
  agedPriority,
  exceedsMaxWait,
  type RuntimeEstimates,
} from './priority';

/**
 * A job is ordered as if it had arrived later by this many times the time that it would take on all machines, but by no more than
 * `MAX_SIZE_PENALTY_S`.
 */
const SIZE_PENALTY_RATIO = 4;
const MAX_SIZE_PENALTY_S = 90;
/** Share of the estimated run time that is taken as the minimum that a job still needs, because estimates can be off by half. */
const MIN_RUNTIME_RATIO = 0.6;

export interface SchedulingContext {
  /** Total number of CPUs of the partition's machines; must not be 0. */
  cpus: number;
  estimates: RuntimeEstimates;
  teams: ReadonlyMap<string, Team>;
  objectives: readonly Objective[];
  /** Wall-clock time in milliseconds. */
  wallClockMs: number;
}

/** Returns a partition's open jobs in the order in which they are offered resources, and sets the effective priority of each. */
export function schedulingOrder(jobs: readonly PartitionJob[], context: SchedulingContext): PartitionJob[] {
  const guaranteed = jobsWithinGuarantee(jobs, context.teams);
  const sortKeys = new Map<PartitionJob, { lateness: number; adjustedArrivalMs: number }>();
  for (const job of jobs) {
    const { spec, deadlines, acceptedAt } = job;
    const ageS = (context.wallClockMs - acceptedAt) / 1000;
    const expectedS = context.estimates.expectedSeconds(spec);
    const startedRatio = job.startedRatio(context.teams.get(spec.team)?.limit.cpus ?? 0);
    const waitState = { ageS, startedRatio, withinGuarantee: guaranteed.has(job) };
    const priority = deadlinePriority(spec, deadlines, ageS, expectedS * MIN_RUNTIME_RATIO);
    job.effectivePriority = agedPriority(priority, waitState, context.objectives);
    // Within its priority, a job that has exceeded the maximum wait goes first, whatever deadlines it misses.
    const lateness = exceedsMaxWait(waitState)
      ? -1
      : missedDeadlineCount(deadlines, ageS, expectedS * MIN_RUNTIME_RATIO);
    // Jobs are ordered by arrival, but a large job is delayed in proportion to its size: one large job ahead of twenty small ones
    // would make twenty users wait for one. The penalty is bounded, so that no job starves.
    const sizePenaltyS = (SIZE_PENALTY_RATIO * spec.tasks * spec.cpus * expectedS) / context.cpus;
    sortKeys.set(job, {
      lateness,
      adjustedArrivalMs: acceptedAt + 1000 * Math.min(sizePenaltyS, MAX_SIZE_PENALTY_S),
    });
  }
  const keyOf = (job: PartitionJob): { lateness: number; adjustedArrivalMs: number } =>
    sortKeys.get(job) ?? { lateness: 0, adjustedArrivalMs: 0 };
  return [...jobs].sort(
    (a, b) =>
      a.effectivePriority - b.effectivePriority ||
      keyOf(a).lateness - keyOf(b).lateness ||
      keyOf(a).adjustedArrivalMs - keyOf(b).adjustedArrivalMs ||
      (a.ref < b.ref ? -1 : 1),
  );
}

/** The jobs that fit into their team's guarantee together with the team's earlier unfinished jobs. */
export function jobsWithinGuarantee(
  jobs: readonly PartitionJob[],
  teams: ReadonlyMap<string, Team>,
): Set<PartitionJob> {
  const within = new Set<PartitionJob>();
  const cpusByTeam = new Map<string, number>();
  for (const job of [...jobs].sort((a, b) => a.acceptedAt - b.acceptedAt)) {
    const { team, tasks, cpus } = job.spec;
    const neededCpus = (cpusByTeam.get(team) ?? 0) + (tasks - job.doneCount) * cpus;
    cpusByTeam.set(team, neededCpus);
    if (neededCpus <= (teams.get(team)?.guaranteed.cpus ?? 0)) within.add(job);
  }
  return within;
}
