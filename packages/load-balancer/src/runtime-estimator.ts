import { errorFunction, inverseErrorFunction } from 'simple-statistics';

/** An estimated duration, with its error as one standard deviation. */
export interface Estimate {
  meanS: number;
  stdDevS: number;
}

/** The data of a job from which the run time of its tasks is estimated. */
export interface EstimatedJob {
  job: string;
  workload: string;
  expectedS: number;
}

/** Standard deviation of submitters' estimates, which are often wrong by half. */
const PRIOR_STD_DEV_RATIO = 0.5;
/** Weight of an estimate against observed tasks, as a number of tasks. */
const PRIOR_WEIGHT_TASK_COUNT = 4;
/** Minimum error of an estimate, because machines of one type differ by a tenth. */
const MIN_STD_DEV_RATIO = 0.1;
/** A task that has run longer than its estimate is assumed to run on for at least this share of the standard deviation. */
const MIN_REMAINING_STD_DEV_RATIO = 0.2;
/** Probabilities are kept this far from 0 and 1, because the approximations are meaningless beyond. */
const MIN_PROBABILITY = 1e-6;

/** Mean and variance of a series, by Welford's method. */
class RunningStatistics {
  count = 0;
  mean = 0;
  private squaredDeviations = 0;

  add(value: number): void {
    this.count++;
    const delta = value - this.mean;
    this.mean += delta / this.count;
    this.squaredDeviations += delta * (value - this.mean);
  }

  get variance(): number {
    return this.count < 2 ? 0 : this.squaredDeviations / (this.count - 1);
  }
}

/**
 * Corrects submitters' estimates by the run times of completed tasks, first those of the workload (a class of jobs), then those
 * of the job. The weight of each correction grows with the number of tasks observed.
 */
export class RuntimeEstimator {
  private readonly byWorkload = new Map<string, RunningStatistics>();
  private readonly byJob = new Map<string, RunningStatistics>();

  /** Records the run time of a completed task, from the arrival of its image to its end. */
  learn({ job, workload, expectedS }: EstimatedJob, actualS: number): void {
    if (!(actualS > 0) || !(expectedS > 0)) return;
    statisticsFor(this.byWorkload, workload).add(actualS / expectedS);
    statisticsFor(this.byJob, job).add(actualS);
  }

  /** Deletes the run times of a closed job. */
  forget(job: string): void {
    this.byJob.delete(job);
  }

  /** Estimates the run time of a whole task. */
  estimateRuntime({ job, workload, expectedS }: EstimatedJob): Estimate {
    const prior = { meanS: expectedS, stdDevS: expectedS * PRIOR_STD_DEV_RATIO };
    const runtimeRatios = this.byWorkload.get(workload);
    const byWorkload = runtimeRatios ? blend(prior, runtimeRatios, expectedS) : prior;
    const jobRuntimes = this.byJob.get(job);
    return jobRuntimes ? blend(byWorkload, jobRuntimes, 1) : byWorkload;
  }

  /**
   * Seconds within which a task that has run for `elapsedS` ends with this probability. Run times are assumed to be log-normal:
   * a task that has run longer than its estimate is not about to end, but is one of the long ones.
   */
  remainingS(job: EstimatedJob, elapsedS: number, probability: number): number {
    const { meanS, stdDevS } = this.estimateRuntime(job);
    const sigma = Math.sqrt(Math.log(1 + (stdDevS / meanS) ** 2));
    const logMedian = Math.log(meanS) - sigma ** 2 / 2;
    const survivalProbability =
      elapsedS > 0 ? 1 - normalProbability((Math.log(elapsedS) - logMedian) / sigma) : 1;
    const endSurvivalProbability = clampProbability(survivalProbability * (1 - probability));
    const remainingS = Math.exp(logMedian + sigma * normalQuantile(1 - endSurvivalProbability)) - elapsedS;
    return Math.max(elapsedS > meanS ? MIN_REMAINING_STD_DEV_RATIO * stdDevS : 0, remainingS);
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

function statisticsFor(statisticsByKey: Map<string, RunningStatistics>, key: string): RunningStatistics {
  const statistics = statisticsByKey.get(key) ?? new RunningStatistics();
  statisticsByKey.set(key, statistics);
  return statistics;
}

/** Combines an estimate with observations, which are in units of `scale` seconds. */
function blend(prior: Estimate, observed: RunningStatistics, scale: number): Estimate {
  const observedWeight = observed.count / (observed.count + PRIOR_WEIGHT_TASK_COUNT);
  const meanS = (1 - observedWeight) * prior.meanS + observedWeight * observed.mean * scale;
  const observedStdDevS = Math.max(Math.sqrt(observed.variance) * scale, MIN_STD_DEV_RATIO * meanS);
  const stdDevS = (1 - observedWeight) * prior.stdDevS + observedWeight * observedStdDevS;
  return { meanS, stdDevS };
}
