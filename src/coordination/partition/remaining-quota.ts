import { type JobSpec } from '../../protocol/jobs';
import { type ResourceQuota } from '../../protocol/settings';
import { countWithinQuota } from './resources';
import { type TeamQuota } from './team-quota';

/** What is left of the quota of each team while tasks of its jobs are planned. */
export class RemainingQuota {
  private readonly remainingByTeam = new Map<string, ResourceQuota>();

  constructor(private readonly quota: Pick<TeamQuota, 'remaining'>) {}

  /** Number of tasks of a job that its team's quota allows, at most `maxTasks`. */
  count(spec: JobSpec, maxTasks: number): number {
    return Math.min(maxTasks, countWithinQuota(this.remainingOf(spec.team), spec));
  }

  /** Takes the quota of up to `maxTasks` tasks of a job, and returns their number. */
  take(spec: JobSpec, maxTasks: number): number {
    const remaining = this.remainingOf(spec.team);
    const tasks = this.count(spec, maxTasks);
    remaining.cpus -= tasks * spec.cpus;
    remaining.accelerators -= tasks * spec.accelerators;
    return tasks;
  }

  private remainingOf(team: string): ResourceQuota {
    const known = this.remainingByTeam.get(team);
    if (known) return known;
    const remaining = this.quota.remaining(team);
    this.remainingByTeam.set(team, remaining);
    return remaining;
  }
}
