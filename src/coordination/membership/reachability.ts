import { type MisroutedCount, type PartitionLoad } from '../../protocol/peers';

/** Fewer misrouted machines than this show nothing. */
const MIN_MISROUTED_COUNT = 2;
/** An owner is unreachable if this share of its machines is silent, and this share of them came to other controllers. */
const MIN_SILENT_RATIO = 0.8;
const MIN_MISROUTED_RATIO = 0.25;
/** A machine is silent after this many heartbeat intervals and the margin. */
const MAX_SILENT_INTERVALS = 1.25;
const SILENT_MARGIN_MS = 1000;
/** A controller that machines could not reach gets no partition for at least this long. */
const MIN_AVOIDANCE_MS = 20_000;
/** After this long it may get one again although it receives no heartbeats: perhaps no machine had a reason to come. */
const MAX_AVOIDANCE_MS = 60_000;
const MAX_STATS_AGE_MS = 6000;

/** What a controller tells the leader of the heartbeats that it receives. */
export interface HeartbeatStats {
  misrouted: readonly MisroutedCount[];
  /** Time since it last received any heartbeat, -1: never. */
  sinceHeartbeatMs: number;
}

/**
 * How well machines reach the controllers, as the leader sees it. An owner that only its machines cannot reach keeps its
 * session lease and its partitions, and the other controllers redirect its machines back to it: without a handover, the
 * leases of all its tasks would expire.
 */
export class Reachability {
  private readonly statsByMember = new Map<string, HeartbeatStats & { at: number }>();
  private readonly avoidedSince = new Map<string, number>();

  /** Takes a member's stats; a member that receives heartbeats again is no longer avoided after a while. */
  recordStats(member: string, stats: HeartbeatStats, now: number): void {
    this.statsByMember.set(member, { ...stats, at: now });
    const since = this.avoidedSince.get(member);
    if (since === undefined || now - since < MIN_AVOIDANCE_MS) return;
    const receivesHeartbeats = stats.sinceHeartbeatMs >= 0 && stats.sinceHeartbeatMs < MAX_STATS_AGE_MS;
    if (receivesHeartbeats || now - since > MAX_AVOIDANCE_MS) this.avoidedSince.delete(member);
  }

  /** Whether machines have lately failed to reach this controller. */
  isAvoided(member: string): boolean {
    return this.avoidedSince.has(member);
  }

  /**
   * The member that should get a partition because its machines reach that member and not the owner; null: the owner keeps
   * it. Machines that are gone come to no controller, so their silence changes nothing. The owner is avoided from then on.
   */
  selectReplacementOwner(
    owner: string,
    load: PartitionLoad,
    heartbeatIntervalMs: number,
    members: readonly string[],
    now: number,
  ): string | null {
    const maxSilentMs = MAX_SILENT_INTERVALS * heartbeatIntervalMs + SILENT_MARGIN_MS;
    const booted = load.machines.filter((machine) => machine.sinceHeartbeatMs >= 0);
    const silent = booted.filter((machine) => machine.sinceHeartbeatMs > maxSilentMs).length;
    if (booted.length === 0 || silent < MIN_SILENT_RATIO * booted.length) return null;
    // An owner that receives any heartbeat is not cut off but overloaded, and a handover would add to the load.
    const sinceAnyHeartbeatMs = this.statsByMember.get(owner)?.sinceHeartbeatMs ?? 0;
    if (sinceAnyHeartbeatMs < maxSilentMs) return null;
    const counts = this.misroutedCounts(load.partition, owner, members, now);
    const total = counts.reduce((sum, { machines }) => sum + machines, 0);
    if (total < Math.max(MIN_MISROUTED_COUNT, MIN_MISROUTED_RATIO * booted.length)) return null;
    this.avoidedSince.set(owner, now);
    return counts.sort((a, b) => b.machines - a.machines)[0]?.member ?? null;
  }

  /** How many of a partition's machines came lately to each of the other members that may get it. */
  private misroutedCounts(
    partition: string,
    owner: string,
    members: readonly string[],
    now: number,
  ): { member: string; machines: number }[] {
    return members
      .filter((member) => member !== owner && !this.isAvoided(member))
      .map((member) => ({ member, machines: this.misroutedAt(member, partition, now) }))
      .filter(({ machines }) => machines > 0);
  }

  private misroutedAt(member: string, partition: string, now: number): number {
    const stats = this.statsByMember.get(member);
    if (!stats || now - stats.at > MAX_STATS_AGE_MS) return 0;
    return stats.misrouted.find((count) => count.partition === partition)?.machines ?? 0;
  }
}
