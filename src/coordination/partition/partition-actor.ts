import { Actor } from '../../transport/actor';
import { type Clock } from '../../transport/clock';
import { type Log } from '../../transport/log';
import { type ReplicaView } from '../../storage/replica-view';
import { type StoredProgress } from '../../storage/job-index';
import { ProgressSlots } from '../../storage/progress';
import { planAssignedEdit } from '../../storage/assigned-machines';
import { planFleetEdit } from '../../storage/fleets';
import { RequestPriority } from '../../storage/request-queue';
import { type StateStoreClient } from '../../storage/state-store-client';
import {
  encodeProgress,
  type FleetEntry,
  type JobProgress,
  type JobState,
  type MachineRecord,
  type PartitionRecord,
} from '../../protocol/records';
import { keys } from '../../protocol/keys';
import { type JobSpec } from '../../protocol/jobs';
import { DRAIN_TO_CLOUD } from '../../protocol/peers';
import { type Condition, type Write } from '../../protocol/store';
import { type Command, type Heartbeat } from '../../protocol/workers';
import { type PartitionBalancing } from './partition-balancing';
import { type PartitionCore } from './partition-core';

export type PartitionMessage =
  | {
      kind: 'report';
      report: Heartbeat;
      reply: (answer: { token: number; commands: Command[] } | null) => void;
    }
  | { kind: 'machine'; id: string; entry: FleetEntry | null }
  | { kind: 'job'; spec: JobSpec; acceptedAt: number; version: number; progress: StoredProgress | null }
  | { kind: 'closed'; ref: string; state: JobState }
  | { kind: 'ended'; spec: JobSpec; version: number; state: JobState }
  | { kind: 'tick' }
  | { kind: 'move'; machine: string; toPartition: string; drain: boolean }
  | { kind: 'retire'; machine: string; reason: string; force: boolean }
  | { kind: 'handover'; to: string; incarnation: number }
  | { kind: 'recorded'; jobs: ReadonlyMap<string, JobProgress> }
  | { kind: 'assigned'; machines: string[] }
  | { kind: 'relent'; machines: string[] };

/** Whether we may act for the partition, and keep what its machines run. */
export interface Authority {
  alive(): boolean;
  mayRenewLeases(): boolean;
}

export interface PartitionActorOptions {
  valueBytes: number;
  txnOps: number;
  writeRate: number;
  /** How many partitions share the state service. */
  partitions: number;
  progressMs: number;
}

/** Machines that have not spoken by then are gone, or cut from us: life goes on. */
const RECOVERY_GRACE_MS = 8000;
/** Machines that a line of the log names at most. */
const MAX_LOGGED_MACHINE_COUNT = 5;
const PROGRESS_WRITE_TIMEOUT_MS = 2000;
/** Of the changes that the state service allows, one in this many raises start watermarks, and another opens machines. */
const WRITES_PER_WATERMARK_WRITE = 4;
const MIN_WATERMARK_INTERVAL_MS = 400;
/** How many ends are told with one change at most, and how large their value may grow. */
const MAX_TERMINAL_STATES_PER_WRITE = 30;
const MAX_TERMINAL_VALUE_BYTES = 1500;
/** Between two tries of a change. */
const RETRY_INTERVAL_MS = 150;

/** The thin actor around a partition: reports and changes in, commands and writes out. */
export class PartitionActor extends Actor<PartitionMessage> {
  /** Handed over, or being handed over: nothing is done for this partition here any more. */
  released = false;
  private readonly pendingRecordChanges = new Map<string, MachineRecord>();
  private writingRecordChanges = false;
  private recordWriteCount = 0;
  private writingTerminalStates = false;
  private writingProgress = false;
  private progressWrittenAt = Number.NEGATIVE_INFINITY;
  private writingAssigned = false;
  private assignedWriteAt = Number.NEGATIVE_INFINITY;
  private readonly slots: ProgressSlots;
  private readonly takenOverAt: number;
  private recoveryLogged = false;
  private unconfirmedLogged = false;

  constructor(
    readonly core: PartitionCore,
    private readonly record: PartitionRecord,
    private readonly ledger: StateStoreClient,
    private readonly replica: ReplicaView,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly authority: Authority,
    private readonly options: PartitionActorOptions,
    /** Null: the partition's tasks are not moved. */
    readonly balancing: PartitionBalancing | null = null,
  ) {
    super((error) => log.error({ error, partition: core.id }, 'partition failed'));
    this.slots = new ProgressSlots(options.valueBytes);
    this.takenOverAt = clock.steady();
    core.observer = balancing;
  }

  get active(): boolean {
    return !this.released && this.authority.alive();
  }

  private get epochCondition(): Condition {
    return { key: keys.partition(this.core.id), revision: this.core.epoch };
  }

  protected receive(message: PartitionMessage): void {
    const now = this.clock.steady();
    switch (message.kind) {
      case 'report':
        message.reply(
          this.active && this.authority.mayRenewLeases()
            ? this.core.handleHeartbeat(message.report, now)
            : null,
        );
        if (this.core.terminalStates.size > 0) void this.writeTerminalStates();
        return;
      case 'machine':
        if (message.entry)
          this.core.upsertMachine(message.id, message.entry.record, message.entry.revision, now);
        else this.core.removeMachine(message.id, now);
        return;
      case 'job':
        if (message.progress) this.slots.assign(message.spec.ref, message.progress.slot);
        this.core.openJob(message.spec, message.acceptedAt, message.version, message.progress, now);
        return;
      case 'closed':
        this.slots.release(message.ref);
        this.core.closeJob(message.ref, message.state, now);
        return;
      case 'ended':
        this.core.addCancelled(message.spec, message.state, message.version);
        this.core.addTerminated(message.spec, message.state, message.version);
        return;
      case 'tick':
        this.tick(now);
        return;
      case 'move':
        if (!this.active) return;
        if (message.drain) this.core.drainForTransfer(message.machine, message.toPartition, now);
        else this.changeRecord(message.machine, { partition: message.toPartition }, false);
        return;
      case 'retire':
        if (this.active)
          this.changeRecord(
            message.machine,
            { phase: 'deprovisioning', reason: message.reason },
            message.force,
          );
        return;
      case 'handover':
        if (this.active) void this.handOver(message.to, message.incarnation);
        return;
      case 'recorded':
        this.core.markProgressWritten(message.jobs);
        return;
      case 'assigned':
        this.core.markAssigned(message.machines);
        return;
      case 'relent':
        // Those that moved are not here any more, those that go back stay locked by their record.
        for (const id of message.machines) this.core.uncordon(id);
    }
  }

  private tick(now: number): void {
    if (!this.active) return;
    this.core.tick(now, this.clock.wallClock().getTime());
    this.logRecovered(now);
    this.logTaskMoves();
    for (const { id, toPartition } of this.core.drainedMachines()) {
      if (toPartition === DRAIN_TO_CLOUD)
        this.changeRecord(id, { phase: 'deprovisioning', reason: 'spare' }, false);
      else this.changeRecord(id, { partition: toPartition }, false);
    }
    if (this.pendingRecordChanges.size > 0) void this.writeRecordChanges();
    if (this.core.terminalStates.size > 0) void this.writeTerminalStates();
    void this.writeProgress(now);
    void this.writeAssigned(now);
  }

  /** Just taken over, and machines are still to speak. */
  recovering(now: number): boolean {
    return this.core.unconfirmedCount > 0 && now - this.takenOverAt < RECOVERY_GRACE_MS;
  }

  /** How long a take-over kept tasks waiting, and what it cost. */
  private logRecovered(now: number): void {
    if (this.recoveryLogged) return;
    if (this.core.unconfirmedCount > 0) return this.logUnconfirmed(now);
    this.recoveryLogged = true;
    const { lost, reports, stale } = this.core.counters;
    const seconds = Math.round((now - this.takenOverAt) / 100) / 10;
    this.log.info(
      { partition: this.core.id, seconds, lostTasks: lost, heartbeats: reports, staleHeartbeats: stale },
      'partition recovered',
    );
  }

  private logTaskMoves(): void {
    const decisions = this.balancing?.takeDecisions() ?? [];
    for (const decision of decisions) this.log.info({ partition: this.core.id, ...decision }, 'task move');
  }

  /** Which machines keep a take-over waiting, told once: its symptoms alone do not show them. */
  private logUnconfirmed(now: number): void {
    if (this.unconfirmedLogged || now - this.takenOverAt < RECOVERY_GRACE_MS) return;
    this.unconfirmedLogged = true;
    const { id: partition, unconfirmedCount } = this.core;
    const machines = this.core.firstUnconfirmedMachines(MAX_LOGGED_MACHINE_COUNT);
    this.log.info(
      { partition, unconfirmed: unconfirmedCount, machines },
      'unconfirmed machines after failover',
    );
  }

  // Ends of jobs.

  /** Writes down which jobs have ended, unless their users have cancelled them meanwhile. */
  private async writeTerminalStates(): Promise<void> {
    if (this.writingTerminalStates || !this.active) return;
    this.writingTerminalStates = true;
    const { id } = this.core;
    const last = this.replica.lastTerminalStatesIndex(id);
    const current = this.ledger.replica.entries.get(keys.terminalStates(id, last));
    const full = current !== undefined && JSON.stringify(current.value).length > MAX_TERMINAL_VALUE_BYTES;
    const key = keys.terminalStates(id, full ? last + 1 : last);
    const ended = [...this.core.terminalStates].slice(
      0,
      Math.min(MAX_TERMINAL_STATES_PER_WRITE, this.options.txnOps * 2),
    );
    const value = { ...(full ? {} : (current?.value as object | undefined)), ...Object.fromEntries(ended) };
    const conditions = [
      this.epochCondition,
      { key, revision: full ? 0 : (current?.revision ?? 0) },
      ...ended.map(([ref]) => ({ key: keys.cancel(ref), revision: 0 })),
    ];
    const result = await this.ledger.transact(conditions, [{ put: key, value }], RequestPriority.Decision);
    // Whatever stood in the way, and our own write too, comes by the watch; the next try starts from there.
    if (result.kind === 'applied') await this.ledger.whenCaughtUp(result.revision, 2000);
    else await this.pause(RETRY_INTERVAL_MS);
    this.writingTerminalStates = false;
    if (this.core.terminalStates.size > 0) void this.writeTerminalStates();
  }

  /** The least time between two writes of a kind that tasks wait for. */
  private get minWriteIntervalMs(): number {
    const { partitions, writeRate } = this.options;
    return Math.max(MIN_WATERMARK_INTERVAL_MS, (1000 * WRITES_PER_WATERMARK_WRITE * partitions) / writeRate);
  }

  /** Tells the store on which machines tasks are about to be started for the first time. */
  private async writeAssigned(now: number): Promise<void> {
    if (this.writingAssigned || now - this.assignedWriteAt < this.minWriteIntervalMs) return;
    const machines = this.core.unassignedMachines();
    if (machines.length === 0) return;
    this.writingAssigned = true;
    this.assignedWriteAt = now;
    const lives = (id: string): boolean => this.core.machines.has(id);
    const { ids, condition, write } = planAssignedEdit(this.replica, {
      partition: this.core.id,
      machines,
      exists: lives,
      valueBytes: this.options.valueBytes,
    });
    const result = await this.ledger.transact(
      [this.epochCondition, condition],
      [write],
      RequestPriority.Decision,
      PROGRESS_WRITE_TIMEOUT_MS,
    );
    if (result.kind === 'applied') {
      this.send({ kind: 'assigned', machines: ids });
      await this.ledger.whenCaughtUp(result.revision, PROGRESS_WRITE_TIMEOUT_MS);
    }
    this.writingAssigned = false;
  }

  // Progress.

  /** Now and then, and sooner if tasks wait for their start watermarks. Only values that differ are written. */
  private async writeProgress(now: number): Promise<void> {
    const { txnOps, progressMs } = this.options;
    if (this.writingProgress || now - this.progressWrittenAt < this.minWriteIntervalMs) return;
    const { jobs, watermarksRaised } = this.core.progress(now);
    if (!watermarksRaised && now - this.progressWrittenAt < progressMs) return;
    this.progressWrittenAt = now;
    const values = this.slots.changedValues(jobs).slice(0, txnOps);
    if (values.length === 0) return;
    this.writingProgress = true;
    const priority = watermarksRaised ? RequestPriority.Decision : RequestPriority.Progress;
    const writes = values.map(({ slot, jobs: inSlot }) => ({
      put: keys.progress(this.core.id, slot),
      value: encodeProgress(inSlot),
    }));
    // An earlier try that is applied late must not bring lower start watermarks back.
    const unchanged = writes.map(({ put }) => ({ key: put, revision: this.ledger.revisionOf(put) }));
    const result = await this.ledger.transact(
      [this.epochCondition, ...unchanged],
      writes,
      priority,
      PROGRESS_WRITE_TIMEOUT_MS,
    );
    if (result.kind === 'applied') await this.ledger.whenCaughtUp(result.revision, PROGRESS_WRITE_TIMEOUT_MS);
    this.writingProgress = false;
    if (result.kind !== 'applied') return;
    for (const value of values) {
      this.slots.markWritten(value);
      this.send({ kind: 'recorded', jobs: value.jobs });
    }
  }

  // Machines that go to another partition or back to the cloud.

  private changeRecord(id: string, change: Partial<MachineRecord>, force: boolean): void {
    const machine = this.core.machines.get(id);
    if (!machine || machine.record.phase === 'deprovisioning' || this.pendingRecordChanges.has(id)) return;
    if (!this.core.cordon(id)) {
      if (!force || machine.cordoned) return;
      machine.cordoned = true;
    }
    this.pendingRecordChanges.set(id, { ...machine.record, ...change });
  }

  /** Rewrites the records of locked machines, many at once. */
  private async writeRecordChanges(): Promise<void> {
    if (this.writingRecordChanges) return;
    this.writingRecordChanges = true;
    const name = `${this.core.id}-${this.core.epoch}-${++this.recordWriteCount}`;
    const edit = planFleetEdit(this.replica, this.core.id, this.pendingRecordChanges, name, this.options);
    if (edit.ids.length === 0) this.pendingRecordChanges.clear();
    for (const id of edit.ids) this.pendingRecordChanges.delete(id);
    if (edit.ids.length > 0) {
      await this.writeUntilDecided([this.epochCondition, ...edit.conditions], edit.writes);
      this.send({ kind: 'relent', machines: edit.ids });
    }
    this.writingRecordChanges = false;
  }

  /**
   * Resolves once the replica shows what became of a write. Until then the machines stay locked. A try whose answer
   * was lost may yet be applied, so it is repeated until it is applied or can be no more: the values have changed.
   */
  private async writeUntilDecided(conditions: Condition[], writes: Write[]): Promise<void> {
    let unsure = false;
    while (!this.released) {
      // Without a session lease for a moment: a try that is on its way may still be carried out, so nothing is unlocked.
      if (!this.active) {
        await this.pause(RETRY_INTERVAL_MS);
        continue;
      }
      const result = await this.ledger.transact(conditions, writes, RequestPriority.Decision);
      if (result.kind === 'refused' && !unsure) return;
      if (result.kind === 'applied' && (await this.ledger.whenCaughtUp(result.revision, 2000))) return;
      if (result.kind === 'conflict' && (await this.ledger.ensureFresh())) return;
      unsure ||= result.kind !== 'refused';
      await this.pause(RETRY_INTERVAL_MS);
    }
  }

  private pause(ms: number): Promise<void> {
    return new Promise((resolve) => this.clock.schedule(ms, resolve));
  }

  /**
   * Gives the partition to another controller: we stop first, then say so. We go on only if no try can be carried out any more:
   * one whose answer was lost may be, seconds later, while we would start tasks that the new owner knows nothing of.
   */
  private async handOver(to: string, incarnation: number): Promise<void> {
    this.released = true;
    this.log.info({ partition: this.core.id, to }, 'partition handover started');
    const next: PartitionRecord = { ...this.record, owner: to, incarnation };
    const conditions = [this.epochCondition, { key: keys.member(to), revision: incarnation }];
    for (let unsure = false; ;) {
      const put: Write = { put: keys.partition(this.core.id), value: next };
      const result = await this.ledger.transact(conditions, [put], RequestPriority.Decision);
      const gone = result.kind === 'conflict' && result.failed.includes(this.epochCondition.key);
      if (result.kind === 'applied' || gone) return;
      if (result.kind === 'conflict' || (result.kind === 'refused' && !unsure)) {
        this.released = false;
        return;
      }
      unsure ||= result.kind === 'unknown';
      await this.pause(RETRY_INTERVAL_MS);
    }
  }
}
