import { type JobSpec } from '../../protocol/jobs';
import { type ResourceQuota, type Team } from '../../protocol/settings';
import { type PartitionJob } from './job';
import { type UnconfirmedMachines } from './unconfirmed-machines';

const NO_RESOURCES: ResourceQuota = { cpus: 0, accelerators: 0 };

/** Quota of the teams of a partition: the resources that their tasks use, and those reserved for tasks not reported yet. */
export class TeamQuota {
  private readonly used = new Map<string, ResourceQuota>();
  readonly teams: ReadonlyMap<string, Team>;
  /** Resources that unreported tasks may use on unconfirmed machines, by team; null if they must be recomputed. */
  private reserved: Map<string, ResourceQuota> | null = null;
  /** Resources that tasks of closed jobs which were not done, and unconfirmed tasks, may use on unconfirmed machines, by team. */
  private readonly cancelled = new Map<string, ResourceQuota>();

  constructor(
    teams: readonly Team[],
    private readonly unconfirmedMachines: UnconfirmedMachines,
    private readonly jobs: ReadonlyMap<string, PartitionJob>,
  ) {
    this.teams = new Map(teams.map((team) => [team.name, team]));
    for (const team of teams) this.used.set(team.name, { ...NO_RESOURCES });
  }

  has(team: string): boolean {
    return this.teams.has(team);
  }

  /** Adds the resources of this many tasks to the usage of their team; subtracts them if `tasks` is negative. */
  addUsage(spec: JobSpec, tasks: number): void {
    if (this.used.has(spec.team)) addTo(this.used, spec, tasks);
  }

  usageOf(team: string): ResourceQuota {
    return this.used.get(team) ?? NO_RESOURCES;
  }

  /** Resources that a team may still use. Tasks that may be on unconfirmed machines count as used. */
  remaining(team: string): ResourceQuota {
    const limit = this.teams.get(team)?.limit ?? NO_RESOURCES;
    const used = this.usageOf(team);
    const reserved = this.reservedFor(team);
    return {
      cpus: remainingOf(limit.cpus, used.cpus, reserved.cpus),
      accelerators: remainingOf(limit.accelerators, used.accelerators, reserved.accelerators),
    };
  }

  /** Reserves quota for tasks of a job that was closed without being done; they may be on unconfirmed machines. */
  reserveForCancelled(spec: JobSpec, tasks: number): void {
    addTo(this.cancelled, spec, tasks);
    this.invalidateReserved();
  }

  /**
   * Reserves quota for a task that only a heartbeat of an unconfirmed machine showed: it may run on another unconfirmed machine. Ignored
   * if all machines are confirmed.
   */
  reserveForUnconfirmedTask(spec: JobSpec): void {
    if (this.unconfirmedMachines.count > 0) this.reserveForCancelled(spec, 1);
  }

  /**
   * Releases what is reserved for closed jobs and unconfirmed tasks. Must be called once all machines are confirmed: no unreported task is left on
   * them.
   */
  releaseCancelled(): void {
    this.cancelled.clear();
  }

  /** Makes the next read recompute the reserved resources. Must be called after a change of jobs or machines. */
  invalidateReserved(): void {
    this.reserved = null;
  }

  /**
   * Upper bound of the resources that unreported tasks of a team may use. It does not exceed what unreported tasks may use on the
   * unconfirmed machines, nor what the tasks that an earlier owner may have started and those of closed jobs need. Counting the
   * machines as full against every team would hold back teams that have no tasks on them.
   */
  private reservedFor(team: string): ResourceQuota {
    if (this.unconfirmedMachines.count === 0) return NO_RESOURCES;
    this.reserved ??= this.sumReserved();
    const reservedForTeam = this.reserved.get(team) ?? NO_RESOURCES;
    const { upperBound } = this.unconfirmedMachines;
    return {
      cpus: Math.min(upperBound.cpus, reservedForTeam.cpus),
      accelerators: Math.min(upperBound.accelerators, reservedForTeam.accelerators),
    };
  }

  private sumReserved(): Map<string, ResourceQuota> {
    const sums = new Map([...this.cancelled].map(([team, quantity]) => [team, { ...quantity }]));
    for (const { spec, reservedTaskCount } of this.jobs.values()) addTo(sums, spec, reservedTaskCount);
    return sums;
  }
}

/** The rest of a limit. An unlimited team stays unlimited whatever is reserved, because infinity minus infinity is not a number. */
function remainingOf(limit: number, used: number, reserved: number): number {
  return limit === Infinity ? Infinity : limit - used - reserved;
}

function addTo(sums: Map<string, ResourceQuota>, spec: JobSpec, tasks: number): void {
  const sum = sums.get(spec.team) ?? { ...NO_RESOURCES };
  sum.cpus += tasks * spec.cpus;
  sum.accelerators += tasks * spec.accelerators;
  sums.set(spec.team, sum);
}
