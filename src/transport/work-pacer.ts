/**
 * Spaces repeated work by what it costs: it may take at most a share of the time that passes. On a controller with a small
 * share of a core, or one that is busy otherwise, the same work takes longer and is therefore done less often, so it cannot
 * keep session leases, workers and users waiting.
 */
export class WorkPacer {
  private nextAt = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly options: {
      /** The work is not repeated sooner than this, however little it costs. */
      minIntervalMs: number;
      /** It is repeated after this long at the latest, however much it costs. */
      maxIntervalMs: number;
      /** The share of the time that the work may take. */
      share: number;
    },
  ) {}

  isDue(now: number): boolean {
    return now >= this.nextAt;
  }

  /** The work began and ended at these moments of the steady clock. */
  record(startedAt: number, endedAt: number): void {
    const { minIntervalMs, maxIntervalMs, share } = this.options;
    const pauseMs = (endedAt - startedAt) / share;
    this.nextAt = startedAt + Math.min(maxIntervalMs, Math.max(minIntervalMs, pauseMs));
  }
}
