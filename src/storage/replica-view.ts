import { Subject } from 'rxjs';
import { type Log } from '../transport/log';
import {
  decodeBatch,
  decodeTerminalStates,
  decodeFleet,
  decodeAssignedMachines,
  decodeProgress,
  keys,
  partitionOfKey,
  KEY_PREFIX,
  type FleetEntry,
  type JobProgress,
  type JobState,
  type MemberRecord,
  type PartitionRecord,
} from '../protocol/records';
import { type JobSpec } from '../protocol/jobs';
import { type MachineType } from '../protocol/cloud';
import { type Change } from '../protocol/store';
import { type StateStoreClient } from './state-store-client';

export interface StoredJob {
  readonly spec: JobSpec;
  /** Time of day of the acceptance, in milliseconds. */
  readonly acceptedAt: number;
  /** Revision of its acceptance. */
  readonly revision: number;
  state: JobState;
}

export interface StoredPartition {
  id: string;
  record: PartitionRecord;
  epoch: number;
}

export interface Cancellation {
  job: string;
  /** Revision at which its user's word was written down. */
  revision: number;
}

export type ReplicaEvent =
  | { kind: 'job'; job: StoredJob }
  | { kind: 'closed'; job: StoredJob }
  | { kind: 'machine'; id: string; entry: FleetEntry }
  | { kind: 'gone'; id: string; partition: string }
  | { kind: 'members' };

export interface StoredProgress extends JobProgress {
  /** The number of its partition's progress value that it stands in. */
  slot: number;
}

interface StoredMachine extends FleetEntry {
  /** The key whose value it stands in. */
  key: string;
}

/**
 * What the replica says, in the project's own words and by name: jobs, machines, partitions, members. Every change is
 * read once; whoever asks finds what is wanted without looking through the rest.
 */
export class ReplicaView {
  readonly events = new Subject<ReplicaEvent>();
  readonly jobs = new Map<string, StoredJob>();
  /** The jobs of each pipeline. */
  readonly pipelines = new Map<string, StoredJob[]>();
  readonly machines = new Map<string, StoredMachine>();
  readonly partitions = new Map<string, StoredPartition>();
  /** Controllers whose session leases live, with their incarnations. */
  readonly members = new Map<string, number>();
  leader: { member: string; term: number } | null = null;
  machineTypes: ReadonlyMap<string, MachineType> = new Map();
  private readonly terminalStates = new Map<string, JobState>();
  /** Jobs that their users cancelled, with the revision of that. */
  private readonly cancelled = new Map<string, number>();
  private readonly progress = new Map<string, StoredProgress>();
  /** Machines that a partition may have started tasks on, by key. */
  private readonly assigned = new Map<string, readonly string[]>();
  /** Machines that left the value in which they stood, until the replica is whole again. */
  private readonly unplacedMachines = new Map<string, { key: string; partition: string }>();
  /** Values of machines that hold none any more. */
  readonly emptyFleetKeys = new Set<string>();
  private readonly fleets = new Map<string, Map<string, FleetEntry>>();

  constructor(
    readonly stateStore: StateStoreClient,
    private readonly log: Log,
  ) {
    stateStore.changes.subscribe((change) => this.applyChange(change));
    stateStore.batches.subscribe(() => this.publishRemovals());
  }

  progressOf(ref: string): StoredProgress | null {
    return this.progress.get(ref) ?? null;
  }

  /** The partition that looks after a team, once the partitions are known. */
  partitionOfTeam(team: string): StoredPartition | null {
    for (const partition of this.partitions.values())
      if (partition.record.teams.includes(team)) return partition;
    return null;
  }

  /** The number of the value that how jobs end is written to now, 0 at first. */
  lastTerminalStatesIndex(partition: string): number {
    let n = 0;
    while (this.stateStore.entries.has(keys.terminalStates(partition, n + 1))) n++;
    return n;
  }

  /** The keys that hold a partition's machines. */
  fleetValuesOf(partition: string): [string, ReadonlyMap<string, FleetEntry>][] {
    return [...this.fleets].filter(([key]) => partitionOfKey(key) === partition);
  }

  fleetInKey(key: string): ReadonlyMap<string, FleetEntry> {
    return this.fleets.get(key) ?? new Map<string, FleetEntry>();
  }

  assignedInKey(key: string): readonly string[] {
    return this.assigned.get(key) ?? [];
  }

  /** The machines that owners of this partition may have started tasks on. */
  assignedInPartition(partition: string): Set<string> {
    return new Set(
      [...this.assigned].flatMap(([key, ids]) => (partitionOfKey(key) === partition ? ids : [])),
    );
  }

  /**
   * A job is surely cancelled in the store, whether the replica shows it yet or not: our own write was answered, or
   * another controller says so.
   */
  recordCancellation(ref: string, revision: number): void {
    if (this.cancelled.has(ref)) return;
    this.cancelled.set(ref, revision);
    this.closeJob(ref, 'cancelled');
  }

  /** What was cancelled after a revision, as far as we know. */
  cancelledSince(sinceRevision: number): Cancellation[] {
    const found: Cancellation[] = [];
    for (const [job, revision] of this.cancelled) if (revision > sinceRevision) found.push({ job, revision });
    return found;
  }

  private applyChange(change: Change): void {
    const kind = change.key.slice(KEY_PREFIX.length).split('/')[0];
    const value = 'deleted' in change ? null : change.value;
    switch (kind) {
      case 'batch':
        return this.applyBatch(change.key, value, change.revision);
      case 'cancel':
        return this.recordCancellation(change.key.slice(keys.cancel('').length), change.revision);
      case 'final': {
        const found = value === null ? {} : decodeTerminalStates(value);
        if (!found) return this.logMalformed(change.key);
        for (const [ref, state] of Object.entries(found)) this.closeJob(ref, state);
        return;
      }
      case 'progress':
        return this.applyProgress(change.key, value);
      case 'opened': {
        const ids = value === null ? [] : decodeAssignedMachines(value);
        if (!ids) return this.logMalformed(change.key);
        this.assigned.set(change.key, ids);
        return;
      }
      case 'fleet':
        return this.applyFleet(change.key, value, change.revision);
      case 'part': {
        const id = partitionOfKey(change.key);
        if (value === null) this.partitions.delete(id);
        else this.partitions.set(id, { id, record: value as PartitionRecord, epoch: change.revision });
        return;
      }
      case 'member': {
        const member = change.key.slice(keys.member('').length);
        if (value === null) this.members.delete(member);
        else this.members.set(member, change.revision);
        return this.events.next({ kind: 'members' });
      }
      case 'leader':
        this.leader =
          value === null ? null : { member: (value as MemberRecord).member, term: change.revision };
        return this.events.next({ kind: 'members' });
      case 'catalog':
        if (value !== null) this.machineTypes = new Map((value as MachineType[]).map((t) => [t.name, t]));
        return;
      default:
        // Keys of a later version, or none of ours.
        return;
    }
  }

  /**
   * A job may stand in two batches: its user asked a second controller before the first one's answer, or a batch
   * was applied late. The earlier one counts, for every controller alike.
   */
  private applyBatch(key: string, value: unknown, revision: number): void {
    const batch = value === null ? [] : decodeBatch(value);
    if (!batch) return this.logMalformed(key);
    for (const { spec, acceptedAt } of batch) {
      const known = this.jobs.get(spec.ref);
      if (known && known.revision <= revision) continue;
      const state = known?.state ?? this.terminalStates.get(spec.ref) ?? 'open';
      const job = { spec, acceptedAt: new Date(acceptedAt).getTime(), revision, state };
      this.jobs.set(spec.ref, job);
      if (spec.pipeline) {
        const others = (this.pipelines.get(spec.pipeline.ref) ?? []).filter((j) => j.spec.ref !== spec.ref);
        this.pipelines.set(spec.pipeline.ref, [...others, job]);
      }
      if (state === 'open') this.events.next({ kind: 'job', job });
    }
  }

  private closeJob(ref: string, state: JobState): void {
    const before = this.terminalStates.get(ref);
    // A job that failed for its pipeline's sake may still be cancelled by its user, and then stays so.
    if (before === state || before === 'done' || before === 'cancelled') return;
    this.terminalStates.set(ref, state);
    this.progress.delete(ref);
    const job = this.jobs.get(ref);
    if (!job) return;
    job.state = state;
    this.events.next({ kind: 'closed', job });
  }

  private applyProgress(key: string, value: unknown): void {
    const jobs = value === null ? new Map<string, JobProgress>() : decodeProgress(value);
    if (!jobs) return this.logMalformed(key);
    const slot = Number(key.split('/')[3]);
    for (const [ref, progress] of jobs)
      if (!this.terminalStates.has(ref)) this.progress.set(ref, { ...progress, slot });
  }

  private applyFleet(key: string, value: unknown, revision: number): void {
    const partition = partitionOfKey(key);
    const now = value === null ? new Map<string, FleetEntry>() : decodeFleet(partition, value, revision);
    if (!now) return this.logMalformed(key);
    const before = this.fleets.get(key);
    if (now.size > 0) this.fleets.set(key, now);
    else this.fleets.delete(key);
    if (value !== null && now.size === 0) this.emptyFleetKeys.add(key);
    else this.emptyFleetKeys.delete(key);
    for (const [id, entry] of now) {
      const known = this.machines.get(id);
      if (known && known.revision > entry.revision) continue;
      this.machines.set(id, { ...entry, key });
      // A value that was only written anew is no news of the machines in it.
      if (known?.revision !== entry.revision) this.events.next({ kind: 'machine', id, entry });
    }
    for (const id of before?.keys() ?? [])
      if (!now.has(id) && this.machines.get(id)?.key === key)
        this.unplacedMachines.set(id, { key, partition });
  }

  /**
   * Machines are gone only if they stand nowhere once the replica is whole again. Values that become one are several
   * changes, and a replica that is read anew meets them in the order of their keys: a machine that merely stands
   * elsewhere now was taken for gone, and its tasks were started a second time.
   */
  private publishRemovals(): void {
    for (const [id, { key, partition }] of this.unplacedMachines) {
      if (this.machines.get(id)?.key !== key || this.fleets.get(key)?.has(id)) continue;
      this.machines.delete(id);
      this.events.next({ kind: 'gone', id, partition });
    }
    this.unplacedMachines.clear();
  }

  /** Nobody but we writes here, but one bad value must not end the process, nor pass unseen. */
  private logMalformed(key: string): void {
    this.log.error({ key }, 'malformed value in the state store');
  }
}
