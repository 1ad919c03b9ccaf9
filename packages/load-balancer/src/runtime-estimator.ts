import { errorFunction, inverseErrorFunction } from 'simple-statistics';

/** How long something takes, and by how much that may be wrong (one standard deviation). */
export interface Estimate {
  meanS: number;
  stdDevS: number;
}

/** What must be known of a job for its tasks' run time to be estimated. */
export interface EstimatedJob {
  job: string;
  workload: string;
  expectedS: number;
}

/** Submitters' estimates are often wrong by half. */
const PRIOR_ERROR_RATIO = 0.5;
/** Weight of the submitter's estimate against observed tasks, in tasks. */
const PRIOR_WEIGHT_TASK_COUNT = 4;
/** Machines of one type differ by a tenth, so no estimate is better than this. */
const MIN_ERROR_RATIO = 0.1;
/** A task that has run for longer than was expected goes on for at least this share of the error. */
const MIN_REMAINING_ERROR_RATIO = 0.2;
/** Probabilities are kept this far from 0 and 1: beyond, the approximations say nothing. */
const MIN_PROBABILITY = 1e-6;

/** Mean and variance of a series, by Welford's method. */
class RunningStatistics {
  count = 0;
  mean = 0;
  private squares = 0;

  add(value: number): void {
    this.count++;
    const delta = value - this.mean;
    this.mean += delta / this.count;
    this.squares += delta * (value - this.mean);
  }

  get variance(): number {
    return this.count < 2 ? 0 : this.squares / (this.count - 1);
  }
}

/**
 * Learns from completed tasks how far submitters' estimates are off: for a class of jobs, and for each job. Each level
 * corrects the estimate below it, the more so the more tasks it has seen.
 */
export class RuntimeEstimator {
  private readonly byWorkload = new Map<string, RunningStatistics>();
  private readonly byJob = new Map<string, RunningStatistics>();

  /** Takes the run time of a completed task, from the image's arrival to its end. */
  learn({ job, workload, expectedS }: EstimatedJob, actualS: number): void {
    if (!(actualS > 0) || !(expectedS > 0)) return;
    statisticsFor(this.byWorkload, workload).add(actualS / expectedS);
    statisticsFor(this.byJob, job).add(actualS);
  }

  /** Forgets a job that is closed. */
  forget(job: string): void {
    this.byJob.delete(job);
  }

  /** Run time of a whole task. */
  estimateRuntime({ job, workload, expectedS }: EstimatedJob): Estimate {
    const prior = { meanS: expectedS, stdDevS: expectedS * PRIOR_ERROR_RATIO };
    const ratio = this.byWorkload.get(workload);
    const ofClass = ratio ? blend(prior, ratio, expectedS) : prior;
    const own = this.byJob.get(job);
    return own ? blend(ofClass, own, 1) : ofClass;
  }

  /**
   * Seconds within which a task that has run for `elapsedS` ends with this probability. Run times are taken as log-normal: a
   * task that has outlived its estimate is not about to end, but one of the long ones.
   */
  remainingS(job: EstimatedJob, elapsedS: number, probability: number): number {
    const { meanS, stdDevS } = this.estimateRuntime(job);
    const sigma = Math.sqrt(Math.log(1 + (stdDevS / meanS) ** 2));
    const logMedian = Math.log(meanS) - sigma ** 2 / 2;
    const survived = elapsedS > 0 ? 1 - normalProbability((Math.log(elapsedS) - logMedian) / sigma) : 1;
    const left = clampProbability(survived * (1 - probability));
    const leftS = Math.exp(logMedian + sigma * normalQuantile(1 - left)) - elapsedS;
    return Math.max(elapsedS > meanS ? MIN_REMAINING_ERROR_RATIO * stdDevS : 0, leftS);
  }
}

function clampProbability(probability: number): number {
  return Math.min(1 - MIN_PROBABILITY, Math.max(MIN_PROBABILITY, probability));
}

function normalProbability(z: number): number {
  return clampProbability((1 + errorFunction(z / Math.SQRT2)) / 2);
}

function normalQuantile(probability: number): number {
  return Math.SQRT2 * inverseErrorFunction(2 * probability - 1);
}

function statisticsFor(all: Map<string, RunningStatistics>, key: string): RunningStatistics {
  const known = all.get(key) ?? new RunningStatistics();
  all.set(key, known);
  return known;
}

/** Weighs an estimate against observations, which are in units of `scale` seconds. */
function blend(prior: Estimate, seen: RunningStatistics, scale: number): Estimate {
  const share = seen.count / (seen.count + PRIOR_WEIGHT_TASK_COUNT);
  const meanS = (1 - share) * prior.meanS + share * seen.mean * scale;
  const observedError = Math.max(Math.sqrt(seen.variance) * scale, MIN_ERROR_RATIO * meanS);
  const stdDevS = (1 - share) * prior.stdDevS + share * observedError;
  return { meanS, stdDevS };
}
