import { every, type Clock } from '../transport/clock';
import { type Log } from '../transport/log';
import { type MachineType } from '../protocol/cloud';
import { decodePeer, encodePeer, type PartLoad, type PeerMessage } from '../protocol/peers';
import {
  keys,
  PREFIX,
  type MachineRecord,
  type MemberRecord,
  type PartRecord,
  type PipelineRecord,
} from '../protocol/records';
import { type Settings } from '../protocol/settings';
import { type Change } from '../protocol/store';
import { type Report } from '../protocol/workers';
import { Ledger, type StoreTransport } from '../storage/ledger';
import { type ReportReply } from './gateway';
import { Leader, type CloudTransport } from './leader';
import { Member } from './member';
import { PartCore } from './part';
import { PartActor } from './part-actor';
import { Runs } from './runs';
import { Truce } from './truce';

const TICK_MS = 250;
const STATUS_MS = 500;
/** A store that has not answered for this long counts as out of reach. */
const STORE_SILENT_MS = 1500;

/** What joins a controller to the rest of the world. */
export interface Wiring {
  store: StoreTransport;
  /** Watches wait long; they have connections of their own. */
  watch: StoreTransport;
  cloud: CloudTransport;
  toPeer: (member: string, bytes: Buffer) => void;
}

/** One controller: the actors and what joins them. */
export class Controller {
  private readonly ledger: Ledger;
  private readonly member: Member;
  private readonly leader: Leader;
  private readonly truce: Truce;
  readonly runs: Runs;
  private readonly parts = new Map<string, PartActor>();
  private recordedTypes: ReadonlyMap<string, MachineType> = new Map();
  private readonly peerStoreOk = new Map<string, { ok: boolean; at: number }>();

  constructor(
    private readonly settings: Settings,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly wiring: Wiring,
  ) {
    this.ledger = new Ledger(wiring.store, wiring.watch, clock, log, {
      requestRate: settings.store.requestRate,
      writeRate: settings.store.writeRate,
      controllers: settings.peers.length + 1,
    });
    this.truce = new Truce(
      settings.peers.map((p) => p.member),
      clock.steady(),
    );
    this.member = new Member(settings.member, this.ledger, clock, log, this.truce, () => this.reconcile());
    this.leader = new Leader(
      settings,
      this.member,
      this.ledger,
      wiring.cloud,
      clock,
      log,
      this.truce,
      (to, message) => this.sendTo(to, message),
    );
    const teams = new Map(settings.teams.map((t) => [t.name, t]));
    this.runs = new Runs(this.ledger, clock, teams, () => this.types());
    this.ledger.changes.subscribe((change) => this.forward(change));
    this.ledger.batches.subscribe(() => this.reconcile());
  }

  start(): void {
    void this.ledger.follow();
    this.member.tell({ kind: 'join' });
    // Asks for the machine types at once: without them no submission can be taken.
    this.leader.tell({ kind: 'tick' });
    every(this.clock, TICK_MS, () => this.tick());
    every(this.clock, STATUS_MS, () => this.sendStatus());
  }

  // The store's picture.

  private forward(change: Change): void {
    if ('deleted' in change) {
      if (change.key.startsWith(`${PREFIX}machine/`)) {
        const id = change.key.slice(`${PREFIX}machine/`.length);
        for (const part of this.parts.values()) {
          part.tell({ kind: 'machine', id, record: null, version: change.version });
        }
      }
      return;
    }
    if (change.key.startsWith(`${PREFIX}machine/`)) {
      const id = change.key.slice(`${PREFIX}machine/`.length);
      const record = change.value as MachineRecord;
      for (const part of this.parts.values())
        part.tell({ kind: 'machine', id, record, version: change.version });
    } else if (change.key.startsWith(`${PREFIX}pipeline/`)) {
      const record = change.value as PipelineRecord;
      for (const part of this.parts.values())
        part.tell({ kind: 'pipeline', record, version: change.version });
    } else if (change.key === keys.catalog) {
      this.recordedTypes = new Map((change.value as MachineType[]).map((t) => [t.name, t]));
    }
  }

  /** The machine types as the cloud last told us, else as another controller recorded them. */
  private types(): ReadonlyMap<string, MachineType> {
    return this.leader.types.size > 0 ? this.leader.types : this.recordedTypes;
  }

  /** Makes the part actors those that the store says are ours. The replica is whole when this runs. */
  private reconcile(): void {
    for (const [id, part] of this.parts) {
      const entry = this.ledger.entries.get(keys.part(id));
      if (entry?.version === part.core.version && this.isMine(entry.value as PartRecord)) continue;
      part.released = true;
      this.parts.delete(id);
      this.log.info({ part: id }, 'part released');
    }
    for (const [key, entry] of this.ledger.entries) {
      if (!key.startsWith(`${PREFIX}part/`)) continue;
      const id = key.slice(`${PREFIX}part/`.length);
      const record = entry.value as PartRecord;
      if (!this.parts.has(id) && this.isMine(record)) this.takeOver(id, record, entry.version);
    }
  }

  private isMine(record: PartRecord): boolean {
    return (
      record.owner === this.settings.member &&
      this.member.incarnation !== 0 &&
      record.incarnation === this.member.incarnation
    );
  }

  private takeOver(id: string, record: PartRecord, version: number): void {
    const { settings } = this;
    const teams = settings.teams.filter((t) => record.teams.includes(t.name));
    const core = new PartCore(
      id,
      version,
      teams,
      () => this.types(),
      (ref) =>
        (this.ledger.entries.get(keys.pipeline(ref))?.value as PipelineRecord | undefined)?.jobs[0]?.spec,
      {
        reportMs: settings.reportMs,
        leaseMs: settings.leaseMs,
        valueBytes: settings.store.valueBytes,
        objectives: settings.objectives,
      },
    );
    const actor = new PartActor(
      core,
      record,
      this.ledger,
      this.clock,
      this.log,
      () => this.member.alive(),
      settings.store.txnOps,
    );
    for (const [key, entry] of this.ledger.entries) {
      if (key.startsWith(`${PREFIX}machine/`)) {
        const machineRecord = entry.value as MachineRecord;
        if (machineRecord.part !== id) continue;
        const machine = key.slice(`${PREFIX}machine/`.length);
        actor.tell({ kind: 'machine', id: machine, record: machineRecord, version: entry.version });
      } else if (key.startsWith(`${PREFIX}pipeline/`)) {
        actor.tell({ kind: 'pipeline', record: entry.value as PipelineRecord, version: entry.version });
      }
    }
    this.parts.set(id, actor);
    this.log.info({ part: id, version, machines: core.machines.size }, 'part taken over');
  }

  // Workers.

  report(report: Report, reply: (reply: ReportReply) => void): void {
    if (!this.member.alive()) return reply({ kind: 'busy' });
    const record = this.ledger.entries.get(keys.machine(report.machine))?.value as MachineRecord | undefined;
    if (!record) {
      const leader = this.ledger.entries.get(keys.leader)?.value as MemberRecord | undefined;
      if (!this.leader.leading) {
        return reply({ kind: 'redirect', owner: this.redirectTo(leader?.member) });
      }
      this.leader.tell({ kind: 'unknown-machine', report });
      return reply({ kind: 'busy' });
    }
    const part = this.parts.get(record.part);
    if (part?.active) {
      part.tell({
        kind: 'report',
        report,
        reply: (answer) => reply(answer ? { kind: 'answer', ...answer } : { kind: 'busy' }),
      });
      return;
    }
    const owner = this.ledger.entries.get(keys.part(record.part))?.value as PartRecord | undefined;
    reply({ kind: 'redirect', owner: this.redirectTo(owner?.owner) });
  }

  private redirectTo(owner: string | undefined): string | null {
    return owner !== undefined && owner !== this.settings.member ? owner : null;
  }

  // The other controllers.

  private sendTo(member: string, message: PeerMessage): void {
    if (member === this.settings.member) this.take(message);
    else this.wiring.toPeer(member, encodePeer(message));
  }

  fromPeer(bytes: Buffer, answer: (bytes: Buffer) => void): void {
    const message = decodePeer(bytes);
    if (!message) {
      this.log.info('malformed message from a peer');
      return;
    }
    if (message.kind === 'status') {
      const { member, seq, incarnation } = message;
      const storeOk = this.ledger.answering(STORE_SILENT_MS);
      const seen = this.ledger.entries.get(keys.member(member))?.version === incarnation;
      const promised = this.truce.promise(member, seen, storeOk, this.clock.steady());
      answer(encodePeer({ kind: 'pong', member: this.settings.member, seq, storeOk, promised }));
    }
    this.take(message);
  }

  private take(message: PeerMessage): void {
    const now = this.clock.steady();
    switch (message.kind) {
      case 'status':
        this.peerStoreOk.set(message.member, { ok: message.storeOk, at: now });
        for (const load of message.parts) this.leader.tell({ kind: 'load', load, at: now });
        return;
      case 'pong':
        this.truce.answered(message.member, message.seq, message.promised);
        this.peerStoreOk.set(message.member, { ok: message.storeOk, at: now });
        return;
      case 'handover': {
        const incarnation = this.ledger.entries.get(keys.member(message.to))?.version;
        if (incarnation !== undefined) {
          this.parts.get(message.part)?.tell({ kind: 'handover', to: message.to, incarnation });
        }
        return;
      }
      case 'move':
      case 'retire': {
        const record = this.ledger.entries.get(keys.machine(message.machine))?.value as
          MachineRecord | undefined;
        if (record) this.parts.get(record.part)?.tell(message);
      }
    }
  }

  private sendStatus(): void {
    const leader = (this.ledger.entries.get(keys.leader)?.value as MemberRecord | undefined)?.member;
    const now = this.clock.steady();
    const parts: PartLoad[] = [];
    for (const part of this.parts.values()) if (part.active) parts.push(part.core.load(now));
    const status = {
      kind: 'status' as const,
      member: this.settings.member,
      seq: this.truce.ask(now),
      storeOk: this.ledger.answering(STORE_SILENT_MS),
      incarnation: this.member.incarnation,
    };
    if (leader === this.settings.member) this.take({ ...status, parts });
    for (const { member: peer } of this.settings.peers)
      this.sendTo(peer, { ...status, parts: peer === leader ? parts : [] });
  }

  // Time, health.

  private tick(): void {
    for (const part of this.parts.values()) part.tell({ kind: 'tick' });
    this.leader.tell({ kind: 'tick' });
  }

  /** Able to take requests: unless the store is closed to us alone, then another controller does better. */
  ready(): boolean {
    if (!this.ledger.synced || this.types().size === 0) return false;
    if (this.ledger.answering(3000)) return true;
    const now = this.clock.steady();
    return ![...this.peerStoreOk.values()].some((p) => p.ok && now - p.at < 2500);
  }

  status(): object {
    return {
      member: this.settings.member,
      alive: this.member.alive(),
      leading: this.leader.leading,
      revision: this.ledger.revision,
      store: this.ledger.counters,
      users: this.runs.counters,
      parts: [...this.parts.values()].map((p) => p.core.summary()),
    };
  }
}
