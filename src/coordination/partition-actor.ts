import { Actor } from '../transport/actor';
import { type Clock } from '../transport/clock';
import { type Log } from '../transport/log';
import { type ReplicaView, type StoredProgress } from '../storage/replica-view';
import { ProgressSlots } from '../storage/progress';
import { recordAssigned } from '../storage/assigned-machines';
import { editFleet } from '../storage/fleets';
import { RequestPriority, type Ledger } from '../storage/ledger';
import {
  encodeProgress,
  keys,
  type FleetEntry,
  type JobProgress,
  type JobState,
  type MachineRecord,
  type PartitionRecord,
} from '../protocol/records';
import { type JobSpec } from '../protocol/jobs';
import { LEAVES_FLEET } from '../protocol/peers';
import { type Condition, type Write } from '../protocol/store';
import { type Command, type Report } from '../protocol/workers';
import { type PartitionBalancing } from './balancing';
import { type PartitionCore } from './partition';

export type PartitionMessage =
  | { kind: 'report'; report: Report; reply: (answer: { token: number; commands: Command[] } | null) => void }
  | { kind: 'machine'; id: string; entry: FleetEntry | null }
  | { kind: 'job'; spec: JobSpec; acceptedAt: number; version: number; progress: StoredProgress | null }
  | { kind: 'closed'; ref: string; state: JobState }
  | { kind: 'ended'; spec: JobSpec; version: number; state: JobState }
  | { kind: 'tick' }
  | { kind: 'move'; machine: string; toPartition: string; drain: boolean }
  | { kind: 'retire'; machine: string; why: string; force: boolean }
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
const SETTLING_MS = 8000;
/** Machines that a line of the log names at most. */
const MACHINES_NAMED = 5;
const PROGRESS_CALL_MS = 2000;
/** Of the changes that the state service allows, one in this many raises start watermarks, and another opens machines. */
const WATERMARK_WRITES_SHARE = 4;
const MIN_WATERMARK_INTERVAL_MS = 400;
/** How many ends are told with one change at most, and how large their value may grow. */
const FINALS_AT_ONCE = 30;
const FINAL_BYTES = 1500;
/** Between two tries of a change. */
const RETRY_MS = 150;

/** The thin actor around a partition: reports and changes in, commands and writes out. */
export class PartitionActor extends Actor<PartitionMessage> {
  /** Handed over, or being handed over: nothing is done for this partition here any more. */
  released = false;
  private readonly relends = new Map<string, MachineRecord>();
  private relending = false;
  private edits = 0;
  private finishing = false;
  private recording = false;
  private recordedAt = Number.NEGATIVE_INFINITY;
  private writingAssigned = false;
  private assignedWriteAt = Number.NEGATIVE_INFINITY;
  private readonly slots: ProgressSlots;
  private readonly since: number;
  private settled = false;
  private toldWaiting = false;

  constructor(
    readonly core: PartitionCore,
    private readonly record: PartitionRecord,
    private readonly ledger: Ledger,
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
    this.since = clock.steady();
    core.observer = balancing;
  }

  get active(): boolean {
    return !this.released && this.authority.alive();
  }

  private get mine(): Condition {
    return { key: keys.partition(this.core.id), version: this.core.version };
  }

  protected receive(message: PartitionMessage): void {
    const now = this.clock.steady();
    switch (message.kind) {
      case 'report':
        message.reply(
          this.active && this.authority.mayRenewLeases() ? this.core.report(message.report, now) : null,
        );
        if (this.core.finals.size > 0) void this.writeFinals();
        return;
      case 'machine':
        if (message.entry) this.core.putMachine(message.id, message.entry.record, message.entry.version, now);
        else this.core.dropMachine(message.id, now);
        return;
      case 'job':
        if (message.progress) this.slots.put(message.spec.ref, message.progress.slot);
        this.core.putJob(message.spec, message.acceptedAt, message.version, message.progress, now);
        return;
      case 'closed':
        this.slots.drop(message.ref);
        this.core.closeJob(message.ref, message.state, now);
        return;
      case 'ended':
        this.core.putOver(message.spec, message.state, message.version);
        this.core.putEnded(message.spec, message.state, message.version);
        return;
      case 'tick':
        this.tick(now);
        return;
      case 'move':
        if (!this.active) return;
        if (message.drain) this.core.drainTo(message.machine, message.toPartition, now);
        else this.relend(message.machine, { partition: message.toPartition }, false);
        return;
      case 'retire':
        if (this.active)
          this.relend(message.machine, { phase: 'returning', why: message.why }, message.force);
        return;
      case 'handover':
        if (this.active) void this.handOver(message.to, message.incarnation);
        return;
      case 'recorded':
        this.core.recorded(message.jobs);
        return;
      case 'assigned':
        this.core.markAssigned(message.machines);
        return;
      case 'relent':
        // Those that moved are not here any more, those that go back stay locked by their record.
        for (const id of message.machines) this.core.unlock(id);
    }
  }

  private tick(now: number): void {
    if (!this.active) return;
    this.core.tick(now, this.clock.today().getTime());
    this.tellSettled(now);
    this.tellMoves();
    for (const { id, toPartition } of this.core.emptied()) {
      if (toPartition === LEAVES_FLEET) this.relend(id, { phase: 'returning', why: 'spare' }, false);
      else this.relend(id, { partition: toPartition }, false);
    }
    if (this.relends.size > 0) void this.writeRelends();
    if (this.core.finals.size > 0) void this.writeFinals();
    void this.writeProgress(now);
    void this.writeAssigned(now);
  }

  /** Just taken over, and machines are still to speak. */
  settling(now: number): boolean {
    return this.core.unconfirmed > 0 && now - this.since < SETTLING_MS;
  }

  /** How long a take-over kept tasks waiting, and what it cost. */
  private tellSettled(now: number): void {
    if (this.settled) return;
    if (this.core.unconfirmed > 0) return this.tellWaiting(now);
    this.settled = true;
    const { lost, reports, stale } = this.core.counters;
    const seconds = Math.round((now - this.since) / 100) / 10;
    this.log.info({ partition: this.core.id, seconds, lost, reports, stale }, 'partition settled');
  }

  private tellMoves(): void {
    const decisions = this.balancing?.takeDecisions() ?? [];
    for (const decision of decisions) this.log.info({ partition: this.core.id, ...decision }, 'task move');
  }

  /** Which machines keep a take-over waiting, told once: its symptoms alone do not show them. */
  private tellWaiting(now: number): void {
    if (this.toldWaiting || now - this.since < SETTLING_MS) return;
    this.toldWaiting = true;
    const { id: partition, unconfirmed } = this.core;
    const machines = this.core.firstUnconfirmed(MACHINES_NAMED);
    this.log.info({ partition, unconfirmed, machines }, 'machines have not spoken since the take-over');
  }

  // Ends of jobs.

  /** Writes down which jobs have ended, unless their users have cancelled them meanwhile. */
  private async writeFinals(): Promise<void> {
    if (this.finishing || !this.active) return;
    this.finishing = true;
    const { id } = this.core;
    const last = this.replica.lastFinal(id);
    const current = this.ledger.entries.get(keys.final(id, last));
    const full = current !== undefined && JSON.stringify(current.value).length > FINAL_BYTES;
    const key = keys.final(id, full ? last + 1 : last);
    const ended = [...this.core.finals].slice(0, Math.min(FINALS_AT_ONCE, this.options.txnOps * 2));
    const value = { ...(full ? {} : (current?.value as object | undefined)), ...Object.fromEntries(ended) };
    const conditions = [
      this.mine,
      { key, version: full ? 0 : (current?.version ?? 0) },
      ...ended.map(([ref]) => ({ key: keys.cancel(ref), version: 0 })),
    ];
    const result = await this.ledger.txn(conditions, [{ put: key, value }], RequestPriority.Decision);
    // Whatever stood in the way, and our own write too, comes by the watch; the next try starts from there.
    if (result.kind === 'applied') await this.ledger.caughtUp(result.revision, 2000);
    else await this.pause(RETRY_MS);
    this.finishing = false;
    if (this.core.finals.size > 0) void this.writeFinals();
  }

  /** The least time between two writes of a kind that tasks wait for. */
  private get betweenMs(): number {
    const { partitions, writeRate } = this.options;
    return Math.max(MIN_WATERMARK_INTERVAL_MS, (1000 * WATERMARK_WRITES_SHARE * partitions) / writeRate);
  }

  /** Tells the store on which machines tasks are about to be started for the first time. */
  private async writeAssigned(now: number): Promise<void> {
    if (this.writingAssigned || now - this.assignedWriteAt < this.betweenMs) return;
    const machines = this.core.unassigned();
    if (machines.length === 0) return;
    this.writingAssigned = true;
    this.assignedWriteAt = now;
    const lives = (id: string): boolean => this.core.machines.has(id);
    const { ids, condition, write } = recordAssigned(
      this.replica,
      this.core.id,
      machines,
      lives,
      this.options.valueBytes,
    );
    const result = await this.ledger.txn(
      [this.mine, condition],
      [write],
      RequestPriority.Decision,
      PROGRESS_CALL_MS,
    );
    if (result.kind === 'applied') {
      this.tell({ kind: 'assigned', machines: ids });
      await this.ledger.caughtUp(result.revision, PROGRESS_CALL_MS);
    }
    this.writingAssigned = false;
  }

  // Progress.

  /** Now and then, and sooner if tasks wait for their start watermarks. Only values that differ are written. */
  private async writeProgress(now: number): Promise<void> {
    const { txnOps, progressMs } = this.options;
    if (this.recording || now - this.recordedAt < this.betweenMs) return;
    const { jobs, watermarksRaised } = this.core.progress(now);
    if (!watermarksRaised && now - this.recordedAt < progressMs) return;
    this.recordedAt = now;
    const values = this.slots.changed(jobs).slice(0, txnOps);
    if (values.length === 0) return;
    this.recording = true;
    const priority = watermarksRaised ? RequestPriority.Decision : RequestPriority.Progress;
    const writes = values.map(({ slot, jobs: inSlot }) => ({
      put: keys.progress(this.core.id, slot),
      value: encodeProgress(inSlot),
    }));
    // An earlier try that is applied late must not bring lower start watermarks back.
    const unchanged = writes.map(({ put }) => ({ key: put, version: this.ledger.version(put) }));
    const result = await this.ledger.txn([this.mine, ...unchanged], writes, priority, PROGRESS_CALL_MS);
    if (result.kind === 'applied') await this.ledger.caughtUp(result.revision, PROGRESS_CALL_MS);
    this.recording = false;
    if (result.kind !== 'applied') return;
    for (const value of values) {
      this.slots.written(value);
      this.tell({ kind: 'recorded', jobs: value.jobs });
    }
  }

  // Machines that go to another partition or back to the cloud.

  private relend(id: string, change: Partial<MachineRecord>, force: boolean): void {
    const machine = this.core.machines.get(id);
    if (!machine || machine.record.phase === 'returning' || this.relends.has(id)) return;
    if (!this.core.lock(id)) {
      if (!force || machine.locked) return;
      machine.locked = true;
    }
    this.relends.set(id, { ...machine.record, ...change });
  }

  /** Rewrites the records of locked machines, many at once. */
  private async writeRelends(): Promise<void> {
    if (this.relending) return;
    this.relending = true;
    const name = `${this.core.id}-${this.core.version}-${++this.edits}`;
    const edit = editFleet(this.replica, this.core.id, this.relends, name, this.options);
    if (edit.ids.length === 0) this.relends.clear();
    for (const id of edit.ids) this.relends.delete(id);
    if (edit.ids.length > 0) {
      await this.untilKnown([this.mine, ...edit.conditions], edit.writes);
      this.tell({ kind: 'relent', machines: edit.ids });
    }
    this.relending = false;
  }

  /**
   * Resolves once the replica shows what became of a write. Until then the machines stay locked. A try whose answer
   * was lost may yet be applied, so it is repeated until it is applied or can be no more: the values have changed.
   */
  private async untilKnown(conditions: Condition[], writes: Write[]): Promise<void> {
    let unsure = false;
    while (!this.released) {
      // Without a session lease for a moment: a try that is on its way may still be carried out, so nothing is unlocked.
      if (!this.active) {
        await this.pause(RETRY_MS);
        continue;
      }
      const result = await this.ledger.txn(conditions, writes, RequestPriority.Decision);
      if (result.kind === 'refused' && !unsure) return;
      if (result.kind === 'applied' && (await this.ledger.caughtUp(result.revision, 2000))) return;
      if (result.kind === 'conflict' && (await this.ledger.fresh())) return;
      unsure ||= result.kind !== 'refused';
      await this.pause(RETRY_MS);
    }
  }

  private pause(ms: number): Promise<void> {
    return new Promise((resolve) => this.clock.after(ms, resolve));
  }

  /**
   * Gives the partition to another controller: we stop first, then say so. We go on only if no try can be carried out any more:
   * one whose answer was lost may be, seconds later, while we would start tasks that the new owner knows nothing of.
   */
  private async handOver(to: string, incarnation: number): Promise<void> {
    this.released = true;
    this.log.info({ partition: this.core.id, to }, 'handing over');
    const next: PartitionRecord = { ...this.record, owner: to, incarnation };
    const conditions = [this.mine, { key: keys.member(to), version: incarnation }];
    for (let unsure = false; ;) {
      const put: Write = { put: keys.partition(this.core.id), value: next };
      const result = await this.ledger.txn(conditions, [put], RequestPriority.Decision);
      const gone = result.kind === 'conflict' && result.failed.includes(this.mine.key);
      if (result.kind === 'applied' || gone) return;
      if (result.kind === 'conflict' || (result.kind === 'refused' && !unsure)) {
        this.released = false;
        return;
      }
      unsure ||= result.kind === 'unknown';
      await this.pause(RETRY_MS);
    }
  }
}
