import { type WorkByPriority } from './load-model';

/** Moves of tasks of one partition, counted since its owner took it over. */
export interface MoveCounts {
  planned: number;
  begun: number;
  completed: number;
  abandoned: number;
  inFlight: number;
}

/** The load of a partition, as its owner sends it to the leader. Its fields are shown in `GET /status`. */
export interface LoadSummary {
  partition: string;
  /** Epoch of the partition: larger for a later owner. */
  epoch: number;
  /** Grows with each summary of an owner. */
  sequence: number;
  /** Age of the figures when the summary was sent. */
  ageMs: number;
  cpus: number;
  freeCpus: number;
  /** The most CPUs that are free on one machine. */
  largestFreeCpus: number;
  /** CPU seconds that running tasks still take, by priority. */
  running: WorkByPriority;
  /** CPU seconds of pending tasks, by priority. */
  waiting: WorkByPriority;
  /** By how many CPU seconds a second the work grows. */
  trendPerS: number;
  teams: { team: string; running: number; waiting: number }[];
  moves: MoveCounts;
  refusals: { reason: string; count: number }[];
}

/** Why a summary was dropped. */
export type SummaryFault = 'malformed' | 'absurd' | 'old epoch' | 'repeated';

/** Larger figures than these cannot be a real load. */
const MAX_CPU_COUNT = 1e8;
const MAX_CPU_SECONDS = 1e13;

/** What is wrong with a summary taken by itself; null: nothing. */
export function summaryFault(summary: LoadSummary): SummaryFault | null {
  if (!isWellFormed(summary)) return 'malformed';
  return isPlausible(summary) ? null : 'absurd';
}

function isWellFormed(summary: LoadSummary): boolean {
  const { partition, epoch, sequence, running, waiting, trendPerS } = summary;
  if (typeof partition !== 'string' || partition === '') return false;
  if (!Number.isSafeInteger(epoch) || !Number.isSafeInteger(sequence)) return false;
  if (!Array.isArray(running) || !Array.isArray(waiting)) return false;
  return [...amountsOf(summary), ...running, ...waiting, trendPerS].every(Number.isFinite);
}

function isPlausible(summary: LoadSummary): boolean {
  const { epoch, sequence, cpus, freeCpus, largestFreeCpus, running, waiting, trendPerS } = summary;
  if ([...amountsOf(summary), ...running, ...waiting, epoch, sequence].some((n) => n < 0)) return false;
  if (cpus > MAX_CPU_COUNT || freeCpus > cpus || largestFreeCpus > freeCpus) return false;
  return [...running, ...waiting, Math.abs(trendPerS)].every((work) => work <= MAX_CPU_SECONDS);
}

function amountsOf({ ageMs, cpus, freeCpus, largestFreeCpus }: LoadSummary): number[] {
  return [ageMs, cpus, freeCpus, largestFreeCpus];
}
