import { type JobSpec } from '../../protocol/jobs';
import { type ResourceQuota, type Team } from '../../protocol/settings';
import { type PartitionJob } from './job';
import { type UnconfirmedMachines } from './unconfirmed-machines';

const NO_RESOURCES: ResourceQuota = { cpus: 0, accelerators: 0 };

/** Quota of the teams of a partition: what their tasks use, and what is reserved for tasks that were not reported yet. */
export class TeamQuota {
  private readonly used = new Map<string, ResourceQuota>();
  readonly teams: ReadonlyMap<string, Team>;
  /** What tasks on unconfirmed machines may use, by team; null: to be computed anew. */
  private reserved: Map<string, ResourceQuota> | null = null;
  /** What tasks of cancelled jobs may use on unconfirmed machines, by team. */
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

  /** Counts `tasks` more tasks against their team, or fewer. */
  addUsage(spec: JobSpec, tasks: number): void {
    if (this.used.has(spec.team)) addTo(this.used, spec, tasks);
  }

  usageOf(team: string): ResourceQuota {
    return this.used.get(team) ?? NO_RESOURCES;
  }

  /** What a team may still use; tasks that may be on unconfirmed machines count as if they ran. */
  remaining(team: string): ResourceQuota {
    const limit = this.teams.get(team)?.limit ?? NO_RESOURCES;
    const used = this.usageOf(team);
    const reserved = this.reservedFor(team);
    return {
      cpus: remainingOf(limit.cpus, used.cpus, reserved.cpus),
      accelerators: remainingOf(limit.accelerators, used.accelerators, reserved.accelerators),
    };
  }

  /** Reserves quota for tasks of a cancelled job that may be on unconfirmed machines. */
  reserveForCancelled(spec: JobSpec, tasks: number): void {
    addTo(this.cancelled, spec, tasks);
    this.invalidateReserved();
  }

  /** All machines are confirmed: no task is on them that was not reported. */
  releaseCancelled(): void {
    this.cancelled.clear();
  }

  /** Jobs or machines have changed: what is reserved is to be computed anew. */
  invalidateReserved(): void {
    this.reserved = null;
  }

  /**
   * What tasks of a team may use without having been reported: no more than the unconfirmed machines have capacity for, nor than
   * the tasks that an earlier owner may have started, and those of cancelled jobs. To count the machines as full against every team
   * would hold back teams that have nothing on them.
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
    for (const { spec, unconfirmedCount } of this.jobs.values()) addTo(sums, spec, unconfirmedCount);
    return sums;
  }
}

/** An unlimited team stays unlimited, whatever is reserved: infinity less infinity is not a number. */
function remainingOf(limit: number, used: number, reserved: number): number {
  return limit === Infinity ? Infinity : limit - used - reserved;
}

function addTo(sums: Map<string, ResourceQuota>, spec: JobSpec, tasks: number): void {
  const sum = sums.get(spec.team) ?? { ...NO_RESOURCES };
  sum.cpus += tasks * spec.cpus;
  sum.accelerators += tasks * spec.accelerators;
  sums.set(spec.team, sum);
}
