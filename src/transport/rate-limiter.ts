/** A token bucket. Time is passed in, in milliseconds of one clock, so the class holds no timer. */
export class RateLimiter {
  private tokens: number;
  private lastRefillAt = Number.NEGATIVE_INFINITY;

  /** `ratePerS` tokens come each second; the bucket holds `burst` and starts full. */
  constructor(
    readonly ratePerS: number,
    readonly burst: number,
  ) {
    this.tokens = burst;
  }

  /**
   * Takes `count` tokens if that leaves at least `reserve` in the bucket; false if it does not. More than a full bucket is
   * never there: a request for more is granted when the bucket is full, and leaves a debt.
   */
  tryTake(now: number, count: number, reserve = 0): boolean {
    this.refill(now);
    if (this.tokens < Math.min(count + reserve, this.burst)) return false;
    this.tokens -= count;
    return true;
  }

  /** Empties the bucket: the other side has said that requests come too fast. */
  drain(now: number): void {
    this.refill(now);
    this.tokens = Math.min(this.tokens, 0);
  }

  private refill(now: number): void {
    const elapsedS = this.lastRefillAt === Number.NEGATIVE_INFINITY ? 0 : (now - this.lastRefillAt) / 1000;
    this.tokens = Math.min(this.burst, this.tokens + Math.max(0, elapsedS) * this.ratePerS);
    this.lastRefillAt = now;
  }
}
