import { type Log } from '../transport/log';
import { type Book, type BookedPart } from '../storage/book';
import { Priority, type Ledger } from '../storage/ledger';
import { keys, type PartRecord } from '../protocol/records';
import { type PartLoad, type PeerMessage } from '../protocol/peers';
import { type Settings, type Team } from '../protocol/settings';
import { Reach } from './reach';
import { type Truce } from './truce';

/** A part's report costs so little that two controllers carry all; more parts only leave machines on the wrong side. */
const MOST_PARTS = 2;
/** Loads come twice a second: whom machines reach is judged by nothing older. */
const LOAD_PROMPT_MS = 2500;
/** The same part is not handed over again before the last time has shown. */
const HAND_OVER_MS = 5000;
/** A new leader waits this long for the others before it first shares out the parts. */
const GATHER_MS = 1500;

/** Splits the teams into at most `count` parts of about the same guaranteed size. */
export function splitTeams(teams: readonly Team[], count: number): string[][] {
  const parts: { teams: string[]; cpus: number }[] = [];
  for (let i = 0; i < Math.min(count, teams.length); i++) parts.push({ teams: [], cpus: 0 });
  const largestFirst = [...teams].sort(
    (a, b) => b.guaranteed.cpus - a.guaranteed.cpus || (a.name < b.name ? -1 : 1),
  );
  for (const team of largestFirst) {
    const smallest = parts.reduce((a, b) => (b.cpus < a.cpus ? b : a));
    smallest.teams.push(team.name);
    smallest.cpus += Math.max(1, team.guaranteed.cpus);
  }
  return parts.map((p) => p.teams);
}

/** Which controller looks after which part, as the leader decides it. */
export class Assignment {
  readonly reach = new Reach();
  private assigning = false;
  private leaderVersion = 0;
  private readonly handedOver = new Map<string, number>();

  constructor(
    private readonly settings: Settings,
    /** The leader's own name. */
    private readonly leader: string,
    private readonly ledger: Ledger,
    private readonly book: Book,
    private readonly log: Log,
    private readonly truce: Truce,
    private readonly loads: ReadonlyMap<string, { load: PartLoad; at: number }>,
    private readonly sendTo: (member: string, message: PeerMessage) => void,
  ) {}

  async assign(now: number, leaderVersion: number, since: number): Promise<void> {
    if (this.assigning) return;
    const { members } = this.book;
    const peers = this.settings.peers.length + 1;
    const parts = [...this.book.parts.values()];
    if (parts.length === 0 && members.size < peers && now - since < GATHER_MS) return;
    this.assigning = true;
    this.leaderVersion = leaderVersion;
    // The leader counts as holding a little already, so that parts go to the others first.
    const held = new Map([...members.keys()].map((m) => [m, m === this.leader ? 0.5 : 0]));
    // A part that its owner held in an earlier life is not held: it is given anew below, and counted then.
    for (const { record } of parts)
      if (members.get(record.owner) === record.incarnation)
        held.set(record.owner, (held.get(record.owner) ?? 0) + 1);
    const avoided = (m: string): number => Number(this.reach.avoided(m));
    const least = (): string | undefined =>
      [...held].sort(
        (a, b) => avoided(a[0]) - avoided(b[0]) || a[1] - b[1] || (a[0] < b[0] ? -1 : 1),
      )[0]?.[0];
    try {
      if (parts.length === 0) {
        // One controller stays free of parts: it leads, and is the spare that takes over. Fewer, larger parts
        // also leave less of the fleet idle on the wrong side.
        const split = splitTeams(this.settings.teams, Math.max(1, Math.min(MOST_PARTS, peers - 1)));
        for (const [i, teams] of split.entries()) {
          const owner = least();
          if (owner) await this.give(`p${i}`, teams, owner, 0, null);
          if (owner) held.set(owner, (held.get(owner) ?? 0) + 1);
        }
        return;
      }
      for (const part of parts) {
        const { owner, incarnation } = part.record;
        if (members.get(owner) === incarnation) continue;
        // The owner's grant has ended, or it has begun a new life and knows nothing of the old one's orders.
        const next = members.has(owner) ? owner : least();
        if (!next) continue;
        const dead = members.has(owner) ? null : owner;
        if (dead && !this.truce.mayTakeFrom(dead, now)) continue;
        if (await this.give(part.id, part.record.teams, next, part.version, dead)) {
          held.set(next, (held.get(next) ?? 0) + 1);
        }
      }
      this.moveUnreached(parts, now);
      this.balance(parts, held, now);
    } finally {
      this.assigning = false;
    }
  }

  private async give(
    part: string,
    teams: string[],
    owner: string,
    version: number,
    dead: string | null,
  ): Promise<boolean> {
    const incarnation = this.book.members.get(owner) ?? 0;
    const record: PartRecord = { teams, owner, incarnation };
    const conditions = [
      { key: keys.leader, version: this.leaderVersion },
      { key: keys.part(part), version },
      { key: keys.member(owner), version: incarnation },
    ];
    // Applied late, it must not hit an owner that has come back meanwhile.
    if (dead) conditions.push({ key: keys.member(dead), version: 0 });
    const result = await this.ledger.txn(
      conditions,
      [{ put: keys.part(part), value: record }],
      Priority.Decision,
    );
    this.log.info({ part, owner, dead, result: result.kind }, 'part given');
    return result.kind === 'applied';
  }

  /** Hands parts over whose machines reach other controllers and not their owner. */
  private moveUnreached(parts: readonly BookedPart[], now: number): void {
    const members = [...this.book.members.keys()];
    for (const { id, record, version } of parts) {
      const told = this.loads.get(id);
      if (told?.load.version !== version || now - told.at > LOAD_PROMPT_MS) continue;
      const to = this.reach.better(record.owner, told.load, this.settings.reportMs, members, now);
      if (to === null) continue;
      this.log.info({ part: id, owner: record.owner, to }, 'machines do not reach the owner');
      this.handOver(id, record.owner, to, now);
    }
  }

  private handOver(part: string, from: string, to: string, now: number): void {
    if (now - (this.handedOver.get(part) ?? Number.NEGATIVE_INFINITY) < HAND_OVER_MS) return;
    this.handedOver.set(part, now);
    this.sendTo(from, { kind: 'handover', part, to });
  }

  /** A controller that holds nothing while another holds two parts or more gets one. */
  private balance(parts: readonly BookedPart[], held: ReadonlyMap<string, number>, now: number): void {
    const empty = [...held].find(([m, n]) => n < 1 && !this.reach.avoided(m))?.[0];
    if (!empty) return;
    const from = [...held].sort((a, b) => b[1] - a[1])[0];
    if (!from || from[1] < 2) return;
    const part = parts
      .filter((p) => p.record.owner === from[0])
      .sort((a, b) => (a.id < b.id ? -1 : 1))
      .pop();
    if (part) this.handOver(part.id, from[0], empty, now);
  }
}
