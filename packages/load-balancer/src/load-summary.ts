import { type WorkByPriority } from './load-model';

/** Counts of task moves in one partition since its owner took it over. */
export interface MoveCounts {
  planned: number;
  begun: number;
  completed: number;
  abandoned: number;
  inFlight: number;
}

/** The load of a partition, which its owner sends to the leader. The fields are shown in `GET /status`. */
export interface LoadSummary {
  partition: string;
  /** Epoch of the partition. A later owner has a larger epoch. */
  epoch: number;
  /** Increases with each summary of an owner. */
  sequence: number;
  /** Age of the figures when the summary was sent. */
  ageMs: number;
  cpus: number;
  freeCpus: number;
  /** The largest number of CPUs that are free on one machine. */
  largestFreeCpus: number;
  /** Remaining CPU seconds of running tasks, by priority. */
  running: WorkByPriority;
  /** CPU seconds of pending tasks and of tasks that wait for their image, by priority. */
  waiting: WorkByPriority;
  /** Growth of the work, in CPU seconds per second. */
  trendPerS: number;
  /** CPU seconds of running and waiting tasks, by team. */
  teams: { team: string; running: number; waiting: number }[];
  moves: MoveCounts;
  refusals: { reason: string; count: number }[];
}

/** The fault for which a summary was dropped. */
export type SummaryFault = 'malformed' | 'absurd' | 'old epoch' | 'repeated';

/** Upper bounds of plausible figures. Larger ones cannot describe a real load. */
const MAX_CPU_COUNT = 1e8;
const MAX_CPU_SECONDS = 1e13;

/** The fault of a summary by itself, not compared with earlier ones; null if it has none. */
export function summaryFault(summary: LoadSummary): SummaryFault | null {
  if (!isWellFormed(summary)) return 'malformed';
  return isPlausible(summary) ? null : 'absurd';
}

function isWellFormed(summary: LoadSummary): boolean {
  const { partition, epoch, sequence, running, waiting, trendPerS } = summary;
  if (typeof partition !== 'string' || partition === '') return false;
  if (!Number.isSafeInteger(epoch) || !Number.isSafeInteger(sequence)) return false;
  if (!Array.isArray(running) || !Array.isArray(waiting)) return false;
  return [...amounts(summary), ...running, ...waiting, trendPerS].every(Number.isFinite);
}

function isPlausible(summary: LoadSummary): boolean {
  const { epoch, sequence, cpus, freeCpus, largestFreeCpus, running, waiting, trendPerS } = summary;
  if ([...amounts(summary), ...running, ...waiting, epoch, sequence].some((n) => n < 0)) return false;
  if (cpus > MAX_CPU_COUNT || freeCpus > cpus || largestFreeCpus > freeCpus) return false;
  return [...running, ...waiting, Math.abs(trendPerS)].every((work) => work <= MAX_CPU_SECONDS);
}

function amounts({ ageMs, cpus, freeCpus, largestFreeCpus }: LoadSummary): number[] {
  return [ageMs, cpus, freeCpus, largestFreeCpus];
}
