import { type JobSpec } from '../../protocol/jobs';
import { type JobProgress, type JobState, type TerminalState } from '../../protocol/records';
import { type Objective } from '../../protocol/settings';
import { PartitionPipelines } from '../pipeline/pipelines';
import { PartitionJob } from './job';
import { deadlinesOf } from './priority';
import { type TeamQuota } from './team-quota';

export interface JobSetOptions {
  /** Epoch of the partition's record: jobs of this revision or an earlier one may have been started by an earlier owner. */
  epoch: number;
  objectives: readonly Objective[];
  /** Open jobs by reference; the job set alone changes it. */
  jobs: Map<string, PartitionJob>;
  quota: TeamQuota;
  /** Specification of a job that is not open any more; its tasks may still be on machines. */
  specOfClosedJob: (ref: string) => JobSpec | undefined;
}

/** A job as the state store has it. */
export interface StoredJobState {
  spec: JobSpec;
  /** Revision at which the state store accepted the job. */
  revision: number;
}

/** An open job as the state store has it. */
export interface OpenJob extends StoredJobState {
  /** Wall-clock time in milliseconds. */
  acceptedAt: number;
  /** Null: no progress has been written. */
  progress: JobProgress | null;
}

/** The open jobs of a partition, the pipelines they belong to, and terminal states that are yet to be written. */
export class JobSet {
  private readonly pipelines = new PartitionPipelines();
  private readonly unwrittenTerminalStates = new Map<string, TerminalState>();
  /** Steady time in milliseconds at which a job last became known. */
  lastArrivalAt = 0;

  constructor(private readonly options: JobSetOptions) {}

  /** Jobs that have ended while the state store does not know it yet. */
  get terminalStates(): ReadonlyMap<string, TerminalState> {
    return this.unwrittenTerminalStates;
  }

  /** Adds an open job. False if it is known already, or of a team of another partition. */
  open({ spec, acceptedAt, revision, progress }: OpenJob, now: number): boolean {
    const { epoch, objectives, jobs, quota } = this.options;
    if (!quota.has(spec.team) || jobs.has(spec.ref)) return false;
    const unconfirmed = revision <= epoch;
    const deadlines = deadlinesOf(spec, objectives);
    const job = new PartitionJob({ spec, acceptedAt, deadlines, progress, unconfirmed, now });
    jobs.set(spec.ref, job);
    quota.invalidateReserved();
    this.pipelines.setMember(spec, 'open', revision);
    this.applyPipeline(spec.ref);
    this.markIfDone(job);
    this.lastArrivalAt = now;
    return true;
  }

  /** Adds a job of a pipeline that has terminated already: its edges still count. */
  addTerminatedPipelineJob({ spec, revision }: StoredJobState, state: JobState): void {
    if (!this.options.quota.has(spec.team) || !spec.pipeline) return;
    this.pipelines.setMember(spec, state, revision);
    this.applyPipeline(spec.ref);
  }

  /** Reserves quota for a job that was cancelled under an earlier owner: its tasks may be on unconfirmed machines. */
  reserveQuotaForCancelled({ spec, revision }: StoredJobState, state: JobState): void {
    const { epoch, quota } = this.options;
    if (quota.has(spec.team) && state !== 'done' && revision <= epoch)
      quota.reserveForCancelled(spec, spec.tasks);
  }

  /** The state store has a job's terminal state. Returns the job if it was open here. */
  close(ref: string, state: JobState): PartitionJob | undefined {
    const { jobs, quota } = this.options;
    if (this.pipelines.markClosed(ref, state)) this.applyPipeline(ref);
    const job = jobs.get(ref);
    if (!job) return undefined;
    job.state = state;
    if (state !== 'done') quota.reserveForCancelled(job.spec, job.unconfirmedCount);
    jobs.delete(ref);
    this.unwrittenTerminalStates.delete(ref);
    return job;
  }

  /** Specification of a job, open or closed; undefined if it is not known at all. */
  specOf(ref: string): JobSpec | undefined {
    return this.options.jobs.get(ref)?.spec ?? this.options.specOfClosedJob(ref);
  }

  /** Sets which jobs of a pipeline are held back by its edges, and terminates those that a failure reaches. */
  private applyPipeline(ref: string): void {
    const { jobs } = this.options;
    const snapshot = this.pipelines.snapshotOf(ref);
    if (!snapshot) return;
    for (const member of snapshot.statusByJob.keys()) {
      const job = jobs.get(member);
      if (job) job.heldByPipeline = !snapshot.ready.has(member);
    }
    // A job that is done stays done, also while the state store does not know it yet.
    for (const [member, state] of snapshot.terminalStates)
      if (jobs.get(member)?.finished === false) this.unwrittenTerminalStates.set(member, state);
  }

  /** A task of the job was started and is lost. Most jobs run it again; one that runs at most once has failed. */
  handleLostTask(job: PartitionJob): void {
    if (job.runsAtMostOnce && this.pipelines.markInterrupted(job.ref)) this.applyPipeline(job.ref);
  }

  /**
   * Every machine is confirmed or its lease has expired: a task that an earlier owner started and that is neither done nor in
   * flight was interrupted.
   */
  failInterruptedJobs(): void {
    for (const job of this.options.jobs.values())
      if (job.runsAtMostOnce && job.hasInterruptedTasks) this.handleLostTask(job);
  }

  /**
   * Marks a job done once all tasks are, and no other attempt of one is still being stopped: the next owner counts nothing of a
   * job that is done against its team's quota, so nothing of it may be left on any machine.
   */
  markIfDone(job: PartitionJob): void {
    if (job.finished && job.inFlight.size === 0) this.unwrittenTerminalStates.set(job.ref, 'done');
  }

  /** The state store has this progress: starts below its watermarks are allowed, exits recorded in it may be forgotten. */
  markProgressWritten(written: ReadonlyMap<string, JobProgress>): void {
    for (const [ref, progress] of written) this.options.jobs.get(ref)?.markProgressWritten(progress);
  }
}
