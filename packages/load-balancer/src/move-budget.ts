import { causeKey, type MoveCause } from './move-plan';
import { type BalancerSettings } from './settings';

/** Minimum of each limit, which applies to small fleets. */
const MIN_IN_FLIGHT_LIMIT = 4;
const MIN_PER_MINUTE_LIMIT = 8;
const MINUTE_MS = 60_000;
/** Time after a subject's last move for which its moves and their causes are remembered. */
const HISTORY_RETENTION_MS = 30 * MINUTE_MS;
const PRUNE_INTERVAL_MS = MINUTE_MS;

interface MoveHistory {
  lastMovedAt: number;
  causes: Set<string>;
}

/** Limits the number of moves, and records what was moved and why. A subject is a task or machine, named by its key. */
export class MoveBudget {
  private recentMoveTimes: number[] = [];
  private readonly histories = new Map<string, MoveHistory>();
  private prunedAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly settings: BalancerSettings) {}

  /** Number of moves that may begin now, given the number of machines and of moves in progress. */
  remainingMoves(now: number, machineCount: number, inFlightCount: number): number {
    this.recentMoveTimes = this.recentMoveTimes.filter((at) => now - at < MINUTE_MS);
    const maxInFlight = Math.max(
      MIN_IN_FLIGHT_LIMIT,
      Math.floor(this.settings.in_flight_share * machineCount),
    );
    const maxPerMinute = Math.max(
      MIN_PER_MINUTE_LIMIT,
      Math.floor(this.settings.per_minute_share * machineCount),
    );
    return Math.max(0, Math.min(maxInFlight - inFlightCount, maxPerMinute - this.recentMoveTimes.length));
  }

  /** Whether a subject is known to have been moved for this cause before. */
  wasMovedFor(subject: string, cause: MoveCause): boolean {
    return this.histories.get(subject)?.causes.has(causeKey(cause)) ?? false;
  }

  /** Milliseconds since a subject's last move; Infinity if none is remembered. */
  msSinceLastMove(subject: string, now: number): number {
    const history = this.histories.get(subject);
    return history ? now - history.lastMovedAt : Number.POSITIVE_INFINITY;
  }

  /** Records that a move begins. */
  recordMove(subject: string, cause: MoveCause, now: number): void {
    this.pruneHistories(now);
    this.recentMoveTimes.push(now);
    const history = this.histories.get(subject) ?? { lastMovedAt: now, causes: new Set<string>() };
    history.lastMovedAt = now;
    history.causes.add(causeKey(cause));
    this.histories.set(subject, history);
  }

  private pruneHistories(now: number): void {
    if (now - this.prunedAt < PRUNE_INTERVAL_MS) return;
    this.prunedAt = now;
    for (const [subject, { lastMovedAt }] of this.histories)
      if (now - lastMovedAt > HISTORY_RETENTION_MS) this.histories.delete(subject);
  }
}
