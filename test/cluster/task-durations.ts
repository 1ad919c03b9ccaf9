import { type FakeWorker } from '../standin/fake-worker';
import { type SubmittedJobs } from './submitted-jobs';

/** Time in which a machine fetches the image of a random job. */
const IMAGE_FETCH_MS = 700;
const MIN_SPECIFIED_RUN_MS = 200;
const MIN_SPECIFIED_FETCH_MS = 100;
const MIN_RUN_MS = 2000;
/** The run times of random jobs' tasks differ by up to this much. */
const RUN_VARIATION_MS = 9000;

/** The run times, checkpoint durations and image fetch times on the workers. */
export class TaskDurations {
  /** The run time that stopped tasks have saved in checkpoints, by task. */
  private readonly checkpointedMs = new Map<string, number>();
  /** The time at which each machine has each image, by machine and image. */
  private readonly imageReadyAt = new Map<string, Map<string, number>>();

  constructor(
    private readonly jobs: SubmittedJobs,
    private readonly extraRunMs: number,
  ) {}

  /** The remaining run time of a task. */
  runMs(taskId: string): number {
    const parameters = this.jobs.ofTask(taskId)?.parameters;
    if (parameters)
      return Math.max(MIN_SPECIFIED_RUN_MS, parameters.runMs - (this.checkpointedMs.get(taskId) ?? 0));
    const variationMs = (taskId.length * 7919 + Number(taskId.split('/')[1]) * 104_729) % RUN_VARIATION_MS;
    return this.extraRunMs + MIN_RUN_MS + variationMs;
  }

  /** The time that a task needs to write a checkpoint; null if it writes none. */
  checkpointDurationMs(taskId: string): number | null {
    const parameters = this.jobs.ofTask(taskId)?.parameters;
    return parameters && parameters.checkpointIntervalS > 0 ? parameters.checkpointDurationS * 1000 : null;
  }

  /** Records that a task was stopped with a checkpoint after a run of `ranMs`. */
  recordCheckpoint(taskId: string, ranMs: number): void {
    this.checkpointedMs.set(taskId, (this.checkpointedMs.get(taskId) ?? 0) + ranMs);
  }

  /**
   * The time until a machine has a task's image. The image of a job with specified parameters is fetched once by each machine;
   * that of a random job takes `IMAGE_FETCH_MS` each time.
   */
  imageFetchMs(worker: FakeWorker, taskId: string, now: number): number {
    const parameters = this.jobs.ofTask(taskId)?.parameters;
    if (!parameters) return IMAGE_FETCH_MS;
    const images = this.imageReadyAt.get(worker.name) ?? new Map<string, number>();
    this.imageReadyAt.set(worker.name, images);
    const readyAt = images.get(parameters.image) ?? now + parameters.imageGb * 1000;
    images.set(parameters.image, readyAt);
    return Math.max(MIN_SPECIFIED_FETCH_MS, readyAt - now);
  }
}
