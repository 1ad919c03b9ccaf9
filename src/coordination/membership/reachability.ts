import { type MisroutedCount, type PartitionLoad } from '../../protocol/peers';

/** Fewer misrouted machines than this are not significant. */
const MIN_MISROUTED_COUNT = 2;
/**
 * An owner is unreachable if at least the first share of its booted machines is silent, and at least the second share sends
 * heartbeats to other controllers.
 */
const MIN_SILENT_RATIO = 0.8;
const MIN_MISROUTED_RATIO = 0.25;
/** A machine is silent after more than this many heartbeat intervals plus the margin without a heartbeat. */
const MAX_SILENT_INTERVALS = 1.25;
const SILENT_MARGIN_MS = 1000;
/**
 * A controller that machines could not reach is avoided for at least this long: it is the last choice as the new owner of a
 * partition.
 */
const MIN_AVOIDANCE_MS = 20_000;
/**
 * After this long, a controller is no longer avoided even if it receives no heartbeats: perhaps no machine had a reason to send
 * any.
 */
const MAX_AVOIDANCE_MS = 60_000;
/** Older stats are ignored. A controller also counts as receiving heartbeats if the last one is more recent than this. */
const MAX_STATS_AGE_MS = 6000;

/** What a controller reports to the leader about the heartbeats that it receives. */
export interface HeartbeatStats {
  misrouted: readonly MisroutedCount[];
  /** Time since the controller last received any heartbeat; -1 if it has received none. */
  sinceHeartbeatMs: number;
}

/**
 * The leader's view of which controllers machines can reach. An owner that is unreachable only for its machines keeps its
 * session lease and its partitions, and the other controllers redirect its machines back to it. Without a handover, the
 * leases of all its tasks would expire.
 */
export class Reachability {
  private readonly statsByMember = new Map<string, HeartbeatStats & { at: number }>();
  private readonly avoidedSince = new Map<string, number>();

  /** Records a member's stats, and ends its avoidance if that is due. */
  recordStats(member: string, stats: HeartbeatStats, now: number): void {
    this.statsByMember.set(member, { ...stats, at: now });
    const since = this.avoidedSince.get(member);
    if (since === undefined || now - since < MIN_AVOIDANCE_MS) return;
    const receivesHeartbeats = stats.sinceHeartbeatMs >= 0 && stats.sinceHeartbeatMs < MAX_STATS_AGE_MS;
    if (receivesHeartbeats || now - since > MAX_AVOIDANCE_MS) this.avoidedSince.delete(member);
  }

  /** Whether machines have recently failed to reach a member, so that other members should get partitions first. */
  isAvoided(member: string): boolean {
    return this.avoidedSince.has(member);
  }

  /**
   * Returns the member that should take over a partition because its machines reach that member and not the owner; null if
   * the owner keeps it. Machines that no longer exist send heartbeats to no controller, so their silence changes nothing. An
   * owner that is replaced is avoided from then on.
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
    // An owner that receives any heartbeat is not unreachable but overloaded, and a handover would add to the load. An owner
    // that has received no heartbeat since its start (-1), or whose stats are unknown, also keeps the partition.
    const sinceAnyHeartbeatMs = this.statsByMember.get(owner)?.sinceHeartbeatMs ?? 0;
    if (sinceAnyHeartbeatMs < maxSilentMs) return null;
    const counts = this.misroutedCounts(load.partition, owner, members, now);
    const total = counts.reduce((sum, { machines }) => sum + machines, 0);
    if (total < Math.max(MIN_MISROUTED_COUNT, MIN_MISROUTED_RATIO * booted.length)) return null;
    this.avoidedSince.set(owner, now);
    return counts.sort((a, b) => b.machines - a.machines)[0]?.member ?? null;
  }

  /** How many of a partition's machines recently sent heartbeats to each of the other members that may take it over. */
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
