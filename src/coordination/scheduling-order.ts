import { type Objective, type Team } from '../protocol/settings';
import { type PartitionJob } from './job';
import { effectivePriority, lateness, raisedPriority, starves, type Estimates } from './priority';

const STEP_BACK = 4;
const MOST_STEP_S = 90;
/** Estimates err by half: a job is given up on for a due only if this share of it would be too long. */
const SURELY_NEEDED = 0.6;

export interface QueueView {
  /** Of all the partition's machines. */
  cpus: number;
  estimates: Estimates;
  limits: ReadonlyMap<string, Team>;
  objectives: readonly Objective[];
  /** Time of day, in milliseconds. */
  today: number;
}

/** A partition's open jobs in the order in which they get room; notes with each the urgency that it is placed with. */
export function schedulingOrder(jobs: readonly PartitionJob[], view: QueueView): PartitionJob[] {
  const owed = withinGuarantee(jobs, view.limits);
  const places = new Map<PartitionJob, { late: number; turn: number }>();
  for (const job of jobs) {
    const { spec, deadlines, acceptedAt } = job;
    const ageS = (view.today - acceptedAt) / 1000;
    const expectedS = view.estimates.expect(spec);
    const begun = job.begun(view.limits.get(spec.team)?.limit.cpus ?? 0);
    const waited = { ageS, begun, withinGuarantee: owed.has(job) };
    const rank = effectivePriority(spec, deadlines, ageS, expectedS * SURELY_NEEDED);
    job.rank = raisedPriority(rank, waited, view.objectives);
    const late = starves(waited) ? -1 : lateness(deadlines, ageS, expectedS * SURELY_NEEDED);
    // Arrival order, but a job steps back by a few times what it would take all our machines: one large job
    // ahead of twenty small ones makes twenty users wait for one. The step is bounded, so none starves.
    const step = (STEP_BACK * spec.tasks * spec.cpus * expectedS) / view.cpus;
    places.set(job, { late, turn: acceptedAt + 1000 * Math.min(step, MOST_STEP_S) });
  }
  const of = (job: PartitionJob): { late: number; turn: number } => places.get(job) ?? { late: 0, turn: 0 };
  return [...jobs].sort(
    (a, b) =>
      a.rank - b.rank || of(a).late - of(b).late || of(a).turn - of(b).turn || (a.ref < b.ref ? -1 : 1),
  );
}

/** Jobs that fit into their team's guarantee together with the team's earlier unfinished ones. */
export function withinGuarantee(
  jobs: readonly PartitionJob[],
  limits: ReadonlyMap<string, Team>,
): Set<PartitionJob> {
  const within = new Set<PartitionJob>();
  const taken = new Map<string, number>();
  for (const job of [...jobs].sort((a, b) => a.acceptedAt - b.acceptedAt)) {
    const { team, tasks, cpus } = job.spec;
    const sum = (taken.get(team) ?? 0) + (tasks - job.done) * cpus;
    taken.set(team, sum);
    if (sum <= (limits.get(team)?.guaranteed.cpus ?? 0)) within.add(job);
  }
  return within;
}
