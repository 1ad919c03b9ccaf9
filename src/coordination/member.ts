import { DRIFT, type Clock } from '../transport/clock';
import { Actor } from '../transport/actor';
import { type Log } from '../transport/log';
import { RequestPriority, type Ledger } from '../storage/ledger';
import { keys, type MemberRecord } from '../protocol/records';
import { type LeaseExtensions } from './lease-extension';

/** How long a session lease lasts without renewal: the time in which a dead controller is noticed. */
export const SESSION_LEASE_MS = 4000;
const RENEW_MS = 800;
/** Steady clocks drift, timers fire late: this much before its end a session lease counts as ended. */
const MARGIN_MS = 250;

type Message =
  | { kind: 'join' }
  | { kind: 'joined'; leaseId: number; incarnation: number; sentAt: number }
  | { kind: 'renew' }
  | { kind: 'renewed'; leaseId: number; result: 'renewed' | 'ended' | 'failed'; sentAt: number };

/** This controller's session lease. Whoever acts asks `alive()` first, every time. */
export class Member extends Actor<Message> {
  private leaseId: number | null = null;
  private aliveUntil = Number.NEGATIVE_INFINITY;
  /** Version of our member record; 0: we have none. */
  incarnation = 0;

  constructor(
    readonly name: string,
    private readonly ledger: Ledger,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly extensions: LeaseExtensions,
    /** How long workers may be answered without knowing what was cancelled. */
    private readonly maxStalenessMs: number,
    private readonly onJoined: () => void,
  ) {
    super((error) => log.error({ error }, 'member failed'));
  }

  alive(): boolean {
    const now = this.clock.steady();
    return this.incarnation !== 0 && (now < this.aliveUntil || this.extensions.holds(now));
  }

  /** When we last surely knew of every cancellation that anybody had confirmed. */
  get freshAsOf(): number {
    return Math.max(this.ledger.freshAsOf, this.extensions.freshAsOf);
  }

  /**
   * Whether workers may be answered: each answer keeps their tasks for a lease, so we must act rightfully and know well
   * enough what was cancelled (see staleness.ts).
   */
  mayRenewLeases(): boolean {
    return this.alive() && this.clock.steady() < this.freshAsOf + this.maxStalenessMs;
  }

  get lease(): number {
    return this.leaseId ?? 0;
  }

  protected receive(message: Message): void {
    switch (message.kind) {
      case 'join':
        void this.join();
        return;
      case 'joined':
        this.leaseId = message.leaseId;
        this.incarnation = message.incarnation;
        this.extend(message.sentAt);
        this.log.info({ incarnation: this.incarnation }, 'joined');
        this.onJoined();
        this.later('renew', RENEW_MS);
        return;
      case 'renew': {
        const leaseId = this.leaseId;
        if (leaseId === null) return;
        const sentAt = this.clock.steady();
        void this.ledger
          .touch(leaseId)
          .then((result) => this.tell({ kind: 'renewed', leaseId, result, sentAt }));
        return;
      }
      case 'renewed':
        if (message.leaseId !== this.leaseId) return;
        if (message.result === 'ended') {
          this.log.info('session lease ended, joining anew');
          this.leaseId = null;
          this.incarnation = 0;
          this.aliveUntil = Number.NEGATIVE_INFINITY;
          this.later('join', 100);
          return;
        }
        if (message.result === 'renewed') this.extend(message.sentAt);
        this.later('renew', message.result === 'renewed' ? RENEW_MS : 250);
    }
  }

  /** Counted from when the touch was sent: the state service cannot have begun the new term earlier. */
  private extend(sentAt: number): void {
    this.aliveUntil = Math.max(this.aliveUntil, sentAt + SESSION_LEASE_MS * (1 - 2 * DRIFT) - MARGIN_MS);
  }

  private later(kind: 'join' | 'renew', ms: number): void {
    this.clock.after(ms, () => this.tell({ kind }));
  }

  private async join(): Promise<void> {
    const key = keys.member(this.name);
    const old = await this.ledger.read(key);
    if (old.kind === 'failed') return this.later('join', 300);
    if (old.kind === 'entry') {
      // An earlier life of this controller is over: only one process runs here at a time.
      const ended = old.entry.lease !== null && (await this.ledger.endLease(old.entry.lease));
      if (!ended) this.log.info('waiting for an earlier session lease to end');
      return this.later('join', ended ? 1 : 300);
    }
    const sentAt = this.clock.steady();
    const leaseId = await this.ledger.openLease(SESSION_LEASE_MS);
    if (leaseId === null) return this.later('join', 300);
    const record: MemberRecord = { member: this.name };
    const put = await this.ledger.txn(
      [{ key, version: 0 }],
      [{ put: key, value: record, lease: leaseId }],
      RequestPriority.Lease,
    );
    if (put.kind !== 'applied') return this.later('join', 200);
    this.tell({ kind: 'joined', leaseId, incarnation: put.revision, sentAt });
  }
}
