import { causeKey, type MoveCause } from './move-plan';
import { type BalancerSettings } from './settings';

/** Lower ends of the limits, for small fleets. */
const MIN_IN_FLIGHT_LIMIT = 4;
const MIN_PER_MINUTE_LIMIT = 8;
const MINUTE_MS = 60_000;
/** The causes of a subject's moves are remembered for this long after its last move. */
const HISTORY_RETENTION_MS = 30 * MINUTE_MS;
const SWEEP_INTERVAL_MS = MINUTE_MS;

interface MoveHistory {
  lastAt: number;
  causes: Set<string>;
}

/** Bounds the number of moves, and remembers what was moved and why. A subject is a task or a machine, by its key. */
export class MoveBudget {
  private begun: number[] = [];
  private readonly histories = new Map<string, MoveHistory>();
  private sweptAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly settings: BalancerSettings) {}

  /** Moves that may still begin, with this many machines and moves in progress. */
  remaining(now: number, machines: number, inFlight: number): number {
    this.begun = this.begun.filter((at) => now - at < MINUTE_MS);
    const maxInFlight = Math.max(MIN_IN_FLIGHT_LIMIT, Math.floor(this.settings.in_flight_share * machines));
    const maxPerMinute = Math.max(
      MIN_PER_MINUTE_LIMIT,
      Math.floor(this.settings.per_minute_share * machines),
    );
    return Math.max(0, Math.min(maxInFlight - inFlight, maxPerMinute - this.begun.length));
  }

  /** Whether a subject has been moved for this cause before. */
  movedFor(subject: string, cause: MoveCause): boolean {
    return this.histories.get(subject)?.causes.has(causeKey(cause)) ?? false;
  }

  /** Time since a subject's last move; Infinity: none is remembered. */
  sinceMovedMs(subject: string, now: number): number {
    const known = this.histories.get(subject);
    return known ? now - known.lastAt : Number.POSITIVE_INFINITY;
  }

  /** Counts a move that begins. */
  begin(subject: string, cause: MoveCause, now: number): void {
    this.sweep(now);
    this.begun.push(now);
    const known = this.histories.get(subject) ?? { lastAt: now, causes: new Set<string>() };
    known.lastAt = now;
    known.causes.add(causeKey(cause));
    this.histories.set(subject, known);
  }

  private sweep(now: number): void {
    if (now - this.sweptAt < SWEEP_INTERVAL_MS) return;
    this.sweptAt = now;
    for (const [subject, { lastAt }] of this.histories)
      if (now - lastAt > HISTORY_RETENTION_MS) this.histories.delete(subject);
  }
}
