import { encodeProgress, type JobProgress } from '../protocol/records';
import { jsonBytes } from '../protocol/store';

/** A progress value of a partition that is to be written. */
export interface ProgressValue {
  slot: number;
  jobs: Map<string, JobProgress>;
  /** The value as JSON, compared with the last written text to detect a change. */
  text: string;
}

/** Expected average size of a job in a value; determines how many jobs are assigned to a value. */
const EXPECTED_BYTES_PER_JOB = 256;

/** Done ranges truncated to less than this length are empty. */
const MIN_RANGES_LENGTH = 0.5;

/**
 * Assigns each open job of a partition a slot: the index of the progress value that holds it. A job keeps its slot until it
 * ends. If it moved from one value to another, a crash could leave it in neither, and its start watermark, the index up to
 * which its tasks may have been started, would be lost.
 */
export class ProgressSlots {
  private readonly slotOf = new Map<string, number>();
  private readonly jobCountBySlot: number[] = [];
  private readonly writtenTexts: string[] = [];
  /** For each slot, the number of its last write in the order of all writes. */
  private readonly writeOrder: number[] = [];
  private writeCount = 0;

  constructor(private readonly valueBytes: number) {}

  /** Assigns a slot to a job. If the store already holds the job, this must be its slot there. */
  assign(ref: string, slot: number): void {
    this.slotOf.set(ref, slot);
    this.jobCountBySlot[slot] = (this.jobCountBySlot[slot] ?? 0) + 1;
  }

  /** Frees the place of a job that has ended. */
  release(ref: string): void {
    const slot = this.slotOf.get(ref);
    if (slot === undefined) return;
    this.slotOf.delete(ref);
    this.jobCountBySlot[slot] = (this.jobCountBySlot[slot] ?? 1) - 1;
  }

  /**
   * The values that differ from those last written, the one written longest ago first; values never written come before, in the order
   * of their first jobs. Assigns a slot to each job without one. A value whose jobs do not fit even without their done ranges is left
   * out.
   */
  changedValues(jobs: ReadonlyMap<string, JobProgress>): ProgressValue[] {
    const values = new Map<number, Map<string, JobProgress>>();
    for (const [ref, progress] of jobs) {
      const slot = this.getOrAssignSlot(ref);
      const slotJobs = values.get(slot) ?? new Map<string, JobProgress>();
      slotJobs.set(ref, progress);
      values.set(slot, slotJobs);
    }
    const changed: ProgressValue[] = [];
    for (const [slot, slotJobs] of values) {
      const fitting = this.truncateToFit(slotJobs);
      if (!fitting) continue;
      const text = JSON.stringify(encodeProgress(fitting));
      if (text !== this.writtenTexts[slot]) changed.push({ slot, jobs: fitting, text });
    }
    return changed.sort((a, b) => (this.writeOrder[a.slot] ?? 0) - (this.writeOrder[b.slot] ?? 0));
  }

  /** Records that the store holds this value. */
  markWritten({ slot, text }: ProgressValue): void {
    this.writtenTexts[slot] = text;
    this.writeOrder[slot] = ++this.writeCount;
  }

  private getOrAssignSlot(ref: string): number {
    const known = this.slotOf.get(ref);
    if (known !== undefined) return known;
    const jobsPerValue = Math.max(1, Math.floor(this.valueBytes / EXPECTED_BYTES_PER_JOB));
    let slot = 0;
    while ((this.jobCountBySlot[slot] ?? 0) >= jobsPerValue) slot++;
    this.assign(ref, slot);
    return slot;
  }

  /** Truncates the done ranges until the value fits; null if it never does. The omitted ranges are left for a later write. */
  private truncateToFit(jobs: Map<string, JobProgress>): Map<string, JobProgress> | null {
    const fits = (candidate: Map<string, JobProgress>): boolean =>
      jsonBytes(encodeProgress(candidate)) <= this.valueBytes;
    let fitting = jobs;
    for (let maxLength = this.valueBytes; !fits(fitting); maxLength /= 2) {
      if (maxLength < MIN_RANGES_LENGTH) return null;
      fitting = new Map(
        [...jobs].map(([ref, p]) => [ref, { ...p, doneRanges: truncateRanges(p.doneRanges, maxLength) }]),
      );
    }
    return fitting;
  }
}

/** Drops the ranges that do not fit into `maxLength` characters. */
function truncateRanges(ranges: string, maxLength: number): string {
  return ranges.length <= maxLength
    ? ranges
    : ranges.slice(0, ranges.lastIndexOf(',', maxLength) + 1).replace(/,$/, '');
}
