import { Subject } from 'rxjs';
import { type Log } from '../transport/log';
import { machineTypesByName, type MachineType } from '../protocol/cloud';
import { KEY_KINDS, keyKind, keys, nameInKey, partitionOfKey, valueNameOfKey } from '../protocol/keys';
import {
  decodeAssignedMachines,
  decodeBatch,
  decodeFleet,
  decodeProgress,
  decodeTerminalStates,
  type FleetEntry,
  type MemberRecord,
  type PartitionRecord,
} from '../protocol/records';
import { type Change } from '../protocol/store';
import { FleetIndex } from './fleet-index';
import { JobIndex, type Cancellation, type StoredProgress } from './job-index';
import { type ReplicaEvent } from './replica-events';
import { type StoreReplica } from './store-replica';

/** A partition as the state store holds it. Its epoch is the revision of its record. */
export interface StoredPartition {
  id: string;
  record: PartitionRecord;
  epoch: number;
}

/**
 * The decoded and indexed records of the replica: jobs, machines, partitions, members. Every change is decoded once, when it is
 * applied, and published as an event if it concerns a job, a machine or the members.
 */
export class ReplicaView {
  readonly events = new Subject<ReplicaEvent>();
  readonly partitions = new Map<string, StoredPartition>();
  /** Incarnations of the controllers whose session leases are held, by member. */
  readonly members = new Map<string, number>();
  leader: { member: string; term: number } | null = null;
  machineTypes: ReadonlyMap<string, MachineType> = new Map();
  /** Revision of the value with the machine types; 0 if there is none. */
  machineTypesRevision = 0;
  private readonly jobIndex = new JobIndex(this.events);
  private readonly fleetIndex = new FleetIndex(this.events);
  /** All jobs by ref, including those that have ended. */
  readonly jobs = this.jobIndex.jobs;
  /** The jobs of each pipeline. */
  readonly pipelines = this.jobIndex.pipelines;
  readonly machines = this.fleetIndex.machines;
  /** Keys of fleet values that exist but hold no machine. */
  readonly emptyFleetKeys = this.fleetIndex.emptyKeys;
  /** Machines that tasks may have been started on, by the key of the value that records them. */
  private readonly assigned = new Map<string, readonly string[]>();

  constructor(
    readonly storeReplica: StoreReplica,
    private readonly log: Log,
  ) {
    storeReplica.changes.subscribe((change) => this.applyChange(change));
    storeReplica.snapshots.subscribe(() => this.fleetIndex.publishRemovals());
  }

  progressOf(ref: string): StoredProgress | null {
    return this.jobIndex.progressOf(ref);
  }

  /** The partition that a team belongs to; null while no such partition is known. */
  partitionOfTeam(team: string): StoredPartition | null {
    for (const partition of this.partitions.values()) {
      if (partition.record.teams.includes(team)) return partition;
    }
    return null;
  }

  /** Index of the value that terminal states of a partition's jobs are currently written to; initially 0. */
  lastTerminalStatesIndex(partition: string): number {
    let index = 0;
    while (this.storeReplica.entries.has(keys.terminalStates(partition, index + 1))) index++;
    return index;
  }

  /** The non-empty fleet values of a partition, with their keys. */
  fleetValuesOf(partition: string): [string, ReadonlyMap<string, FleetEntry>][] {
    return this.fleetIndex.fleetValuesOf(partition);
  }

  /** The machines of one fleet value; empty if the replica does not hold the key. */
  fleetInKey(key: string): ReadonlyMap<string, FleetEntry> {
    return this.fleetIndex.fleetInKey(key);
  }

  /** The machines that one value records as assigned: tasks may have been started on them. */
  assignedMachinesInKey(key: string): readonly string[] {
    return this.assigned.get(key) ?? [];
  }

  /** The machines that owners of a partition may have started tasks on. */
  assignedMachinesInPartition(partition: string): Set<string> {
    return new Set(
      [...this.assigned].flatMap(([key, ids]) => (partitionOfKey(key) === partition ? ids : [])),
    );
  }

  /**
   * Records that a job is cancelled in the store, whether the replica shows it yet or not. To be called only when that is
   * certain: from the response to this controller's own write, or from another controller's message.
   */
  recordCancellation(ref: string, revision: number): void {
    this.jobIndex.recordCancellation(ref, revision);
  }

  /** The cancellations after a revision that this replica knows of. */
  cancelledSince(revision: number): Cancellation[] {
    return this.jobIndex.cancelledSince(revision);
  }

  private applyChange(change: Change): void {
    const { key, revision } = change;
    const value = 'deleted' in change ? null : change.value;
    switch (keyKind(key)) {
      case KEY_KINDS.batch:
        return this.applyBatch(key, value, revision);
      case KEY_KINDS.cancellation:
        return this.recordCancellation(nameInKey(KEY_KINDS.cancellation, key), revision);
      case KEY_KINDS.terminalStates:
        return this.applyTerminalStates(key, value);
      case KEY_KINDS.progress:
        return this.applyProgress(key, value);
      case KEY_KINDS.assignedMachines:
        return this.applyAssignedMachines(key, value);
      case KEY_KINDS.fleet:
        return this.applyFleet(key, value, revision);
      case KEY_KINDS.partition:
        return this.applyPartition(key, value, revision);
      case KEY_KINDS.member:
        return this.applyMember(key, value, revision);
      case KEY_KINDS.leader:
        return this.applyLeader(value, revision);
      case KEY_KINDS.catalog:
        return this.applyMachineTypes(value, revision);
      default:
        // Keys of a later version are ignored.
        return;
    }
  }

  private applyBatch(key: string, value: unknown, revision: number): void {
    const batch = value === null ? [] : decodeBatch(value);
    if (!batch) return this.logMalformed(key);
    this.jobIndex.addBatch(batch, revision);
  }

  private applyTerminalStates(key: string, value: unknown): void {
    const states = value === null ? {} : decodeTerminalStates(value);
    if (!states) return this.logMalformed(key);
    for (const [ref, state] of Object.entries(states)) this.jobIndex.setTerminalState(ref, state);
  }

  private applyProgress(key: string, value: unknown): void {
    if (value === null) return;
    const jobs = decodeProgress(value);
    if (!jobs) return this.logMalformed(key);
    this.jobIndex.setProgress(jobs, Number(valueNameOfKey(key)));
  }

  private applyAssignedMachines(key: string, value: unknown): void {
    const ids = value === null ? [] : decodeAssignedMachines(value);
    if (!ids) return this.logMalformed(key);
    this.assigned.set(key, ids);
  }

  private applyFleet(key: string, value: unknown, revision: number): void {
    if (value === null) return this.fleetIndex.setFleetValue(key, null);
    const machines = decodeFleet(partitionOfKey(key), value, revision);
    if (!machines) return this.logMalformed(key);
    this.fleetIndex.setFleetValue(key, machines);
  }

  private applyPartition(key: string, value: unknown, epoch: number): void {
    const id = partitionOfKey(key);
    if (value === null) this.partitions.delete(id);
    else this.partitions.set(id, { id, record: value as PartitionRecord, epoch });
  }

  private applyMember(key: string, value: unknown, incarnation: number): void {
    const member = nameInKey(KEY_KINDS.member, key);
    if (value === null) this.members.delete(member);
    else this.members.set(member, incarnation);
    this.events.next({ kind: 'members' });
  }

  private applyMachineTypes(value: unknown, revision: number): void {
    this.machineTypesRevision = value === null ? 0 : revision;
    // Machines of the types that were known may still run tasks.
    if (value !== null) this.machineTypes = machineTypesByName(value as MachineType[]);
  }

  private applyLeader(value: unknown, term: number): void {
    this.leader = value === null ? null : { member: (value as MemberRecord).member, term };
    this.events.next({ kind: 'members' });
  }

  /** Only controllers write these values, but a malformed one must neither end the process nor go unnoticed. */
  private logMalformed(key: string): void {
    this.log.error({ key }, 'malformed value in the state store');
  }
}
