import { type PartitionLoad } from '../../protocol/peers';

/** A load that is older than this is not planned by. */
const MAX_LOAD_AGE_MS = 6000;
/** A partition is settling while more than this share of its machines is unconfirmed, for at most this long. */
const MAX_UNCONFIRMED_RATIO = 0.25;
const MAX_SETTLING_MS = 8000;

/** A load, and when it was received by the steady clock. */
export interface ReceivedLoad {
  load: PartitionLoad;
  at: number;
}

/** The latest load that each partition's owner has sent to the leader. */
export class PartitionLoads {
  private readonly byPartition = new Map<string, ReceivedLoad>();
  /** When a partition was first seen under its present epoch. */
  private readonly firstSeen = new Map<string, { epoch: number; at: number }>();

  record(load: PartitionLoad, at: number): void {
    this.byPartition.set(load.partition, { load, at });
  }

  get(partition: string): ReceivedLoad | undefined {
    return this.byPartition.get(partition);
  }

  /** Loads of these partitions that are recent enough to plan by. */
  recent(partitions: Iterable<string>, now: number): PartitionLoad[] {
    const received = [...partitions].flatMap((id) => this.byPartition.get(id) ?? []);
    return received.filter(({ at }) => now - at < MAX_LOAD_AGE_MS).map(({ load }) => load);
  }

  /**
   * Whether a partition has changed owners so lately that most of its machines have sent no heartbeat: nothing is known of
   * what they lack. Planning a fleet of hundreds meanwhile would take processor time from the owner, which may be this
   * controller, while it must answer them.
   */
  isSettling({ partition, epoch, machines, unconfirmed }: PartitionLoad, now: number): boolean {
    const known = this.firstSeen.get(partition);
    if (known?.epoch !== epoch) this.firstSeen.set(partition, { epoch, at: now });
    const since = known?.epoch === epoch ? known.at : now;
    return unconfirmed > MAX_UNCONFIRMED_RATIO * machines.length && now - since < MAX_SETTLING_MS;
  }
}
