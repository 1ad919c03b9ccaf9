import { MAX_CLOCK_DRIFT_RATIO, type Clock } from '../../transport/clock';
import { Actor } from '../../transport/actor';
import { type Log } from '../../transport/log';
import { RequestPriority } from '../../storage/request-queue';
import { type StateStoreClient } from '../../storage/state-store-client';
import { keys } from '../../protocol/keys';
import { type MemberRecord } from '../../protocol/records';
import { type LeaseExtensions } from './lease-extension';

/** How long a session lease lasts without renewal: the time in which a dead controller is noticed. */
export const SESSION_LEASE_MS = 4000;
const LEASE_RENEWAL_INTERVAL_MS = 800;
/** Steady clocks drift, timers fire late: this much before its end a session lease counts as ended. */
const LEASE_EXPIRY_MARGIN_MS = 250;

type MembershipMessage =
  | { kind: 'join' }
  | { kind: 'joined'; leaseId: number; incarnation: number; sentAt: number }
  | { kind: 'renew' }
  | { kind: 'renewed'; leaseId: number; result: 'renewed' | 'ended' | 'failed'; sentAt: number };

/** This controller's session lease. Whoever acts asks `alive()` first, every time. */
export class Membership extends Actor<MembershipMessage> {
  private currentLeaseId: number | null = null;
  private leaseExpiresAt = Number.NEGATIVE_INFINITY;
  /** Version of our member record; 0: we have none. */
  memberIncarnation = 0;

  constructor(
    readonly name: string,
    private readonly stateStore: StateStoreClient,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly extensions: LeaseExtensions,
    /** How long workers may be answered without knowing what was cancelled. */
    private readonly maxStalenessMs: number,
    private readonly onJoined: () => void,
  ) {
    super((error) => log.error({ error }, 'membership actor failed'));
  }

  alive(): boolean {
    const now = this.clock.steady();
    return this.memberIncarnation !== 0 && (now < this.leaseExpiresAt || this.extensions.allHeld(now));
  }

  /** When we last surely knew of every cancellation that anybody had confirmed. */
  get freshAsOf(): number {
    return Math.max(this.stateStore.replica.freshAsOf, this.extensions.freshAsOf);
  }

  /**
   * Whether workers may be answered: each answer keeps their tasks for a lease, so we must act rightfully and know well
   * enough what was cancelled (see staleness.ts).
   */
  mayRenewLeases(): boolean {
    return this.alive() && this.clock.steady() < this.freshAsOf + this.maxStalenessMs;
  }

  get sessionLeaseId(): number {
    return this.currentLeaseId ?? 0;
  }

  protected receive(message: MembershipMessage): void {
    switch (message.kind) {
      case 'join':
        void this.join();
        return;
      case 'joined':
        this.currentLeaseId = message.leaseId;
        this.memberIncarnation = message.incarnation;
        this.extendLease(message.sentAt);
        this.log.info({ memberIncarnation: this.memberIncarnation }, 'session lease acquired');
        this.onJoined();
        this.sendLater('renew', LEASE_RENEWAL_INTERVAL_MS);
        return;
      case 'renew': {
        const leaseId = this.currentLeaseId;
        if (leaseId === null) return;
        const sentAt = this.clock.steady();
        void this.stateStore
          .renewLease(leaseId)
          .then((result) => this.send({ kind: 'renewed', leaseId, result, sentAt }));
        return;
      }
      case 'renewed':
        if (message.leaseId !== this.currentLeaseId) return;
        if (message.result === 'ended') {
          this.log.info('session lease expired, rejoining');
          this.currentLeaseId = null;
          this.memberIncarnation = 0;
          this.leaseExpiresAt = Number.NEGATIVE_INFINITY;
          this.sendLater('join', 100);
          return;
        }
        if (message.result === 'renewed') this.extendLease(message.sentAt);
        this.sendLater('renew', message.result === 'renewed' ? LEASE_RENEWAL_INTERVAL_MS : 250);
    }
  }

  /** Counted from when the touch was sent: the state service cannot have begun the new term earlier. */
  private extendLease(sentAt: number): void {
    this.leaseExpiresAt = Math.max(
      this.leaseExpiresAt,
      sentAt + SESSION_LEASE_MS * (1 - 2 * MAX_CLOCK_DRIFT_RATIO) - LEASE_EXPIRY_MARGIN_MS,
    );
  }

  private sendLater(kind: 'join' | 'renew', ms: number): void {
    this.clock.schedule(ms, () => this.send({ kind }));
  }

  private async join(): Promise<void> {
    const key = keys.member(this.name);
    const previous = await this.stateStore.read(key);
    if (previous.kind === 'failed') return this.sendLater('join', 300);
    if (previous.kind === 'entry') {
      // An earlier life of this controller is over: only one process runs here at a time.
      const revoked =
        previous.entry.leaseId !== null && (await this.stateStore.endLease(previous.entry.leaseId));
      if (!revoked) this.log.info('waiting for the previous session lease to expire');
      return this.sendLater('join', revoked ? 1 : 300);
    }
    const sentAt = this.clock.steady();
    const leaseId = await this.stateStore.openLease(SESSION_LEASE_MS);
    if (leaseId === null) return this.sendLater('join', 300);
    const record: MemberRecord = { member: this.name };
    const written = await this.stateStore.transact(
      [{ key, revision: 0 }],
      [{ put: key, value: record, leaseId }],
      RequestPriority.Lease,
    );
    if (written.kind !== 'applied') return this.sendLater('join', 200);
    this.send({ kind: 'joined', leaseId, incarnation: written.revision, sentAt });
  }
}
