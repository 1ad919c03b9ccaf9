import { summaryFault, type LoadSummary, type SummaryFault } from './load-summary';

interface ReceivedSummary {
  summary: LoadSummary;
  /**
   * The time that the figures describe, in milliseconds of the receiver's steady clock. Later than the actual time by the
   * summary's time in transit, which is unknown.
   */
  asOf: number;
}

/** Stores the latest summary of each partition. A faulty or outdated summary is dropped and counted by its fault. */
export class SummaryStore {
  private readonly byPartition = new Map<string, ReceivedSummary>();
  private readonly faultCounts = new Map<SummaryFault, number>();

  constructor(private readonly maxAgeMs: number) {}

  /** Stores a summary received at `now`. Returns the fault for which it was dropped, or null if it was stored. */
  record(summary: LoadSummary, now: number): SummaryFault | null {
    const fault = summaryFault(summary) ?? this.outdatedFault(summary);
    if (fault === null) this.byPartition.set(summary.partition, { summary, asOf: now - summary.ageMs });
    else this.countFault(fault);
    return fault;
  }

  /** Counts a frame that could not be decoded as malformed. */
  countMalformed(): void {
    this.countFault('malformed');
  }

  private countFault(fault: SummaryFault): void {
    this.faultCounts.set(fault, (this.faultCounts.get(fault) ?? 0) + 1);
  }

  private outdatedFault({ partition, epoch, sequence }: LoadSummary): SummaryFault | null {
    const latest = this.byPartition.get(partition)?.summary;
    if (!latest || epoch > latest.epoch) return null;
    if (epoch < latest.epoch) return 'old epoch';
    return sequence <= latest.sequence ? 'repeated' : null;
  }

  /** The latest summary of a partition; null if there is none or it is older than the maximum age. */
  fresh(partition: string, now: number): LoadSummary | null {
    const received = this.byPartition.get(partition);
    return received && now - received.asOf <= this.maxAgeMs ? received.summary : null;
  }

  /** All summaries with their ages in milliseconds, for operators. */
  all(now: number): { summary: LoadSummary; ageMs: number }[] {
    return [...this.byPartition.values()].map(({ summary, asOf }) => ({ summary, ageMs: now - asOf }));
  }

  /** Number of dropped summaries by fault. */
  droppedByFault(): { fault: SummaryFault; count: number }[] {
    return [...this.faultCounts].map(([fault, count]) => ({ fault, count }));
  }
}
