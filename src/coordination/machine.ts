import { DRIFT } from '../transport/clock';
import { type MachineRecord } from '../protocol/records';
import { type Command, type ExitReason, type Report } from '../protocol/workers';

/** A start that was decided, sent or seen: the task counts as being on the machine until it is surely gone. */
export interface Presumed {
  ref: string;
  index: number;
  attempt: number;
  /** `planned`: not sent to anyone yet, may be taken back freely. */
  phase: 'planned' | 'sent' | 'seen';
  /** The report in whose answer the start went out. */
  sentIn: { session: number; seq: number };
  /** Set once the task is to be stopped. */
  stop: { graceS: number } | null;
  saving: boolean;
  /** When it was first seen running (image present), or null. */
  runningSince: number | null;
}

export interface Exit {
  ref: string;
  index: number;
  attempt: number;
  reason: ExitReason;
  /** What we presumed of it, if it was this attempt. */
  presumed: Presumed | null;
}

export interface ReportOutcome {
  exits: Exit[];
  /** Presumed tasks that are surely not on the machine. */
  lost: Presumed[];
  /** Live tasks that were not presumed here. */
  strangers: { ref: string; index: number; attempt: number; running: boolean }[];
}

export function taskKey(ref: string, index: number): string {
  return `${ref}/${index}`;
}

/** What the tasks on a machine may have been told by somebody else before us is unknown until it is `resolved`. */
export class MachineState {
  readonly tasks = new Map<string, Presumed>();
  /** Exited attempts still in the reports. */
  readonly exited = new Map<string, Exit>();
  readonly images = new Set<string>();
  session = 0;
  seq = 0;
  token = 0;
  noticeUntil: number | null = null;
  lastReport: number | null = null;
  idleSince: number;
  /** Failures in a row, without a success between them. */
  failures = 0;
  /** The part that gets the machine once it is empty. */
  leavingTo: string | null = null;
  /** The machine is being moved or returned: nothing new is planned on it. */
  locked = false;
  private leaseFrom: number;

  constructor(
    readonly id: string,
    public record: MachineRecord,
    public version: number,
    public resolved: boolean,
    now: number,
  ) {
    this.leaseFrom = now;
    this.idleSince = now;
  }

  /** True if the report is newer than all that was seen before. Late copies of old ones do arrive. */
  isNews(report: Report): boolean {
    return report.session > this.session || (report.session === this.session && report.seq > this.seq);
  }

  take(report: Report, token: number, now: number): ReportOutcome {
    const outcome: ReportOutcome = { exits: [], lost: [], strangers: [] };
    if (report.session > this.session) {
      // A new session begins with nothing: whatever was sent in earlier ones is gone.
      for (const [key, task] of this.tasks) {
        if (task.phase === 'planned' || task.sentIn.session >= report.session) continue;
        this.tasks.delete(key);
        outcome.lost.push(task);
      }
    }
    this.session = report.session;
    this.seq = report.seq;
    this.token = Math.max(this.token, report.token);
    this.lastReport = now;
    this.noticeUntil = report.noticeS === null ? null : now + report.noticeS * 1000;
    // Only a worker that has seen our token is past everything that an earlier owner may have told it, and a
    // report that carries the token cannot be a late copy from before.
    if (report.token >= token) this.resolved = true;

    this.exited.clear();
    const live = new Set<string>();
    // Exits first: a start refused as `busy` stands beside the live attempt that it met.
    for (const t of report.tasks) {
      if (t.phase !== 'exited') continue;
      const key = taskKey(t.ref, t.index);
      const presumed = this.tasks.get(key);
      const mine = presumed?.attempt === t.attempt ? presumed : null;
      const exit: Exit = {
        ref: t.ref,
        index: t.index,
        attempt: t.attempt,
        reason: t.exit ?? 'other',
        presumed: mine,
      };
      this.exited.set(`${key}#${t.attempt}`, exit);
      if (mine) this.tasks.delete(key);
      outcome.exits.push(exit);
    }
    for (const t of report.tasks) {
      if (t.phase === 'exited') continue;
      const key = taskKey(t.ref, t.index);
      const presumed = this.tasks.get(key);
      live.add(key);
      if (presumed) {
        presumed.attempt = t.attempt;
        presumed.phase = 'seen';
        presumed.saving = t.phase === 'saving';
        if (t.phase === 'running') presumed.runningSince ??= now;
      } else {
        outcome.strangers.push({ ...t, running: t.phase === 'running' });
      }
    }
    for (const [key, task] of this.tasks) {
      if (live.has(key) || task.phase === 'planned') continue;
      // Starts travel only in answers to reports, which the worker either takes before its next report or
      // drops: a newer report without the task proves that it is not there.
      const { session, seq } = task.sentIn;
      if (report.session > session || (report.session === session && report.seq > seq)) {
        this.tasks.delete(key);
        outcome.lost.push(task);
      }
    }
    return outcome;
  }

  /** The commands that answer the report just taken. `forgettable` tells exits whose outcome is durable. */
  answer(forgettable: (exit: Exit) => boolean, mayStart: boolean, now: number): Command[] {
    const commands: Command[] = [];
    for (const [key, exit] of this.exited) {
      if (!forgettable(exit)) continue;
      commands.push({ op: 'forget', ref: exit.ref, index: exit.index, attempt: exit.attempt });
      this.exited.delete(key);
    }
    for (const t of this.tasks.values()) {
      const { ref, index, attempt } = t;
      // A second stop would cut the saving short; without grace that is what is wanted.
      if (!t.stop || t.phase === 'planned' || (t.saving && t.stop.graceS > 0)) continue;
      commands.push({ op: 'stop', ref, index, attempt, graceS: t.stop.graceS });
    }
    if (mayStart && this.resolved) {
      for (const t of this.tasks.values()) {
        if (t.phase !== 'planned') continue;
        t.phase = 'sent';
        t.sentIn = { session: this.session, seq: this.seq };
        commands.push({ op: 'start', ref: t.ref, index: t.index, attempt: t.attempt });
      }
    }
    // The worker counts its lease from when it sent the report, so counting from the answer errs on the safe side.
    this.leaseFrom = now;
    return commands;
  }

  /** Takes a live task over that an earlier owner started. */
  adopt(ref: string, index: number, attempt: number, running: boolean, now: number): Presumed {
    const task: Presumed = {
      ref,
      index,
      attempt,
      phase: 'seen',
      sentIn: { session: this.session, seq: this.seq },
      stop: null,
      saving: false,
      runningSince: running ? now : null,
    };
    this.tasks.set(taskKey(ref, index), task);
    return task;
  }

  silentMs(now: number): number {
    return this.lastReport === null ? -1 : now - this.lastReport;
  }

  /**
   * Once nobody can have answered the worker for a whole lease, its tasks are gone. Returns them and counts
   * the machine as resolved.
   */
  expire(now: number, leaseMs: number): Presumed[] | null {
    if (now - this.leaseFrom <= leaseMs * (1 + 2 * DRIFT) + 500) return null;
    const lost = [...this.tasks.values()];
    if (lost.length === 0 && this.resolved) return null;
    this.tasks.clear();
    this.resolved = true;
    return lost;
  }

  /** Takes back what was planned here but not sent. */
  unplan(): Presumed[] {
    const planned = [...this.tasks.values()].filter((t) => t.phase === 'planned');
    for (const t of planned) this.tasks.delete(taskKey(t.ref, t.index));
    return planned;
  }
}
