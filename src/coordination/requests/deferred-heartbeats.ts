import { type Clock } from '../../transport/clock';
import { type Heartbeat } from '../../protocol/workers';
import { type ReplicaView, type StoredPartition } from '../../storage/replica-view';
import { MisroutedHeartbeats } from '../membership/misrouted-heartbeats';
import { type HeartbeatReply } from './heartbeat-gateway';

/** Machines that come here within this time of a change of owner are merely on their way. */
const OWNER_SETTLED_MS = 8000;
/** Of the 4 s that a machine waits for an answer. */
const DEFERRAL_MS = 2000;
const SHORT_DEFERRAL_MS = 800;

/** A report of a machine whose partition may be about to change hands. */
interface DeferredHeartbeat {
  heartbeat: Heartbeat;
  reply: (reply: HeartbeatReply) => void;
  partition: string;
  /** Version of the partition's record when it came. */
  epoch: number;
}

/** Keeps misrouted reports for a moment instead of sending them back, where their partition may be about to change hands. */
export class DeferredHeartbeats {
  readonly misrouted = new MisroutedHeartbeats();
  /** When the replica first showed a partition's present owner. */
  private readonly ownedSince = new Map<string, { epoch: number; at: number }>();
  private deferred: DeferredHeartbeat[] = [];

  constructor(
    private readonly replica: ReplicaView,
    private readonly clock: Clock,
    /** Answers a report once more, and does not have it kept again. */
    private readonly answer: (heartbeat: Heartbeat, reply: (reply: HeartbeatReply) => void) => void,
  ) {}

  /** Keeps a report of another owner's machine if the owner may change; false: it may not, and nothing is kept. */
  defer(heartbeat: Heartbeat, reply: (reply: HeartbeatReply) => void, stored: StoredPartition): boolean {
    if (!this.ownerMayChange(stored.id, heartbeat.machine)) return false;
    const entry: DeferredHeartbeat = { heartbeat, reply, partition: stored.id, epoch: stored.epoch };
    this.deferred.push(entry);
    this.clock.schedule(this.deferralMs(stored), () => this.release((p) => p === entry));
    return true;
  }

  /** Answers reports of partitions whose owners have changed. */
  ownersChanged(): void {
    const now = this.clock.steady();
    for (const { id, epoch } of this.replica.partitions.values())
      if (this.ownedSince.get(id)?.epoch !== epoch) this.ownedSince.set(id, { epoch, at: now });
    this.release((p) => this.replica.partitions.get(p.partition)?.epoch !== p.epoch);
  }

  /**
   * Many machines come here at once that another controller has owned for a while: it is gone, or cut from them. Sent
   * back there they would lose seconds of their leases, each time anew, until the partition has changed hands.
   */
  private ownerMayChange(partition: string, machine: string): boolean {
    const now = this.clock.steady();
    this.misrouted.note(partition, machine, now);
    const machines = this.replica.fleetValuesOf(partition).reduce((n, [, fleet]) => n + fleet.size, 0);
    return this.misrouted.exceedsDeferringRatio(partition, machines, now);
  }

  /** Just after a change of owner they are on their way to the new one, who is glad if not all come at once. */
  private deferralMs({ id, epoch }: StoredPartition): number {
    const since = this.ownedSince.get(id);
    const settled = since?.epoch === epoch && this.clock.steady() - since.at > OWNER_SETTLED_MS;
    return settled ? DEFERRAL_MS : SHORT_DEFERRAL_MS;
  }

  private release(isOver: (heartbeat: DeferredHeartbeat) => boolean): void {
    const answered = this.deferred.filter(isOver);
    if (answered.length === 0) return;
    this.deferred = this.deferred.filter((p) => !isOver(p));
    for (const { heartbeat, reply } of answered) this.answer(heartbeat, reply);
  }
}
