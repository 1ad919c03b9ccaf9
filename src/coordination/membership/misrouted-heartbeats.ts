import { type MisroutedCount } from '../../protocol/peers';

/** A machine counts as misrouted for this long: it tries the owner, pauses for 4 s, and comes again. */
const MISROUTED_WINDOW_MS = 6000;
/** Heartbeats are deferred if this share of a partition's machines came to the wrong controller within the window. */
const MIN_DEFERRING_RATIO = 0.1;
const DEFERRING_WINDOW_MS = 2000;
/** Fewer misrouted machines than this show nothing. */
const MIN_MISROUTED_COUNT = 2;

/** The machines whose heartbeats came to this controller although another one owns their partition. */
export class MisroutedHeartbeats {
  /** Partition, machine, time; a partition's machines in the order in which they came last. */
  private readonly lastSeenAt = new Map<string, Map<string, number>>();

  /** Takes a misrouted heartbeat, and forgets those that no longer count. */
  record(partition: string, machine: string, now: number): void {
    let machines = this.lastSeenAt.get(partition);
    if (!machines) this.lastSeenAt.set(partition, (machines = new Map<string, number>()));
    // Deleted first, so that it goes to the end of the map's order.
    machines.delete(machine);
    machines.set(machine, now);
    for (const [id, at] of machines) {
      if (now - at <= MISROUTED_WINDOW_MS) break;
      machines.delete(id);
    }
  }

  /** Whether so many of a partition's machines come here that its owner may be about to change. */
  exceedsDeferralRatio(partition: string, machines: number, now: number): boolean {
    const recent = this.countWithin(partition, DEFERRING_WINDOW_MS, now);
    return recent >= MIN_MISROUTED_COUNT && recent >= MIN_DEFERRING_RATIO * machines;
  }

  /** Misrouted machines by partition, as they are sent to the leader. */
  counts(now: number): MisroutedCount[] {
    return [...this.lastSeenAt.keys()].map((partition) => ({
      partition,
      machines: this.countWithin(partition, MISROUTED_WINDOW_MS, now),
    }));
  }

  private countWithin(partition: string, windowMs: number, now: number): number {
    let count = 0;
    for (const at of this.lastSeenAt.get(partition)?.values() ?? []) if (now - at <= windowMs) count++;
    return count;
  }
}
