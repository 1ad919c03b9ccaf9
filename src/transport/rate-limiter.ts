/** A token bucket. Callers pass the time, in milliseconds of one clock, so the class needs no timer. */
export class RateLimiter {
  private tokens: number;
  private lastRefillAt = Number.NEGATIVE_INFINITY;

  /** `ratePerS` tokens are added each second. The bucket holds at most `burst` tokens and starts full. */
  constructor(
    readonly ratePerS: number,
    readonly burst: number,
  ) {
    this.tokens = burst;
  }

  /**
   * Takes `count` tokens if that leaves at least `reserve` in the bucket; otherwise takes none and returns false. If both
   * together exceed the bucket, the tokens are granted when it is full, which may leave a negative balance. A negative
   * `reserve` is an amount by which the bucket may be overdrawn.
   */
  tryTake(now: number, count: number, reserve = 0): boolean {
    this.refill(now);
    if (this.tokens < Math.min(count + reserve, this.burst)) return false;
    this.tokens -= count;
    return true;
  }

  /** Empties the bucket, after the server has answered that requests arrive too fast. */
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
