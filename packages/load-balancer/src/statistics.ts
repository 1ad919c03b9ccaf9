/** Age at which an observation has half of its weight. */
const TREND_HALF_LIFE_MS = 20_000;

/** The slope of a quantity over time, exponentially smoothed. */
export class Trend {
  private lastValue: number | null = null;
  private lastObservedAt = 0;
  /** Smoothed change per second. */
  changePerS = 0;

  observe(value: number, now: number): void {
    const elapsedMs = now - this.lastObservedAt;
    if (this.lastValue !== null && elapsedMs > 0) {
      const previousWeight = 0.5 ** (elapsedMs / TREND_HALF_LIFE_MS);
      const slope = ((value - this.lastValue) / elapsedMs) * 1000;
      this.changePerS = previousWeight * this.changePerS + (1 - previousWeight) * slope;
    }
    this.lastValue = value;
    this.lastObservedAt = now;
  }
}

/** Standard deviation divided by the mean; 0 for equal values, for no values, and if the mean is 0. */
export function coefficientOfVariation(values: readonly number[]): number {
  if (values.length === 0) return 0;
  const mean = values.reduce((sum, value) => sum + value, 0) / values.length;
  if (mean === 0) return 0;
  const variance = values.reduce((sum, value) => sum + (value - mean) ** 2, 0) / values.length;
  return Math.sqrt(variance) / mean;
}
