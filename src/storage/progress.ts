import { encodeProgress, type JobProgress } from '../protocol/records';

export interface ProgressValue {
  slot: number;
  jobs: Map<string, JobProgress>;
  text: string;
}

/** What a job takes in a value on the average; a value has as many places. */
const PLACE_BYTES = 256;

/**
 * In which of its partition's progress values each open job stands. A job keeps its place until it ends: moved from one
 * value to another it could be missing from both after a crash, and with it the start watermark that says how far its tasks may
 * have been started.
 */
export class ProgressSlots {
  private readonly slotOf = new Map<string, number>();
  private readonly taken: number[] = [];
  private readonly texts: string[] = [];

  constructor(private readonly valueBytes: number) {}

  /** The job stands there already. */
  put(ref: string, slot: number): void {
    this.slotOf.set(ref, slot);
    this.taken[slot] = (this.taken[slot] ?? 0) + 1;
  }

  drop(ref: string): void {
    const slot = this.slotOf.get(ref);
    if (slot === undefined) return;
    this.slotOf.delete(ref);
    this.taken[slot] = (this.taken[slot] ?? 1) - 1;
  }

  /** The values that differ from what was last written, in the order of the jobs. */
  changed(jobs: ReadonlyMap<string, JobProgress>): ProgressValue[] {
    const values = new Map<number, Map<string, JobProgress>>();
    for (const [ref, progress] of jobs) {
      const slot = this.placeOf(ref);
      const there = values.get(slot) ?? new Map<string, JobProgress>();
      there.set(ref, progress);
      values.set(slot, there);
    }
    const found: ProgressValue[] = [];
    for (const [slot, inSlot] of values) {
      const fitting = this.cut(inSlot);
      const text = JSON.stringify(encodeProgress(fitting));
      if (text !== this.texts[slot]) found.push({ slot, jobs: fitting, text });
    }
    return found;
  }

  written({ slot, text }: ProgressValue): void {
    this.texts[slot] = text;
  }

  private placeOf(ref: string): number {
    const known = this.slotOf.get(ref);
    if (known !== undefined) return known;
    const places = Math.max(1, Math.floor(this.valueBytes / PLACE_BYTES));
    let slot = 0;
    while ((this.taken[slot] ?? 0) >= places) slot++;
    this.put(ref, slot);
    return slot;
  }

  /** Shortens the ranges until they fit: what is left out of them is only told later. */
  private cut(jobs: Map<string, JobProgress>): Map<string, JobProgress> {
    let fitting = jobs;
    for (let most = this.valueBytes; ; most /= 2) {
      if (JSON.stringify(encodeProgress(fitting)).length <= this.valueBytes) return fitting;
      fitting = new Map([...jobs].map(([ref, p]) => [ref, { ...p, done: shortened(p.done, most) }]));
    }
  }
}

function shortened(ranges: string, most: number): string {
  return ranges.length <= most
    ? ranges
    : ranges.slice(0, ranges.lastIndexOf(',', most) + 1).replace(/,$/, '');
}
