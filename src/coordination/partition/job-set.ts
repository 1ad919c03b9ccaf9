import { type JobSpec } from '../../protocol/jobs';
import { type JobProgress, type JobState, type TerminalState } from '../../protocol/records';
import { type Objective } from '../../protocol/settings';
import { PartitionPipelines } from '../pipeline/pipelines';
import { PartitionJob } from './job';
import { deadlinesOf } from './priority';
import { type TeamQuota } from './team-quota';

export interface JobSetOptions {
  /** Epoch of the partition's record. An earlier owner may have started jobs whose revision is not larger. */
  epoch: number;
  objectives: readonly Objective[];
  /** Open jobs by reference. Only the job set adds and removes entries. */
  jobs: Map<string, PartitionJob>;
  quota: TeamQuota;
  /** Returns the specification of a job that is no longer open; its tasks may still be on machines. */
  specOfClosedJob: (ref: string) => JobSpec | undefined;
}

/** The specification of a job, and the revision of its acceptance. */
export interface JobAtRevision {
  spec: JobSpec;
  /** Revision of the batch that accepted the job. */
  revision: number;
}

/** An open job as stored in the state store. */
export interface OpenJob extends JobAtRevision {
  /** Wall-clock time of the acceptance, in milliseconds since the Unix epoch. */
  acceptedAt: number;
  /** Null if no progress has been written. */
  progress: JobProgress | null;
}

/** The open jobs of a partition, the pipelines they belong to, and the terminal states that are still to be written. */
export class JobSet {
  private readonly pipelines = new PartitionPipelines();
  private readonly unwrittenTerminalStates = new Map<string, TerminalState>();
  /** Steady time in milliseconds at which a job was last added; 0 if none was. */
  lastArrivalAt = 0;

  constructor(private readonly options: JobSetOptions) {}

  /** Terminal states that are not yet known to be in the state store, by job. */
  get terminalStates(): ReadonlyMap<string, TerminalState> {
    return this.unwrittenTerminalStates;
  }

  /**
   * Adds an open job. Returns false, and does nothing, if it is known already or its team belongs to another partition.
   * `allConfirmed`: no machine can have unreported tasks of earlier owners, so the job's interrupted tasks are known at once.
   */
  open({ spec, acceptedAt, revision, progress }: OpenJob, allConfirmed: boolean, now: number): boolean {
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
    if (allConfirmed) this.failIfInterrupted(job);
    this.lastArrivalAt = now;
    return true;
  }

  /** Adds a terminated job to its pipeline, where its edges still apply. Ignores a job without a pipeline. */
  addTerminatedPipelineJob({ spec, revision }: JobAtRevision, state: JobState): void {
    if (!this.options.quota.has(spec.team) || !spec.pipeline) return;
    this.pipelines.setMember(spec, state, revision);
    this.applyPipeline(spec.ref);
  }

  /**
   * Reserves quota for a job that an earlier owner may have started and that ended in a state other than `done`: its tasks may be
   * on unconfirmed machines.
   */
  reserveQuotaForCancelled({ spec, revision }: JobAtRevision, state: JobState): void {
    const { epoch, quota } = this.options;
    if (quota.has(spec.team) && state !== 'done' && revision <= epoch)
      quota.reserveForCancelled(spec, spec.tasks);
  }

  /** Closes a job whose terminal state is in the state store. Returns the job; undefined if it was not open. */
  close(ref: string, state: JobState): PartitionJob | undefined {
    const { jobs, quota } = this.options;
    if (this.pipelines.markClosed(ref, state)) this.applyPipeline(ref);
    const job = jobs.get(ref);
    if (!job) return undefined;
    job.state = state;
    if (state !== 'done') quota.reserveForCancelled(job.spec, job.reservedTaskCount);
    jobs.delete(ref);
    this.unwrittenTerminalStates.delete(ref);
    return job;
  }

  /** Specification of an open or closed job; undefined if the job is unknown. */
  specOf(ref: string): JobSpec | undefined {
    return this.options.jobs.get(ref)?.spec ?? this.options.specOfClosedJob(ref);
  }

  /** Updates which jobs of a job's pipeline are held back by its edges, and terminates those affected by a failure. */
  private applyPipeline(ref: string): void {
    const { jobs } = this.options;
    const snapshot = this.pipelines.snapshotOf(ref);
    if (!snapshot) return;
    for (const member of snapshot.statusByJob.keys()) {
      const job = jobs.get(member);
      if (job) job.heldByPipeline = !snapshot.ready.has(member);
    }
    // A job whose tasks are all done stays done, even if this is not recorded in the state store yet.
    for (const [member, state] of snapshot.terminalStates)
      if (jobs.get(member)?.finished === false) this.unwrittenTerminalStates.set(member, state);
  }

  /**
   * Fails a job that runs at most once, after one of its tasks was started and has ended without being done. Any other job is left
   * open and runs the task again.
   */
  failIfRunsAtMostOnce(job: PartitionJob): void {
    if (job.runsAtMostOnce && this.pipelines.markInterrupted(job.ref)) this.applyPipeline(job.ref);
  }

  /** Records that all machines are confirmed: the tasks on them are known, and no unreported attempt of any task is left. */
  allMachinesConfirmed(): void {
    for (const job of this.options.jobs.values()) {
      job.confirmAllDone();
      this.markIfDone(job);
    }
    this.failInterruptedJobs();
  }

  /**
   * Fails the jobs that run at most once and have interrupted tasks. Must be called once every machine is confirmed or its lease
   * has expired: a task that an earlier owner started and that is neither done nor in flight was then interrupted.
   */
  private failInterruptedJobs(): void {
    for (const job of this.options.jobs.values()) this.failIfInterrupted(job);
  }

  private failIfInterrupted(job: PartitionJob): void {
    if (job.runsAtMostOnce && job.hasInterruptedTasks) this.failIfRunsAtMostOnce(job);
  }

  /**
   * Marks a job done once all its tasks are done and no other attempt of a task can be left, also not on an unconfirmed machine. The next owner reserves no
   * quota for a job that is done, so none of its tasks may be left on a machine.
   */
  markIfDone(job: PartitionJob): void {
    if (job.certainlyOver) this.unwrittenTerminalStates.set(job.ref, 'done');
  }

  /**
   * Records that the state store has this progress. Tasks below its start watermarks may now be started, and workers may forget the
   * exits that it includes.
   */
  markProgressWritten(written: ReadonlyMap<string, JobProgress>): void {
    for (const [ref, progress] of written) this.options.jobs.get(ref)?.markProgressWritten(progress);
  }
}
