import { type Log } from '../../transport/log';
import { type ReplicaView, type StoredPartition } from '../../storage/replica-view';
import { RequestPriority } from '../../storage/request-queue';
import { type StateStoreClient } from '../../storage/state-store-client';
import { keys } from '../../protocol/keys';
import { type PartitionRecord } from '../../protocol/records';
import { type PeerMessage } from '../../protocol/peers';
import { type Condition } from '../../protocol/store';
import { type Settings, type Team } from '../../protocol/settings';
import { type LeaseExtensions } from '../membership/lease-extension';
import { Reachability } from '../membership/reachability';
import { type PartitionLoads } from './partition-loads';
import {
  planExtensions,
  planPartitions,
  unservedTeams,
  type PartitionExtension,
  type PlannedPartition,
} from './team-partitions';

/** Two controllers can handle all heartbeats. With more partitions, more machines are idle in one while another lacks them. */
const MAX_PARTITION_COUNT = 2;
/** Loads arrive twice a second. A load that is older than this is not used to judge reachability. */
const MAX_LOAD_AGE_MS = 2500;
/** Minimum time between two handovers of a partition, so that the effect of the first shows before the second. */
const MIN_HANDOVER_INTERVAL_MS = 5000;
/** A new leader waits at most this long for all other members before it first creates partitions. */
const MEMBER_WAIT_MS = 1500;
/** Counted for the leader in addition to its partitions, so that partitions go to other members first. */
const LEADER_PARTITION_WEIGHT = 0.5;

export interface PartitionAssignmentDependencies {
  settings: Settings;
  /** The leader's own member name. */
  leader: string;
  stateStore: StateStoreClient;
  replica: ReplicaView;
  log: Log;
  extensions: LeaseExtensions;
  loads: PartitionLoads;
  sendTo: (member: string, message: PeerMessage) => void;
}

/**
 * Number of partitions that each live member owns, including what this round of assignment has assigned so far, plus
 * LEADER_PARTITION_WEIGHT for the leader.
 */
type PartitionCounts = Map<string, number>;

/** A partition's record that is to be written: its owner or its teams change, or it is created. */
interface RecordChange {
  partition: string;
  teams: string[];
  owner: string;
  /** The partition's current epoch, 0 if the partition is to be created. */
  epoch: number;
  /** The previous owner if its session lease has expired and it has not rejoined, else null. */
  failedOwner: string | null;
  /** Further records that must not have changed. */
  unchanged?: readonly Condition[];
}

/**
 * Decides which controller owns which partition. A partition changes owners only in the state store, conditional on the
 * partition's epoch and the new owner's membership, so no two controllers hold the same epoch. The leader writes the change,
 * conditional also on its term; in a handover, the present owner writes it.
 */
export class PartitionAssignment {
  readonly reachability = new Reachability();
  private assigning = false;
  private leaderTerm = 0;
  /** Names of the teams that were last reported to belong to no partition. */
  private reportedTeams = '';
  private readonly lastHandoverAt = new Map<string, number>();

  constructor(private readonly deps: PartitionAssignmentDependencies) {}

  /** Assigns an owner to the partitions without a live one, gives each team a partition, and starts handovers. */
  async assign(now: number, leaderTerm: number, leaderSince: number): Promise<void> {
    if (this.assigning) return;
    const partitions = [...this.deps.replica.partitions.values()];
    if (partitions.length === 0 && this.isWaitingForMembers(now - leaderSince)) return;
    this.assigning = true;
    this.leaderTerm = leaderTerm;
    const counts = this.countPartitions(partitions);
    try {
      await this.replaceFailedOwners(partitions, counts, now);
      await this.serveAllTeams(partitions, counts);
      this.handOverUnreachable(partitions, now);
      this.handOverToIdleMember(partitions, counts, now);
    } finally {
      this.assigning = false;
    }
  }

  private get controllerCount(): number {
    return this.deps.settings.peers.length + 1;
  }

  private isWaitingForMembers(leadingMs: number): boolean {
    return this.deps.replica.members.size < this.controllerCount && leadingMs < MEMBER_WAIT_MS;
  }

  /** Whether the owner's session lease is held, by the process that the record names. */
  private isOwnerLive({ record }: StoredPartition): boolean {
    return this.deps.replica.members.get(record.owner) === record.incarnation;
  }

  private countPartitions(partitions: readonly StoredPartition[]): PartitionCounts {
    const { replica, leader } = this.deps;
    const { members } = replica;
    const counts: PartitionCounts = new Map();
    for (const member of members.keys()) counts.set(member, member === leader ? LEADER_PARTITION_WEIGHT : 0);
    // A partition that belongs to an earlier incarnation of its owner is counted when it is reassigned.
    for (const partition of partitions)
      if (this.isOwnerLive(partition)) incrementCount(counts, partition.record.owner);
    return counts;
  }

  /** The member with the fewest partitions. Members that machines lately failed to reach are the last choice. */
  private leastLoaded(counts: PartitionCounts): string | undefined {
    const avoided = (member: string): number => Number(this.reachability.isAvoided(member));
    const sorted = [...counts].sort(
      ([a, countA], [b, countB]) => avoided(a) - avoided(b) || countA - countB || (a < b ? -1 : 1),
    );
    return sorted[0]?.[0];
  }

  /**
   * Gives the teams that belong to no partition one: because none exists yet, because an earlier attempt was interrupted, or because
   * they are new in the settings. Of several controllers, at least one gets no partition: it leads and stands by for a failover.
   */
  private async serveAllTeams(
    partitions: readonly StoredPartition[],
    counts: PartitionCounts,
  ): Promise<void> {
    const { settings } = this.deps;
    const unserved = unservedTeams(settings.teams, partitions);
    if (unserved.length === 0) return;
    if (partitions.length > 0) this.reportUnserved(unserved);
    const maxCount = Math.max(1, Math.min(MAX_PARTITION_COUNT, this.controllerCount - 1));
    const planned = planPartitions(unserved, new Set(partitions.map(({ id }) => id)), maxCount);
    if (planned.length > 0) await this.createPartitions(planned, partitions, counts);
    else await this.extendPartitions(planExtensions(unserved, settings.teams, partitions), partitions);
  }

  /** Logs teams without a partition, once as long as they are the same. */
  private reportUnserved(unserved: readonly Team[]): void {
    const teams = unserved.map(({ name }) => name);
    if (teams.join() === this.reportedTeams) return;
    this.reportedTeams = teams.join();
    this.deps.log.warn({ teams }, 'teams without a partition');
  }

  /**
   * Each creation is conditional on all records that the plan assumes, so a late attempt cannot give a team to a second partition. The
   * next round plans anew what was not certainly created, from what the state store holds then.
   */
  private async createPartitions(
    planned: readonly PlannedPartition[],
    partitions: readonly StoredPartition[],
    counts: PartitionCounts,
  ): Promise<void> {
    const unchanged = partitions.map(unchangedRecord);
    for (const { id, teams } of planned) {
      const owner = this.leastLoaded(counts);
      if (!owner) return;
      const change = { partition: id, teams, owner, epoch: 0, failedOwner: null, unchanged };
      const revision = await this.writeRecord(change);
      if (revision === null) return;
      incrementCount(counts, owner);
      unchanged.push({ key: keys.partition(id), revision });
    }
  }

  /**
   * Adds teams to existing partitions, under the same conditions. The owner stays the same, but takes its partition over anew, because
   * the record has a new epoch. A partition without a live owner is extended once it has one.
   */
  private async extendPartitions(
    planned: readonly PartitionExtension[],
    partitions: readonly StoredPartition[],
  ): Promise<void> {
    // One in each round: it changes a record that the others would be conditional on.
    const extension = planned.find(({ partition }) => this.isOwnerLive(partition));
    if (!extension) return;
    const { id, record, epoch } = extension.partition;
    const teams = [...record.teams, ...extension.teams];
    const { owner } = record;
    const unchanged = partitions.filter((other) => other !== extension.partition).map(unchangedRecord);
    await this.writeRecord({ partition: id, teams, owner, epoch, failedOwner: null, unchanged });
  }

  /**
   * Assigns the partitions of owners whose session lease has expired. An owner that has rejoined under a new incarnation gets
   * its partition back under a new epoch, because it no longer knows what it ordered before. Otherwise the partition goes to
   * another member, once no lease extension protects the owner.
   */
  private async replaceFailedOwners(
    partitions: readonly StoredPartition[],
    counts: PartitionCounts,
    now: number,
  ): Promise<void> {
    const { replica, extensions } = this.deps;
    const { members } = replica;
    for (const partition of partitions) {
      if (this.isOwnerLive(partition)) continue;
      const { id, record, epoch } = partition;
      const owner = members.has(record.owner) ? record.owner : this.leastLoaded(counts);
      if (!owner) continue;
      const failedOwner = members.has(record.owner) ? null : record.owner;
      if (failedOwner && !extensions.permitsTakeover(failedOwner, now)) continue;
      const change = { partition: id, teams: record.teams, owner, epoch, failedOwner };
      if ((await this.writeRecord(change)) !== null) incrementCount(counts, owner);
    }
  }

  /** Writes a partition's record. Resolves to the record's revision, or null unless it was certainly written. */
  private async writeRecord(change: RecordChange): Promise<number | null> {
    const { partition, teams, owner, epoch, failedOwner, unchanged = [] } = change;
    const { replica, stateStore, log } = this.deps;
    const incarnation = replica.members.get(owner) ?? 0;
    const record: PartitionRecord = { teams, owner, incarnation };
    const conditions = [
      { key: keys.leader, revision: this.leaderTerm },
      { key: keys.partition(partition), revision: epoch },
      { key: keys.member(owner), revision: incarnation },
      ...unchanged,
    ];
    // If the change is applied late, it must not affect an owner that has rejoined in the meantime.
    if (failedOwner) conditions.push({ key: keys.member(failedOwner), revision: 0 });
    const result = await stateStore.transact(
      conditions,
      [{ put: keys.partition(partition), value: record }],
      RequestPriority.Decision,
    );
    log.info({ partition, owner, failedOwner, result: result.kind }, 'partition assigned');
    return result.kind === 'applied' ? result.revision : null;
  }

  /** Hands over partitions whose machines reach other controllers but not the partition's owner. */
  private handOverUnreachable(partitions: readonly StoredPartition[], now: number): void {
    const { settings, replica, loads, log } = this.deps;
    const members = [...replica.members.keys()];
    for (const { id, record, epoch } of partitions) {
      const received = loads.get(id);
      if (received?.load.epoch !== epoch || now - received.at > MAX_LOAD_AGE_MS) continue;
      const { owner } = record;
      const { heartbeatIntervalMs } = settings;
      const newOwner = this.reachability.selectReplacementOwner(
        owner,
        received.load,
        heartbeatIntervalMs,
        members,
        now,
      );
      if (newOwner === null) continue;
      log.info({ partition: id, owner, newOwner }, 'owner unreachable by its machines');
      this.handOver(id, owner, newOwner, now);
    }
  }

  /** Hands over a partition from a member that has two or more to a member that has none. */
  private handOverToIdleMember(
    partitions: readonly StoredPartition[],
    counts: PartitionCounts,
    now: number,
  ): void {
    const idle = [...counts].find(([member, n]) => n < 1 && !this.reachability.isAvoided(member))?.[0];
    if (!idle) return;
    const [busiest, count] = [...counts].sort((a, b) => b[1] - a[1])[0] ?? ['', 0];
    if (count < 2) return;
    const partition = partitions
      .filter(({ record }) => record.owner === busiest)
      .sort((a, b) => (a.id < b.id ? -1 : 1))
      .pop();
    if (partition) this.handOver(partition.id, busiest, idle, now);
  }

  private handOver(partition: string, owner: string, newOwner: string, now: number): void {
    const lastAt = this.lastHandoverAt.get(partition) ?? Number.NEGATIVE_INFINITY;
    if (now - lastAt < MIN_HANDOVER_INTERVAL_MS) return;
    this.lastHandoverAt.set(partition, now);
    this.deps.sendTo(owner, { kind: 'handover', partition, to: newOwner });
  }
}

/** The condition that a partition's record is still the one that a decision is based on. */
function unchangedRecord({ id, epoch }: StoredPartition): Condition {
  return { key: keys.partition(id), revision: epoch };
}

function incrementCount(counts: PartitionCounts, member: string): void {
  counts.set(member, (counts.get(member) ?? 0) + 1);
}
