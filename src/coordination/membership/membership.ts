/** Membership of this controller in the cluster: a session lease in the state store, renewed for as long as it runs. */
import { MAX_CLOCK_DRIFT_RATIO, type Clock } from '../../transport/clock';
import { Actor } from '../../transport/actor';
import { type Log } from '../../transport/log';
import { RequestPriority } from '../../storage/request-queue';
import { type StateStoreClient } from '../../storage/state-store-client';
import { keys } from '../../protocol/keys';
import { type MemberRecord } from '../../protocol/records';
import { type LeaseExtensions } from './lease-extension';

/** How long a session lease lasts without renewal: the time in which a failed controller is noticed. */
export const SESSION_LEASE_MS = 4000;
const LEASE_RENEWAL_INTERVAL_MS = 800;
const FAILED_RENEWAL_RETRY_MS = 250;
/** Timers fire late: this much before its end a session lease counts as expired. */
const LEASE_EXPIRY_MARGIN_MS = 250;
const REJOIN_DELAY_MS = 100;
/** After a request that the state store has not answered, or while the previous session lease runs on. */
const JOIN_RETRY_MS = 300;
/** After another writer got in between. */
const JOIN_CONFLICT_RETRY_MS = 200;
const JOIN_AFTER_REVOCATION_MS = 1;

export interface MembershipDependencies {
  /** The name of this controller. */
  name: string;
  stateStore: StateStoreClient;
  clock: Clock;
  log: Log;
  extensions: LeaseExtensions;
  /** How long workers may be answered without knowing what was cancelled (see staleness-bound.ts). */
  maxStalenessMs: number;
  /** Called each time a session lease has been acquired. */
  onJoined: () => void;
}

type RenewalResult = 'renewed' | 'ended' | 'failed';

interface JoinedMessage {
  kind: 'joined';
  leaseId: number;
  incarnation: number;
  /** Steady time at which the lease was asked for. */
  sentAt: number;
}

type MembershipMessage =
  | { kind: 'join' }
  | JoinedMessage
  | { kind: 'renew' }
  | { kind: 'renewed'; leaseId: number; result: RenewalResult; sentAt: number };

/**
 * The session lease of this controller, and with it the right to act. Whoever acts asks `alive()` first, every time: the
 * right may end between any two moments.
 */
export class Membership extends Actor<MembershipMessage> {
  readonly name: string;
  /** Revision of our member record, a fencing token for all that we write; 0: we hold no session lease. */
  memberIncarnation = 0;
  private currentLeaseId: number | null = null;
  /** On the steady clock. */
  private leaseExpiresAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly deps: MembershipDependencies) {
    super((error) => deps.log.error({ error }, 'membership actor failed'));
    this.name = deps.name;
  }

  /** Whether this controller may act: its session lease has not expired, or all its peers have extended it. */
  alive(): boolean {
    const now = this.deps.clock.steady();
    return (
      this.memberIncarnation !== 0 &&
      (now < this.leaseExpiresAt || this.deps.extensions.extendedByAllPeers(now))
    );
  }

  /** The last moment of the steady clock up to which every cancellation that any controller confirmed is known here. */
  get freshAsOf(): number {
    return Math.max(this.deps.stateStore.replica.freshAsOf, this.deps.extensions.freshAsOf);
  }

  /**
   * Whether workers may be answered: each answer renews the leases of their tasks, so we must be allowed to act and must
   * know recent enough cancellations (see staleness-bound.ts).
   */
  mayRenewLeases(): boolean {
    return this.alive() && this.deps.clock.steady() < this.freshAsOf + this.deps.maxStalenessMs;
  }

  /** Id of the session lease in the state store, 0: none. */
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
    this.extendLease(sentAt);
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
        this.extendLease(sentAt);
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

  /** Counted from when the request was sent: the state store cannot have begun the new period earlier. */
  private extendLease(sentAt: number): void {
    this.leaseExpiresAt = Math.max(
      this.leaseExpiresAt,
      sentAt + SESSION_LEASE_MS * (1 - 2 * MAX_CLOCK_DRIFT_RATIO) - LEASE_EXPIRY_MARGIN_MS,
    );
  }

  private sendLater(kind: 'join' | 'renew', ms: number): void {
    this.deps.clock.schedule(ms, () => this.send({ kind }));
  }

  /** One attempt to acquire a session lease and to write the member record under it. */
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

  /** An earlier process of this controller is no more, for only one runs at a time: its session lease need not run out. */
  private async endPreviousSession(leaseId: number | null): Promise<void> {
    const revoked = leaseId !== null && (await this.deps.stateStore.endLease(leaseId));
    if (!revoked) this.deps.log.info('waiting for the previous session lease to expire');
    this.sendLater('join', revoked ? JOIN_AFTER_REVOCATION_MS : JOIN_RETRY_MS);
  }
}
