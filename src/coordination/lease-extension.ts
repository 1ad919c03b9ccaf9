import { DRIFT } from '../transport/clock';

/** How long an extension holds, from when it is given. */
export const EXTENSION_MS = 3000;
const MARGIN_MS = 300;
const REMEMBERED = 16;
/** No peer has so much to tell; what says so is garbled. */
const MOST_PAGES = 1000;

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
  private readonly given = new Map<string, number>();
  /** What was extended to us. */
  private readonly received = new Map<string, { until: number; askedAt: number }>();
  /** Pages of extensions that have not come whole. */
  private readonly pages = new Map<string, { seq: number; pages: Set<number> }>();
  private readonly asked = new Map<number, number>();
  private seq = 0;

  constructor(
    private readonly peers: readonly string[],
    private readonly startedAt: number,
  ) {}

  /** Notes that we ask all peers now; the number comes back with their answers. */
  ask(now: number): number {
    this.asked.set(++this.seq, now);
    this.asked.delete(this.seq - REMEMBERED);
    return this.seq;
  }

  /** A page of a peer's extension; what stands on it has been taken in already. */
  answered(peer: string, seq: number, extended: boolean, page = 0, pages = 1): void {
    const askedAt = this.asked.get(seq);
    if (askedAt === undefined || !extended || !this.peers.includes(peer)) return;
    if (page < 0 || page >= pages || pages > MOST_PAGES || !this.whole(peer, seq, page, pages)) return;
    const before = this.received.get(peer);
    if (before && before.askedAt >= askedAt) return;
    this.received.set(peer, { until: askedAt + EXTENSION_MS * (1 - 2 * DRIFT) - MARGIN_MS, askedAt });
  }

  /** Whether all pages of this answer have come; those of earlier ones are dropped. */
  private whole(peer: string, seq: number, page: number, pages: number): boolean {
    let come = this.pages.get(peer);
    if (come && come.seq > seq) return false;
    if (come?.seq !== seq) this.pages.set(peer, (come = { seq, pages: new Set() }));
    come.pages.add(page);
    return come.pages.size === pages;
  }

  /** Whatever any peer had confirmed at this moment of our steady clock is known to us. */
  get freshAsOf(): number {
    return Math.min(
      ...this.peers.map((peer) => this.received.get(peer)?.askedAt ?? Number.NEGATIVE_INFINITY),
    );
  }

  /** Whether to extend a peer's lease: only while we cannot reach the store, and to a member whose session lease has not ended for us. */
  extend(member: string, grantSeen: boolean, storeAnswers: boolean, now: number): boolean {
    if (storeAnswers || !grantSeen) return false;
    this.given.set(member, now + EXTENSION_MS * (1 + 2 * DRIFT));
    return true;
  }

  /** Whether a dead member's partitions may be given to others as far as our own extensions go. */
  mayTakeFrom(member: string, now: number): boolean {
    if (now < this.startedAt + EXTENSION_MS * (1 + 2 * DRIFT)) return false;
    return now >= (this.given.get(member) ?? Number.NEGATIVE_INFINITY);
  }

  /** Whether all peers' extensions to us hold. */
  holds(now: number): boolean {
    return this.peers.every((peer) => now < (this.received.get(peer)?.until ?? Number.NEGATIVE_INFINITY));
  }
}
