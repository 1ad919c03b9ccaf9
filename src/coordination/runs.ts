import { type Clock } from '../transport/clock';
import { type Metrics } from '../transport/metrics';
import { type ReplicaView, type StoredJob } from '../storage/replica-view';
import { type SubmissionBatcher } from '../storage/submission-batcher';
import { RequestPriority, type Ledger } from '../storage/ledger';
import {
  jobAnswer,
  parseSubmission,
  type JobSpec,
  type JobStatus,
  type PipelineStanding,
} from '../protocol/jobs';
import { keys } from '../protocol/records';
import { type MachineType } from '../protocol/cloud';
import { type Condition } from '../protocol/store';
import { type Team } from '../protocol/settings';
import { pipelineView } from './pipelines';
import { impossible } from './placement';

export interface UserAnswer {
  status: number;
  body: object;
  /** Seconds after which the user may come back. */
  retryAfter?: number;
}

const unavailable = (error: string): UserAnswer => ({ status: 503, body: { error }, retryAfter: 1 });
const unknownJob: UserAnswer = { status: 404, body: { error: 'no such job' } };
const DURABLE_MS = 3000;
const CANCEL_TRIES = 6;
/** Questions waiting for the store beyond this many are shed: their users would have given up before the answer. */
const MAX_QUESTIONS = 400;
/** Submissions waiting for the store beyond this many are shed: reports and decisions come first. */
const MAX_PENDING = 300;

/**
 * What users ask for. Any controller answers it from the store's picture alone, so no partition's owner needs to be
 * alive for it. An answer that is not final is given only once the replica is no older than the question.
 */
export class Runs {
  private questions = 0;
  readonly counters = { accepted: 0, cancelled: 0, shed: 0, unavailable: 0 };

  constructor(
    private readonly ledger: Ledger,
    private readonly replica: ReplicaView,
    private readonly batcher: SubmissionBatcher,
    private readonly clock: Clock,
    private readonly teams: ReadonlyMap<string, Team>,
    private readonly types: () => ReadonlyMap<string, MachineType>,
    private readonly metrics: Metrics,
  ) {}

  submit(body: unknown): Promise<UserAnswer> {
    return this.timed('submission', this.accept(body));
  }

  status(ref: string): Promise<UserAnswer> {
    return this.timed('question', this.tell(ref));
  }

  cancel(ref: string): Promise<UserAnswer> {
    return this.timed('cancellation', this.cancelJob(ref));
  }

  private async timed(what: string, answer: Promise<UserAnswer>): Promise<UserAnswer> {
    const since = this.clock.steady();
    const result = await answer;
    this.metrics.record(what, this.clock.steady() - since);
    return result;
  }

  private async accept(body: unknown): Promise<UserAnswer> {
    const read = parseSubmission(body);
    if (!read.ok) return { status: 400, body: { error: read.reason } };
    const { spec } = read;
    // A job that was accepted once is known for ever, whatever its teams and types look like by now.
    if (this.replica.jobs.has(spec.ref)) return this.known(spec.ref);
    const team = this.teams.get(spec.team);
    const catalog = [...this.types().values()];
    if (team && catalog.length === 0) return this.failed('machine types not known yet');
    const job = { spec, accepted: this.clock.today().toISOString() };
    const never = team ? impossible(spec, catalog, team.limit) : `unknown team ${spec.team}`;
    const tooLarge = !this.batcher.holds(job);
    if (never !== null || tooLarge || spec.pipeline) {
      if (!(await this.ledger.fresh())) return this.failed('no answer yet');
      if (this.replica.jobs.has(spec.ref)) return this.known(spec.ref);
      const reason = never ?? badLink(spec, this.replica);
      if (reason !== null) return { status: 422, body: { error: reason } };
      if (tooLarge) return { status: 400, body: { error: 'the description is too large to be kept' } };
    }
    if (this.batcher.waiting >= MAX_PENDING) {
      this.counters.shed++;
      return { status: 429, body: { error: 'overloaded' }, retryAfter: 2 };
    }
    const result = await this.batcher.submit(job);
    if (result === 'known') return this.known(spec.ref);
    if (result === 'failed') return this.failed('no durable answer in time');
    this.counters.accepted++;
    return { status: 201, body: { ref: spec.ref, status: 'queued' } };
  }

  private async known(ref: string): Promise<UserAnswer> {
    const answer = await this.tell(ref);
    return answer.status === 404 ? unavailable('no answer yet') : answer;
  }

  private failed(error: string): UserAnswer {
    this.counters.unavailable++;
    return unavailable(error);
  }

  private async tell(ref: string): Promise<UserAnswer> {
    const known = this.replica.jobs.get(ref);
    if (known && isFinal(known)) return { status: 200, body: this.shown(known) };
    if (this.questions >= MAX_QUESTIONS) {
      this.counters.shed++;
      return { status: 429, body: { error: 'overloaded' }, retryAfter: 2 };
    }
    this.questions++;
    const job = await this.find(ref).finally(() => this.questions--);
    if (job === null) return this.failed('no answer yet');
    return job === 'absent' ? unknownJob : { status: 200, body: this.shown(job) };
  }

  private async cancelJob(ref: string): Promise<UserAnswer> {
    for (let tries = 0; tries < CANCEL_TRIES; tries++) {
      const job = await this.find(ref);
      if (job === null) break;
      if (job === 'absent') return unknownJob;
      if (isFinal(job)) return { status: 200, body: this.shown(job) };
      const unchanged = this.stillOpen(job);
      if (!unchanged) break;
      const result = await this.ledger.txn(
        unchanged,
        [{ put: keys.cancel(ref), value: 1 }],
        RequestPriority.Decision,
        DURABLE_MS,
      );
      if (result.kind === 'applied') {
        this.counters.cancelled++;
        // Before the user hears of it: from now on an extension of ours must tell it, and our own partitions must know.
        this.replica.learnCancelled(ref, result.revision);
        return { status: 200, body: { ref, status: 'aborted' } };
      }
      // Some job of the partition ended between reading and writing: look again.
      if (result.kind !== 'conflict') break;
    }
    return this.failed('no durable answer in time');
  }

  /** What must hold for a job to be cancelled: nobody did so yet, and nobody wrote down that it has ended. */
  private stillOpen(job: StoredJob): Condition[] | null {
    const partition = this.replica.partitionOfTeam(job.spec.team)?.id;
    if (partition === undefined) return null;
    const last = this.replica.lastFinal(partition);
    const current = keys.final(partition, last);
    return [
      { key: keys.cancel(job.spec.ref), version: 0 },
      { key: current, version: this.ledger.version(current) },
      { key: keys.final(partition, last + 1), version: 0 },
    ];
  }

  /** A final state never changes, so the replica's word is enough; anything else must be as it is now. */
  private async find(ref: string): Promise<StoredJob | 'absent' | null> {
    const known = this.replica.jobs.get(ref);
    if (known && isFinal(known)) return known;
    if (!(await this.ledger.fresh())) return null;
    return this.replica.jobs.get(ref) ?? 'absent';
  }

  private shown({ spec, state }: StoredJob): object {
    const progress = this.replica.progressOf(spec.ref);
    const running = state === 'open' ? (progress?.running ?? 0) : 0;
    const done = state === 'done' ? spec.tasks : (progress?.doneCount ?? 0);
    const open: JobStatus = running > 0 ? 'running' : 'queued';
    // A job that failed for its pipeline's sake is over for us but not for its user, who alone may cancel it.
    const status = state === 'done' || state === 'cancelled' ? state : open;
    return jobAnswer(spec.ref, status, done, running, this.standing(spec));
  }

  private standing({ ref, pipeline }: JobSpec): ({ ref: string } & PipelineStanding) | undefined {
    if (!pipeline) return undefined;
    const members = (this.replica.pipelines.get(pipeline.ref) ?? []).map((j) => ({ ...j, order: j.version }));
    const standing = pipelineView(members, new Set()).standing.get(ref);
    return standing && { ref: pipeline.ref, ...standing };
  }
}

/** Nothing that may still come changes it. */
function isFinal({ state }: StoredJob): boolean {
  return state === 'done' || state === 'cancelled';
}

/** Why a job cannot hang together with the jobs that it names, or null. They are known already, so no cycle is. */
function badLink({ ref, team, pipeline }: JobSpec, replica: ReplicaView): string | null {
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
