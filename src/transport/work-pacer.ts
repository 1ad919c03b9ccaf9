/** Bounds on how often repeated work is done. */
export interface WorkPacerOptions {
  /** The work is not repeated sooner than this, however little it costs. */
  minIntervalMs: number;
  /** It is repeated after this long at the latest, however much it costs. */
  maxIntervalMs: number;
  /** The share of the time that the work may take. */
  maxTimeShare: number;
}

/**
 * Spaces repeated work by what it costs, so that it takes at most a share of the time. On a controller with a small share of
 * a core, or one that is busy otherwise, the same work takes longer and is therefore done less often, so it cannot delay
 * session leases, workers and users.
 */
export class WorkPacer {
  private nextAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: WorkPacerOptions) {}

  /** Whether the work may be done at this moment of the steady clock. */
  isDue(now: number): boolean {
    return now >= this.nextAt;
  }

  /** Notes when the work began and ended, in steady milliseconds. */
  record(startedAt: number, endedAt: number): void {
    const { minIntervalMs, maxIntervalMs, maxTimeShare } = this.options;
    const intervalMs = (endedAt - startedAt) / maxTimeShare;
    this.nextAt = startedAt + Math.min(maxIntervalMs, Math.max(minIntervalMs, intervalMs));
  }
}
