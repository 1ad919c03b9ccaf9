/** Messages between controllers: encoding, decoding, and dispatch to the actors that they are for. */
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
 * The state store keeps this many changes for its watches, so no replica can be further ahead of this controller's. No
 * lease extension is granted for a status that claims a higher revision.
 */
const MAX_REVISION_LEAD = 10_000;
/** Bounds the size of a frame that answers a status. */
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
  /** Sends a frame to another controller. The frame is lost if there is no connection. */
  sendToPeer: (member: string, bytes: Buffer) => void;
  countMalformed: () => void;
}

/** Sends messages to controllers, including this one, and dispatches received messages to the actors that they are for. */
export class PeerMessenger {
  constructor(private readonly deps: PeerMessengerDependencies) {}

  send(member: string, message: PeerMessage): void {
    if (member === this.deps.member) this.handlePeerMessage(message);
    else this.deps.sendToPeer(member, encodePeerMessage(message));
  }

  /** Handles a frame from a peer; `answer` sends frames back to it. A malformed frame is logged, counted and dropped. */
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

  /** Answers with the state of this controller's connection to the store and, if it may grant one, a lease extension. */
  private answerStatus(status: StatusMessage, answer: (bytes: Buffer) => void): void {
    const { stateStore, replica, leaseExtensions, clock } = this.deps;
    const storeReachable = stateStore.respondedWithin(STORE_RESPONSE_TIMEOUT_MS);
    const extended = leaseExtensions.grant(
      status.member,
      this.mayExtendLeaseOf(status),
      storeReachable,
      clock.steady(),
    );
    // A peer that is ahead of this replica still needs the cancellations that this controller has confirmed although its
    // replica does not show them yet.
    const since = Math.min(status.revision, stateStore.replica.revision);
    const cancelled = extended ? replica.cancelledSince(since) : [];
    const pages = Math.max(1, Math.ceil(cancelled.length / MAX_CANCELLATIONS_PER_PAGE));
    for (let page = 0; page < pages; page++) {
      const pageStart = page * MAX_CANCELLATIONS_PER_PAGE;
      const pong: PongMessage = {
        kind: 'pong',
        member: this.deps.member,
        sequence: status.sequence,
        storeReachable,
        extended,
        page,
        pages,
        cancelled: cancelled.slice(pageStart, pageStart + MAX_CANCELLATIONS_PER_PAGE),
      };
      answer(encodePeerMessage(pong));
    }
  }

  /**
   * Whether this controller knows the sender's session lease and all cancellations that this controller has confirmed, and
   * the sender's revision is plausible. Only a complete replica shows what an earlier process of this controller confirmed.
   */
  private mayExtendLeaseOf({ member, memberIncarnation, revision }: StatusMessage): boolean {
    const { stateStore, replica } = this.deps;
    const sessionLeaseKnown = replica.members.get(member) === memberIncarnation;
    const revisionPlausible = revision <= stateStore.replica.revision + MAX_REVISION_LEAD;
    return sessionLeaseKnown && stateStore.replica.synced && revisionPlausible;
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
    // The cancellations are recorded before the extension, which is valid only together with them.
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
