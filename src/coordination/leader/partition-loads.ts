import { type PartitionLoad } from '../../protocol/peers';

/** Planning uses only loads that are younger than this. */
const MAX_LOAD_AGE_MS = 6000;
/** A partition is settling while more than this share of its machines is unconfirmed, for less than MAX_SETTLING_MS. */
const MAX_UNCONFIRMED_RATIO = 0.25;
const MAX_SETTLING_MS = 8000;

/** A load and when it was received, in milliseconds of the steady clock. */
export interface ReceivedLoad {
  load: PartitionLoad;
  at: number;
}

/** The latest load that each partition's owner has sent to the leader. */
export class PartitionLoads {
  private readonly byPartition = new Map<string, ReceivedLoad>();
  /** When each partition was first seen under its current epoch. */
  private readonly firstSeen = new Map<string, { epoch: number; at: number }>();

  record(load: PartitionLoad, at: number): void {
    this.byPartition.set(load.partition, { load, at });
  }

  get(partition: string): ReceivedLoad | undefined {
    return this.byPartition.get(partition);
  }

  /** Loads of these partitions that are recent enough for planning. */
  recent(partitions: Iterable<string>, now: number): PartitionLoad[] {
    const received = [...partitions].flatMap((id) => this.byPartition.get(id) ?? []);
    return received.filter(({ at }) => now - at < MAX_LOAD_AGE_MS).map(({ load }) => load);
  }

  /**
   * Whether a partition has changed owners so recently that many of its machines have sent no heartbeat, so that nothing is
   * known of what the partition lacks. Planning a fleet of hundreds of machines at that time would take CPU time from the
   * owner, which may be this controller, while it must answer the machines' heartbeats. The first call
   * for an epoch records when that epoch was first seen.
   */
  isSettling({ partition, epoch, machines, unconfirmed }: PartitionLoad, now: number): boolean {
    const known = this.firstSeen.get(partition);
    if (known?.epoch !== epoch) this.firstSeen.set(partition, { epoch, at: now });
    const since = known?.epoch === epoch ? known.at : now;
    return unconfirmed > MAX_UNCONFIRMED_RATIO * machines.length && now - since < MAX_SETTLING_MS;
  }
}
