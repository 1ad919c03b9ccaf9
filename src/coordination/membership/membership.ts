/** Membership of this controller in the cluster: a session lease in the state store, renewed while the controller runs. */
import { MAX_CLOCK_DRIFT_RATIO, type Clock } from '../../transport/clock';
import { Actor } from '../../transport/actor';
import { type Log } from '../../transport/log';
import { RequestPriority } from '../../storage/request-queue';
import { type StateStoreClient } from '../../storage/state-store-client';
import { keys } from '../../protocol/keys';
import { type MemberRecord } from '../../protocol/records';
import { type LeaseExtensions } from './lease-extension';

/** How long a session lease lasts without renewal, and so the time within which a failed controller is detected. */
export const SESSION_LEASE_MS = 4000;
const LEASE_RENEWAL_INTERVAL_MS = 800;
const FAILED_RENEWAL_RETRY_MS = 250;
/** A session lease counts as expired this long before its end, because timers fire late. */
const LEASE_EXPIRY_MARGIN_MS = 250;
const REJOIN_DELAY_MS = 100;
/** Delay after a request that the state store has not answered, or while the previous session lease is still valid. */
const JOIN_RETRY_MS = 300;
/** Delay after the member record was not written, for example because another writer came first. */
const JOIN_CONFLICT_RETRY_MS = 200;
const JOIN_AFTER_REVOCATION_MS = 1;

export interface MembershipDependencies {
  /** The name of this controller. */
  name: string;
  stateStore: StateStoreClient;
  clock: Clock;
  log: Log;
  extensions: LeaseExtensions;
  /** How long workers may be answered without knowing new cancellations (see staleness-bound.ts). */
  maxStalenessMs: number;
  /** Called each time a session lease has been acquired. */
  onJoined: () => void;
}

type RenewalResult = 'renewed' | 'ended' | 'failed';

interface JoinedMessage {
  kind: 'joined';
  leaseId: number;
  incarnation: number;
  /** Steady time at which the lease was requested. */
  sentAt: number;
}

type MembershipMessage =
  | { kind: 'join' }
  | JoinedMessage
  | { kind: 'renew' }
  | { kind: 'renewed'; leaseId: number; result: RenewalResult; sentAt: number };

/**
 * The session lease of this controller, and with it the permission to act. Every action must be preceded by a check of
 * `mayAct()`, because the permission may end at any time.
 */
export class Membership extends Actor<MembershipMessage> {
  readonly name: string;
  /**
   * Revision of this controller's member record, a fencing token for all its writes. 0 before the first session lease, and
   * after the state store has reported the end of a lease until the next one.
   */
  memberIncarnation = 0;
  private currentLeaseId: number | null = null;
  /** On the steady clock. */
  private leaseExpiresAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly deps: MembershipDependencies) {
    super((error) => deps.log.error({ error }, 'membership actor failed'));
    this.name = deps.name;
  }

  /** Whether this controller may act: it holds a valid session lease, or a valid lease extension from every peer. */
  mayAct(): boolean {
    const now = this.deps.clock.steady();
    return (
      this.memberIncarnation !== 0 &&
      (now < this.leaseExpiresAt || this.deps.extensions.extendedByAllPeers(now))
    );
  }

  /** The latest time on the steady clock up to which every cancellation that any controller has confirmed is known here. */
  get freshAsOf(): number {
    return Math.max(this.deps.stateStore.replica.freshAsOf, this.deps.extensions.freshAsOf);
  }

  /**
   * Whether workers may be answered. Each answer renews the leases of their tasks, so this controller must be allowed to act
   * and must know recent enough cancellations (see staleness-bound.ts).
   */
  mayRenewLeases(): boolean {
    return this.mayAct() && this.deps.clock.steady() < this.freshAsOf + this.deps.maxStalenessMs;
  }

  /** Id of the session lease in the state store; 0 if there is none. */
  get sessionLeaseId(): number {
    return this.currentLeaseId ?? 0;
  }

  protected receive(message: MembershipMessage): void {
    switch (message.kind) {
      case 'join':
        void this.join();
        return;
      case 'joined':
        return this.handleJoined(message);
      case 'renew':
        return this.renew();
      case 'renewed':
        if (message.leaseId === this.currentLeaseId) this.handleRenewal(message.result, message.sentAt);
    }
  }

  private handleJoined({ leaseId, incarnation, sentAt }: JoinedMessage): void {
    this.currentLeaseId = leaseId;
    this.memberIncarnation = incarnation;
    this.updateLeaseExpiry(sentAt);
    this.deps.log.info({ memberIncarnation: incarnation }, 'session lease acquired');
    this.deps.onJoined();
    this.sendLater('renew', LEASE_RENEWAL_INTERVAL_MS);
  }

  private renew(): void {
    const leaseId = this.currentLeaseId;
    if (leaseId === null) return;
    const sentAt = this.deps.clock.steady();
    void this.deps.stateStore
      .renewLease(leaseId)
      .then((result) => this.send({ kind: 'renewed', leaseId, result, sentAt }));
  }

  private handleRenewal(result: RenewalResult, sentAt: number): void {
    switch (result) {
      case 'ended':
        return this.handleExpiry();
      case 'renewed':
        this.updateLeaseExpiry(sentAt);
        return this.sendLater('renew', LEASE_RENEWAL_INTERVAL_MS);
      case 'failed':
        return this.sendLater('renew', FAILED_RENEWAL_RETRY_MS);
    }
  }

  private handleExpiry(): void {
    this.deps.log.info('session lease expired, rejoining');
    this.currentLeaseId = null;
    this.memberIncarnation = 0;
    this.leaseExpiresAt = Number.NEGATIVE_INFINITY;
    this.sendLater('join', REJOIN_DELAY_MS);
  }

  /** Counts the lease from when the request was sent: the state store cannot have started the new period earlier. */
  private updateLeaseExpiry(sentAt: number): void {
    this.leaseExpiresAt = Math.max(
      this.leaseExpiresAt,
      sentAt + SESSION_LEASE_MS * (1 - 2 * MAX_CLOCK_DRIFT_RATIO) - LEASE_EXPIRY_MARGIN_MS,
    );
  }

  private sendLater(kind: 'join' | 'renew', delayMs: number): void {
    this.deps.clock.schedule(delayMs, () => this.send({ kind }));
  }

  /** Makes one attempt to acquire a session lease and to write the member record under it. */
  private async join(): Promise<void> {
    const { name, stateStore, clock } = this.deps;
    const key = keys.member(name);
    const previous = await stateStore.read(key);
    if (previous.kind === 'failed') return this.sendLater('join', JOIN_RETRY_MS);
    if (previous.kind === 'entry') return this.endPreviousSession(previous.entry.leaseId);
    const sentAt = clock.steady();
    const leaseId = await stateStore.openLease(SESSION_LEASE_MS);
    if (leaseId === null) return this.sendLater('join', JOIN_RETRY_MS);
    const record: MemberRecord = { member: name };
    const written = await stateStore.transact(
      [{ key, revision: 0 }],
      [{ put: key, value: record, leaseId }],
      RequestPriority.Lease,
    );
    if (written.kind !== 'applied') return this.sendLater('join', JOIN_CONFLICT_RETRY_MS);
    this.send({ kind: 'joined', leaseId, incarnation: written.revision, sentAt });
  }

  /**
   * Revokes the session lease of an earlier process of this controller. Only one process runs at a time, so that process has
   * ended, and there is no need to wait until its lease expires.
   */
  private async endPreviousSession(leaseId: number | null): Promise<void> {
    const revoked = leaseId !== null && (await this.deps.stateStore.endLease(leaseId));
    if (!revoked) this.deps.log.info('waiting for the previous session lease to expire');
    this.sendLater('join', revoked ? JOIN_AFTER_REVOCATION_MS : JOIN_RETRY_MS);
  }
}
