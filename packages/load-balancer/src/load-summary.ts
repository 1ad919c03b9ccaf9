import { type WorkByPriority } from './load-model';

/** What moves a partition has made. */
export interface MoveCounts {
  planned: number;
  begun: number;
  completed: number;
  abandoned: number;
  inFlight: number;
}

/** What a partition's owner tells the leader of its load. */
export interface LoadSummary {
  partition: string;
  /** Version of the partition's record: larger for a later owner. */
  epoch: number;
  /** Grows with each summary of an owner. */
  sequence: number;
  /** How old the figures were when it was sent. */
  ageMs: number;
  cpus: number;
  freeCpus: number;
  /** The most CPUs that are free on one machine. */
  largestFreeCpus: number;
  /** CPU-seconds left of running tasks, by priority. */
  running: WorkByPriority;
  /** CPU-seconds of waiting tasks, by priority. */
  waiting: WorkByPriority;
  /** By how many CPU-seconds a second the work grows. */
  trendPerS: number;
  teams: { team: string; running: number; waiting: number }[];
  moves: MoveCounts;
  refusals: { reason: string; count: number }[];
}

/** Why a summary was dropped. */
export type SummaryFault = 'malformed' | 'absurd' | 'old epoch' | 'repeated';

/** More CPUs or CPU-seconds than this are no load but a mistake. */
const MAX_CPU_COUNT = 1e8;
const MAX_CPU_SECONDS = 1e13;

/** What is wrong with the figures of a summary in themselves; null: nothing. */
export function summaryFault(summary: LoadSummary): SummaryFault | null {
  const { epoch, sequence, ageMs, cpus, freeCpus, largestFreeCpus, running, waiting, trendPerS } = summary;
  if (typeof summary.partition !== 'string' || summary.partition === '') return 'malformed';
  if (!Number.isSafeInteger(epoch) || !Number.isSafeInteger(sequence)) return 'malformed';
  if (!Array.isArray(running) || !Array.isArray(waiting)) return 'malformed';
  const amounts = [ageMs, cpus, freeCpus, largestFreeCpus];
  if (![...amounts, ...running, ...waiting, trendPerS].every(Number.isFinite)) return 'malformed';
  const wrong =
    [...amounts, ...running, ...waiting, epoch, sequence].some((amount) => amount < 0) ||
    cpus > MAX_CPU_COUNT ||
    freeCpus > cpus ||
    largestFreeCpus > freeCpus ||
    [...running, ...waiting, Math.abs(trendPerS)].some((work) => work > MAX_CPU_SECONDS);
  return wrong ? 'absurd' : null;
}

interface ReceivedSummary {
  summary: LoadSummary;
  /** When its figures were true, by the receiver's steady clock; or earlier. */
  asOf: number;
}

/** The latest summary of each partition, as far as it may be relied on. What may not is counted and dropped. */
export class SummaryStore {
  private readonly byPartition = new Map<string, ReceivedSummary>();
  private readonly faults = new Map<SummaryFault, number>();

  constructor(private readonly maxAgeMs: number) {}

  /** Takes a summary that arrived now; what is wrong with it, or null. */
  record(summary: LoadSummary, now: number): SummaryFault | null {
    const fault = summaryFault(summary) ?? this.outdatedFault(summary);
    if (fault === null) this.byPartition.set(summary.partition, { summary, asOf: now - summary.ageMs });
    else this.faults.set(fault, (this.faults.get(fault) ?? 0) + 1);
    return fault;
  }

  private outdatedFault({ partition, epoch, sequence }: LoadSummary): SummaryFault | null {
    const before = this.byPartition.get(partition)?.summary;
    if (!before || epoch > before.epoch) return null;
    if (epoch < before.epoch) return 'old epoch';
    return sequence <= before.sequence ? 'repeated' : null;
  }

  /** A partition's summary, or null if there is none young enough to decide by. */
  fresh(partition: string, now: number): LoadSummary | null {
    const known = this.byPartition.get(partition);
    return known && now - known.asOf <= this.maxAgeMs ? known.summary : null;
  }

  /** All that is known, with its age, for operators. */
  all(now: number): { summary: LoadSummary; ageMs: number }[] {
    return [...this.byPartition.values()].map(({ summary, asOf }) => ({ summary, ageMs: now - asOf }));
  }

  /** Dropped summaries by fault. */
  droppedByFault(): { fault: SummaryFault; count: number }[] {
    return [...this.faults].map(([fault, count]) => ({ fault, count }));
  }

  /** Counts a frame that could not even be read. */
  countMalformed(): void {
    this.faults.set('malformed', (this.faults.get('malformed') ?? 0) + 1);
  }
}
