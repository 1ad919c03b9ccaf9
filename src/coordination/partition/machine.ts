import { MAX_CLOCK_DRIFT_RATIO } from '../../transport/clock';
import { type JobSpec } from '../../protocol/jobs';
import { type MachineRecord } from '../../protocol/records';
import { type Command, type Heartbeat, type HeartbeatTask } from '../../protocol/workers';
import { CommandList } from './command-list';
import { FencingToken } from './fencing-token';
import { taskKey, type InFlightTask, type LostTask, type TaskExit } from './in-flight-task';
import { MachineFailures } from './machine-failures';
import { MachineUsage } from './machine-usage';
import { kindKey } from './placement';
import { HeartbeatCapacity } from './heartbeat-capacity';
import { type Resources } from './resources';

/** The changes that a heartbeat has revealed. */
export interface HeartbeatOutcome {
  exits: TaskExit[];
  /** Tasks that were in flight and are certain not to be on the machine any more. */
  lost: LostTask[];
  /** Live tasks on the machine that were not in flight. */
  unknownTasks: HeartbeatTask[];
}

/** Added to the length of a worker's lease, to allow for timers that fire late. */
const LEASE_MARGIN_MS = 500;

export interface MachineStateOptions {
  id: string;
  record: MachineRecord;
  /** Revision of the record. */
  revision: number;
  /** Whether no task that an earlier owner started can be on the machine. */
  confirmed: boolean;
  /** Steady time in milliseconds. */
  now: number;
}

/**
 * A machine in the state of its partition's owner: its worker's lease and token, the tasks in flight, and whether tasks may be
 * placed on it. Until it is `confirmed`, it may have tasks of an earlier owner that were not reported to this owner. All times are
 * steady time in milliseconds.
 */
export class MachineState {
  readonly id: string;
  private currentRecord: MachineRecord;
  /** Computed once, because plans read it for every machine at every tick. */
  private currentKindKey: string;
  /** Revision of the record. */
  revision: number;
  /** Whether every task that an earlier owner started and that can be on the machine has been reported. */
  confirmed: boolean;
  private readonly tasksByKey = new Map<string, InFlightTask>();
  private readonly usage = new MachineUsage();
  private readonly heartbeatCapacity = new HeartbeatCapacity();
  /** Exits in the last heartbeat that the worker was not told to forget yet. */
  private readonly exitedAttempts = new Map<string, TaskExit>();
  /** Images of the tasks that were started or adopted on the machine, which is assumed to have or to be fetching them. */
  readonly images = new Set<string>();
  /** Epoch of the worker's agent. The agent begins each epoch without tasks. */
  private agentEpoch = 0;
  /** Sequence number of the last heartbeat within the agent's epoch. */
  private sequence = 0;
  /** Time at which the cloud will preempt the machine; null if it has given no notice. */
  preemptionDeadline: number | null = null;
  /** Null if no heartbeat has been received. */
  lastHeartbeatAt: number | null = null;
  /** Time since which the machine has had no task and was kept for none. Valid only while it has none. */
  idleSince: number;
  readonly failures = new MachineFailures();
  /** The partition to which the machine is transferred once it is drained; null if it stays. */
  transferTarget: string | null = null;
  /** Whether the machine is being transferred or deprovisioned, so that no task may be started on it. */
  cordoned = false;
  /** Whether tasks are placed on other machines for the time being. */
  deprioritized = false;
  private readonly fencingToken = new FencingToken();
  /** Latest time at which an answer may have renewed the worker's lease. */
  private leaseRenewedAt: number;
  /** Time since which no other owner has answered the worker. */
  private readonly ownedSince: number;

  constructor({ id, record, revision, confirmed, now }: MachineStateOptions) {
    this.id = id;
    this.currentRecord = record;
    this.currentKindKey = kindKey(record);
    this.revision = revision;
    this.confirmed = confirmed;
    this.leaseRenewedAt = now;
    this.ownedSince = now;
    this.idleSince = now;
  }

  get record(): MachineRecord {
    return this.currentRecord;
  }

  set record(record: MachineRecord) {
    this.currentRecord = record;
    this.currentKindKey = kindKey(record);
  }

  /** Equal for machines of the same type, zone and price model. */
  get kindKey(): string {
    return this.currentKindKey;
  }

  // Tasks and resources.

  /** Tasks in flight, by `taskKey`. */
  get tasks(): ReadonlyMap<string, InFlightTask> {
    return this.tasksByKey;
  }

  private addTask(task: InFlightTask): void {
    this.removeTask(task);
    this.tasksByKey.set(taskKey(task.ref, task.index), task);
    this.usage.addTask(task.spec);
    this.heartbeatCapacity.add(task);
  }

  private removeTask(task: InFlightTask): void {
    const key = taskKey(task.ref, task.index);
    const known = this.tasksByKey.get(key);
    if (!known) return;
    this.tasksByKey.delete(key);
    this.usage.removeTask(known.spec);
    this.heartbeatCapacity.remove(known);
  }

  /** Bytes that the tasks started next may take in the worker's heartbeats. Negative if the tasks on the machine take too many. */
  get freeHeartbeatBytes(): number {
    return this.heartbeatCapacity.freeBytes;
  }

  /**
   * Whether resources are reserved for tasks to be moved here. They are not given to other tasks, and the machine is not
   * released.
   */
  get hasReservations(): boolean {
    return this.usage.hasReservations;
  }

  /** Reserves the resources of a task. Ignored if the key has a reservation already. */
  reserve(key: string, spec: JobSpec): void {
    this.usage.reserve(key, spec);
  }

  releaseReservation(key: string): void {
    this.usage.releaseReservation(key);
  }

  /** Free resources of the machine; null while it has a task of an unknown job. */
  free(capacity: Resources): Resources | null {
    return this.usage.freeOf(capacity);
  }

  // Tokens and leases.

  /** Whether a heartbeat is newer than all received before. Delayed copies of older heartbeats do arrive. */
  isNewer(heartbeat: Heartbeat): boolean {
    return isAfter(heartbeat, this.agentEpoch, this.sequence);
  }

  /** The fencing token to answer with. It is larger than any token of an earlier owner. */
  token(partitionEpoch: number): number {
    return this.fencingToken.current(this.tokenRevision(partitionEpoch));
  }

  /** Whether the worker has shown the current token, which proves that answers reach it. */
  get tokenAcknowledged(): boolean {
    return this.fencingToken.acknowledged;
  }

  private tokenRevision(partitionEpoch: number): number {
    return Math.max(partitionEpoch, this.revision);
  }

  /** Whether a lease that was renewed at `renewedAt` has expired even if the worker's clock and this one drift apart. */
  private leaseExpired(renewedAt: number, now: number, leaseMs: number): boolean {
    return now - renewedAt > leaseMs * (1 + 2 * MAX_CLOCK_DRIFT_RATIO) + LEASE_MARGIN_MS;
  }

  /**
   * Removes and returns the tasks, and confirms the machine, once the worker's lease is certain to have expired: no answer can have
   * renewed it for its whole length, so the tasks are gone. Returns null if the lease may still be valid, or if the machine is
   * confirmed and has no tasks.
   */
  expireLease(now: number, leaseMs: number): InFlightTask[] | null {
    if (!this.leaseExpired(this.leaseRenewedAt, now, leaseMs)) return null;
    if (this.tasksByKey.size === 0 && this.confirmed) return null;
    this.confirmed = true;
    return this.removeAllTasks();
  }

  /** Removes and returns all tasks, because the machine is gone or its worker's lease has expired. */
  removeAllTasks(): InFlightTask[] {
    const lost = [...this.tasksByKey.values()];
    for (const task of lost) this.removeTask(task);
    return lost;
  }

  /** Milliseconds since the last heartbeat; -1 if none has been received. */
  sinceHeartbeatMs(now: number): number {
    return this.lastHeartbeatAt === null ? -1 : now - this.lastHeartbeatAt;
  }

  // Heartbeats.

  /** Applies a heartbeat, for which `isNewer` must hold, and returns the changes that it has revealed. */
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
    this.clearExits();
    // Exits come first: an attempt refused as `busy` is reported together with the live attempt because of which it was refused.
    for (const task of heartbeat.tasks) if (task.phase === 'exited') this.applyExit(task, outcome);
    const liveKeys = this.applyLiveTasks(heartbeat, outcome, now);
    this.dropVanished(heartbeat, liveKeys, outcome);
    return outcome;
  }

  /**
   * Drops the tasks that were started in earlier agent epochs: a new epoch begins without tasks. A task that was not reported may
   * have run until the worker's lease expired.
   */
  private applyNewAgentEpoch({ agentEpoch }: Heartbeat, outcome: HeartbeatOutcome): void {
    for (const task of [...this.tasksByKey.values()])
      if (task.originHeartbeat.agentEpoch < agentEpoch) this.dropLost(task, 'interrupted', outcome);
    // The worker's lease had expired: its heartbeats may reach this owner while the answers do not reach the worker.
    if (this.agentEpoch > 0) this.fencingToken.requireNew();
  }

  private applyToken(heartbeat: Heartbeat, partitionEpoch: number, now: number, leaseMs: number): void {
    // A worker that has received this token obeys no earlier owner, and a heartbeat with it cannot be a copy of an older one.
    const revision = this.tokenRevision(partitionEpoch);
    if (this.fencingToken.acknowledge(heartbeat.token, revision)) this.confirmed = true;
    // A worker that shows none of this owner's tokens has received no answer from it. Its lease was granted by an earlier owner.
    // Once that lease has expired, all tasks that the earlier owner started are gone, although heartbeats keep arriving.
    const receivedNoAnswer = heartbeat.token < this.fencingToken.first(revision);
    if (receivedNoAnswer && this.leaseExpired(this.ownedSince, now, leaseMs)) this.confirmed = true;
  }

  private applyExit(task: HeartbeatTask, outcome: HeartbeatOutcome): void {
    const { ref, index, attempt } = task;
    const key = taskKey(ref, index);
    const known = this.tasksByKey.get(key);
    const inFlight = known?.attempt === attempt ? known : null;
    const exit: TaskExit = { ref, index, attempt, reason: task.exit ?? 'other', inFlight };
    this.addExit(`${key}#${attempt}`, exit);
    if (inFlight) {
      inFlight.confirmed ||= this.confirmed;
      this.removeTask(inFlight);
    }
    outcome.exits.push(exit);
  }

  private addExit(key: string, exit: TaskExit): void {
    if (!this.exitedAttempts.has(key)) this.heartbeatCapacity.add(exit);
    this.exitedAttempts.set(key, exit);
  }

  private clearExits(): void {
    for (const exit of this.exitedAttempts.values()) this.heartbeatCapacity.remove(exit);
    this.exitedAttempts.clear();
  }

  /** Updates the tasks in flight that are live. Returns the keys of all live tasks. */
  private applyLiveTasks(heartbeat: Heartbeat, outcome: HeartbeatOutcome, now: number): Set<string> {
    const liveKeys = new Set<string>();
    for (const task of heartbeat.tasks) {
      if (task.phase === 'exited') continue;
      const key = taskKey(task.ref, task.index);
      liveKeys.add(key);
      const inFlight = this.tasksByKey.get(key);
      if (!inFlight) {
        outcome.unknownTasks.push(task);
        continue;
      }
      updateInFlight(inFlight, task, now);
      inFlight.confirmed ||= this.confirmed;
    }
    return liveKeys;
  }

  /**
   * Drops the tasks in flight that a newer heartbeat does not report. A start is sent only in the answer to a heartbeat, which the
   * worker receives before its next heartbeat or not at all, so such a task is not on the machine.
   */
  private dropVanished(heartbeat: Heartbeat, liveKeys: ReadonlySet<string>, outcome: HeartbeatOutcome): void {
    let startLost = false;
    for (const [key, task] of [...this.tasksByKey]) {
      if (liveKeys.has(key)) continue;
      const { agentEpoch, sequence } = task.originHeartbeat;
      if (!isAfter(heartbeat, agentEpoch, sequence)) continue;
      const undelivered = task.phase === 'sent';
      startLost ||= undelivered;
      this.dropLost(task, undelivered ? 'undelivered' : 'interrupted', outcome);
    }
    if (startLost) this.fencingToken.requireNew();
  }

  private dropLost(task: InFlightTask, release: LostTask['release'], outcome: HeartbeatOutcome): void {
    this.removeTask(task);
    outcome.lost.push({ task, release });
  }

  /**
   * Returns the commands of the answer to the last heartbeat that precede any starts; those that find no room in it follow in later
   * answers. The answer renews the worker's lease.
   */
  takeCommands(isForgettable: (exit: TaskExit) => boolean, now: number): CommandList {
    const commands = new CommandList();
    for (const [key, exit] of this.exitedAttempts) {
      const { ref, index, attempt } = exit;
      if (!isForgettable(exit) || !commands.add({ op: 'forget', ref, index, attempt })) continue;
      this.exitedAttempts.delete(key);
      this.heartbeatCapacity.remove(exit);
    }
    for (const { ref, index, attempt, stop, checkpointing } of this.tasksByKey.values()) {
      // A second stop would cut the checkpoint short. Only a stop without a grace period is meant to do that.
      if (!stop || (checkpointing && stop.graceS > 0)) continue;
      commands.add({ op: 'stop', ref, index, attempt, gracePeriodS: stop.graceS });
    }
    // The worker's lease starts when it sent the heartbeat, so counting from the answer, which is later, is on the safe side.
    this.leaseRenewedAt = now;
    return commands;
  }

  /** Puts a task in flight and returns its start command, which must be sent in the answer to the last heartbeat. */
  startTask(spec: JobSpec, index: number, attempt: number, now: number): Command {
    this.addTask({
      startedAt: now,
      ref: spec.ref,
      index,
      attempt,
      spec,
      phase: 'sent',
      confirmed: true,
      stop: null,
      checkpointing: false,
      runningSince: null,
      originHeartbeat: { agentEpoch: this.agentEpoch, sequence: this.sequence },
    });
    return { op: 'start', ref: spec.ref, index, attempt };
  }

  /** Puts a live task in flight that an earlier owner started. `spec` is null if the job is unknown. */
  adoptRunningTask(task: HeartbeatTask, spec: JobSpec | null, now: number): InFlightTask {
    const adopted: InFlightTask = {
      startedAt: now,
      ref: task.ref,
      index: task.index,
      attempt: task.attempt,
      spec,
      phase: 'reported',
      confirmed: this.confirmed,
      stop: null,
      checkpointing: task.phase === 'checkpointing',
      runningSince: task.phase === 'running' ? now : null,
      originHeartbeat: { agentEpoch: this.agentEpoch, sequence: this.sequence },
    };
    this.addTask(adopted);
    return adopted;
  }
}

/** Whether a heartbeat was sent after the heartbeat with the given agent epoch and sequence number. */
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
