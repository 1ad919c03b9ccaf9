import type { Histogram } from 'hdr-histogram-js';

const US_PER_MS = 1000;
const MAX_DURATION_US = 60_000 * US_PER_MS;
/** Number of values buffered until the histograms are loaded; further values are dropped. */
const MAX_EARLY_SAMPLES = 2000;
const SIGNIFICANT_DIGITS = 2;

/** Latencies of one operation over the life of the process. */
export interface LatencySummary {
  count: number;
  p50Ms: number;
  p95Ms: number;
  p99Ms: number;
  maxMs: number;
}

/**
 * Latency histograms of operations, for the operators. The histogram library is loaded on first use, not at the start of the
 * process, where loading it would delay the first responses.
 */
export class Metrics {
  private readonly histograms = new Map<string, Histogram>();
  /** Values recorded before the histograms are loaded; null afterwards. */
  private earlySamples: [operation: string, ms: number][] | null = [];

  /** Records that an operation took `ms`, limited to the range from a microsecond to a minute. */
  record(operation: string, ms: number): void {
    if (this.earlySamples) {
      if (this.earlySamples.length < MAX_EARLY_SAMPLES) this.earlySamples.push([operation, ms]);
      return;
    }
    const us = Math.min(MAX_DURATION_US, Math.max(1, Math.round(ms * US_PER_MS)));
    this.histogram(operation).recordValue(us);
  }

  /** Moves the values recorded so far into histograms; later values go there directly. */
  loadHistograms(): void {
    const samples = this.earlySamples ?? [];
    this.earlySamples = null;
    for (const [operation, ms] of samples) this.record(operation, ms);
  }

  /** The latencies by operation. */
  summary(): Record<string, LatencySummary> {
    if (this.earlySamples) this.loadHistograms();
    const summaries: Record<string, LatencySummary> = {};
    for (const [operation, histogram] of this.histograms) summaries[operation] = summarize(histogram);
    return summaries;
  }

  private histogram(operation: string): Histogram {
    const existing = this.histograms.get(operation);
    if (existing) return existing;
    // eslint-disable-next-line @typescript-eslint/no-require-imports
    const { build } = require('hdr-histogram-js') as typeof import('hdr-histogram-js');
    const histogram = build({
      highestTrackableValue: MAX_DURATION_US,
      numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
      useWebAssembly: false,
    });
    this.histograms.set(operation, histogram);
    return histogram;
  }
}

function summarize(histogram: Histogram): LatencySummary {
  const percentileMs = (percent: number): number => histogram.getValueAtPercentile(percent) / US_PER_MS;
  return {
    count: histogram.totalCount,
    p50Ms: percentileMs(50),
    p95Ms: percentileMs(95),
    p99Ms: percentileMs(99),
    maxMs: histogram.maxValue / US_PER_MS,
  };
}
