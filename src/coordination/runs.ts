import { type Clock } from '../transport/clock';
import { Priority, type Ledger } from '../storage/ledger';
import { jobAnswer, parseSubmission, type JobStatus } from '../protocol/jobs';
import { keys, type JobRecord, type PipelineRecord } from '../protocol/records';
import { type MachineType } from '../protocol/cloud';
import { type Team } from '../protocol/settings';
import { impossible } from './placement';

export interface UserAnswer {
  status: number;
  body: object;
  /** Seconds after which the user may come back. */
  retryAfter?: number;
}

type Found =
  { kind: 'job'; record: PipelineRecord; version: number } | { kind: 'absent' } | { kind: 'failed' };

const unavailable = (error: string): UserAnswer => ({ status: 503, body: { error }, retryAfter: 1 });
const DURABLE_MS = 3000;
/** Submissions waiting for the store beyond this many are shed: reports and decisions come first. */
const MAX_PENDING = 120;

/**
 * What users ask for. Any controller answers it from the store alone: acceptance and cancellation are
 * conditional writes, so no part's owner needs to be alive for them.
 */
export class Runs {
  private pending = 0;
  readonly counters = { accepted: 0, cancelled: 0, shed: 0, unavailable: 0 };

  constructor(
    private readonly ledger: Ledger,
    private readonly clock: Clock,
    private readonly teams: ReadonlyMap<string, Team>,
    private readonly types: () => ReadonlyMap<string, MachineType>,
  ) {}

  async submit(body: unknown): Promise<UserAnswer> {
    const read = parseSubmission(body);
    if (!read.ok) return { status: 400, body: { error: read.reason } };
    const { spec } = read;
    // A job that was accepted once is known for ever, whatever its teams and types look like by now.
    const key = keys.pipeline(spec.ref);
    if (this.ledger.entries.has(key)) return this.known(spec.ref);
    const team = this.teams.get(spec.team);
    const catalog = [...this.types().values()];
    if (team && catalog.length === 0) return unavailable('machine types not known yet');
    const reason = team ? impossible(spec, catalog, team.limit) : `unknown team ${spec.team}`;
    if (reason) {
      const found = await this.fresh(spec.ref);
      if (found.kind === 'job') return this.known(spec.ref);
      return found.kind === 'absent'
        ? { status: 422, body: { error: reason } }
        : unavailable('no answer yet');
    }
    if (this.pending >= MAX_PENDING) {
      this.counters.shed++;
      return { status: 429, body: { error: 'overloaded' }, retryAfter: 2 };
    }
    const job: JobRecord = { spec, state: 'open', done: '', doneCount: 0, running: 0 };
    const record: PipelineRecord = { accepted: this.clock.today().toISOString(), jobs: [job] };
    this.pending++;
    const result = await this.ledger.txn(
      [{ key, version: 0 }],
      [{ put: key, value: record }],
      Priority.Decision,
      DURABLE_MS,
    );
    this.pending--;
    if (result.kind === 'applied') {
      this.counters.accepted++;
      return { status: 201, body: { ref: spec.ref, status: 'queued' } };
    }
    if (result.kind === 'conflict') return this.known(spec.ref);
    this.counters.unavailable++;
    return unavailable('no durable answer in time');
  }

  private async known(ref: string): Promise<UserAnswer> {
    const answer = await this.status(ref);
    return answer.status === 404 ? unavailable('no answer yet') : answer;
  }

  async status(ref: string): Promise<UserAnswer> {
    const found = await this.find(ref);
    if (found.kind === 'failed') return unavailable('no answer yet');
    if (found.kind === 'absent') return { status: 404, body: { error: 'no such job' } };
    const job = found.record.jobs[0] as JobRecord;
    return { status: 200, body: jobAnswer(ref, statusOf(job), job.doneCount, job.running) };
  }

  async cancel(ref: string): Promise<UserAnswer> {
    for (let tries = 0; tries < 6; tries++) {
      const found = await this.find(ref);
      if (found.kind === 'failed') return unavailable('no answer yet');
      if (found.kind === 'absent') return { status: 404, body: { error: 'no such job' } };
      const job = found.record.jobs[0] as JobRecord;
      if (job.state !== 'open') return { status: 200, body: { ref, status: shown(job) } };
      const record: PipelineRecord = { ...found.record, jobs: [{ ...job, state: 'cancelled', running: 0 }] };
      const key = keys.pipeline(ref);
      const result = await this.ledger.txn(
        [{ key, version: found.version }],
        [{ put: key, value: record }],
        Priority.Decision,
        DURABLE_MS,
      );
      if (result.kind === 'applied') {
        this.counters.cancelled++;
        return { status: 200, body: { ref, status: 'aborted' } };
      }
      // Progress was written between reading and writing: read again.
      if (result.kind !== 'conflict') break;
    }
    return unavailable('no durable answer in time');
  }

  /** A final state never changes, so the replica's word is enough; anything else is read as it is now. */
  private async find(ref: string): Promise<Found> {
    const entry = this.ledger.entries.get(keys.pipeline(ref));
    const record = entry?.value as PipelineRecord | undefined;
    if (entry && record && record.jobs[0]?.state !== 'open')
      return { kind: 'job', record, version: entry.version };
    return this.fresh(ref);
  }

  private async fresh(ref: string): Promise<Found> {
    const read = await this.ledger.read(keys.pipeline(ref));
    if (read.kind !== 'entry') return read;
    return { kind: 'job', record: read.entry.value as PipelineRecord, version: read.entry.version };
  }
}

function shown(job: JobRecord): string {
  return job.state === 'done' ? 'done' : 'aborted';
}

function statusOf(job: JobRecord): JobStatus {
  if (job.state === 'done') return 'done';
  if (job.state === 'open') return job.running > 0 ? 'running' : 'queued';
  return 'cancelled';
}
