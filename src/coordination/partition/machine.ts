import { MAX_CLOCK_DRIFT_RATIO } from '../../transport/clock';
import { type JobSpec } from '../../protocol/jobs';
import { type MachineRecord } from '../../protocol/records';
import { type Command, type Heartbeat, type HeartbeatTask } from '../../protocol/workers';
import { taskKey, type InFlightTask, type TaskExit } from './in-flight-task';
import { MachineUsage } from './machine-usage';
import { type Resources } from './resources';

/** What a heartbeat has shown. */
export interface HeartbeatOutcome {
  exits: TaskExit[];
  /** Tasks in flight that are certain not to be on the machine. */
  lost: InFlightTask[];
  /** Live tasks that were not in flight here. */
  unknownTasks: HeartbeatTask[];
}

/** Tokens that one owner may use for a machine, one after the other. */
const TOKENS_PER_EPOCH = 1024;
/** Added to a worker's lease, for timers that fire late. */
const LEASE_MARGIN_MS = 500;

export interface MachineStateOptions {
  id: string;
  record: MachineRecord;
  /** Revision of the record. */
  revision: number;
  /** Whether nothing that an earlier owner started can be on the machine. */
  confirmed: boolean;
  /** Steady time in milliseconds. */
  now: number;
}

/**
 * A machine as its partition's owner sees it: its worker's lease and token, the tasks in flight, and whether tasks may be placed on
 * it. Until it is `confirmed`, tasks of an earlier owner may be on it that this owner has not seen. All times are steady time in
 * milliseconds.
 */
export class MachineState {
  readonly id: string;
  record: MachineRecord;
  /** Revision of the record. */
  revision: number;
  /** Nothing that an earlier owner started can be on the machine without having been reported. */
  confirmed: boolean;
  private readonly inFlight = new Map<string, InFlightTask>();
  private readonly usage = new MachineUsage();
  /** Exits of the last heartbeat that the worker has not been told to forget. */
  private readonly exitedAttempts = new Map<string, TaskExit>();
  /** Images that the machine holds, or is fetching. */
  readonly images = new Set<string>();
  /** Incarnation of the worker's agent: a new one begins with no tasks. */
  private agentEpoch = 0;
  /** Number of the last heartbeat within the agent's epoch. */
  private sequence = 0;
  /** When the cloud preempts the machine; null: no notice was given. */
  preemptionDeadline: number | null = null;
  lastHeartbeatAt: number | null = null;
  /** Since when no task is on it. */
  idleSince: number;
  /** Tasks that failed here since the last success, by job. */
  readonly failuresByJob = new Map<string, number>();
  /** A task has succeeded here. */
  healthy = false;
  /** The partition that gets the machine once it is drained. */
  transferTarget: string | null = null;
  /** The machine is being transferred or deprovisioned: no task is started on it. */
  cordoned = false;
  /** Tasks are to be placed on other machines for the time being. */
  deprioritized = false;
  /** The worker has shown the current token, so answers reach it. */
  tokenAcknowledged = false;
  private tokenAttempt = 0;
  private leaseRenewedAt: number;
  /** Since when no other owner answers the worker. */
  private readonly ownedSince: number;

  constructor({ id, record, revision, confirmed, now }: MachineStateOptions) {
    this.id = id;
    this.record = record;
    this.revision = revision;
    this.confirmed = confirmed;
    this.leaseRenewedAt = now;
    this.ownedSince = now;
    this.idleSince = now;
  }

  // Tasks and resources.

  /** Tasks in flight, by `taskKey`. */
  get tasks(): ReadonlyMap<string, InFlightTask> {
    return this.inFlight;
  }

  private add(task: InFlightTask): void {
    this.remove(task);
    this.inFlight.set(taskKey(task.ref, task.index), task);
    this.usage.addTask(task.spec);
  }

  private remove(task: InFlightTask): void {
    const key = taskKey(task.ref, task.index);
    const known = this.inFlight.get(key);
    if (!known) return;
    this.inFlight.delete(key);
    this.usage.removeTask(known.spec);
  }

  /** Resources are reserved for tasks to be moved here: they are not given to others, and the machine is not released. */
  get hasReservations(): boolean {
    return this.usage.hasReservations;
  }

  /** Reserves what a task takes; ignored if the key has a reservation. */
  reserve(key: string, spec: JobSpec): void {
    this.usage.reserve(key, spec);
  }

  releaseReservation(key: string): void {
    this.usage.releaseReservation(key);
  }

  /** What is free of the machine's capacity; null while a task of an unknown job is on it. */
  free(capacity: Resources): Resources | null {
    return this.usage.freeOf(capacity);
  }

  // Tokens and leases.

  /** Whether a heartbeat is newer than all received before. Delayed copies of old ones do arrive. */
  isNewer(heartbeat: Heartbeat): boolean {
    return isAfter(heartbeat, this.agentEpoch, this.sequence);
  }

  /** The fencing token to answer with: larger than any of an earlier owner, and larger again after `requireNewToken`. */
  token(partitionEpoch: number): number {
    return this.firstToken(partitionEpoch) + this.tokenAttempt;
  }

  private firstToken(partitionEpoch: number): number {
    return Math.max(partitionEpoch, this.revision) * TOKENS_PER_EPOCH;
  }

  /** Asks for proof that answers reach the worker. Until it comes no task is started, for starts would only be lost. */
  private requireNewToken(): void {
    this.tokenAcknowledged = false;
    if (this.tokenAttempt < TOKENS_PER_EPOCH - 1) this.tokenAttempt++;
  }

  private leaseExpired(from: number, now: number, leaseMs: number): boolean {
    return now - from > leaseMs * (1 + 2 * MAX_CLOCK_DRIFT_RATIO) + LEASE_MARGIN_MS;
  }

  /**
   * Once no answer can have renewed the worker's lease for its whole length, its tasks are gone: removes and returns them, and
   * confirms the machine. Null if the lease may be valid, or there is nothing to do.
   */
  expireLease(now: number, leaseMs: number): InFlightTask[] | null {
    if (!this.leaseExpired(this.leaseRenewedAt, now, leaseMs)) return null;
    if (this.inFlight.size === 0 && this.confirmed) return null;
    this.confirmed = true;
    return this.removeAllTasks();
  }

  /** Removes and returns all tasks: the machine, or its worker's lease, is gone. */
  removeAllTasks(): InFlightTask[] {
    const lost = [...this.inFlight.values()];
    for (const task of lost) this.remove(task);
    return lost;
  }

  /** Milliseconds since the last heartbeat; -1 if none was received. */
  sinceHeartbeatMs(now: number): number {
    return this.lastHeartbeatAt === null ? -1 : now - this.lastHeartbeatAt;
  }

  // Heartbeats.

  /** Applies a heartbeat that `isNewer`, and returns what it has shown. */
  applyHeartbeat(
    heartbeat: Heartbeat,
    partitionEpoch: number,
    now: number,
    leaseMs: number,
  ): HeartbeatOutcome {
    const outcome: HeartbeatOutcome = { exits: [], lost: [], unknownTasks: [] };
    if (heartbeat.agentEpoch > this.agentEpoch) this.applyNewAgentEpoch(heartbeat, outcome);
    this.agentEpoch = heartbeat.agentEpoch;
    this.sequence = heartbeat.sequence;
    this.lastHeartbeatAt = now;
    this.preemptionDeadline =
      heartbeat.preemptionNoticeS === null ? null : now + heartbeat.preemptionNoticeS * 1000;
    this.applyToken(heartbeat, partitionEpoch, now, leaseMs);
    this.exitedAttempts.clear();
    // Exits first: a start refused as `busy` stands beside the live attempt that it met.
    for (const task of heartbeat.tasks) if (task.phase === 'exited') this.applyExit(task, outcome);
    const live = this.applyLiveTasks(heartbeat, outcome, now);
    this.dropVanished(heartbeat, live, outcome);
    return outcome;
  }

  /** A new agent epoch begins without tasks: what was started in earlier ones is gone. */
  private applyNewAgentEpoch({ agentEpoch }: Heartbeat, outcome: HeartbeatOutcome): void {
    for (const task of [...this.inFlight.values()])
      if (task.sentInHeartbeat.agentEpoch < agentEpoch) this.dropLost(task, outcome);
    // The worker's lease has expired: its heartbeats may arrive here while the answers do not arrive there.
    if (this.agentEpoch > 0) this.requireNewToken();
  }

  private applyToken(heartbeat: Heartbeat, partitionEpoch: number, now: number, leaseMs: number): void {
    // A worker that has seen this token obeys no earlier owner, and a heartbeat with it cannot be a copy from before.
    if (heartbeat.token >= this.token(partitionEpoch)) {
      this.tokenAcknowledged = true;
      this.confirmed = true;
    }
    // A worker that shows none of this owner's tokens has taken no answer of it. Its lease is that of an earlier owner, and has
    // expired with all that one started, although the heartbeats go on.
    const tookNoAnswer = heartbeat.token < this.firstToken(partitionEpoch);
    if (tookNoAnswer && this.leaseExpired(this.ownedSince, now, leaseMs)) this.confirmed = true;
  }

  private applyExit(task: HeartbeatTask, outcome: HeartbeatOutcome): void {
    const { ref, index, attempt } = task;
    const key = taskKey(ref, index);
    const known = this.inFlight.get(key);
    const inFlight = known?.attempt === attempt ? known : null;
    const exit: TaskExit = { ref, index, attempt, reason: task.exit ?? 'other', inFlight };
    this.exitedAttempts.set(`${key}#${attempt}`, exit);
    if (inFlight) this.remove(inFlight);
    outcome.exits.push(exit);
  }

  /** Updates the tasks in flight that are live; returns the keys of all live tasks. */
  private applyLiveTasks(heartbeat: Heartbeat, outcome: HeartbeatOutcome, now: number): Set<string> {
    const live = new Set<string>();
    for (const task of heartbeat.tasks) {
      if (task.phase === 'exited') continue;
      const key = taskKey(task.ref, task.index);
      live.add(key);
      const inFlight = this.inFlight.get(key);
      if (inFlight) updateInFlight(inFlight, task, now);
      else outcome.unknownTasks.push(task);
    }
    return live;
  }

  /**
   * Drops the tasks in flight that a newer heartbeat does not report. A start travels only in the answer to a heartbeat, which the
   * worker takes before its next heartbeat or not at all, so such a task is not there.
   */
  private dropVanished(heartbeat: Heartbeat, live: ReadonlySet<string>, outcome: HeartbeatOutcome): void {
    let startLost = false;
    for (const [key, task] of [...this.inFlight]) {
      if (live.has(key)) continue;
      const { agentEpoch, sequence } = task.sentInHeartbeat;
      if (!isAfter(heartbeat, agentEpoch, sequence)) continue;
      startLost ||= task.phase === 'sent';
      this.dropLost(task, outcome);
    }
    if (startLost) this.requireNewToken();
  }

  private dropLost(task: InFlightTask, outcome: HeartbeatOutcome): void {
    this.remove(task);
    outcome.lost.push(task);
  }

  /** Commands to answer the last heartbeat with, before any task is started. Renews the worker's lease. */
  takeCommands(isForgettable: (exit: TaskExit) => boolean, now: number): Command[] {
    const commands: Command[] = [];
    for (const [key, exit] of this.exitedAttempts) {
      if (!isForgettable(exit)) continue;
      commands.push({ op: 'forget', ref: exit.ref, index: exit.index, attempt: exit.attempt });
      this.exitedAttempts.delete(key);
    }
    for (const { ref, index, attempt, stop, checkpointing } of this.inFlight.values()) {
      // A second stop would cut the checkpoint short, as a stop without grace is meant to.
      if (!stop || (checkpointing && stop.graceS > 0)) continue;
      commands.push({ op: 'stop', ref, index, attempt, gracePeriodS: stop.graceS });
    }
    // The worker counts its lease from when it sent the heartbeat, so counting from the answer errs on the safe side.
    this.leaseRenewedAt = now;
    return commands;
  }

  /** Puts a task in flight whose start is sent in the answer to the last heartbeat; returns the command. */
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

  /** Puts a live task in flight that an earlier owner started; `spec` is null if its job is unknown. */
  adoptRunningTask(task: HeartbeatTask, spec: JobSpec | null, now: number): InFlightTask {
    const adopted: InFlightTask = {
      startedAt: now,
      ref: task.ref,
      index: task.index,
      attempt: task.attempt,
      spec,
      phase: 'reported',
      stop: null,
      checkpointing: task.phase === 'checkpointing',
      runningSince: task.phase === 'running' ? now : null,
      sentInHeartbeat: { agentEpoch: this.agentEpoch, sequence: this.sequence },
    };
    this.add(adopted);
    return adopted;
  }
}

/** Whether a heartbeat was sent after another one, given by its agent epoch and its sequence number. */
function isAfter(heartbeat: Heartbeat, agentEpoch: number, sequence: number): boolean {
  if (heartbeat.agentEpoch !== agentEpoch) return heartbeat.agentEpoch > agentEpoch;
  return heartbeat.sequence > sequence;
}

function updateInFlight(inFlight: InFlightTask, task: HeartbeatTask, now: number): void {
  inFlight.attempt = task.attempt;
  inFlight.phase = 'reported';
  inFlight.checkpointing = task.phase === 'checkpointing';
  if (task.phase === 'running') inFlight.runningSince ??= now;
}
