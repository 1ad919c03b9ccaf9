import { type PartitionLoad, type MisroutedCount } from '../../protocol/peers';

/** For how long a machine that came to the wrong controller counts as misrouted: it tries the owner, waits 4 s, comes again. */
const MISROUTED_WINDOW_MS = 6000;
/** Of a partition's machines, the share that must have come here of late for their reports to be kept waiting. */
const MIN_DEFERRING_RATIO = 0.1;
const DEFERRING_WINDOW_MS = 2000;
const MIN_MISROUTED_COUNT = 2;
/** An owner is cut off if it has missed reports of this share of its machines while this share came to others. */
const MIN_SILENT_RATIO = 0.8;
const MIN_MISROUTED_RATIO = 0.25;
/** For this long at least a controller that machines could not reach gets no partition. */
const MIN_AVOIDANCE_MS = 20_000;
/** After this long it gets another chance though it has heard nothing: perhaps nobody had a reason to come. */
const MAX_AVOIDANCE_MS = 60_000;
const MAX_STATS_AGE_MS = 6000;

/** The machines that came to this controller though another owns their partition. */
export class MisroutedHeartbeats {
  private readonly lastSeenAt = new Map<string, Map<string, number>>();

  note(partition: string, machine: string, now: number): void {
    let ofPartition = this.lastSeenAt.get(partition);
    if (!ofPartition) this.lastSeenAt.set(partition, (ofPartition = new Map<string, number>()));
    // The order of the map is that in which they came.
    ofPartition.delete(machine);
    ofPartition.set(machine, now);
    for (const [id, at] of ofPartition) {
      if (now - at <= MISROUTED_WINDOW_MS) break;
      ofPartition.delete(id);
    }
  }

  /** Whether so many of a partition's machines come here that their owner may be about to change. */
  exceedsDeferringRatio(partition: string, machines: number, now: number): boolean {
    const recent = this.countWithin(partition, DEFERRING_WINDOW_MS, now);
    return recent >= MIN_MISROUTED_COUNT && recent >= MIN_DEFERRING_RATIO * machines;
  }

  counts(now: number): MisroutedCount[] {
    return [...this.lastSeenAt.keys()].map((partition) => ({
      partition,
      machines: this.countWithin(partition, MISROUTED_WINDOW_MS, now),
    }));
  }

  private countWithin(partition: string, ms: number, now: number): number {
    let n = 0;
    for (const at of this.lastSeenAt.get(partition)?.values() ?? []) if (now - at <= ms) n++;
    return n;
  }
}

/** What a controller tells of the machines that come to it. */
export interface HeartbeatStats {
  misrouted: readonly MisroutedCount[];
  /** Time since it last heard any machine, -1: never. */
  sinceHeartbeatMs: number;
}

/**
 * How well machines reach the controllers, as the leader sees it. An owner that is cut from its machines alone keeps its
 * session lease and its partitions; the others would go on sending its machines back to it until all their leases have run out.
 */
export class Reachability {
  private readonly statsByMember = new Map<string, HeartbeatStats & { at: number }>();
  private readonly avoidedSince = new Map<string, number>();

  recordStats(member: string, stats: HeartbeatStats, now: number): void {
    this.statsByMember.set(member, { ...stats, at: now });
    const since = this.avoidedSince.get(member);
    if (since === undefined || now - since < MIN_AVOIDANCE_MS) return;
    const receivesHeartbeats = stats.sinceHeartbeatMs >= 0 && stats.sinceHeartbeatMs < MAX_STATS_AGE_MS;
    if (receivesHeartbeats || now - since > MAX_AVOIDANCE_MS) this.avoidedSince.delete(member);
  }

  /** Machines have lately failed to reach this controller. */
  isAvoided(member: string): boolean {
    return this.avoidedSince.has(member);
  }

  /**
   * To whom a partition should go because its machines reach others and not its owner; null: it stays. Machines that are
   * gone come to nobody, so their silence moves nothing.
   */
  betterOwner(
    owner: string,
    load: PartitionLoad,
    heartbeatIntervalMs: number,
    members: readonly string[],
    now: number,
  ): string | null {
    const maxSilentMs = 1.25 * heartbeatIntervalMs + 1000;
    const booted = load.machines.filter((m) => m.sinceHeartbeatMs >= 0);
    const silent = booted.filter((m) => m.sinceHeartbeatMs > maxSilentMs).length;
    if (booted.length === 0 || silent < MIN_SILENT_RATIO * booted.length) return null;
    // One that hears some machine, late as it may, is not cut off but has too much to do: a take-over makes it more.
    const sinceHeartbeatMs = this.statsByMember.get(owner)?.sinceHeartbeatMs ?? 0;
    if (sinceHeartbeatMs < maxSilentMs) return null;
    const misroutedAt = (member: string): number => {
      const stats = this.statsByMember.get(member);
      if (!stats || now - stats.at > MAX_STATS_AGE_MS) return 0;
      return stats.misrouted.find((s) => s.partition === load.partition)?.machines ?? 0;
    };
    const reached = members.filter((m) => m !== owner && !this.isAvoided(m) && misroutedAt(m) > 0);
    const misroutedCount = reached.reduce((n, m) => n + misroutedAt(m), 0);
    if (misroutedCount < Math.max(MIN_MISROUTED_COUNT, MIN_MISROUTED_RATIO * booted.length)) return null;
    this.avoidedSince.set(owner, now);
    return reached.sort((a, b) => misroutedAt(b) - misroutedAt(a))[0] ?? null;
  }
}
