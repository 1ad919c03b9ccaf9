/** Limits on how often repeated work is done. */
export interface WorkPacerOptions {
  /** The shortest time between two starts of the work, however little time it takes. */
  minIntervalMs: number;
  /** The longest time after which the work is due again, however much time it takes. */
  maxIntervalMs: number;
  /** The largest share of the time that the work may take. */
  maxTimeShare: number;
}

/**
 * Spaces out repeated work according to the time it takes, so that it uses at most a given share of the time. On a
 * controller with a small share of a core, or one busy with other work, the same work takes longer and is therefore done
 * less often, so it cannot delay session leases, workers and users.
 */
export class WorkPacer {
  private nextAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: WorkPacerOptions) {}

  /** Whether the work is due at this moment of the steady clock. */
  isDue(now: number): boolean {
    return now >= this.nextAt;
  }

  /** Records when the work started and ended, in steady milliseconds. */
  record(startedAt: number, endedAt: number): void {
    const { minIntervalMs, maxIntervalMs, maxTimeShare } = this.options;
    const intervalMs = (endedAt - startedAt) / maxTimeShare;
    this.nextAt = startedAt + Math.min(maxIntervalMs, Math.max(minIntervalMs, intervalMs));
  }
}
