/** Observations that are this old count half. */
const TREND_HALF_LIFE_MS = 20_000;

/** The slope of a quantity over time, exponentially smoothed. */
export class Trend {
  private value: number | null = null;
  private at = 0;
  /** Change per second. */
  changePerS = 0;

  observe(value: number, now: number): void {
    const passedMs = now - this.at;
    if (this.value !== null && passedMs > 0) {
      const keep = 0.5 ** (passedMs / TREND_HALF_LIFE_MS);
      const slope = ((value - this.value) / passedMs) * 1000;
      this.changePerS = keep * this.changePerS + (1 - keep) * slope;
    }
    this.value = value;
    this.at = now;
  }
}

/** Standard deviation divided by mean; 0 for equal values, and for none. */
export function coefficientOfVariation(values: readonly number[]): number {
  if (values.length === 0) return 0;
  const mean = values.reduce((sum, value) => sum + value, 0) / values.length;
  if (mean === 0) return 0;
  const variance = values.reduce((sum, value) => sum + (value - mean) ** 2, 0) / values.length;
  return Math.sqrt(variance) / mean;
}
