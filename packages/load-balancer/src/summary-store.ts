import { summaryFault, type LoadSummary, type SummaryFault } from './load-summary';

interface ReceivedSummary {
  summary: LoadSummary;
  /** The moment that its figures describe, or an earlier one, in milliseconds of the receiver's steady clock. */
  asOf: number;
}

/** The latest summary of each partition. A summary that cannot be relied on is counted by its fault and dropped. */
export class SummaryStore {
  private readonly byPartition = new Map<string, ReceivedSummary>();
  private readonly faultCounts = new Map<SummaryFault, number>();

  constructor(private readonly maxAgeMs: number) {}

  /** Takes a summary that arrived at `now`; returns its fault, null: it was taken. */
  record(summary: LoadSummary, now: number): SummaryFault | null {
    const fault = summaryFault(summary) ?? this.outdatedFault(summary);
    if (fault === null) this.byPartition.set(summary.partition, { summary, asOf: now - summary.ageMs });
    else this.count(fault);
    return fault;
  }

  /** Counts a frame that could not be decoded. */
  countMalformed(): void {
    this.count('malformed');
  }

  private count(fault: SummaryFault): void {
    this.faultCounts.set(fault, (this.faultCounts.get(fault) ?? 0) + 1);
  }

  private outdatedFault({ partition, epoch, sequence }: LoadSummary): SummaryFault | null {
    const latest = this.byPartition.get(partition)?.summary;
    if (!latest || epoch > latest.epoch) return null;
    if (epoch < latest.epoch) return 'old epoch';
    return sequence <= latest.sequence ? 'repeated' : null;
  }

  /** A partition's summary; null if there is none recent enough to decide by. */
  fresh(partition: string, now: number): LoadSummary | null {
    const received = this.byPartition.get(partition);
    return received && now - received.asOf <= this.maxAgeMs ? received.summary : null;
  }

  /** All summaries with their ages, for operators. */
  all(now: number): { summary: LoadSummary; ageMs: number }[] {
    return [...this.byPartition.values()].map(({ summary, asOf }) => ({ summary, ageMs: now - asOf }));
  }

  /** Number of dropped summaries by fault. */
  droppedByFault(): { fault: SummaryFault; count: number }[] {
    return [...this.faultCounts].map(([fault, count]) => ({ fault, count }));
  }
}
