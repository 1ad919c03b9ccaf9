import { type JobSpec } from '../../protocol/jobs';
import { type ResourceQuota, type Team } from '../../protocol/settings';
import { type PartitionJob } from './job';
import { type UnconfirmedMachines } from './unconfirmed-machines';

const NOTHING: ResourceQuota = { cpus: 0, accelerators: 0 };

/** What the teams of a partition may use, what their tasks take, and what must be kept free for tasks not seen yet. */
export class TeamQuota {
  private readonly used = new Map<string, ResourceQuota>();
  readonly teams: ReadonlyMap<string, Team>;
  /** What may be on machines that have not spoken, by team; null: to be summed up anew. */
  private reserved: Map<string, ResourceQuota> | null = null;
  /** What cancelled jobs may still have there. */
  private readonly cancelled = new Map<string, ResourceQuota>();

  constructor(
    teams: readonly Team[],
    private readonly unconfirmed: UnconfirmedMachines,
    private readonly jobs: ReadonlyMap<string, PartitionJob>,
  ) {
    this.teams = new Map(teams.map((team) => [team.name, team]));
    for (const team of teams) this.used.set(team.name, { ...NOTHING });
  }

  has(team: string): boolean {
    return this.teams.has(team);
  }

  /** Counts `tasks` more tasks against their team, or fewer. */
  addUsage(spec: JobSpec, tasks: number): void {
    if (this.used.has(spec.team)) addTo(this.used, spec, tasks);
  }

  usageOf(team: string): ResourceQuota {
    return this.used.get(team) ?? NOTHING;
  }

  /** What a team may still use, counting all of its own that may be on machines that have not spoken yet. */
  remaining(team: string): ResourceQuota {
    const limit = this.teams.get(team)?.limit ?? NOTHING;
    const used = this.usageOf(team);
    const reserved = this.reservedFor(team);
    return {
      cpus: remainingOf(limit.cpus, used.cpus, reserved.cpus),
      accelerators: remainingOf(limit.accelerators, used.accelerators, reserved.accelerators),
    };
  }

  /** Tasks of a cancelled job may still be on machines that have not spoken. */
  reserveForCancelled(spec: JobSpec, tasks: number): void {
    addTo(this.cancelled, spec, tasks);
    this.invalidateReserved();
  }

  /** All machines have spoken: nothing is on them unseen. */
  releaseCancelled(): void {
    this.cancelled.clear();
  }

  /** Jobs or machines have changed: what is reserved is summed up anew. */
  invalidateReserved(): void {
    this.reserved = null;
  }

  /**
   * What of a team may run unseen: no more than the machines that have not spoken have room for, nor than the tasks
   * that an earlier owner may have started, that are neither done nor seen, and what cancelled jobs may have left.
   * To count those machines as full against every team would hold teams back that have nothing on them.
   */
  private reservedFor(team: string): ResourceQuota {
    if (this.unconfirmed.count === 0) return NOTHING;
    this.reserved ??= this.sumReserved();
    const own = this.reserved.get(team) ?? NOTHING;
    const { upperBound } = this.unconfirmed;
    return {
      cpus: Math.min(upperBound.cpus, own.cpus),
      accelerators: Math.min(upperBound.accelerators, own.accelerators),
    };
  }

  private sumReserved(): Map<string, ResourceQuota> {
    const sums = new Map([...this.cancelled].map(([team, quantity]) => [team, { ...quantity }]));
    for (const { spec, unconfirmedCount } of this.jobs.values()) addTo(sums, spec, unconfirmedCount);
    return sums;
  }
}

/** Without a limit nothing that may run unseen matters. */
function remainingOf(limit: number, used: number, reserved: number): number {
  return limit === Infinity ? Infinity : limit - used - reserved;
}

function addTo(sums: Map<string, ResourceQuota>, spec: JobSpec, tasks: number): void {
  const sum = sums.get(spec.team) ?? { ...NOTHING };
  sum.cpus += tasks * spec.cpus;
  sum.accelerators += tasks * spec.accelerators;
  sums.set(spec.team, sum);
}
