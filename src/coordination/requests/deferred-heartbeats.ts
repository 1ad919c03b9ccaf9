/** Heartbeats that wait for a failover or handover of their partition. */
import { type Clock } from '../../transport/clock';
import { type Heartbeat } from '../../protocol/workers';
import { type ReplicaView, type StoredPartition } from '../../storage/replica-view';
import { MisroutedHeartbeats } from '../membership/misrouted-heartbeats';
import { type HeartbeatReply } from './heartbeat-gateway';

/** Machines that send heartbeats here within this time after a change of owner are being redirected to the new owner. */
const OWNER_SETTLED_MS = 8000;
/** How long a heartbeat is deferred, of the 4 s that a machine waits for an answer. */
const DEFERRAL_MS = 2000;
const SHORT_DEFERRAL_MS = 800;

/** A heartbeat of a machine whose partition may be about to change owners. */
interface DeferredHeartbeat {
  heartbeat: Heartbeat;
  reply: (reply: HeartbeatReply) => void;
  partition: string;
  /** The partition's epoch when the heartbeat was received. */
  epoch: number;
}

/**
 * Defers misrouted heartbeats for a short time instead of redirecting them if their partition may be about to change
 * owners. Each is answered exactly once, when the owner has changed or at the end of that time.
 */
export class DeferredHeartbeats {
  readonly misrouted = new MisroutedHeartbeats();
  /** When the replica first showed the current owner of each partition, on the steady clock. */
  private readonly ownedSince = new Map<string, { epoch: number; at: number }>();
  private deferred: DeferredHeartbeat[] = [];

  constructor(
    private readonly replica: ReplicaView,
    private readonly clock: Clock,
    /** Answers a heartbeat, and does not defer it again. */
    private readonly answer: (heartbeat: Heartbeat, reply: (reply: HeartbeatReply) => void) => void,
  ) {}

  /** Defers a heartbeat if the owner of its partition may change. Returns false if not; then the caller must answer it. */
  defer(heartbeat: Heartbeat, reply: (reply: HeartbeatReply) => void, stored: StoredPartition): boolean {
    if (!this.ownerMayChange(stored.id, heartbeat.machine)) return false;
    const entry: DeferredHeartbeat = { heartbeat, reply, partition: stored.id, epoch: stored.epoch };
    this.deferred.push(entry);
    this.clock.schedule(this.deferralMs(stored), () => this.release((deferred) => deferred === entry));
    return true;
  }

  /** Answers the deferred heartbeats of partitions whose owners have changed. */
  handleOwnerChanges(): void {
    const now = this.clock.steady();
    for (const { id, epoch } of this.replica.partitions.values())
      if (this.ownedSince.get(id)?.epoch !== epoch) this.ownedSince.set(id, { epoch, at: now });
    this.release((deferred) => this.replica.partitions.get(deferred.partition)?.epoch !== deferred.epoch);
  }

  /**
   * Records a misrouted heartbeat, and returns whether many machines of the partition send theirs here although another
   * controller owns them. That controller has then failed or is unreachable for them. Each redirect to it would cost them
   * seconds of their leases, until the partition is assigned to another controller.
   */
  private ownerMayChange(partition: string, machine: string): boolean {
    const now = this.clock.steady();
    this.misrouted.record(partition, machine, now);
    const machineCount = this.replica.fleetValuesOf(partition).reduce((n, [, fleet]) => n + fleet.size, 0);
    return this.misrouted.reachesDeferralThreshold(partition, machineCount, now);
  }

  /**
   * How long to defer a heartbeat. Just after a change of owner the time is short, because deferral then only spreads the
   * heartbeats that the new owner receives.
   */
  private deferralMs({ id, epoch }: StoredPartition): number {
    const since = this.ownedSince.get(id);
    const settled = since?.epoch === epoch && this.clock.steady() - since.at > OWNER_SETTLED_MS;
    return settled ? DEFERRAL_MS : SHORT_DEFERRAL_MS;
  }

  private release(shouldAnswer: (heartbeat: DeferredHeartbeat) => boolean): void {
    const answered = this.deferred.filter(shouldAnswer);
    if (answered.length === 0) return;
    this.deferred = this.deferred.filter((heartbeat) => !shouldAnswer(heartbeat));
    for (const { heartbeat, reply } of answered) this.answer(heartbeat, reply);
  }
}
