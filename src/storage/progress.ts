import { encodeProgress, type JobProgress } from '../protocol/records';

export interface ProgressValue {
  slot: number;
  jobs: Map<string, JobProgress>;
  text: string;
}

/** What a job takes in a value on the average; a value has as many places. */
const EXPECTED_BYTES_PER_JOB = 256;

/**
 * In which of its partition's progress values each open job stands. A job keeps its place until it ends: moved from one
 * value to another it could be missing from both after a crash, and with it the start watermark that says how far its tasks may
 * have been started.
 */
export class ProgressSlots {
  private readonly slotOf = new Map<string, number>();
  private readonly jobsInSlot: number[] = [];
  private readonly writtenTexts: string[] = [];

  constructor(private readonly valueBytes: number) {}

  /** The job stands there already. */
  assign(ref: string, slot: number): void {
    this.slotOf.set(ref, slot);
    this.jobsInSlot[slot] = (this.jobsInSlot[slot] ?? 0) + 1;
  }

  release(ref: string): void {
    const slot = this.slotOf.get(ref);
    if (slot === undefined) return;
    this.slotOf.delete(ref);
    this.jobsInSlot[slot] = (this.jobsInSlot[slot] ?? 1) - 1;
  }

  /** The values that differ from what was last written, in the order of the jobs. */
  changedValues(jobs: ReadonlyMap<string, JobProgress>): ProgressValue[] {
    const values = new Map<number, Map<string, JobProgress>>();
    for (const [ref, progress] of jobs) {
      const slot = this.slotFor(ref);
      const there = values.get(slot) ?? new Map<string, JobProgress>();
      there.set(ref, progress);
      values.set(slot, there);
    }
    const found: ProgressValue[] = [];
    for (const [slot, inSlot] of values) {
      const fitting = this.truncateToFit(inSlot);
      const text = JSON.stringify(encodeProgress(fitting));
      if (text !== this.writtenTexts[slot]) found.push({ slot, jobs: fitting, text });
    }
    return found;
  }

  markWritten({ slot, text }: ProgressValue): void {
    this.writtenTexts[slot] = text;
  }

  private slotFor(ref: string): number {
    const known = this.slotOf.get(ref);
    if (known !== undefined) return known;
    const places = Math.max(1, Math.floor(this.valueBytes / EXPECTED_BYTES_PER_JOB));
    let slot = 0;
    while ((this.jobsInSlot[slot] ?? 0) >= places) slot++;
    this.assign(ref, slot);
    return slot;
  }

  /** Shortens the ranges until they fit: what is left out of them is only told later. */
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

function truncateRanges(ranges: string, maxLength: number): string {
  return ranges.length <= maxLength
    ? ranges
    : ranges.slice(0, ranges.lastIndexOf(',', maxLength) + 1).replace(/,$/, '');
}
