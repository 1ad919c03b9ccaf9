import { type Log } from '../../transport/log';
import { type ReplicaView, type StoredPartition } from '../../storage/replica-view';
import { RequestPriority } from '../../storage/request-queue';
import { type StateStoreClient } from '../../storage/state-store-client';
import { keys } from '../../protocol/keys';
import { type PartitionRecord } from '../../protocol/records';
import { type PartitionLoad, type PeerMessage } from '../../protocol/peers';
import { type Settings, type Team } from '../../protocol/settings';
import { Reachability } from '../membership/reachability';
import { type LeaseExtensions } from '../membership/lease-extension';

/** A partition's report costs so little that two controllers carry all; more partitions only leave machines on the wrong side. */
const MAX_PARTITION_COUNT = 2;
/** Loads come twice a second: whom machines reach is judged by nothing older. */
const MAX_LOAD_AGE_MS = 2500;
/** The same partition is not handed over again before the last time has shown. */
const MIN_HANDOVER_INTERVAL_MS = 5000;
/** A new leader waits this long for the others before it first shares out the partitions. */
const MEMBER_GATHERING_MS = 1500;

/** Splits the teams into at most `count` partitions of about the same guaranteed size. */
export function splitTeams(teams: readonly Team[], count: number): string[][] {
  const partitions: { teams: string[]; cpus: number }[] = [];
  for (let i = 0; i < Math.min(count, teams.length); i++) partitions.push({ teams: [], cpus: 0 });
  const largestFirst = [...teams].sort(
    (a, b) => b.guaranteed.cpus - a.guaranteed.cpus || (a.name < b.name ? -1 : 1),
  );
  for (const team of largestFirst) {
    const smallest = partitions.reduce((a, b) => (b.cpus < a.cpus ? b : a));
    smallest.teams.push(team.name);
    smallest.cpus += Math.max(1, team.guaranteed.cpus);
  }
  return partitions.map((p) => p.teams);
}

/** Which controller looks after which partition, as the leader decides it. */
export class PartitionAssignment {
  readonly reachability = new Reachability();
  private assigning = false;
  private leaderTerm = 0;
  private readonly handedOverAt = new Map<string, number>();

  constructor(
    private readonly settings: Settings,
    /** The leader's own name. */
    private readonly leader: string,
    private readonly ledger: StateStoreClient,
    private readonly replica: ReplicaView,
    private readonly log: Log,
    private readonly extensions: LeaseExtensions,
    private readonly loads: ReadonlyMap<string, { load: PartitionLoad; at: number }>,
    private readonly sendTo: (member: string, message: PeerMessage) => void,
  ) {}

  async assign(now: number, leaderTerm: number, leaderSince: number): Promise<void> {
    if (this.assigning) return;
    const { members } = this.replica;
    const peers = this.settings.peers.length + 1;
    const partitions = [...this.replica.partitions.values()];
    if (partitions.length === 0 && members.size < peers && now - leaderSince < MEMBER_GATHERING_MS) return;
    this.assigning = true;
    this.leaderTerm = leaderTerm;
    // The leader counts as holding a little already, so that partitions go to the others first.
    const partitionCounts = new Map([...members.keys()].map((m) => [m, m === this.leader ? 0.5 : 0]));
    // A partition that its owner held in an earlier life is not held: it is given anew below, and counted then.
    for (const { record } of partitions)
      if (members.get(record.owner) === record.incarnation)
        partitionCounts.set(record.owner, (partitionCounts.get(record.owner) ?? 0) + 1);
    const avoidance = (m: string): number => Number(this.reachability.isAvoided(m));
    const leastLoaded = (): string | undefined =>
      [...partitionCounts].sort(
        (a, b) => avoidance(a[0]) - avoidance(b[0]) || a[1] - b[1] || (a[0] < b[0] ? -1 : 1),
      )[0]?.[0];
    try {
      if (partitions.length === 0) {
        // One controller stays free of partitions: it leads, and is the spare that takes over. Fewer, larger partitions
        // also leave less of the fleet idle on the wrong side.
        const split = splitTeams(this.settings.teams, Math.max(1, Math.min(MAX_PARTITION_COUNT, peers - 1)));
        for (const [i, teams] of split.entries()) {
          const owner = leastLoaded();
          if (owner) await this.assignPartition(`p${i}`, teams, owner, 0, null);
          if (owner) partitionCounts.set(owner, (partitionCounts.get(owner) ?? 0) + 1);
        }
        return;
      }
      for (const partition of partitions) {
        const { owner, incarnation } = partition.record;
        if (members.get(owner) === incarnation) continue;
        // The owner's session lease has ended, or it has begun a new life and knows nothing of the old one's orders.
        const next = members.has(owner) ? owner : leastLoaded();
        if (!next) continue;
        const failedOwner = members.has(owner) ? null : owner;
        if (failedOwner && !this.extensions.permitsTakeOver(failedOwner, now)) continue;
        if (
          await this.assignPartition(partition.id, partition.record.teams, next, partition.epoch, failedOwner)
        ) {
          partitionCounts.set(next, (partitionCounts.get(next) ?? 0) + 1);
        }
      }
      this.handOverUnreachable(partitions, now);
      this.giveIdleMemberPartition(partitions, partitionCounts, now);
    } finally {
      this.assigning = false;
    }
  }

  private async assignPartition(
    partition: string,
    teams: string[],
    owner: string,
    epoch: number,
    failedOwner: string | null,
  ): Promise<boolean> {
    const incarnation = this.replica.members.get(owner) ?? 0;
    const record: PartitionRecord = { teams, owner, incarnation };
    const conditions = [
      { key: keys.leader, revision: this.leaderTerm },
      { key: keys.partition(partition), revision: epoch },
      { key: keys.member(owner), revision: incarnation },
    ];
    // Applied late, it must not hit an owner that has come back meanwhile.
    if (failedOwner) conditions.push({ key: keys.member(failedOwner), revision: 0 });
    const result = await this.ledger.transact(
      conditions,
      [{ put: keys.partition(partition), value: record }],
      RequestPriority.Decision,
    );
    this.log.info({ partition, owner, failedOwner, result: result.kind }, 'partition assigned');
    return result.kind === 'applied';
  }

  /** Hands partitions over whose machines reach other controllers and not their owner. */
  private handOverUnreachable(partitions: readonly StoredPartition[], now: number): void {
    const members = [...this.replica.members.keys()];
    for (const { id, record, epoch } of partitions) {
      const received = this.loads.get(id);
      if (received?.load.epoch !== epoch || now - received.at > MAX_LOAD_AGE_MS) continue;
      const newOwner = this.reachability.betterOwner(
        record.owner,
        received.load,
        this.settings.heartbeatIntervalMs,
        members,
        now,
      );
      if (newOwner === null) continue;
      this.log.info({ partition: id, owner: record.owner, newOwner }, 'owner unreachable by its machines');
      this.handOver(id, record.owner, newOwner, now);
    }
  }

  private handOver(partition: string, from: string, to: string, now: number): void {
    if (now - (this.handedOverAt.get(partition) ?? Number.NEGATIVE_INFINITY) < MIN_HANDOVER_INTERVAL_MS)
      return;
    this.handedOverAt.set(partition, now);
    this.sendTo(from, { kind: 'handover', partition, to });
  }

  /** A controller that holds nothing while another holds two partitions or more gets one. */
  private giveIdleMemberPartition(
    partitions: readonly StoredPartition[],
    partitionCounts: ReadonlyMap<string, number>,
    now: number,
  ): void {
    const idleMember = [...partitionCounts].find(([m, n]) => n < 1 && !this.reachability.isAvoided(m))?.[0];
    if (!idleMember) return;
    const busiest = [...partitionCounts].sort((a, b) => b[1] - a[1])[0];
    if (!busiest || busiest[1] < 2) return;
    const partition = partitions
      .filter((p) => p.record.owner === busiest[0])
      .sort((a, b) => (a.id < b.id ? -1 : 1))
      .pop();
    if (partition) this.handOver(partition.id, busiest[0], idleMember, now);
  }
}
