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

export interface ApiResponse {
  status: number;
  body: object;
  /** Seconds after which the user may come back. */
  retryAfterS?: number;
}

const unavailable = (error: string): ApiResponse => ({ status: 503, body: { error }, retryAfterS: 1 });
const UNKNOWN_JOB: ApiResponse = { status: 404, body: { error: 'no such job' } };
const DURABLE_WRITE_TIMEOUT_MS = 3000;
const MAX_CANCEL_ATTEMPT_COUNT = 6;
/** Questions waiting for the store beyond this many are shed: their users would have given up before the answer. */
const MAX_PENDING_QUERY_COUNT = 400;
/** Submissions waiting for the store beyond this many are shed: reports and decisions come first. */
const MAX_PENDING_SUBMISSION_COUNT = 300;

/**
 * What users ask for. Any controller answers it from the store's picture alone, so no partition's owner needs to be
 * alive for it. An answer that is not final is given only once the replica is no older than the question.
 */
export class JobService {
  private pendingQueryCount = 0;
  readonly counters = { accepted: 0, cancelled: 0, shed: 0, unavailable: 0 };

  constructor(
    private readonly stateStore: StateStoreClient,
    private readonly replica: ReplicaView,
    private readonly batcher: SubmissionBatcher,
    private readonly clock: Clock,
    private readonly teams: ReadonlyMap<string, Team>,
    private readonly machineTypes: () => ReadonlyMap<string, MachineType>,
    private readonly metrics: Metrics,
  ) {}

  submit(body: unknown): Promise<ApiResponse> {
    return this.measure('submission', this.acceptSubmission(body));
  }

  status(ref: string): Promise<ApiResponse> {
    return this.measure('question', this.answerStatusQuery(ref));
  }

  cancel(ref: string): Promise<ApiResponse> {
    return this.measure('cancellation', this.cancelJob(ref));
  }

  private async measure(operation: string, answer: Promise<ApiResponse>): Promise<ApiResponse> {
    const startedAt = this.clock.steady();
    const result = await answer;
    this.metrics.record(operation, this.clock.steady() - startedAt);
    return result;
  }

  private async acceptSubmission(body: unknown): Promise<ApiResponse> {
    const submission = parseSubmission(body);
    if (!submission.ok) return { status: 400, body: { error: submission.reason } };
    const { spec } = submission;
    // A job that was accepted once is known for ever, whatever its teams and types look like by now.
    if (this.replica.jobs.has(spec.ref)) return this.answerKnownJob(spec.ref);
    const team = this.teams.get(spec.team);
    const catalog = [...this.machineTypes().values()];
    if (team && catalog.length === 0) return this.answerUnavailable('machine types not known yet');
    const job = { spec, acceptedAt: this.clock.wallClock().toISOString() };
    const impossibleReason = team ? infeasibleReason(spec, catalog, team.limit) : `unknown team ${spec.team}`;
    const tooLarge = !this.batcher.fitsInValue(job);
    if (impossibleReason !== null || tooLarge || spec.pipeline) {
      if (!(await this.stateStore.ensureFresh())) return this.answerUnavailable('no answer yet');
      if (this.replica.jobs.has(spec.ref)) return this.answerKnownJob(spec.ref);
      const reason = impossibleReason ?? pipelineLinkError(spec, this.replica);
      if (reason !== null) return { status: 422, body: { error: reason } };
      if (tooLarge) return { status: 400, body: { error: 'the description is too large to be kept' } };
    }
    if (this.batcher.pendingCount >= MAX_PENDING_SUBMISSION_COUNT) {
      this.counters.shed++;
      return { status: 429, body: { error: 'overloaded' }, retryAfterS: 2 };
    }
    const result = await this.batcher.submit(job);
    if (result === 'known') return this.answerKnownJob(spec.ref);
    if (result === 'failed') return this.answerUnavailable('no durable answer in time');
    this.counters.accepted++;
    return { status: 201, body: { ref: spec.ref, status: 'queued' } };
  }

  private async answerKnownJob(ref: string): Promise<ApiResponse> {
    const answer = await this.answerStatusQuery(ref);
    return answer.status === 404 ? unavailable('no answer yet') : answer;
  }

  private answerUnavailable(error: string): ApiResponse {
    this.counters.unavailable++;
    return unavailable(error);
  }

  private async answerStatusQuery(ref: string): Promise<ApiResponse> {
    const known = this.replica.jobs.get(ref);
    if (known && isTerminal(known)) return { status: 200, body: this.jobBody(known) };
    if (this.pendingQueryCount >= MAX_PENDING_QUERY_COUNT) {
      this.counters.shed++;
      return { status: 429, body: { error: 'overloaded' }, retryAfterS: 2 };
    }
    this.pendingQueryCount++;
    const job = await this.findJob(ref).finally(() => this.pendingQueryCount--);
    if (job === null) return this.answerUnavailable('no answer yet');
    return job === 'absent' ? UNKNOWN_JOB : { status: 200, body: this.jobBody(job) };
  }

  private async cancelJob(ref: string): Promise<ApiResponse> {
    for (let attempt = 0; attempt < MAX_CANCEL_ATTEMPT_COUNT; attempt++) {
      const job = await this.findJob(ref);
      if (job === null) break;
      if (job === 'absent') return UNKNOWN_JOB;
      if (isTerminal(job)) return { status: 200, body: this.jobBody(job) };
      const conditions = this.openJobConditions(job);
      if (!conditions) break;
      const result = await this.stateStore.transact(
        conditions,
        [{ put: keys.cancel(ref), value: 1 }],
        RequestPriority.Decision,
        DURABLE_WRITE_TIMEOUT_MS,
      );
      if (result.kind === 'applied') {
        this.counters.cancelled++;
        // Before the user hears of it: from now on an extension of ours must tell it, and our own partitions must know.
        this.replica.recordCancellation(ref, result.revision);
        return { status: 200, body: { ref, status: 'aborted' } };
      }
      // Some job of the partition ended between reading and writing: look again.
      if (result.kind !== 'conflict') break;
    }
    return this.answerUnavailable('no durable answer in time');
  }

  /** What must hold for a job to be cancelled: nobody did so yet, and nobody wrote down that it has ended. */
  private openJobConditions(job: StoredJob): Condition[] | null {
    const partition = this.replica.partitionOfTeam(job.spec.team)?.id;
    if (partition === undefined) return null;
    const last = this.replica.lastTerminalStatesIndex(partition);
    const current = keys.terminalStates(partition, last);
    return [
      { key: keys.cancel(job.spec.ref), revision: 0 },
      { key: current, revision: this.stateStore.revisionOf(current) },
      { key: keys.terminalStates(partition, last + 1), revision: 0 },
    ];
  }

  /** A final state never changes, so the replica's word is enough; anything else must be as it is now. */
  private async findJob(ref: string): Promise<StoredJob | 'absent' | null> {
    const known = this.replica.jobs.get(ref);
    if (known && isTerminal(known)) return known;
    if (!(await this.stateStore.ensureFresh())) return null;
    return this.replica.jobs.get(ref) ?? 'absent';
  }

  private jobBody({ spec, state }: StoredJob): object {
    const progress = this.replica.progressOf(spec.ref);
    const running = state === 'open' ? (progress?.runningCount ?? 0) : 0;
    const done = state === 'done' ? spec.tasks : (progress?.doneCount ?? 0);
    const open: JobStatus = running > 0 ? 'running' : 'queued';
    // A job that failed for its pipeline's sake is over for us but not for its user, who alone may cancel it.
    const status = state === 'done' || state === 'cancelled' ? state : open;
    return jobStatusBody(spec.ref, status, done, running, this.pipelineStanding(spec));
  }

  private pipelineStanding({ ref, pipeline }: JobSpec): ({ ref: string } & PipelineJobStatus) | undefined {
    if (!pipeline) return undefined;
    const members = (this.replica.pipelines.get(pipeline.ref) ?? []).map((j) => ({
      ...j,
      order: j.revision,
    }));
    const standing = evaluatePipeline(members, new Set()).standing.get(ref);
    return standing && { ref: pipeline.ref, ...standing };
  }
}

/** Nothing that may still come changes it. */
function isTerminal({ state }: StoredJob): boolean {
  return state === 'done' || state === 'cancelled';
}

/** Why a job cannot hang together with the jobs that it names, or null. They are known already, so no cycle is. */
function pipelineLinkError({ ref, team, pipeline }: JobSpec, replica: ReplicaView): string | null {
  const named = pipeline ? [...pipeline.after.map((e) => e.job), pipeline.alternateFor] : [];
  for (const job of named) {
    if (job === null) continue;
    if (job === ref) return `pipeline: ${ref} hangs on itself`;
    const other = replica.jobs.get(job)?.spec;
    if (!other) return `pipeline: ${job} is not known`;
    if (other.team !== team) return `pipeline: ${job} is another team's`;
    if (other.pipeline?.ref !== pipeline?.ref) return `pipeline: ${job} is not of this pipeline`;
  }
  return null;
}
