/** Lease extensions between controllers: they keep an owner acting while the state store is down for all. */
import { MAX_CLOCK_DRIFT_RATIO } from '../../transport/clock';

/** How long an extension holds, from when it is granted. */
export const LEASE_EXTENSION_MS = 3000;
/** Clocks drift apart: the granter waits for longer than the extension, and the grantee counts it as shorter. */
const GRANTER_EXTENSION_MS = LEASE_EXTENSION_MS * (1 + 2 * MAX_CLOCK_DRIFT_RATIO);
const GRANTEE_EXTENSION_MS = LEASE_EXTENSION_MS * (1 - 2 * MAX_CLOCK_DRIFT_RATIO);
/** Timers fire late: this much before its end an extension counts as expired. */
const EXTENSION_EXPIRY_MARGIN_MS = 300;
const MAX_PENDING_REQUEST_COUNT = 16;
/** A response that claims more pages than this is malformed. */
const MAX_PAGE_COUNT = 1000;

/**
 * While the state store is down for all, each peer of a controller agrees to take none of its partitions over for a while.
 * A failover is written by a leader, and every possible leader has agreed; so while all extensions hold, none is written.
 * Four rules make that safe:
 *
 * - An extension is granted only to a member incarnation whose session lease the granter has not seen end: otherwise a
 *   failover may be under way already.
 * - The grantee counts an extension from when it asked for it.
 * - A process that has just started waits for the longest extension that an earlier process of its member may have granted.
 * - An extension counts only together with all cancellations that its granter knows and the grantee may not: otherwise an
 *   owner whose replica is older than its peers' would go on running tasks that users have cancelled through them.
 */
export class LeaseExtensions {
  /** Granted by us: until when we take no partition of a member over. */
  private readonly grantedUntil = new Map<string, number>();
  /** Granted to us, by peer. */
  private readonly received = new Map<string, { expiresAt: number; requestedAt: number }>();
  /** By peer, the pages received of its latest response. */
  private readonly receivedPages = new Map<string, { sequence: number; pages: Set<number> }>();
  /** When the latest requests were sent, by sequence number. */
  private readonly requestedAt = new Map<number, number>();
  private lastSequence = 0;

  constructor(
    private readonly peers: readonly string[],
    /** When this process started, on the steady clock. */
    private readonly startedAt: number,
  ) {}

  /** Notes that all peers are asked now, and returns the sequence number that their responses will carry. */
  recordRequest(now: number): number {
    this.requestedAt.set(++this.lastSequence, now);
    this.requestedAt.delete(this.lastSequence - MAX_PENDING_REQUEST_COUNT);
    return this.lastSequence;
  }

  /**
   * Notes a page of a peer's response, whose cancellations must have been recorded already. The extension counts once all
   * pages of one response are here; a response to a forgotten request, or of no peer of ours, is ignored.
   */
  recordResponse(peer: string, sequence: number, extended: boolean, page = 0, pageCount = 1): void {
    const requestedAt = this.requestedAt.get(sequence);
    if (requestedAt === undefined || !extended || !this.peers.includes(peer)) return;
    const validPage = page >= 0 && page < pageCount && pageCount <= MAX_PAGE_COUNT;
    if (!validPage || !this.recordPage(peer, sequence, page, pageCount)) return;
    const previous = this.received.get(peer);
    if (previous && previous.requestedAt >= requestedAt) return;
    this.received.set(peer, {
      expiresAt: requestedAt + GRANTEE_EXTENSION_MS - EXTENSION_EXPIRY_MARGIN_MS,
      requestedAt,
    });
  }

  /** Returns whether all pages of this response are here now; pages of earlier responses are dropped. */
  private recordPage(peer: string, sequence: number, page: number, pageCount: number): boolean {
    let received = this.receivedPages.get(peer);
    if (received && received.sequence > sequence) return false;
    if (received?.sequence !== sequence)
      this.receivedPages.set(peer, (received = { sequence, pages: new Set() }));
    received.pages.add(page);
    return received.pages.size === pageCount;
  }

  /** Every cancellation that any peer had confirmed by this moment of our steady clock is known here. */
  get freshAsOf(): number {
    return Math.min(
      ...this.peers.map((peer) => this.received.get(peer)?.requestedAt ?? Number.NEGATIVE_INFINITY),
    );
  }

  /**
   * Grants an extension to a peer, and returns whether it did: only while we cannot reach the state store, and only to a
   * member incarnation whose session lease has not ended as far as we know.
   */
  grant(member: string, memberKnown: boolean, storeReachable: boolean, now: number): boolean {
    if (storeReachable || !memberKnown) return false;
    this.grantedUntil.set(member, now + GRANTER_EXTENSION_MS);
    return true;
  }

  /** Whether our own grants permit that a failed member's partitions are assigned to others. */
  permitsTakeover(member: string, now: number): boolean {
    if (now < this.startedAt + GRANTER_EXTENSION_MS) return false;
    return now >= (this.grantedUntil.get(member) ?? Number.NEGATIVE_INFINITY);
  }

  /** Whether the extensions of all peers to us hold. */
  extendedByAllPeers(now: number): boolean {
    return this.peers.every((peer) => now < (this.received.get(peer)?.expiresAt ?? Number.NEGATIVE_INFINITY));
  }
}
