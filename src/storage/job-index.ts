import { type Subject } from 'rxjs';
import { type AcceptedJob, type JobProgress, type JobState } from '../protocol/records';
import { type ReplicaEvent, type StoredJob } from './replica-events';

/** The progress of a job and the slot that it is stored in. */
export interface StoredProgress extends JobProgress {
  /** Index of the partition's progress value that holds it. */
  slot: number;
}

/** A user's cancellation of a job. */
export interface Cancellation {
  job: string;
  /** Revision at which the cancellation was written. */
  revision: number;
}

/** All jobs in the replica: their state, their progress, and the pipelines that they belong to. */
export class JobIndex {
  readonly jobs = new Map<string, StoredJob>();
  /** The jobs of each pipeline. */
  readonly pipelines = new Map<string, StoredJob[]>();
  /** The states in which jobs ended, by ref, including jobs whose batch is not known yet. */
  private readonly terminalStates = new Map<string, JobState>();
  /** The revision at which each cancelled job was cancelled, by ref. */
  private readonly cancelled = new Map<string, number>();
  private readonly progress = new Map<string, StoredProgress>();

  constructor(private readonly events: Subject<ReplicaEvent>) {}

  progressOf(ref: string): StoredProgress | null {
    return this.progress.get(ref) ?? null;
  }

  /**
   * Adds the jobs of a batch. A job may be in two batches: its user submitted it to a second controller before the first one
   * responded, or a batch was applied late. The batch with the lower revision counts, on every controller alike.
   */
  addBatch(batch: readonly AcceptedJob[], revision: number): void {
    for (const { spec, acceptedAt } of batch) {
      const known = this.jobs.get(spec.ref);
      if (known && known.revision <= revision) continue;
      const state = known?.state ?? this.terminalStates.get(spec.ref) ?? 'open';
      const job = { spec, acceptedAt: new Date(acceptedAt).getTime(), revision, state };
      this.jobs.set(spec.ref, job);
      if (spec.pipeline) this.addToPipeline(spec.pipeline.ref, job);
      if (state === 'open') this.events.next({ kind: 'job', job });
    }
  }

  /** Records that a job is cancelled. A second cancellation changes nothing. */
  recordCancellation(ref: string, revision: number): void {
    if (this.cancelled.has(ref)) return;
    this.cancelled.set(ref, revision);
    this.setTerminalState(ref, 'cancelled');
  }

  /** The cancellations after a revision that this replica knows of. */
  cancelledSince(revision: number): Cancellation[] {
    const found: Cancellation[] = [];
    for (const [job, cancelledAt] of this.cancelled) {
      if (cancelledAt > revision) found.push({ job, revision: cancelledAt });
    }
    return found;
  }

  /** Records the state in which a job ended; `done` and `cancelled` are final. */
  setTerminalState(ref: string, state: JobState): void {
    const before = this.terminalStates.get(ref);
    // A job that failed because of its pipeline may still be cancelled by its user, and then stays cancelled.
    if (before === state || before === 'done' || before === 'cancelled') return;
    this.terminalStates.set(ref, state);
    this.progress.delete(ref);
    const job = this.jobs.get(ref);
    if (!job) return;
    job.state = state;
    this.events.next({ kind: 'closed', job });
  }

  setProgress(jobs: ReadonlyMap<string, JobProgress>, slot: number): void {
    for (const [ref, progress] of jobs) {
      if (!this.terminalStates.has(ref)) this.progress.set(ref, { ...progress, slot });
    }
  }

  private addToPipeline(pipeline: string, job: StoredJob): void {
    const others = (this.pipelines.get(pipeline) ?? []).filter((j) => j.spec.ref !== job.spec.ref);
    this.pipelines.set(pipeline, [...others, job]);
  }
}
