import { type MisroutedCount } from '../../protocol/peers';

/**
 * A machine counts as misrouted for this long after its last heartbeat here. The next one may be more than 4 s later, because
 * the machine first tries the owner and waits 4 s for an answer.
 */
const MISROUTED_WINDOW_MS = 6000;
/** Heartbeats are deferred if at least this share of a partition's machines was misrouted within DEFERRAL_WINDOW_MS. */
const MIN_DEFERRAL_RATIO = 0.1;
const DEFERRAL_WINDOW_MS = 2000;
/** Fewer misrouted machines than this are not significant. */
const MIN_MISROUTED_COUNT = 2;

/** The machines that sent heartbeats to this controller although another one owns their partition. */
export class MisroutedHeartbeats {
  /** Time of the last heartbeat by partition and machine. A partition's machines are ordered by that time. */
  private readonly lastSeenAt = new Map<string, Map<string, number>>();

  /** Records a misrouted heartbeat, and removes the machines of its partition that no longer count as misrouted. */
  record(partition: string, machine: string, now: number): void {
    let machines = this.lastSeenAt.get(partition);
    if (!machines) this.lastSeenAt.set(partition, (machines = new Map<string, number>()));
    // Deleted first, so that the machine moves to the end of the map's order.
    machines.delete(machine);
    machines.set(machine, now);
    for (const [id, at] of machines) {
      if (now - at <= MISROUTED_WINDOW_MS) break;
      machines.delete(id);
    }
  }

  /** Whether so many of a partition's machines recently sent heartbeats here that the partition may soon change owners. */
  reachesDeferralThreshold(partition: string, machineCount: number, now: number): boolean {
    const recent = this.countWithin(partition, DEFERRAL_WINDOW_MS, now);
    return recent >= MIN_MISROUTED_COUNT && recent >= MIN_DEFERRAL_RATIO * machineCount;
  }

  /** The number of misrouted machines of each partition, as sent to the leader. */
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
