import { MAX_CLOCK_DRIFT_RATIO } from '../../transport/clock';

/** How long an extension holds, from when it is given. */
export const LEASE_EXTENSION_MS = 3000;
const EXTENSION_EXPIRY_MARGIN_MS = 300;
const MAX_PENDING_REQUEST_COUNT = 16;
/** No peer has so much to tell; what says so is garbled. */
const MAX_PAGE_COUNT = 1000;

/**
 * What keeps a controller acting while the state service is down for all: each of its peers, cut off from the
 * store itself, agrees to take nothing of it over for a while. A take-over is written by a leader, and every
 * possible leader has agreed; so while all extensions hold, none is written. Four things make that safe:
 * an extension is only given to an incarnation whose session lease the granter has not seen end (else a take-over may be
 * under way already); the asker counts from when it asked; a process that has just started sits out the
 * longest extension that its earlier life may have given; and an extension counts only together with all that its giver
 * knows to be cancelled and the asker may not, for an owner whose own view of the store had ended earlier than the
 * others' once went on with tasks that their users had cancelled through them.
 */
export class LeaseExtensions {
  /** What we extended: until when we leave a member's partitions alone. */
  private readonly grantedUntil = new Map<string, number>();
  /** What was extended to us. */
  private readonly received = new Map<string, { expiresAt: number; requestedAt: number }>();
  /** Pages of extensions that have not come whole. */
  private readonly receivedPages = new Map<string, { sequence: number; pages: Set<number> }>();
  private readonly requestedAt = new Map<number, number>();
  private lastSequence = 0;

  constructor(
    private readonly peers: readonly string[],
    private readonly startedAt: number,
  ) {}

  /** Notes that we ask all peers now; the number comes back with their answers. */
  recordRequest(now: number): number {
    this.requestedAt.set(++this.lastSequence, now);
    this.requestedAt.delete(this.lastSequence - MAX_PENDING_REQUEST_COUNT);
    return this.lastSequence;
  }

  /** A page of a peer's extension; what stands on it has been taken in already. */
  recordResponse(peer: string, sequence: number, extended: boolean, page = 0, pageCount = 1): void {
    const requestedAt = this.requestedAt.get(sequence);
    if (requestedAt === undefined || !extended || !this.peers.includes(peer)) return;
    if (
      page < 0 ||
      page >= pageCount ||
      pageCount > MAX_PAGE_COUNT ||
      !this.isComplete(peer, sequence, page, pageCount)
    )
      return;
    const previous = this.received.get(peer);
    if (previous && previous.requestedAt >= requestedAt) return;
    this.received.set(peer, {
      expiresAt:
        requestedAt + LEASE_EXTENSION_MS * (1 - 2 * MAX_CLOCK_DRIFT_RATIO) - EXTENSION_EXPIRY_MARGIN_MS,
      requestedAt,
    });
  }

  /** Whether all pages of this answer have come; those of earlier ones are dropped. */
  private isComplete(peer: string, sequence: number, page: number, pageCount: number): boolean {
    let received = this.receivedPages.get(peer);
    if (received && received.sequence > sequence) return false;
    if (received?.sequence !== sequence)
      this.receivedPages.set(peer, (received = { sequence, pages: new Set() }));
    received.pages.add(page);
    return received.pages.size === pageCount;
  }

  /** Whatever any peer had confirmed at this moment of our steady clock is known to us. */
  get freshAsOf(): number {
    return Math.min(
      ...this.peers.map((peer) => this.received.get(peer)?.requestedAt ?? Number.NEGATIVE_INFINITY),
    );
  }

  /** Whether to extend a peer's lease: only while we cannot reach the store, and to a member whose session lease has not ended for us. */
  grant(member: string, memberKnown: boolean, storeReachable: boolean, now: number): boolean {
    if (storeReachable || !memberKnown) return false;
    this.grantedUntil.set(member, now + LEASE_EXTENSION_MS * (1 + 2 * MAX_CLOCK_DRIFT_RATIO));
    return true;
  }

  /** Whether a dead member's partitions may be given to others as far as our own extensions go. */
  permitsTakeOver(member: string, now: number): boolean {
    if (now < this.startedAt + LEASE_EXTENSION_MS * (1 + 2 * MAX_CLOCK_DRIFT_RATIO)) return false;
    return now >= (this.grantedUntil.get(member) ?? Number.NEGATIVE_INFINITY);
  }

  /** Whether all peers' extensions to us hold. */
  allHeld(now: number): boolean {
    return this.peers.every((peer) => now < (this.received.get(peer)?.expiresAt ?? Number.NEGATIVE_INFINITY));
  }
}
