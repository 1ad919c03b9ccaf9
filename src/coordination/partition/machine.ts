import { MAX_CLOCK_DRIFT_RATIO } from '../../transport/clock';
import { type JobSpec } from '../../protocol/jobs';
import { type MachineRecord } from '../../protocol/records';
import { type Command, type ExitReason, type Heartbeat, type HeartbeatTask } from '../../protocol/workers';
import { type Resources } from './placement';

/** A start that was sent or seen: the task counts as being on the machine until it is surely gone. */
export interface InFlightTask {
  ref: string;
  index: number;
  attempt: number;
  /** What it takes of its machine; null: a task of a job that nobody knows. */
  spec: JobSpec | null;
  phase: 'sent' | 'reported';
  /** The report in whose answer the start went out. */
  sentInHeartbeat: { agentEpoch: number; sequence: number };
  /** Set once the task is to be stopped. */
  stop: { graceS: number } | null;
  checkpointing: boolean;
  /** When it was started, or first seen by this owner. */
  startedAt: number;
  /** When it was first seen running (image present), or null. */
  runningSince: number | null;
}

export interface TaskExit {
  ref: string;
  index: number;
  attempt: number;
  reason: ExitReason;
  /** What we had in flight of it, if it was this attempt. */
  inFlight: InFlightTask | null;
}

export interface HeartbeatOutcome {
  exits: TaskExit[];
  /** Tasks in flight that are surely not on the machine. */
  lost: InFlightTask[];
  /** Live tasks that were not in flight here. */
  unknownTasks: HeartbeatTask[];
}

/** Tokens that one owner may use for a machine, one after the other. */
const TOKENS_PER_EPOCH = 1024;

export function taskKey(ref: string, index: number): string {
  return `${ref}/${index}`;
}

/** What the tasks on a machine may have been told by somebody else before us is unknown until it is `confirmed`. */
export class MachineState {
  private readonly inFlight = new Map<string, InFlightTask>();
  /** Exited attempts still in the reports. */
  readonly exitedAttempts = new Map<string, TaskExit>();
  readonly images = new Set<string>();
  agentEpoch = 0;
  sequence = 0;
  preemptionDeadline: number | null = null;
  lastHeartbeatAt: number | null = null;
  idleSince: number;
  /** Tasks that failed here since the last one that was done, by job. */
  readonly failuresByJob = new Map<string, number>();
  /** Some task of some job was done here. */
  healthy = false;
  /** The partition that gets the machine once it is empty. */
  transferTarget: string | null = null;
  /** The machine is being moved or returned: nothing new is planned on it. */
  cordoned = false;
  /** Room is better looked for elsewhere just now. */
  deprioritized = false;
  /** It has shown our token, so it hears us. */
  tokenAcknowledged = false;
  private tokenAttempt = 0;
  private leaseRenewedAt: number;
  /** Since when nobody but us answers it. */
  private readonly ownedSince: number;
  private readonly used: Resources = { cpus: 0, accelerators: 0, memoryGb: 0 };
  private unknownTaskCount = 0;
  /** Room that is held for tasks which are to be moved here. */
  private readonly reservations = new Map<string, JobSpec>();

  constructor(
    readonly id: string,
    public record: MachineRecord,
    public revision: number,
    /** Nothing that somebody else started can be on it any more. */
    public confirmed: boolean,
    now: number,
  ) {
    this.leaseRenewedAt = now;
    this.ownedSince = now;
    this.idleSince = now;
  }

  get tasks(): ReadonlyMap<string, InFlightTask> {
    return this.inFlight;
  }

  add(task: InFlightTask): void {
    this.remove(task);
    this.inFlight.set(taskKey(task.ref, task.index), task);
    this.countTask(task, 1);
  }

  remove(task: { ref: string; index: number }): void {
    const key = taskKey(task.ref, task.index);
    const known = this.inFlight.get(key);
    if (!known) return;
    this.inFlight.delete(key);
    this.countTask(known, -1);
  }

  private countTask({ spec }: InFlightTask, sign: number): void {
    if (spec) this.addUsage(spec, sign);
    else this.unknownTaskCount += sign;
  }

  private addUsage(spec: JobSpec, sign: number): void {
    this.used.cpus += sign * spec.cpus;
    this.used.accelerators += sign * spec.accelerators;
    this.used.memoryGb += sign * spec.memoryGb;
  }

  /** Room is held here for tasks that come from other machines: it is neither given out nor does the machine go away. */
  get hasReservations(): boolean {
    return this.reservations.size > 0;
  }

  reserve(key: string, spec: JobSpec): void {
    if (this.reservations.has(key)) return;
    this.reservations.set(key, spec);
    this.addUsage(spec, 1);
  }

  releaseReservation(key: string): void {
    const spec = this.reservations.get(key);
    if (spec && this.reservations.delete(key)) this.addUsage(spec, -1);
  }

  /** What is free on a machine that has this much; null while something unknown is on it. */
  free(has: Resources): Resources | null {
    if (this.unknownTaskCount > 0) return null;
    const { cpus, accelerators, memoryGb } = this.used;
    return {
      cpus: has.cpus - cpus,
      accelerators: has.accelerators - accelerators,
      memoryGb: has.memoryGb - memoryGb,
    };
  }

  /** True if the report is newer than all that was seen before. Late copies of old ones do arrive. */
  isNewer(heartbeat: Heartbeat): boolean {
    return (
      heartbeat.agentEpoch > this.agentEpoch ||
      (heartbeat.agentEpoch === this.agentEpoch && heartbeat.sequence > this.sequence)
    );
  }

  /** What an answer must carry: larger than any earlier owner's, and larger again whenever we doubt that it hears. */
  token(partitionEpoch: number): number {
    return Math.max(partitionEpoch, this.revision) * TOKENS_PER_EPOCH + this.tokenAttempt;
  }

  /** Asks for another proof that it hears us: until then nothing is started there, for starts would only vanish. */
  private requireNewToken(): void {
    this.tokenAcknowledged = false;
    if (this.tokenAttempt < TOKENS_PER_EPOCH - 1) this.tokenAttempt++;
  }

  /**
   * A report newer than those we answered that carries none of our tokens: no answer of ours was taken. So once a lease has
   * passed since the machine is ours, all that an earlier owner had started there is gone, although its reports keep coming.
   */
  private acceptedNoAnswer(
    heartbeat: Heartbeat,
    partitionEpoch: number,
    now: number,
    leaseMs: number,
  ): boolean {
    const ours = Math.max(partitionEpoch, this.revision) * TOKENS_PER_EPOCH;
    return heartbeat.token < ours && this.leaseExpired(this.ownedSince, now, leaseMs);
  }

  private leaseExpired(from: number, now: number, leaseMs: number): boolean {
    return now - from > leaseMs * (1 + 2 * MAX_CLOCK_DRIFT_RATIO) + 500;
  }

  applyHeartbeat(
    heartbeat: Heartbeat,
    partitionEpoch: number,
    now: number,
    leaseMs: number,
  ): HeartbeatOutcome {
    const outcome: HeartbeatOutcome = { exits: [], lost: [], unknownTasks: [] };
    if (heartbeat.agentEpoch > this.agentEpoch) {
      // A new session begins with nothing: whatever was sent in earlier ones is gone.
      for (const task of [...this.inFlight.values()]) {
        if (task.sentInHeartbeat.agentEpoch < heartbeat.agentEpoch) this.dropLost(task, outcome);
      }
      // Its lease ran out: perhaps its reports arrive but our answers do not.
      if (this.agentEpoch > 0) this.requireNewToken();
    }
    this.agentEpoch = heartbeat.agentEpoch;
    this.sequence = heartbeat.sequence;
    this.lastHeartbeatAt = now;
    this.preemptionDeadline =
      heartbeat.preemptionNoticeS === null ? null : now + heartbeat.preemptionNoticeS * 1000;
    // Only a worker that has seen our token is past everything that an earlier owner may have told it, and a
    // report that carries the token cannot be a late copy from before.
    if (heartbeat.token >= this.token(partitionEpoch)) {
      this.tokenAcknowledged = true;
      this.confirmed = true;
    }
    if (this.acceptedNoAnswer(heartbeat, partitionEpoch, now, leaseMs)) this.confirmed = true;
    this.exitedAttempts.clear();
    // Exits first: a start refused as `busy` stands beside the live attempt that it met.
    for (const t of heartbeat.tasks) if (t.phase === 'exited') this.applyExit(t, outcome);
    const live = new Set<string>();
    for (const t of heartbeat.tasks) {
      if (t.phase === 'exited') continue;
      const key = taskKey(t.ref, t.index);
      const inFlight = this.inFlight.get(key);
      live.add(key);
      if (!inFlight) {
        outcome.unknownTasks.push(t);
        continue;
      }
      inFlight.attempt = t.attempt;
      inFlight.phase = 'reported';
      inFlight.checkpointing = t.phase === 'checkpointing';
      if (t.phase === 'running') inFlight.runningSince ??= now;
    }
    let vanished = false;
    for (const [key, task] of [...this.inFlight]) {
      if (live.has(key)) continue;
      // Starts travel only in answers to reports, which the worker either takes before its next report or
      // drops: a newer report without the task proves that it is not there.
      const { agentEpoch, sequence } = task.sentInHeartbeat;
      if (
        heartbeat.agentEpoch > agentEpoch ||
        (heartbeat.agentEpoch === agentEpoch && heartbeat.sequence > sequence)
      ) {
        vanished ||= task.phase === 'sent';
        this.dropLost(task, outcome);
      }
    }
    if (vanished) this.requireNewToken();
    return outcome;
  }

  private applyExit(t: HeartbeatTask, outcome: HeartbeatOutcome): void {
    const key = taskKey(t.ref, t.index);
    const inFlight = this.inFlight.get(key);
    const matchingInFlight = inFlight?.attempt === t.attempt ? inFlight : null;
    const { ref, index, attempt } = t;
    const exit: TaskExit = { ref, index, attempt, reason: t.exit ?? 'other', inFlight: matchingInFlight };
    this.exitedAttempts.set(`${key}#${attempt}`, exit);
    if (matchingInFlight) this.remove(matchingInFlight);
    outcome.exits.push(exit);
  }

  private dropLost(task: InFlightTask, outcome: HeartbeatOutcome): void {
    this.remove(task);
    outcome.lost.push(task);
  }

  /** The commands that answer the report just taken, before anything new is started. */
  takeCommands(forgettable: (exit: TaskExit) => boolean, now: number): Command[] {
    const commands: Command[] = [];
    for (const [key, exit] of this.exitedAttempts) {
      if (!forgettable(exit)) continue;
      commands.push({ op: 'forget', ref: exit.ref, index: exit.index, attempt: exit.attempt });
      this.exitedAttempts.delete(key);
    }
    for (const { ref, index, attempt, stop, checkpointing } of this.inFlight.values()) {
      // A second stop would cut the saving short; without grace that is what is wanted.
      if (!stop || (checkpointing && stop.graceS > 0)) continue;
      commands.push({ op: 'stop', ref, index, attempt, gracePeriodS: stop.graceS });
    }
    // The worker counts its lease from when it sent the report, so counting from the answer errs on the safe side.
    this.leaseRenewedAt = now;
    return commands;
  }

  /** Notes a start that goes out in the answer to the report last taken. */
  startTask(spec: JobSpec, index: number, attempt: number, now: number): Command {
    this.add({
      startedAt: now,
      ref: spec.ref,
      index,
      attempt,
      spec,
      phase: 'sent',
      stop: null,
      checkpointing: false,
      runningSince: null,
      sentInHeartbeat: { agentEpoch: this.agentEpoch, sequence: this.sequence },
    });
    return { op: 'start', ref: spec.ref, index, attempt };
  }

  /** Takes a live task over that an earlier owner started. */
  adoptRunningTask(t: HeartbeatTask, spec: JobSpec | null, now: number): InFlightTask {
    const task: InFlightTask = {
      startedAt: now,
      ref: t.ref,
      index: t.index,
      attempt: t.attempt,
      spec,
      phase: 'reported',
      stop: null,
      checkpointing: t.phase === 'checkpointing',
      runningSince: t.phase === 'running' ? now : null,
      sentInHeartbeat: { agentEpoch: this.agentEpoch, sequence: this.sequence },
    };
    this.add(task);
    return task;
  }

  silentMs(now: number): number {
    return this.lastHeartbeatAt === null ? -1 : now - this.lastHeartbeatAt;
  }

  /**
   * Once nobody can have answered the worker for a whole lease, its tasks are gone. Returns them and counts
   * the machine as confirmed.
   */
  expireLease(now: number, leaseMs: number): InFlightTask[] | null {
    if (!this.leaseExpired(this.leaseRenewedAt, now, leaseMs)) return null;
    const lost = [...this.inFlight.values()];
    if (lost.length === 0 && this.confirmed) return null;
    for (const task of lost) this.remove(task);
    this.confirmed = true;
    return lost;
  }

  /** It is gone, and everything on it. */
  removeAllTasks(): InFlightTask[] {
    const lost = [...this.inFlight.values()];
    for (const task of lost) this.remove(task);
    return lost;
  }
}
