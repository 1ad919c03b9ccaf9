import { type PartitionCore } from '../../src/coordination/partition';
import { type Command, type Report, type ReportedTask } from '../../src/protocol/workers';

interface SimTask {
  ref: string;
  index: number;
  attempt: number;
  phase: 'fetching' | 'running' | 'saving' | 'exited';
  exit: ReportedTask['exit'];
  /** When its present phase ends by itself. */
  endsAt: number;
}

/** How long what a worker does takes. */
export interface SimTimes {
  fetchMs: number;
  saveMs: number;
  leaseMs: number;
  /** Run time left of a task. */
  runMs: (ref: string, index: number) => number;
  /** A task has saved after it ran for so long. */
  saved: (ref: string, index: number, ranMs: number) => void;
}

/** A worker at a partition's core, without a network between: what it is answered, it does at once. */
export class SimWorker {
  readonly tasks = new Map<string, SimTask>();
  /** Its reports do not arrive. */
  silent = false;
  /** What it is answered does not arrive. */
  deaf = false;
  /** It is gone with all that is on it. */
  gone = false;
  noticeS: number | null = null;
  lastReport: Report | null = null;
  private session = 1;
  private seq = 0;
  private token = 0;
  private answeredAt: number;

  constructor(
    readonly id: string,
    private readonly times: SimTimes,
    now: number,
  ) {
    this.answeredAt = now;
  }

  /** Tasks that take their place on the machine, as the rules count them. */
  onIt(): string[] {
    const here = [...this.tasks].filter(([, t]) => t.phase === 'running' || t.phase === 'saving');
    return this.gone ? [] : here.map(([key]) => key);
  }

  advance(now: number): void {
    if (now - this.answeredAt > this.times.leaseMs) {
      this.tasks.clear();
      this.session++;
      this.answeredAt = now;
    }
    for (const task of this.tasks.values()) if (now >= task.endsAt) this.endPhase(task, now);
  }

  private endPhase(task: SimTask, now: number): void {
    if (task.phase === 'fetching') {
      task.phase = 'running';
      task.endsAt = now + this.times.runMs(task.ref, task.index);
    } else if (task.phase !== 'exited') {
      task.exit = task.phase === 'saving' ? 'stopped' : 'done';
      task.phase = 'exited';
    }
  }

  report(core: PartitionCore, now: number): void {
    if (this.gone) return;
    const report: Report = {
      ...{ machine: this.id, address: 'x', type: 'small', zone: 'a', spot: true },
      ...{ session: this.session, seq: ++this.seq, token: this.token, noticeS: this.noticeS },
      tasks: [...this.tasks.values()].map(({ ref, index, attempt, phase, exit }) => ({
        ...{ ref, index, attempt, phase, exit },
      })),
    };
    this.lastReport = report;
    if (this.silent) return;
    const answer = core.report(report, now);
    if (!answer || this.deaf || answer.token < this.token) return;
    this.token = answer.token;
    this.answeredAt = now;
    for (const command of answer.commands) this.execute(command, now);
  }

  private execute(command: Command, now: number): void {
    const { ref, index, attempt } = command;
    const key = `${ref}/${index}`;
    const known = this.tasks.get(key);
    if (command.op === 'forget') {
      if (known?.phase === 'exited' && known.attempt === attempt) this.tasks.delete(key);
    } else if (command.op === 'start') {
      if (known && known.phase !== 'exited') return;
      const endsAt = now + this.times.fetchMs;
      this.tasks.set(key, { ref, index, attempt, phase: 'fetching', exit: null, endsAt });
    } else if (known && known.attempt === attempt) this.stop(known, command.graceS, now);
  }

  private stop(task: SimTask, graceS: number, now: number): void {
    if (task.phase === 'exited' || (task.phase === 'saving' && graceS > 0)) return;
    const saves = task.phase === 'running' && this.times.saveMs <= graceS * 1000;
    if (saves) {
      const ranMs = this.times.runMs(task.ref, task.index) - (task.endsAt - now);
      this.times.saved(task.ref, task.index, ranMs);
    }
    task.phase = saves ? 'saving' : 'exited';
    task.exit = saves ? null : 'stopped';
    task.endsAt = now + this.times.saveMs;
  }
}
