/** The service for users: submissions, cancellations and status queries of jobs. */
import { type Clock } from '../../transport/clock';
import { type Metrics } from '../../transport/metrics';
import { type ReplicaView } from '../../storage/replica-view';
import { type StoredJob } from '../../storage/replica-events';
import { type SubmissionBatcher } from '../../storage/submission-batcher';
import { RequestPriority } from '../../storage/request-queue';
import { type StateStoreClient } from '../../storage/state-store-client';
import {
  jobStatusBody,
  parseSubmission,
  type JobSpec,
  type JobStatus,
  type PipelineJobStatus,
} from '../../protocol/jobs';
import { keys } from '../../protocol/keys';
import { type MachineType } from '../../protocol/cloud';
import { type Condition } from '../../protocol/store';
import { type Team } from '../../protocol/settings';
import { evaluatePipeline } from '../pipeline/pipelines';
import { infeasibleReason } from '../partition/placement';
import { JOB_NOT_FOUND, type ApiResponse } from './api-responses';

const unavailableResponse = (error: string): ApiResponse => ({
  status: 503,
  body: { error },
  retryAfterS: 1,
});
const DURABLE_WRITE_TIMEOUT_MS = 3000;
const MAX_CANCEL_ATTEMPT_COUNT = 6;
/** If this many status queries wait for the state store, others are shed: their users would give up before the response. */
const MAX_PENDING_QUERY_COUNT = 400;
/** If this many submissions wait for the state store, others are shed: heartbeats and scheduling decisions come first. */
const MAX_PENDING_SUBMISSION_COUNT = 300;

export interface JobServiceDependencies {
  stateStore: StateStoreClient;
  replica: ReplicaView;
  batcher: SubmissionBatcher;
  clock: Clock;
  teams: ReadonlyMap<string, Team>;
  /** By name; empty until a controller has received the machine types from the cloud. */
  machineTypes: () => ReadonlyMap<string, MachineType>;
  metrics: Metrics;
}

/**
 * Responds to users on any controller. Uses only the state store and its replica, so the owner of a job's partition need not
 * be running. A status that may still change is returned only once the replica is no older than the query.
 */
export class JobService {
  private pendingQueryCount = 0;
  /** Shown in `GET /status`. */
  readonly counters = { accepted: 0, cancelled: 0, shed: 0, unavailable: 0 };

  constructor(private readonly deps: JobServiceDependencies) {}

  /** Accepts a job durably, or returns the reason why not. Safe to repeat, because a job is identified by its ref. */
  submit(body: unknown): Promise<ApiResponse> {
    return this.measure('submission', this.acceptSubmission(body));
  }

  /** Returns the current state of a job, or an error if it cannot be determined in time. */
  status(ref: string): Promise<ApiResponse> {
    return this.measure('question', this.answerStatusQuery(ref));
  }

  /** Cancels a job durably, unless it has ended already. Safe to repeat. */
  cancel(ref: string): Promise<ApiResponse> {
    return this.measure('cancellation', this.cancelJob(ref));
  }

  private async measure(operation: string, response: Promise<ApiResponse>): Promise<ApiResponse> {
    const startedAt = this.deps.clock.steady();
    const result = await response;
    this.deps.metrics.record(operation, this.deps.clock.steady() - startedAt);
    return result;
  }

  private async acceptSubmission(body: unknown): Promise<ApiResponse> {
    const submission = parseSubmission(body);
    if (!submission.ok) return { status: 400, body: { error: submission.reason } };
    const { spec } = submission;
    // A job that was accepted once stays accepted, whatever teams and machine types exist now.
    if (this.deps.replica.jobs.has(spec.ref)) return this.answerKnownJob(spec.ref);
    const team = this.deps.teams.get(spec.team);
    const machineTypes = [...this.deps.machineTypes().values()];
    if (team && machineTypes.length === 0) return this.answerUnavailable('machine types not known yet');
    const job = { spec, acceptedAt: this.deps.clock.wallClock().toISOString() };
    const rejectionReason = team
      ? infeasibleReason(spec, machineTypes, team.limit)
      : `unknown team ${spec.team}`;
    const tooLarge = !this.deps.batcher.fitsInValue(job);
    if (rejectionReason !== null || tooLarge || spec.pipeline) {
      if (!(await this.deps.stateStore.ensureFresh())) return this.answerUnavailable('no answer yet');
      if (this.deps.replica.jobs.has(spec.ref)) return this.answerKnownJob(spec.ref);
      const reason = rejectionReason ?? pipelineLinkError(spec, this.deps.replica);
      if (reason !== null) return { status: 422, body: { error: reason } };
      if (tooLarge) return { status: 400, body: { error: 'the description is too large to be kept' } };
    }
    if (this.deps.batcher.pendingCount >= MAX_PENDING_SUBMISSION_COUNT) {
      this.counters.shed++;
      return { status: 429, body: { error: 'overloaded' }, retryAfterS: 2 };
    }
    const result = await this.deps.batcher.submit(job);
    if (result === 'known') return this.answerKnownJob(spec.ref);
    if (result === 'failed') return this.answerUnavailable('no durable answer in time');
    this.counters.accepted++;
    return { status: 201, body: { ref: spec.ref, status: 'queued' } };
  }

  private async answerKnownJob(ref: string): Promise<ApiResponse> {
    const response = await this.answerStatusQuery(ref);
    return response.status === 404 ? unavailableResponse('no answer yet') : response;
  }

  private answerUnavailable(error: string): ApiResponse {
    this.counters.unavailable++;
    return unavailableResponse(error);
  }

  private async answerStatusQuery(ref: string): Promise<ApiResponse> {
    const known = this.deps.replica.jobs.get(ref);
    if (known && isTerminal(known)) return { status: 200, body: this.jobBody(known) };
    if (this.pendingQueryCount >= MAX_PENDING_QUERY_COUNT) {
      this.counters.shed++;
      return { status: 429, body: { error: 'overloaded' }, retryAfterS: 2 };
    }
    this.pendingQueryCount++;
    const job = await this.findJob(ref).finally(() => this.pendingQueryCount--);
    if (job === null) return this.answerUnavailable('no answer yet');
    return job === 'absent' ? JOB_NOT_FOUND : { status: 200, body: this.jobBody(job) };
  }

  private async cancelJob(ref: string): Promise<ApiResponse> {
    for (let attempt = 0; attempt < MAX_CANCEL_ATTEMPT_COUNT; attempt++) {
      const job = await this.findJob(ref);
      if (job === null) break;
      if (job === 'absent') return JOB_NOT_FOUND;
      if (isTerminal(job)) return { status: 200, body: this.jobBody(job) };
      const conditions = this.openJobConditions(job);
      if (!conditions) break;
      const result = await this.deps.stateStore.transact(
        conditions,
        [{ put: keys.cancellation(ref), value: 1 }],
        RequestPriority.Decision,
        DURABLE_WRITE_TIMEOUT_MS,
      );
      if (result.kind === 'applied') {
        this.counters.cancelled++;
        // Recorded before the user gets the response: from now on, lease extensions granted by this controller must include
        // the cancellation, and the partitions that it owns must know of it.
        this.deps.replica.recordCancellation(ref, result.revision);
        return { status: 200, body: { ref, status: 'aborted' } };
      }
      // After a conflict, the loop reads again: some job of the partition ended between the read and the write.
      if (result.kind !== 'conflict') break;
    }
    return this.answerUnavailable('no durable answer in time');
  }

  /**
   * The conditions for cancelling an open job: it has not been cancelled yet, and the owner of its partition has written no
   * terminal state, of this or any other job, that the replica does not show. Null if the partition of its team is unknown.
   */
  private openJobConditions(job: StoredJob): Condition[] | null {
    const partition = this.deps.replica.partitionOfTeam(job.spec.team)?.id;
    if (partition === undefined) return null;
    const lastIndex = this.deps.replica.lastTerminalStatesIndex(partition);
    const currentKey = keys.terminalStates(partition, lastIndex);
    return [
      { key: keys.cancellation(job.spec.ref), revision: 0 },
      { key: currentKey, revision: this.deps.stateStore.revisionOf(currentKey) },
      { key: keys.terminalStates(partition, lastIndex + 1), revision: 0 },
    ];
  }

  /**
   * Returns a job, `absent` if there is none, or null if that cannot be determined in time. A terminal state never changes,
   * so the replica as it is suffices for it; any other state must be current.
   */
  private async findJob(ref: string): Promise<StoredJob | 'absent' | null> {
    const known = this.deps.replica.jobs.get(ref);
    if (known && isTerminal(known)) return known;
    if (!(await this.deps.stateStore.ensureFresh())) return null;
    return this.deps.replica.jobs.get(ref) ?? 'absent';
  }

  private jobBody({ spec, state }: StoredJob): object {
    const progress = this.deps.replica.progressOf(spec.ref);
    const running = state === 'open' ? (progress?.runningCount ?? 0) : 0;
    const done = state === 'done' ? spec.tasks : (progress?.doneCount ?? 0);
    const openStatus: JobStatus = running > 0 ? 'running' : 'queued';
    // A job that failed because of its pipeline is over for the scheduler but not for its user, who alone may cancel it.
    const status = state === 'done' || state === 'cancelled' ? state : openStatus;
    return jobStatusBody(spec.ref, status, done, running, this.pipelineStatus(spec));
  }

  private pipelineStatus({ ref, pipeline }: JobSpec): ({ ref: string } & PipelineJobStatus) | undefined {
    if (!pipeline) return undefined;
    const pipelineJobs = (this.deps.replica.pipelines.get(pipeline.ref) ?? []).map((job) => ({
      ...job,
      order: job.revision,
    }));
    const status = evaluatePipeline(pipelineJobs, new Set()).statusByJob.get(ref);
    return status && { ref: pipeline.ref, ...status };
  }
}

/** Whether the state of a job can no longer change. */
function isTerminal({ state }: StoredJob): boolean {
  return state === 'done' || state === 'cancelled';
}

/**
 * Returns why a job cannot be linked to the jobs that it names; null if it can. Those jobs must be known already, so links
 * never form a cycle.
 */
function pipelineLinkError({ ref, team, pipeline }: JobSpec, replica: ReplicaView): string | null {
  const linkedJobs = pipeline ? [...pipeline.after.map((edge) => edge.job), pipeline.alternateFor] : [];
  for (const job of linkedJobs) {
    if (job === null) continue;
    if (job === ref) return `pipeline: ${ref} hangs on itself`;
    const other = replica.jobs.get(job)?.spec;
    if (!other) return `pipeline: ${job} is not known`;
    if (other.team !== team) return `pipeline: ${job} is another team's`;
    if (other.pipeline?.ref !== pipeline?.ref) return `pipeline: ${job} is not of this pipeline`;
  }
  return null;
}
