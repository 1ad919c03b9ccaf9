import type { Histogram } from 'hdr-histogram-js';

const US_PER_MS = 1000;
const MAX_DURATION_US = 60_000 * US_PER_MS;
/** What is kept until the histograms are loaded. */
const MAX_EARLY_SAMPLES = 2000;

export interface LatencySummary {
  count: number;
  p50Ms: number;
  p95Ms: number;
  p99Ms: number;
  maxMs: number;
}

/**
 * How long things take, for the operators. The library is loaded only when asked for, some time after the start:
 * a start has better things to do with its first tenths of a second.
 */
export class Metrics {
  private readonly histograms = new Map<string, Histogram>();
  private earlySamples: [string, number][] | null = [];

  record(operation: string, ms: number): void {
    if (this.earlySamples) {
      if (this.earlySamples.length < MAX_EARLY_SAMPLES) this.earlySamples.push([operation, ms]);
      return;
    }
    this.histogram(operation).recordValue(Math.min(MAX_DURATION_US, Math.max(1, Math.round(ms * US_PER_MS))));
  }

  /** From now on values go into histograms; those that came before as well. */
  load(): void {
    const early = this.earlySamples ?? [];
    this.earlySamples = null;
    for (const [operation, ms] of early) this.record(operation, ms);
  }

  summary(): Record<string, LatencySummary> {
    if (this.earlySamples) this.load();
    const all: Record<string, LatencySummary> = {};
    for (const [operation, h] of this.histograms) {
      const at = (percent: number): number => h.getValueAtPercentile(percent) / US_PER_MS;
      all[operation] = {
        count: h.totalCount,
        p50Ms: at(50),
        p95Ms: at(95),
        p99Ms: at(99),
        maxMs: h.maxValue / US_PER_MS,
      };
    }
    return all;
  }

  private histogram(operation: string): Histogram {
    const known = this.histograms.get(operation);
    if (known) return known;
    // eslint-disable-next-line @typescript-eslint/no-require-imports
    const { build } = require('hdr-histogram-js') as typeof import('hdr-histogram-js');
    const made = build({
      highestTrackableValue: MAX_DURATION_US,
      numberOfSignificantValueDigits: 2,
      useWebAssembly: false,
    });
    this.histograms.set(operation, made);
    return made;
  }
}
