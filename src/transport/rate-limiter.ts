/** A token bucket: `rate` a second, at most `burst` at once. Time is passed in, so it stays pure. */
export class RateLimiter {
  private tokens: number;
  private lastRefillAt = Number.NEGATIVE_INFINITY;

  constructor(
    readonly ratePerS: number,
    readonly burst: number,
  ) {
    this.tokens = burst;
  }

  /** Takes `n` tokens if that leaves at least `keep` in the bucket. */
  take(now: number, count: number, reserve = 0): boolean {
    this.refill(now);
    // More than a full bucket is never there: such a request goes when the bucket is full, and leaves a debt.
    if (this.tokens < Math.min(count + reserve, this.burst)) return false;
    this.tokens -= count;
    return true;
  }

  /** Empties the bucket: the other side said that we are too fast. */
  drain(now: number): void {
    this.refill(now);
    this.tokens = Math.min(this.tokens, 0);
  }

  private refill(now: number): void {
    const passed = this.lastRefillAt === Number.NEGATIVE_INFINITY ? 0 : (now - this.lastRefillAt) / 1000;
    this.tokens = Math.min(this.burst, this.tokens + Math.max(0, passed) * this.ratePerS);
    this.lastRefillAt = now;
  }
}
