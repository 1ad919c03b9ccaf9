import type { Histogram } from 'hdr-histogram-js';

const US = 1000;
const LONGEST_US = 60_000 * US;
/** What is kept until the histograms are loaded. */
const MOST_EARLY = 2000;

export interface Summary {
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
  private early: [string, number][] | null = [];

  record(what: string, ms: number): void {
    if (this.early) {
      if (this.early.length < MOST_EARLY) this.early.push([what, ms]);
      return;
    }
    this.histogram(what).recordValue(Math.min(LONGEST_US, Math.max(1, Math.round(ms * US))));
  }

  /** From now on values go into histograms; those that came before as well. */
  load(): void {
    const early = this.early ?? [];
    this.early = null;
    for (const [what, ms] of early) this.record(what, ms);
  }

  summary(): Record<string, Summary> {
    if (this.early) this.load();
    const all: Record<string, Summary> = {};
    for (const [what, h] of this.histograms) {
      const at = (percent: number): number => h.getValueAtPercentile(percent) / US;
      all[what] = {
        count: h.totalCount,
        p50Ms: at(50),
        p95Ms: at(95),
        p99Ms: at(99),
        maxMs: h.maxValue / US,
      };
    }
    return all;
  }

  private histogram(what: string): Histogram {
    const known = this.histograms.get(what);
    if (known) return known;
    // eslint-disable-next-line @typescript-eslint/no-require-imports
    const { build } = require('hdr-histogram-js') as typeof import('hdr-histogram-js');
    const made = build({
      highestTrackableValue: LONGEST_US,
      numberOfSignificantValueDigits: 2,
      useWebAssembly: false,
    });
    this.histograms.set(what, made);
    return made;
  }
}
