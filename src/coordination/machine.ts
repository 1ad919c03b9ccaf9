import { DRIFT } from '../transport/clock';
import { type JobSpec } from '../protocol/jobs';
import { type MachineRecord } from '../protocol/records';
import { type Command, type ExitReason, type Report, type ReportedTask } from '../protocol/workers';
import { type Free } from './placement';

/** A start that was sent or seen: the task counts as being on the machine until it is surely gone. */
export interface InFlightTask {
  ref: string;
  index: number;
  attempt: number;
  /** What it takes of its machine; null: a task of a job that nobody knows. */
  spec: JobSpec | null;
  phase: 'sent' | 'seen';
  /** The report in whose answer the start went out. */
  sentIn: { session: number; seq: number };
  /** Set once the task is to be stopped. */
  stop: { graceS: number } | null;
  saving: boolean;
  /** When it was started, or first seen by this owner. */
  since: number;
  /** When it was first seen running (image present), or null. */
  runningSince: number | null;
}

export interface Exit {
  ref: string;
  index: number;
  attempt: number;
  reason: ExitReason;
  /** What we had in flight of it, if it was this attempt. */
  inFlight: InFlightTask | null;
}

export interface ReportOutcome {
  exits: Exit[];
  /** Tasks in flight that are surely not on the machine. */
  lost: InFlightTask[];
  /** Live tasks that were not in flight here. */
  strangers: ReportedTask[];
}

/** Tokens that one owner may use for a machine, one after the other. */
const PROBES = 1024;

export function taskKey(ref: string, index: number): string {
  return `${ref}/${index}`;
}

/** What the tasks on a machine may have been told by somebody else before us is unknown until it is `confirmed`. */
export class MachineState {
  private readonly inFlight = new Map<string, InFlightTask>();
  /** Exited attempts still in the reports. */
  readonly exited = new Map<string, Exit>();
  readonly images = new Set<string>();
  session = 0;
  seq = 0;
  noticeUntil: number | null = null;
  lastReport: number | null = null;
  idleSince: number;
  /** Tasks that failed here since the last one that was done, by job. */
  readonly failing = new Map<string, number>();
  /** Some task of some job was done here. */
  proven = false;
  /** The partition that gets the machine once it is empty. */
  leavingTo: string | null = null;
  /** The machine is being moved or returned: nothing new is planned on it. */
  locked = false;
  /** Room is better looked for elsewhere just now. */
  passedOver = false;
  /** It has shown our token, so it hears us. */
  hears = false;
  private probe = 0;
  private leaseFrom: number;
  /** Since when nobody but us answers it. */
  private readonly oursFrom: number;
  private readonly used: Free = { cpus: 0, accelerators: 0, memoryGb: 0 };
  private unknownTasks = 0;
  /** Room that is held for tasks which are to be moved here. */
  private readonly reservations = new Map<string, JobSpec>();

  constructor(
    readonly id: string,
    public record: MachineRecord,
    public version: number,
    /** Nothing that somebody else started can be on it any more. */
    public confirmed: boolean,
    now: number,
  ) {
    this.leaseFrom = now;
    this.oursFrom = now;
    this.idleSince = now;
  }

  get tasks(): ReadonlyMap<string, InFlightTask> {
    return this.inFlight;
  }

  add(task: InFlightTask): void {
    this.remove(task);
    this.inFlight.set(taskKey(task.ref, task.index), task);
    this.count(task, 1);
  }

  remove(task: { ref: string; index: number }): void {
    const key = taskKey(task.ref, task.index);
    const known = this.inFlight.get(key);
    if (!known) return;
    this.inFlight.delete(key);
    this.count(known, -1);
  }

  private count({ spec }: InFlightTask, sign: number): void {
    if (spec) this.use(spec, sign);
    else this.unknownTasks += sign;
  }

  private use(spec: JobSpec, sign: number): void {
    this.used.cpus += sign * spec.cpus;
    this.used.accelerators += sign * spec.accelerators;
    this.used.memoryGb += sign * spec.memoryGb;
  }

  /** Room is held here for tasks that come from other machines: it is neither given out nor does the machine go away. */
  get reserved(): boolean {
    return this.reservations.size > 0;
  }

  reserve(key: string, spec: JobSpec): void {
    if (this.reservations.has(key)) return;
    this.reservations.set(key, spec);
    this.use(spec, 1);
  }

  release(key: string): void {
    const spec = this.reservations.get(key);
    if (spec && this.reservations.delete(key)) this.use(spec, -1);
  }

  /** What is free on a machine that has this much; null while something unknown is on it. */
  free(has: Free): Free | null {
    if (this.unknownTasks > 0) return null;
    const { cpus, accelerators, memoryGb } = this.used;
    return {
      cpus: has.cpus - cpus,
      accelerators: has.accelerators - accelerators,
      memoryGb: has.memoryGb - memoryGb,
    };
  }

  /** True if the report is newer than all that was seen before. Late copies of old ones do arrive. */
  isNews(report: Report): boolean {
    return report.session > this.session || (report.session === this.session && report.seq > this.seq);
  }

  /** What an answer must carry: larger than any earlier owner's, and larger again whenever we doubt that it hears. */
  token(partitionVersion: number): number {
    return Math.max(partitionVersion, this.version) * PROBES + this.probe;
  }

  /** Asks for another proof that it hears us: until then nothing is started there, for starts would only vanish. */
  private doubt(): void {
    this.hears = false;
    if (this.probe < PROBES - 1) this.probe++;
  }

  /**
   * A report newer than those we answered that carries none of our tokens: no answer of ours was taken. So once a lease has
   * passed since the machine is ours, all that an earlier owner had started there is gone, although its reports keep coming.
   */
  private heardNobody(report: Report, partitionVersion: number, now: number, leaseMs: number): boolean {
    const ours = Math.max(partitionVersion, this.version) * PROBES;
    return report.token < ours && this.leaseOver(this.oursFrom, now, leaseMs);
  }

  private leaseOver(from: number, now: number, leaseMs: number): boolean {
    return now - from > leaseMs * (1 + 2 * DRIFT) + 500;
  }

  take(report: Report, partitionVersion: number, now: number, leaseMs: number): ReportOutcome {
    const outcome: ReportOutcome = { exits: [], lost: [], strangers: [] };
    if (report.session > this.session) {
      // A new session begins with nothing: whatever was sent in earlier ones is gone.
      for (const task of [...this.inFlight.values()]) {
        if (task.sentIn.session < report.session) this.lose(task, outcome);
      }
      // Its lease ran out: perhaps its reports arrive but our answers do not.
      if (this.session > 0) this.doubt();
    }
    this.session = report.session;
    this.seq = report.seq;
    this.lastReport = now;
    this.noticeUntil = report.noticeS === null ? null : now + report.noticeS * 1000;
    // Only a worker that has seen our token is past everything that an earlier owner may have told it, and a
    // report that carries the token cannot be a late copy from before.
    if (report.token >= this.token(partitionVersion)) {
      this.hears = true;
      this.confirmed = true;
    }
    if (this.heardNobody(report, partitionVersion, now, leaseMs)) this.confirmed = true;
    this.exited.clear();
    // Exits first: a start refused as `busy` stands beside the live attempt that it met.
    for (const t of report.tasks) if (t.phase === 'exited') this.takeExit(t, outcome);
    const live = new Set<string>();
    for (const t of report.tasks) {
      if (t.phase === 'exited') continue;
      const key = taskKey(t.ref, t.index);
      const inFlight = this.inFlight.get(key);
      live.add(key);
      if (!inFlight) {
        outcome.strangers.push(t);
        continue;
      }
      inFlight.attempt = t.attempt;
      inFlight.phase = 'seen';
      inFlight.saving = t.phase === 'saving';
      if (t.phase === 'running') inFlight.runningSince ??= now;
    }
    let vanished = false;
    for (const [key, task] of [...this.inFlight]) {
      if (live.has(key)) continue;
      // Starts travel only in answers to reports, which the worker either takes before its next report or
      // drops: a newer report without the task proves that it is not there.
      const { session, seq } = task.sentIn;
      if (report.session > session || (report.session === session && report.seq > seq)) {
        vanished ||= task.phase === 'sent';
        this.lose(task, outcome);
      }
    }
    if (vanished) this.doubt();
    return outcome;
  }

  private takeExit(t: ReportedTask, outcome: ReportOutcome): void {
    const key = taskKey(t.ref, t.index);
    const inFlight = this.inFlight.get(key);
    const mine = inFlight?.attempt === t.attempt ? inFlight : null;
    const { ref, index, attempt } = t;
    const exit: Exit = { ref, index, attempt, reason: t.exit ?? 'other', inFlight: mine };
    this.exited.set(`${key}#${attempt}`, exit);
    if (mine) this.remove(mine);
    outcome.exits.push(exit);
  }

  private lose(task: InFlightTask, outcome: ReportOutcome): void {
    this.remove(task);
    outcome.lost.push(task);
  }

  /** The commands that answer the report just taken, before anything new is started. */
  answer(forgettable: (exit: Exit) => boolean, now: number): Command[] {
    const commands: Command[] = [];
    for (const [key, exit] of this.exited) {
      if (!forgettable(exit)) continue;
      commands.push({ op: 'forget', ref: exit.ref, index: exit.index, attempt: exit.attempt });
      this.exited.delete(key);
    }
    for (const { ref, index, attempt, stop, saving } of this.inFlight.values()) {
      // A second stop would cut the saving short; without grace that is what is wanted.
      if (!stop || (saving && stop.graceS > 0)) continue;
      commands.push({ op: 'stop', ref, index, attempt, graceS: stop.graceS });
    }
    // The worker counts its lease from when it sent the report, so counting from the answer errs on the safe side.
    this.leaseFrom = now;
    return commands;
  }

  /** Notes a start that goes out in the answer to the report last taken. */
  start(spec: JobSpec, index: number, attempt: number, now: number): Command {
    this.add({
      since: now,
      ref: spec.ref,
      index,
      attempt,
      spec,
      phase: 'sent',
      stop: null,
      saving: false,
      runningSince: null,
      sentIn: { session: this.session, seq: this.seq },
    });
    return { op: 'start', ref: spec.ref, index, attempt };
  }

  /** Takes a live task over that an earlier owner started. */
  adopt(t: ReportedTask, spec: JobSpec | null, now: number): InFlightTask {
    const task: InFlightTask = {
      since: now,
      ref: t.ref,
      index: t.index,
      attempt: t.attempt,
      spec,
      phase: 'seen',
      stop: null,
      saving: t.phase === 'saving',
      runningSince: t.phase === 'running' ? now : null,
      sentIn: { session: this.session, seq: this.seq },
    };
    this.add(task);
    return task;
  }

  silentMs(now: number): number {
    return this.lastReport === null ? -1 : now - this.lastReport;
  }

  /**
   * Once nobody can have answered the worker for a whole lease, its tasks are gone. Returns them and counts
   * the machine as confirmed.
   */
  expire(now: number, leaseMs: number): InFlightTask[] | null {
    if (!this.leaseOver(this.leaseFrom, now, leaseMs)) return null;
    const lost = [...this.inFlight.values()];
    if (lost.length === 0 && this.confirmed) return null;
    for (const task of lost) this.remove(task);
    this.confirmed = true;
    return lost;
  }

  /** It is gone, and everything on it. */
  clear(): InFlightTask[] {
    const lost = [...this.inFlight.values()];
    for (const task of lost) this.remove(task);
    return lost;
  }
}
