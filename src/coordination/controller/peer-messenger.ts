/** Messages between controllers: encoding, decoding, and the actors that they are for. */
import { type Clock } from '../../transport/clock';
import { type Log } from '../../transport/log';
import { decodePeerMessage, encodePeerMessage } from '../../protocol/peer-codec';
import { type PeerMessage } from '../../protocol/peers';
import { type ReplicaView } from '../../storage/replica-view';
import { type StateStoreClient } from '../../storage/state-store-client';
import { type Leader } from '../leader/leader';
import { type LeaseExtensions } from '../membership/lease-extension';
import { type OwnedPartitions } from './owned-partitions';
import { STORE_RESPONSE_TIMEOUT_MS, type Readiness } from './readiness';

/**
 * The state store keeps this many changes for its watches, so a replica cannot be further ahead of ours: a status that
 * claims a higher revision is malformed.
 */
const MAX_REVISION_LEAD_COUNT = 10_000;
/** Bounds a frame that answers a status. */
const MAX_CANCELLATIONS_PER_PAGE = 500;

type StatusMessage = Extract<PeerMessage, { kind: 'status' }>;
type PongMessage = Extract<PeerMessage, { kind: 'pong' }>;

export interface PeerMessengerDependencies {
  /** The name of this controller. */
  member: string;
  clock: Clock;
  log: Log;
  stateStore: StateStoreClient;
  replica: ReplicaView;
  leader: Leader;
  leaseExtensions: LeaseExtensions;
  partitions: OwnedPartitions;
  readiness: Readiness;
  /** Sends a frame to another controller; it is lost if there is no connection. */
  sendToPeer: (member: string, bytes: Buffer) => void;
  countMalformed: () => void;
}

/** Sends messages to controllers, this one included, and hands those that arrive to the actors they are for. */
export class PeerMessenger {
  constructor(private readonly deps: PeerMessengerDependencies) {}

  send(member: string, message: PeerMessage): void {
    if (member === this.deps.member) this.handlePeerMessage(message);
    else this.deps.sendToPeer(member, encodePeerMessage(message));
  }

  /** Takes a frame of a peer; `answer` sends frames back to it. A malformed frame is logged, counted and dropped. */
  receiveFrame(bytes: Buffer, answer: (bytes: Buffer) => void): void {
    const message = decodePeerMessage(bytes);
    if (!message) {
      this.deps.log.info('malformed peer message');
      this.deps.countMalformed();
      return;
    }
    if (message.kind === 'status') this.answerStatus(message, answer);
    this.handlePeerMessage(message);
  }

  /** Answers with the state of our connection to the store and, where one is due, with a lease extension. */
  private answerStatus(status: StatusMessage, answer: (bytes: Buffer) => void): void {
    const { stateStore, replica, leaseExtensions, clock } = this.deps;
    const storeReachable = stateStore.respondedWithin(STORE_RESPONSE_TIMEOUT_MS);
    const extended = leaseExtensions.grant(
      status.member,
      this.mayVouchFor(status),
      storeReachable,
      clock.steady(),
    );
    // A peer that is ahead of our replica still needs what we confirmed and do not see yet.
    const since = Math.min(status.revision, stateStore.replica.revision);
    const cancelled = extended ? replica.cancelledSince(since) : [];
    const pages = Math.max(1, Math.ceil(cancelled.length / MAX_CANCELLATIONS_PER_PAGE));
    for (let page = 0; page < pages; page++) {
      const from = page * MAX_CANCELLATIONS_PER_PAGE;
      const pong: PongMessage = {
        kind: 'pong',
        member: this.deps.member,
        sequence: status.sequence,
        storeReachable,
        extended,
        page,
        pages,
        cancelled: cancelled.slice(from, from + MAX_CANCELLATIONS_PER_PAGE),
      };
      answer(encodePeerMessage(pong));
    }
  }

  /**
   * Whether we know the asker's session lease and every cancellation that we have confirmed. Without a complete replica
   * we cannot tell what an earlier process of this member confirmed.
   */
  private mayVouchFor({ member, memberIncarnation, revision }: StatusMessage): boolean {
    const { stateStore, replica } = this.deps;
    const memberSeen = replica.members.get(member) === memberIncarnation;
    const revisionPlausible = revision <= stateStore.replica.revision + MAX_REVISION_LEAD_COUNT;
    return memberSeen && stateStore.replica.synced && revisionPlausible;
  }

  private handlePeerMessage(message: PeerMessage): void {
    const { leader, partitions, clock } = this.deps;
    const now = clock.steady();
    switch (message.kind) {
      case 'status':
        return this.handleStatus(message, now);
      case 'pong':
        return this.handlePong(message, now);
      case 'handover':
        return this.handleHandover(message.partition, message.to);
      case 'balance':
        return leader.send({ kind: 'load-summary', summary: message.summary, at: now });
      case 'move':
      case 'retire':
        return partitions.actorOfMachine(message.machine)?.send(message);
    }
  }

  private handleStatus(status: StatusMessage, now: number): void {
    const { leader, readiness } = this.deps;
    readiness.recordPeerStatus(status.member, status.storeReachable, now);
    leader.send({ kind: 'heartbeat-stats', member: status.member, stats: status, at: now });
    for (const load of status.partitions) leader.send({ kind: 'partition-load', load, at: now });
  }

  private handlePong(pong: PongMessage, now: number): void {
    const { replica, leaseExtensions, readiness } = this.deps;
    // The cancellations of an extension are recorded before it: only together with them does it count.
    for (const { job, revision } of pong.cancelled) replica.recordCancellation(job, revision);
    leaseExtensions.recordResponse(pong.member, pong.sequence, pong.extended, pong.page, pong.pages);
    readiness.recordPeerStatus(pong.member, pong.storeReachable, now);
  }

  private handleHandover(partition: string, to: string): void {
    const incarnation = this.deps.replica.members.get(to);
    if (incarnation === undefined) return;
    this.deps.partitions.get(partition)?.send({ kind: 'handover', to, incarnation });
  }
}
