/** A token bucket: `rate` a second, at most `burst` at once. Time is passed in, so it stays pure. */
export class RateLimiter {
  private tokens: number;
  private last = Number.NEGATIVE_INFINITY;

  constructor(
    readonly rate: number,
    readonly burst: number,
  ) {
    this.tokens = burst;
  }

  /** Takes `n` tokens if that leaves at least `keep` in the bucket. */
  take(now: number, n: number, keep = 0): boolean {
    this.fill(now);
    // More than a full bucket is never there: such a request goes when the bucket is full, and leaves a debt.
    if (this.tokens < Math.min(n + keep, this.burst)) return false;
    this.tokens -= n;
    return true;
  }

  /** Empties the bucket: the other side said that we are too fast. */
  drain(now: number): void {
    this.fill(now);
    this.tokens = Math.min(this.tokens, 0);
  }

  private fill(now: number): void {
    const passed = this.last === Number.NEGATIVE_INFINITY ? 0 : (now - this.last) / 1000;
    this.tokens = Math.min(this.burst, this.tokens + Math.max(0, passed) * this.rate);
    this.last = now;
  }
}
