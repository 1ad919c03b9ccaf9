import { DRIFT } from '../transport/clock';

/** How long a promise not to take over holds, from when it is given. */
export const PROMISE_MS = 3000;
const MARGIN_MS = 300;
const REMEMBERED = 16;

/**
 * What keeps a controller acting while the state service is down for all: each of its peers, cut off from the
 * store itself, promises to take nothing of it over for a while. A take-over is written by a leader, and every
 * possible leader has promised; so while all promises hold, none is written. Three things make that safe:
 * a promise is only given to an incarnation whose grant the promiser has not seen end (else a take-over may be
 * under way already); the asker counts from when it asked; and a process that has just started sits out the
 * longest promise that its earlier life may have given.
 */
export class Truce {
  /** What we promised: until when we leave a member's parts alone. */
  private readonly given = new Map<string, number>();
  /** What was promised to us. */
  private readonly received = new Map<string, number>();
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

  answered(peer: string, seq: number, promised: boolean): void {
    const askedAt = this.asked.get(seq);
    if (askedAt === undefined || !promised || !this.peers.includes(peer)) return;
    const until = askedAt + PROMISE_MS * (1 - 2 * DRIFT) - MARGIN_MS;
    this.received.set(peer, Math.max(until, this.received.get(peer) ?? until));
  }

  /** Whether to promise: only while we cannot reach the store, and to a member whose grant has not ended for us. */
  promise(member: string, grantSeen: boolean, storeAnswers: boolean, now: number): boolean {
    if (storeAnswers || !grantSeen) return false;
    this.given.set(member, now + PROMISE_MS * (1 + 2 * DRIFT));
    return true;
  }

  /** Whether a dead member's parts may be given to others as far as our own promises go. */
  mayTakeFrom(member: string, now: number): boolean {
    if (now < this.startedAt + PROMISE_MS * (1 + 2 * DRIFT)) return false;
    return now >= (this.given.get(member) ?? Number.NEGATIVE_INFINITY);
  }

  /** Whether all peers' promises to us hold. */
  holds(now: number): boolean {
    return this.peers.every((peer) => now < (this.received.get(peer) ?? Number.NEGATIVE_INFINITY));
  }
}
