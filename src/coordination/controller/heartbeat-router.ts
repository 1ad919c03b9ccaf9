/** Routing of workers' heartbeats to the actors or controllers that may answer them. */
import { type Clock } from '../../transport/clock';
import { type Metrics } from '../../transport/metrics';
import { type MisroutedCount } from '../../protocol/peers';
import { type Heartbeat } from '../../protocol/workers';
import { type ReplicaView } from '../../storage/replica-view';
import { type Leader } from '../leader/leader';
import { type Membership } from '../membership/membership';
import { DeferredHeartbeats } from '../requests/deferred-heartbeats';
import { type HeartbeatReply } from '../requests/heartbeat-gateway';
import { type OwnedPartitions } from './owned-partitions';

export interface HeartbeatRouterDependencies {
  /** The name of this controller. */
  member: string;
  clock: Clock;
  metrics: Metrics;
  replica: ReplicaView;
  membership: Membership;
  leader: Leader;
  partitions: OwnedPartitions;
}

/**
 * Routes each heartbeat by the recorded partition of its machine. If this controller owns the partition, the partition's actor
 * gets the heartbeat; otherwise the worker is redirected to the owner, at once or after a short deferral. The heartbeat of a
 * machine without a record goes to the leader. Every heartbeat is replied to exactly once.
 */
export class HeartbeatRouter {
  private readonly deferred: DeferredHeartbeats;
  /** On the steady clock; null if this process has received no heartbeat. */
  private lastHeartbeatAt: number | null = null;

  constructor(private readonly deps: HeartbeatRouterDependencies) {
    this.deferred = new DeferredHeartbeats(deps.replica, deps.clock, (heartbeat, reply) =>
      this.answerHeartbeat(heartbeat, reply, false),
    );
  }

  receiveHeartbeat(heartbeat: Heartbeat, reply: (reply: HeartbeatReply) => void): void {
    const { clock, metrics } = this.deps;
    const receivedAt = clock.steady();
    this.lastHeartbeatAt = receivedAt;
    this.answerHeartbeat(heartbeat, reply, true);
    metrics.record('report', clock.steady() - receivedAt);
  }

  /** Answers deferred heartbeats of partitions whose owner has changed. */
  handleOwnerChanges(): void {
    this.deferred.handleOwnerChanges();
  }

  /** Milliseconds since the last heartbeat of any machine; -1 if none has been received. */
  sinceHeartbeatMs(now: number): number {
    return this.lastHeartbeatAt === null ? -1 : now - this.lastHeartbeatAt;
  }

  /** How many machines of each partition recently sent heartbeats here although another controller owns the partition. */
  misroutedCounts(now: number): MisroutedCount[] {
    return this.deferred.misrouted.counts(now);
  }

  private answerHeartbeat(
    heartbeat: Heartbeat,
    reply: (reply: HeartbeatReply) => void,
    mayDefer: boolean,
  ): void {
    const { membership, replica, partitions } = this.deps;
    if (!membership.mayAct()) return reply({ kind: 'busy' });
    const machine = replica.machines.get(heartbeat.machine);
    if (!machine) return this.answerUnknownMachine(heartbeat, reply);
    const partition = partitions.get(machine.record.partition);
    if (partition?.active) {
      partition.send({
        kind: 'heartbeat',
        heartbeat,
        reply: (answer) => reply(answer ? { kind: 'answer', ...answer } : { kind: 'busy' }),
      });
      return;
    }
    const storedPartition = replica.partitions.get(machine.record.partition);
    if (storedPartition && mayDefer && this.deferred.defer(heartbeat, reply, storedPartition)) return;
    reply({ kind: 'redirect', owner: this.redirectTarget(storedPartition?.record.owner) });
  }

  /** Passes the heartbeat of a machine without a record to the leader, which registers the machine. */
  private answerUnknownMachine(heartbeat: Heartbeat, reply: (reply: HeartbeatReply) => void): void {
    const { leader, replica } = this.deps;
    if (!leader.leading)
      return reply({ kind: 'redirect', owner: this.redirectTarget(replica.leader?.member) });
    leader.send({ kind: 'unknown-machine-heartbeat', heartbeat });
    reply({ kind: 'busy' });
  }

  /** Returns `owner` if it is another controller; null if it is unknown or this controller. */
  private redirectTarget(owner: string | undefined): string | null {
    return owner !== undefined && owner !== this.deps.member ? owner : null;
  }
}
