import { Actor } from '../../transport/actor';
import { type Clock } from '../../transport/clock';
import { type Log } from '../../transport/log';
import { type ReplicaView } from '../../storage/replica-view';
import { type StateStoreClient } from '../../storage/state-store-client';
import { type PartitionRecord } from '../../protocol/records';
import { DRAIN_TO_CLOUD } from '../../protocol/peers';
import { type Heartbeat } from '../../protocol/workers';
import { AssignedMachineWriter } from './assigned-machine-writer';
import { type HeartbeatAnswer } from './heartbeat-handler';
import { MachineRecordWriter } from './machine-record-writer';
import { type PartitionBalancing } from './partition-balancing';
import { type PartitionCore } from './partition-core';
import { handOverPartition, type HandoverTarget } from './partition-handover';
import { type JobOpenedMessage, type PartitionMessage } from './partition-messages';
import { PartitionStore } from './partition-store';
import { ProgressWriter } from './progress-writer';
import { RecoveryLog } from './recovery-log';
import { TerminalStateWriter } from './terminal-state-writer';

/** Permissions of this controller as an owner of partitions. */
export interface Authority {
  /** Whether this controller may act for its partitions. */
  mayAct(): boolean;
  /** Whether this controller may also answer heartbeats, each of which renews the lease of a worker. */
  mayRenewLeases(): boolean;
}

export interface PartitionActorOptions {
  /** Size in bytes of the largest value that the state store accepts. */
  valueBytes: number;
  /** Maximum number of operations in one transaction. */
  txnOps: number;
  /** Writes per second that the state store allows. */
  writeRate: number;
  /** Number of partitions that share the state store. */
  partitionCount: number;
  /** Interval between two writes of progress while no task waits for one. */
  progressIntervalMs: number;
}

export interface PartitionActorDependencies {
  core: PartitionCore;
  /** The partition's record, at the core's epoch. */
  record: PartitionRecord;
  stateStore: StateStoreClient;
  replica: ReplicaView;
  clock: Clock;
  log: Log;
  authority: Authority;
  options: PartitionActorOptions;
  /** Null if the partition's tasks are not moved between machines. */
  balancing: PartitionBalancing | null;
}

/**
 * Of the writes that the state store allows, one in this many may raise start watermarks, and another one in this many may assign
 * machines.
 */
const WRITES_PER_WATERMARK_WRITE = 4;
const MIN_WATERMARK_INTERVAL_MS = 400;

/** Minimum interval between two writes of the same kind that tasks wait for: start watermarks, or assigned machines. */
function minWriteIntervalMs({ partitionCount, writeRate }: PartitionActorOptions): number {
  return Math.max(
    MIN_WATERMARK_INTERVAL_MS,
    (1000 * WRITES_PER_WATERMARK_WRITE * partitionCount) / writeRate,
  );
}

/**
 * Actor of a partition that this controller owns. It passes heartbeats and changes of the state store to the partition core, one
 * message at a time, and writes the core's decisions to the state store.
 */
export class PartitionActor extends Actor<PartitionMessage> {
  /** True once the partition is handed over or being handed over: this controller no longer acts for it. */
  released = false;
  readonly core: PartitionCore;
  readonly balancing: PartitionBalancing | null;
  private readonly store: PartitionStore;
  private readonly terminalStates: TerminalStateWriter;
  private readonly progress: ProgressWriter;
  private readonly assignedMachines: AssignedMachineWriter;
  private readonly machineRecords: MachineRecordWriter;
  private readonly recovery: RecoveryLog;

  constructor(private readonly deps: PartitionActorDependencies) {
    const { core, log, options, balancing } = deps;
    super((error) => log.error({ error, partition: core.id }, 'partition failed'));
    this.core = core;
    this.balancing = balancing;
    core.observer = balancing;
    this.recovery = new RecoveryLog(core, log, deps.clock.steady());
    const store = new PartitionStore({
      partition: core.id,
      epoch: core.epoch,
      stateStore: deps.stateStore,
      replica: deps.replica,
      clock: deps.clock,
      isActive: () => this.active,
    });
    this.store = store;
    const minIntervalMs = minWriteIntervalMs(options);
    const { valueBytes, txnOps } = options;
    this.terminalStates = new TerminalStateWriter(store, () => core.terminalStates, { valueBytes, txnOps });
    this.progress = new ProgressWriter({
      store,
      valueBytes,
      txnOps,
      intervalMs: options.progressIntervalMs,
      minIntervalMs,
      progress: (now) => core.progress(now),
      onWritten: (jobs) => this.send({ kind: 'progress-written', jobs }),
    });
    this.assignedMachines = new AssignedMachineWriter({
      core,
      store,
      valueBytes,
      minIntervalMs,
      onAssigned: (machines) => this.send({ kind: 'machines-assigned', machines }),
    });
    this.machineRecords = new MachineRecordWriter({
      core,
      store,
      limits: { valueBytes, txnOps },
      log,
      isReleased: () => this.released,
      onDecided: (machines) => this.send({ kind: 'records-decided', machines }),
    });
  }

  /** Whether this controller may act for the partition now. */
  get active(): boolean {
    return !this.released && this.deps.authority.mayAct();
  }

  /** Whether the partition was taken over recently and has unconfirmed machines. */
  recovering(now: number): boolean {
    return this.recovery.recovering(now);
  }

  protected receive(message: PartitionMessage): void {
    const now = this.deps.clock.steady();
    switch (message.kind) {
      case 'heartbeat':
        message.reply(this.answerHeartbeat(message.heartbeat, now));
        this.terminalStates.writePending();
        return;
      case 'machine-changed':
        if (message.entry)
          this.core.upsertMachine(message.id, message.entry.record, message.entry.revision, now);
        else this.core.removeMachine(message.id, now);
        return;
      case 'job-opened':
        this.openJob(message, now);
        return;
      case 'job-closed':
        this.progress.releaseSlot(message.ref);
        this.core.closeJob(message.ref, message.state, now);
        return;
      case 'job-terminated':
        this.core.reserveQuotaForCancelled(message, message.state);
        this.core.addTerminatedPipelineJob(message, message.state);
        return;
      case 'tick':
        this.tick(now);
        return;
      case 'move':
        if (!this.active) return;
        if (message.drain) this.core.drainForTransfer(message.machine, message.toPartition, now);
        else this.machineRecords.queueChange(message.machine, { partition: message.toPartition });
        return;
      case 'retire':
        if (this.active) this.deprovision(message.machine, message.reason, message.force);
        return;
      case 'handover':
        if (this.active) void this.handOver({ member: message.to, incarnation: message.incarnation });
        return;
      case 'progress-written':
        this.core.markProgressWritten(message.jobs);
        return;
      case 'machines-assigned':
        this.core.markAssigned(message.machines);
        return;
      case 'records-decided':
        // Transferred machines have left the partition; machines that are deprovisioned stay cordoned because of their record.
        for (const id of message.machines) this.core.uncordon(id);
    }
  }

  private answerHeartbeat(heartbeat: Heartbeat, now: number): HeartbeatAnswer | null {
    if (!this.active || !this.deps.authority.mayRenewLeases()) return null;
    return this.core.handleHeartbeat(heartbeat, now);
  }

  private openJob(message: JobOpenedMessage, now: number): void {
    if (message.progress) this.progress.assignSlot(message.spec.ref, message.progress.slot);
    this.core.openJob(message, now);
  }

  private deprovision(machine: string, reason: string, force: boolean): void {
    this.machineRecords.queueChange(machine, { phase: 'deprovisioning', reason }, force);
  }

  private tick(now: number): void {
    if (!this.active) return;
    this.core.tick(now, this.deps.clock.wallClock().getTime());
    this.recovery.tick(now);
    this.logTaskMoves();
    this.releaseDrainedMachines();
    this.machineRecords.writePending();
    this.terminalStates.writePending();
    void this.progress.writeIfDue(now);
    void this.assignedMachines.writeIfDue(now);
  }

  private releaseDrainedMachines(): void {
    for (const { id, toPartition } of this.core.drainedMachines()) {
      if (toPartition === DRAIN_TO_CLOUD) this.deprovision(id, 'spare', false);
      else this.machineRecords.queueChange(id, { partition: toPartition });
    }
  }

  private logTaskMoves(): void {
    const decisions = this.balancing?.takeDecisions() ?? [];
    for (const decision of decisions)
      this.deps.log.info({ partition: this.core.id, ...decision }, 'task move');
  }

  /** Stops acting for the partition, then hands it over. Acts for it again only if the handover is certain to have failed. */
  private async handOver(target: HandoverTarget): Promise<void> {
    this.released = true;
    this.deps.log.info({ partition: this.core.id, to: target.member }, 'partition handover started');
    const handedOver = await handOverPartition(this.store, this.deps.record, target);
    if (!handedOver) this.released = false;
  }
}
