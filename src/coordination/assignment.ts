import { type Log } from '../transport/log';
import { type ReplicaView, type StoredPartition } from '../storage/replica-view';
import { RequestPriority, type Ledger } from '../storage/ledger';
import { keys, type PartitionRecord } from '../protocol/records';
import { type PartitionLoad, type PeerMessage } from '../protocol/peers';
import { type Settings, type Team } from '../protocol/settings';
import { Reachability } from './reachability';
import { type LeaseExtensions } from './lease-extension';

/** A partition's report costs so little that two controllers carry all; more partitions only leave machines on the wrong side. */
const MAX_PARTITIONS = 2;
/** Loads come twice a second: whom machines reach is judged by nothing older. */
const LOAD_PROMPT_MS = 2500;
/** The same partition is not handed over again before the last time has shown. */
const HAND_OVER_MS = 5000;
/** A new leader waits this long for the others before it first shares out the partitions. */
const GATHER_MS = 1500;

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
export class Assignment {
  readonly reachability = new Reachability();
  private assigning = false;
  private leaderVersion = 0;
  private readonly handedOver = new Map<string, number>();

  constructor(
    private readonly settings: Settings,
    /** The leader's own name. */
    private readonly leader: string,
    private readonly ledger: Ledger,
    private readonly replica: ReplicaView,
    private readonly log: Log,
    private readonly extensions: LeaseExtensions,
    private readonly loads: ReadonlyMap<string, { load: PartitionLoad; at: number }>,
    private readonly sendTo: (member: string, message: PeerMessage) => void,
  ) {}

  async assign(now: number, leaderVersion: number, since: number): Promise<void> {
    if (this.assigning) return;
    const { members } = this.replica;
    const peers = this.settings.peers.length + 1;
    const partitions = [...this.replica.partitions.values()];
    if (partitions.length === 0 && members.size < peers && now - since < GATHER_MS) return;
    this.assigning = true;
    this.leaderVersion = leaderVersion;
    // The leader counts as holding a little already, so that partitions go to the others first.
    const held = new Map([...members.keys()].map((m) => [m, m === this.leader ? 0.5 : 0]));
    // A partition that its owner held in an earlier life is not held: it is given anew below, and counted then.
    for (const { record } of partitions)
      if (members.get(record.owner) === record.incarnation)
        held.set(record.owner, (held.get(record.owner) ?? 0) + 1);
    const avoided = (m: string): number => Number(this.reachability.avoided(m));
    const least = (): string | undefined =>
      [...held].sort(
        (a, b) => avoided(a[0]) - avoided(b[0]) || a[1] - b[1] || (a[0] < b[0] ? -1 : 1),
      )[0]?.[0];
    try {
      if (partitions.length === 0) {
        // One controller stays free of partitions: it leads, and is the spare that takes over. Fewer, larger partitions
        // also leave less of the fleet idle on the wrong side.
        const split = splitTeams(this.settings.teams, Math.max(1, Math.min(MAX_PARTITIONS, peers - 1)));
        for (const [i, teams] of split.entries()) {
          const owner = least();
          if (owner) await this.give(`p${i}`, teams, owner, 0, null);
          if (owner) held.set(owner, (held.get(owner) ?? 0) + 1);
        }
        return;
      }
      for (const partition of partitions) {
        const { owner, incarnation } = partition.record;
        if (members.get(owner) === incarnation) continue;
        // The owner's session lease has ended, or it has begun a new life and knows nothing of the old one's orders.
        const next = members.has(owner) ? owner : least();
        if (!next) continue;
        const dead = members.has(owner) ? null : owner;
        if (dead && !this.extensions.mayTakeFrom(dead, now)) continue;
        if (await this.give(partition.id, partition.record.teams, next, partition.version, dead)) {
          held.set(next, (held.get(next) ?? 0) + 1);
        }
      }
      this.moveUnreached(partitions, now);
      this.balance(partitions, held, now);
    } finally {
      this.assigning = false;
    }
  }

  private async give(
    partition: string,
    teams: string[],
    owner: string,
    version: number,
    dead: string | null,
  ): Promise<boolean> {
    const incarnation = this.replica.members.get(owner) ?? 0;
    const record: PartitionRecord = { teams, owner, incarnation };
    const conditions = [
      { key: keys.leader, version: this.leaderVersion },
      { key: keys.partition(partition), version },
      { key: keys.member(owner), version: incarnation },
    ];
    // Applied late, it must not hit an owner that has come back meanwhile.
    if (dead) conditions.push({ key: keys.member(dead), version: 0 });
    const result = await this.ledger.txn(
      conditions,
      [{ put: keys.partition(partition), value: record }],
      RequestPriority.Decision,
    );
    this.log.info({ partition, owner, dead, result: result.kind }, 'partition given');
    return result.kind === 'applied';
  }

  /** Hands partitions over whose machines reach other controllers and not their owner. */
  private moveUnreached(partitions: readonly StoredPartition[], now: number): void {
    const members = [...this.replica.members.keys()];
    for (const { id, record, version } of partitions) {
      const told = this.loads.get(id);
      if (told?.load.version !== version || now - told.at > LOAD_PROMPT_MS) continue;
      const to = this.reachability.better(record.owner, told.load, this.settings.reportMs, members, now);
      if (to === null) continue;
      this.log.info({ partition: id, owner: record.owner, to }, 'machines do not reach the owner');
      this.handOver(id, record.owner, to, now);
    }
  }

  private handOver(partition: string, from: string, to: string, now: number): void {
    if (now - (this.handedOver.get(partition) ?? Number.NEGATIVE_INFINITY) < HAND_OVER_MS) return;
    this.handedOver.set(partition, now);
    this.sendTo(from, { kind: 'handover', partition, to });
  }

  /** A controller that holds nothing while another holds two partitions or more gets one. */
  private balance(
    partitions: readonly StoredPartition[],
    held: ReadonlyMap<string, number>,
    now: number,
  ): void {
    const empty = [...held].find(([m, n]) => n < 1 && !this.reachability.avoided(m))?.[0];
    if (!empty) return;
    const from = [...held].sort((a, b) => b[1] - a[1])[0];
    if (!from || from[1] < 2) return;
    const partition = partitions
      .filter((p) => p.record.owner === from[0])
      .sort((a, b) => (a.id < b.id ? -1 : 1))
      .pop();
    if (partition) this.handOver(partition.id, from[0], empty, now);
  }
}
