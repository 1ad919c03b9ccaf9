import { causeKey, type MoveCause } from './move-plan';
import { type BalancerSettings } from './settings';

const LEAST_IN_FLIGHT = 4;
const LEAST_PER_MINUTE = 8;
const MINUTE_MS = 60_000;
/** Causes are remembered for so long after the last move of a task or machine. */
const MEMORY_MS = 30 * MINUTE_MS;
/** Between two looks for what can be forgotten. */
const SWEEP_MS = MINUTE_MS;

interface MoveMemory {
  lastAt: number;
  causes: Set<string>;
}

/** Keeps moves stable: bounds how many there are, and lets nothing move twice for one cause. */
export class MoveBudget {
  private begun: number[] = [];
  private readonly memory = new Map<string, MoveMemory>();
  private sweptAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly settings: BalancerSettings) {}

  /** Moves that may still begin now, with so many machines and so many moves under way. */
  left(now: number, machines: number, inFlight: number): number {
    this.begun = this.begun.filter((at) => now - at < MINUTE_MS);
    const mostInFlight = Math.max(LEAST_IN_FLIGHT, Math.floor(this.settings.in_flight_share * machines));
    const mostPerMinute = Math.max(LEAST_PER_MINUTE, Math.floor(this.settings.per_minute_share * machines));
    return Math.max(0, Math.min(mostInFlight - inFlight, mostPerMinute - this.begun.length));
  }

  /** Whether this has been moved for this cause before. */
  movedFor(what: string, cause: MoveCause): boolean {
    return this.memory.get(what)?.causes.has(causeKey(cause)) ?? false;
  }

  /** Time since its last move, Infinity: none is remembered. */
  sinceMovedMs(what: string, now: number): number {
    const known = this.memory.get(what);
    return known ? now - known.lastAt : Number.POSITIVE_INFINITY;
  }

  begin(what: string, cause: MoveCause, now: number): void {
    this.sweep(now);
    this.begun.push(now);
    const known = this.memory.get(what) ?? { lastAt: now, causes: new Set<string>() };
    known.lastAt = now;
    known.causes.add(causeKey(cause));
    this.memory.set(what, known);
  }

  private sweep(now: number): void {
    if (now - this.sweptAt < SWEEP_MS) return;
    this.sweptAt = now;
    for (const [what, { lastAt }] of this.memory) if (now - lastAt > MEMORY_MS) this.memory.delete(what);
  }
}
