import { encodeProgress, type JobProgress } from '../protocol/records';

/** One progress value of a partition, to be written. */
export interface ProgressValue {
  slot: number;
  jobs: Map<string, JobProgress>;
  /** The value as JSON, to tell whether it differs from what was written last. */
  text: string;
}

/** What a job takes in a value on average; this gives how many jobs a value is meant for. */
const EXPECTED_BYTES_PER_JOB = 256;

/**
 * Which of a partition's progress values, its slot, holds each open job. A job keeps its slot until it ends: moved from one
 * value to another it could be missing from both after a crash, and with it the start watermark that says up to which index
 * its tasks may have been started.
 */
export class ProgressSlots {
  private readonly slotOf = new Map<string, number>();
  private readonly jobsInSlot: number[] = [];
  private readonly writtenTexts: string[] = [];

  constructor(private readonly valueBytes: number) {}

  /** The job is in this slot in the store already. */
  assign(ref: string, slot: number): void {
    this.slotOf.set(ref, slot);
    this.jobsInSlot[slot] = (this.jobsInSlot[slot] ?? 0) + 1;
  }

  /** The job has ended: its place is free for another. */
  release(ref: string): void {
    const slot = this.slotOf.get(ref);
    if (slot === undefined) return;
    this.slotOf.delete(ref);
    this.jobsInSlot[slot] = (this.jobsInSlot[slot] ?? 1) - 1;
  }

  /** The values that differ from what was written last, in the order of the jobs. */
  changedValues(jobs: ReadonlyMap<string, JobProgress>): ProgressValue[] {
    const values = new Map<number, Map<string, JobProgress>>();
    for (const [ref, progress] of jobs) {
      const slot = this.slotFor(ref);
      const slotJobs = values.get(slot) ?? new Map<string, JobProgress>();
      slotJobs.set(ref, progress);
      values.set(slot, slotJobs);
    }
    const changed: ProgressValue[] = [];
    for (const [slot, slotJobs] of values) {
      const fitting = this.truncateToFit(slotJobs);
      const text = JSON.stringify(encodeProgress(fitting));
      if (text !== this.writtenTexts[slot]) changed.push({ slot, jobs: fitting, text });
    }
    return changed;
  }

  /** The store has this value now. */
  markWritten({ slot, text }: ProgressValue): void {
    this.writtenTexts[slot] = text;
  }

  private slotFor(ref: string): number {
    const known = this.slotOf.get(ref);
    if (known !== undefined) return known;
    const jobsPerValue = Math.max(1, Math.floor(this.valueBytes / EXPECTED_BYTES_PER_JOB));
    let slot = 0;
    while ((this.jobsInSlot[slot] ?? 0) >= jobsPerValue) slot++;
    this.assign(ref, slot);
    return slot;
  }

  /** Shortens the ranges until they fit: what is left out is only written later. */
  private truncateToFit(jobs: Map<string, JobProgress>): Map<string, JobProgress> {
    let fitting = jobs;
    for (let maxLength = this.valueBytes; ; maxLength /= 2) {
      if (JSON.stringify(encodeProgress(fitting)).length <= this.valueBytes) return fitting;
      fitting = new Map(
        [...jobs].map(([ref, p]) => [ref, { ...p, doneRanges: truncateRanges(p.doneRanges, maxLength) }]),
      );
    }
  }
}

/** Leaves out the ranges that do not fit into `maxLength` characters. */
function truncateRanges(ranges: string, maxLength: number): string {
  return ranges.length <= maxLength
    ? ranges
    : ranges.slice(0, ranges.lastIndexOf(',', maxLength) + 1).replace(/,$/, '');
}
