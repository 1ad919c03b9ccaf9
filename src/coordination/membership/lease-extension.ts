/** Lease extensions between controllers, which let an owner go on acting while the state store is down for all. */
import { MAX_CLOCK_DRIFT_RATIO } from '../../transport/clock';

/** The duration of an extension, from when it is granted. */
export const LEASE_EXTENSION_MS = 3000;
/** Because clocks drift apart, the granter counts an extension as longer than its duration, and the grantee as shorter. */
const GRANTER_EXTENSION_MS = LEASE_EXTENSION_MS * (1 + 2 * MAX_CLOCK_DRIFT_RATIO);
const GRANTEE_EXTENSION_MS = LEASE_EXTENSION_MS * (1 - 2 * MAX_CLOCK_DRIFT_RATIO);
/** An extension counts as expired this long before its end, because timers fire late. */
const EXTENSION_EXPIRY_MARGIN_MS = 300;
const MAX_PENDING_REQUEST_COUNT = 16;
/** A response that claims more pages than this is malformed. */
const MAX_PAGE_COUNT = 1000;

/**
 * While the state store is down for all, each peer of a controller agrees not to take over any of its partitions for a
 * limited time. A failover is written by a leader, and every possible leader has agreed. So no failover is written while
 * all extensions are valid. Four rules make that safe:
 *
 * - An extension is granted only to a member incarnation whose session lease the granter has not seen end. Otherwise a
 *   failover may already be in progress.
 * - The grantee counts the duration of an extension from when it sent the request.
 * - A process that has just started takes over nothing for as long as the longest extension that an earlier process of its
 *   member may have granted.
 * - An extension is valid only together with all cancellations that its granter knows and the grantee may not know.
 *   Otherwise an owner whose replica is older than those of its peers would go on running tasks that users have cancelled
 *   through the peers.
 */
export class LeaseExtensions {
  /** Extensions granted by this controller, by member: until when it takes over none of the member's partitions. */
  private readonly grantedUntil = new Map<string, number>();
  /** Extensions granted to this controller, by peer. */
  private readonly received = new Map<string, { expiresAt: number; requestedAt: number }>();
  /** The pages received of each peer's latest response. */
  private readonly receivedPages = new Map<string, { sequence: number; pages: Set<number> }>();
  /** When the latest requests were sent, by sequence number. */
  private readonly requestedAt = new Map<number, number>();
  private lastSequence = 0;

  constructor(
    private readonly peers: readonly string[],
    /** When this process started, on the steady clock. */
    private readonly startedAt: number,
  ) {}

  /** Records a request to all peers at `now`, and returns the sequence number that their responses will carry. */
  recordRequest(now: number): number {
    this.requestedAt.set(++this.lastSequence, now);
    this.requestedAt.delete(this.lastSequence - MAX_PENDING_REQUEST_COUNT);
    return this.lastSequence;
  }

  /**
   * Records a page of a peer's response, whose cancellations must have been recorded already. The extension is valid once
   * all pages of one response have been received. Ignores a response to a request that is no longer stored, and a response
   * from a member that is not a peer.
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

  /** Returns whether all pages of this response have been received. Pages of earlier responses are dropped. */
  private recordPage(peer: string, sequence: number, page: number, pageCount: number): boolean {
    let received = this.receivedPages.get(peer);
    if (received && received.sequence > sequence) return false;
    if (received?.sequence !== sequence)
      this.receivedPages.set(peer, (received = { sequence, pages: new Set() }));
    received.pages.add(page);
    return received.pages.size === pageCount;
  }

  /**
   * The time on the steady clock up to which every cancellation that any peer has confirmed is known here. Negative infinity
   * until every peer has granted an extension; infinity if there are no peers.
   */
  get freshAsOf(): number {
    return Math.min(
      ...this.peers.map((peer) => this.received.get(peer)?.requestedAt ?? Number.NEGATIVE_INFINITY),
    );
  }

  /**
   * Grants an extension to a peer if `mayExtend` holds and this controller cannot reach the state store. Returns whether the
   * extension was granted. The caller must set `mayExtend` only if, as far as this controller knows, the session lease of the
   * peer's incarnation has not ended, and if this controller knows all cancellations that it has confirmed.
   */
  grant(member: string, mayExtend: boolean, storeReachable: boolean, now: number): boolean {
    if (storeReachable || !mayExtend) return false;
    this.grantedUntil.set(member, now + GRANTER_EXTENSION_MS);
    return true;
  }

  /** Whether the extensions granted by this controller permit assigning a failed member's partitions to others. */
  permitsTakeover(member: string, now: number): boolean {
    if (now < this.startedAt + GRANTER_EXTENSION_MS) return false;
    return now >= (this.grantedUntil.get(member) ?? Number.NEGATIVE_INFINITY);
  }

  /** Whether every peer has granted this controller an extension that is still valid; true if there are no peers. */
  extendedByAllPeers(now: number): boolean {
    return this.peers.every((peer) => now < (this.received.get(peer)?.expiresAt ?? Number.NEGATIVE_INFINITY));
  }
}
