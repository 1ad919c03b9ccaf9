import { type FakeWorker } from '../standin/fake-worker';
import { type SubmittedJobs } from './submitted-jobs';

/** Time that the image of a job without a shape takes. */
const IMAGE_FETCH_MS = 700;
const MIN_SHAPED_RUN_MS = 200;
const MIN_SHAPED_FETCH_MS = 100;
const MIN_RUN_MS = 2000;
/** Run times of tasks without a shape differ by up to this much. */
const RUN_SPREAD_MS = 9000;

/** How long what workers do takes. */
export class TaskDurations {
  /** What stopped tasks have saved of their run time. */
  private readonly checkpointedMs = new Map<string, number>();
  /** When each machine has each image. */
  private readonly imageReadyAt = new Map<string, Map<string, number>>();

  constructor(
    private readonly jobs: SubmittedJobs,
    private readonly extraRunMs: number,
  ) {}

  /** The run time that is left of a task. */
  runMs(taskId: string): number {
    const shape = this.jobs.ofTask(taskId)?.shape;
    if (shape) return Math.max(MIN_SHAPED_RUN_MS, shape.runMs - (this.checkpointedMs.get(taskId) ?? 0));
    const spread = (taskId.length * 7919 + Number(taskId.split('/')[1]) * 104_729) % RUN_SPREAD_MS;
    return this.extraRunMs + MIN_RUN_MS + spread;
  }

  /** The time that a task needs to write a checkpoint; null: it writes none. */
  checkpointMs(taskId: string): number | null {
    const shape = this.jobs.ofTask(taskId)?.shape;
    return shape && shape.checkpointIntervalS > 0 ? shape.checkpointDurationS * 1000 : null;
  }

  /** A task was stopped with a checkpoint after it had run for so long. */
  checkpointed(taskId: string, ranMs: number): void {
    this.checkpointedMs.set(taskId, (this.checkpointedMs.get(taskId) ?? 0) + ranMs);
  }

  /** A shaped job's image is fetched once by each machine; other images take a moment. */
  imageFetchMs(worker: FakeWorker, taskId: string, now: number): number {
    const shape = this.jobs.ofTask(taskId)?.shape;
    if (!shape) return IMAGE_FETCH_MS;
    const images = this.imageReadyAt.get(worker.name) ?? new Map<string, number>();
    this.imageReadyAt.set(worker.name, images);
    const readyAt = images.get(shape.image) ?? now + shape.imageGb * 1000;
    images.set(shape.image, readyAt);
    return Math.max(MIN_SHAPED_FETCH_MS, readyAt - now);
  }
}
