import { Actor } from '../transport/actor';
import { type Clock } from '../transport/clock';
import { type HttpAnswer } from '../transport/http-client';
import { type Log } from '../transport/log';
import { RateLimiter } from '../transport/rate-limiter';
import { type ReplicaView } from '../storage/replica-view';
import { editFleet } from '../storage/fleets';
import { RequestPriority, type Ledger, type TxnResult } from '../storage/ledger';
import { encodeFleet, keys, type MachineRecord, type MemberRecord } from '../protocol/records';
import {
  listPath,
  parseCatalog,
  parseMachineList,
  parseRental,
  rentalBody,
  returnBody,
  type ListedMachine,
  type MachineType,
  type RentalOrder,
} from '../protocol/cloud';
import { type MachineLoad, type PartitionLoad, type PeerMessage } from '../protocol/peers';
import { type Policy } from '../protocol/policy';
import { type Settings } from '../protocol/settings';
import { type Report } from '../protocol/workers';
import { type Condition, type Write } from '../protocol/store';
import { scale } from './autoscale';
import { kindKey, type FleetMachine } from './fleet-plan';
import { type Member } from './member';
import { Assignment } from './assignment';
import { type Heard } from './reachability';
import { type LeaseExtensions } from './lease-extension';

type Message =
  | { kind: 'tick' }
  | { kind: 'changed' }
  | { kind: 'load'; load: PartitionLoad; at: number }
  | { kind: 'heard'; member: string; heard: Heard; at: number }
  | { kind: 'unknown-machine'; report: Report }
  | { kind: 'listed'; machines: ListedMachine[]; at: number }
  | { kind: 'rented'; order: RentalOrder; partitions: string[]; answer: HttpAnswer | null }
  | { kind: 'returned'; machines: string[]; ok: boolean };

export interface CloudTransport {
  call(method: string, path: string, body: unknown, timeoutMs: number): Promise<HttpAnswer | null>;
}

interface Seen {
  firstKnown: number;
  /** When it was rented, by a list that shows it as booting; else when this leader first heard of it. */
  bootsSince: number;
  movedAt: number;
  firstListed: number | null;
  status: ListedMachine['status'] | null;
  /** When some owner last heard it, as far as this leader was told; null: nobody has since this leader began. */
  heardAt: number | null;
  /** Since when its partition's owner takes it to be at fault. */
  faultySince: number | null;
}

const LIST_MS = 1500;
/** A long list is read less often. */
const LIST_MS_PER_MACHINE = 3;
const SCALE_MS = 500;
/** Without news of the partitions there is little to decide. */
const SCALE_ANYWAY_MS = 2500;
const RETURN_AT_ONCE = 100;
const RENT_AT_ONCE = 50;
const ORDERS_A_ROUND = 3;
const GATHER_RECORDS_MS = 60;
/** Machines whose records share a value when they are first written. */
const RECORDS_A_VALUE = 50;
const CATALOG_MS = 20_000;
const SOLD_OUT_MS = 12_000;
const SETTLING_SHARE = 0.25;
const SETTLING_MS = 8000;
const LOAD_FRESH_MS = 6000;
const CLOUD_MS = 4000;
const FLEET_LOG_MS = 10_000;
const RETRY_MS = 150;

/** The one controller that shares out partitions and machines and speaks with the cloud. */
export class Leader extends Actor<Message> {
  private leaderVersion = 0;
  private since = 0;
  private claiming = false;
  private readonly loads = new Map<string, { load: PartitionLoad; at: number }>();
  private readonly seen = new Map<string, Seen>();
  private readonly gone = new Set<string>();
  /** Machines that are being recorded, and for which partition. */
  private readonly recording = new Map<string, string>();
  /** Machines that are gone but still recorded. */
  private readonly ended = new Set<string>();
  private forgetting = false;
  /** Machines that reported and are not recorded. */
  private readonly strangers = new Map<string, { session: number; seq: number }>();
  private scaledAt = Number.NEGATIVE_INFINITY;
  private newLoads = false;
  /** When this leader first heard of a partition under its present owner. */
  private readonly takenOver = new Map<string, { version: number; at: number }>();
  private records = 0;
  private readonly returning = new Set<string>();
  private readonly soldOut = new Map<string, number>();
  private readonly rentsInFlight = new Map<string, number>();
  private rentals = 0;
  private listedAt = Number.NEGATIVE_INFINITY;
  private listing = false;
  private toldFleetAt = Number.NEGATIVE_INFINITY;
  private catalogAt = Number.NEGATIVE_INFINITY;
  private readonly limiter: RateLimiter;
  private readonly assignment: Assignment;
  types: ReadonlyMap<string, MachineType> = new Map();

  constructor(
    private readonly settings: Settings,
    private readonly policy: Policy,
    private readonly member: Member,
    private readonly ledger: Ledger,
    private readonly replica: ReplicaView,
    private readonly cloud: CloudTransport,
    private readonly clock: Clock,
    private readonly log: Log,
    extensions: LeaseExtensions,
    private readonly sendTo: (member: string, message: PeerMessage) => void,
  ) {
    super((error) => log.error({ error }, 'leader failed'));
    this.assignment = new Assignment(
      settings,
      member.name,
      ledger,
      replica,
      log,
      extensions,
      this.loads,
      sendTo,
    );
    this.limiter = new RateLimiter(settings.cloudRate * 0.8, settings.cloudRate);
    replica.events.subscribe((event) => {
      if (event.kind === 'gone') this.gone.add(event.id);
      else if (event.kind === 'machine') this.gone.delete(event.id);
      else if (event.kind === 'members') this.tell({ kind: 'changed' });
    });
  }

  get leading(): boolean {
    return (
      this.leaderVersion !== 0 && this.member.alive() && this.replica.leader?.version === this.leaderVersion
    );
  }

  protected receive(message: Message): void {
    const now = this.clock.steady();
    switch (message.kind) {
      case 'changed':
        void this.claim();
        if (this.leading) void this.assignment.assign(now, this.leaderVersion, this.since);
        return;
      case 'tick':
        void this.claim();
        // Nobody can take a submission without the machine types: at first, whoever starts asks for them.
        if (this.replica.types.size === 0 && this.types.size === 0) this.refreshCatalog(now);
        if (!this.leading) return;
        void this.assignment.assign(now, this.leaderVersion, this.since);
        this.watchCloud(now);
        if (this.ended.size > 0) void this.forgetEnded();
        // What is rented must be recorded, or it would be rented again and again.
        if (
          now - this.scaledAt >= (this.newLoads ? SCALE_MS : SCALE_ANYWAY_MS) &&
          this.ledger.answering(2000)
        )
          this.scaleFleet(now);
        return;
      case 'load': {
        this.newLoads = true;
        this.loads.set(message.load.partition, { load: message.load, at: message.at });
        for (const m of message.load.machines) {
          if (m.silentMs < 0) continue;
          const seen = this.seenOf(m.machine, now);
          seen.heardAt = Math.max(seen.heardAt ?? Number.NEGATIVE_INFINITY, message.at - m.silentMs);
          seen.faultySince = m.faulty ? (seen.faultySince ?? now) : null;
        }
        return;
      }
      case 'heard':
        this.assignment.reachability.tell(message.member, message.heard, message.at);
        return;
      case 'unknown-machine':
        if (this.leading) this.meet(message.report);
        return;
      case 'listed':
        this.takeList(message.machines, message.at, now);
        return;
      case 'rented':
        this.takeRental(message, now);
        return;
      case 'returned':
        for (const id of message.machines) this.returning.delete(id);
        if (message.ok) for (const id of message.machines) this.ended.add(id);
    }
  }

  // Leadership and partitions.

  private async claim(): Promise<void> {
    if (this.claiming || !this.member.alive() || !this.ledger.synced) return;
    const known = this.replica.leader;
    if (known) {
      // Our own claim, carried out although its answer was lost: without this nobody would lead for as long as we live.
      // It was conditional on our present session lease, so a newer record in our name can be no earlier life's.
      const ours = known.member === this.member.name && known.version > this.member.incarnation;
      if (ours && known.version !== this.leaderVersion) this.lead(known.version);
      return;
    }
    this.claiming = true;
    const record: MemberRecord = { member: this.member.name };
    const result = await this.ledger.txn(
      [
        { key: keys.leader, version: 0 },
        { key: keys.member(this.member.name), version: this.member.incarnation },
      ],
      [{ put: keys.leader, value: record, lease: this.member.lease }],
      RequestPriority.Decision,
    );
    if (result.kind === 'applied') {
      this.lead(result.revision);
      await this.ledger.caughtUp(result.revision, 2000);
    }
    this.claiming = false;
  }

  private lead(version: number): void {
    this.leaderVersion = version;
    this.since = this.clock.steady();
    this.seen.clear();
    this.log.info({ version }, 'leading');
  }

  // Machines.

  private seenOf(id: string, now: number): Seen {
    let seen = this.seen.get(id);
    if (!seen) {
      seen = {
        firstKnown: now,
        movedAt: Number.NEGATIVE_INFINITY,
        bootsSince: now,
        firstListed: null,
        status: null,
        heardAt: null,
        faultySince: null,
      };
      this.seen.set(id, seen);
    }
    return seen;
  }

  private watchCloud(now: number): void {
    this.refreshCatalog(now);
    const listMs = LIST_MS + LIST_MS_PER_MACHINE * this.replica.machines.size;
    if (!this.listing && now - this.listedAt > listMs && this.limiter.take(now, 1)) {
      this.listedAt = now;
      this.listing = true;
      void this.fetchList();
    }
    const back: string[] = [];
    for (const [id, { record }] of this.replica.machines) {
      if (record.phase !== 'returning' || this.returning.has(id) || this.ended.has(id)) continue;
      if (back.push(id) === RETURN_AT_ONCE) break;
    }
    if (back.length > 0 && this.limiter.take(now, 1)) {
      for (const id of back) this.returning.add(id);
      void this.cloud.call('POST', '/rentals/return', returnBody(back), CLOUD_MS).then((answer) => {
        this.tell({ kind: 'returned', machines: back, ok: answer?.status === 200 });
      });
    }
  }

  private refreshCatalog(now: number): void {
    if (now - this.catalogAt <= (this.types.size === 0 ? 1000 : CATALOG_MS) || !this.limiter.take(now, 1))
      return;
    this.catalogAt = now;
    void this.fetchCatalog();
  }

  private async fetchCatalog(): Promise<void> {
    const answer = await this.cloud.call('GET', '/catalog', undefined, CLOUD_MS);
    const types = answer?.status === 200 ? parseCatalog(answer.body) : null;
    if (answer?.status === 200 && !types) this.log.info('malformed catalog');
    if (!types) return;
    this.types = new Map(types.map((t) => [t.name, t]));
    // The others learn the machine types from here, also while the cloud does not answer.
    if (this.replica.types.size === 0) {
      await this.ledger.txn(
        [{ key: keys.catalog, version: 0 }],
        [{ put: keys.catalog, value: types }],
        RequestPriority.Decision,
      );
    }
  }

  private async fetchList(): Promise<void> {
    const at = this.clock.steady();
    const machines: ListedMachine[] = [];
    let after = '';
    for (;;) {
      const answer = await this.cloud.call('GET', listPath(after), undefined, CLOUD_MS);
      const page = answer?.status === 200 ? parseMachineList(answer.body) : null;
      if (answer?.status === 200 && !page) this.log.info('malformed list of machines');
      if (!page) {
        this.listing = false;
        return;
      }
      machines.push(...page.machines);
      const last = page.machines[page.machines.length - 1];
      if (!page.more || !last) break;
      after = last.name;
    }
    this.listing = false;
    this.tell({ kind: 'listed', machines, at });
  }

  private takeList(listed: ListedMachine[], at: number, now: number): void {
    if (!this.leading) return;
    const names = new Set<string>();
    for (const m of listed) {
      names.add(m.name);
      const seen = this.seenOf(m.name, now);
      seen.firstListed ??= now;
      // A new leader must not take what has been booting for minutes for something just rented. Nor, what is up and has
      // not spoken since a take-over for something that never came up: it once gave six hundred machines back at work.
      seen.bootsSince =
        m.status === 'booting' ? Math.min(seen.bootsSince, at - m.ageS * 1000) : seen.firstKnown;
      seen.status = m.status;
      // A machine that nobody remembers renting: a request that was carried out late, or one of the first.
      if (!this.replica.machines.has(m.name)) this.adopt(m.name, m);
    }
    for (const id of this.replica.machines.keys()) {
      const seen = this.seenOf(id, now);
      // Once listed a machine stays listed until it is gone, and no list is older than twice the lag.
      const certain =
        seen.firstListed !== null && at - seen.firstListed > 2.5 * this.settings.listLagMs + 500;
      if (!names.has(id) && certain) this.ended.add(id);
    }
  }

  /** Takes machines that are gone out of the records, and with them the presumption of everything on them. */
  private async forgetEnded(): Promise<void> {
    if (this.forgetting) return;
    this.forgetting = true;
    for (const id of this.ended) if (!this.replica.machines.has(id)) this.ended.delete(id);
    for (const partition of this.replica.partitions.keys()) {
      const here = [...this.ended].filter(
        (id) => this.replica.machines.get(id)?.record.partition === partition,
      );
      if (here.length === 0) continue;
      const changes = new Map(here.map((id) => [id, null]));
      const edit = editFleet(this.replica, partition, changes, '', this.settings.store);
      const result = await this.ledger.txn(edit.conditions, edit.writes, RequestPriority.Decision);
      this.log.info({ machines: edit.ids, result: result.kind }, 'machines gone');
      if (result.kind === 'applied') await this.ledger.caughtUp(result.revision, 2000);
    }
    this.forgetting = false;
  }

  /**
   * A machine that nobody knows has reported: its rental was carried out late, or nobody has looked at the cloud's
   * list yet. One report may be the late copy of a machine that is gone; a second, newer one is taken for life.
   */
  private meet(report: Report): void {
    const before = this.strangers.get(report.machine);
    const { session, seq } = report;
    if (!before) this.strangers.set(report.machine, { session, seq });
    const newer = before && (session > before.session || (session === before.session && seq > before.seq));
    if (newer || this.replica.machines.size === 0) this.adopt(report.machine, report);
  }

  private adopt(id: string, kind: { type: string; zone: string; spot: boolean }): void {
    const partition = this.neediest();
    if (!partition || this.gone.has(id)) return;
    this.log.info({ machine: id, partition }, 'machine taken in');
    const { type, zone, spot } = kind;
    this.recordSoon(id, { partition, phase: 'kept', type, zone, spot });
  }

  /** The partition with the fewest machines. */
  private neediest(): string | null {
    const counts = new Map([...this.replica.partitions.keys()].map((id) => [id, 0]));
    for (const { record } of this.replica.machines.values())
      counts.set(record.partition, (counts.get(record.partition) ?? 0) + 1);
    for (const partition of this.recording.values()) counts.set(partition, (counts.get(partition) ?? 0) + 1);
    return [...counts].sort((a, b) => a[1] - b[1] || (a[0] < b[0] ? -1 : 1))[0]?.[0] ?? null;
  }

  private readonly toRecord = new Map<string, MachineRecord>();

  /** Machines that turn up one by one are recorded together. */
  private recordSoon(id: string, record: MachineRecord): void {
    if (this.recording.has(id)) return;
    this.recording.set(id, record.partition);
    this.toRecord.set(id, record);
    if (this.toRecord.size > 1) return;
    this.clock.after(GATHER_RECORDS_MS, () => {
      const all = [...this.toRecord];
      this.toRecord.clear();
      void this.record(all);
    });
  }

  /**
   * Writes machines down, each partition's in one value. Only the leader's writes are applied, so no machine is ever
   * recorded twice: a leader knows all that was recorded before it. Its own tries it repeats until it knows.
   */
  private async record(machines: readonly [string, MachineRecord][]): Promise<void> {
    const byPartition = new Map<string, [string, { record: MachineRecord; version: null }][]>();
    for (const [id, record] of machines) {
      this.recording.set(id, record.partition);
      const list = byPartition.get(record.partition) ?? [];
      list.push([id, { record, version: null }]);
      byPartition.set(record.partition, list);
    }
    const version = this.leaderVersion;
    const conditions: Condition[] = [{ key: keys.leader, version }];
    const writes: Write[] = [];
    for (const [partition, list] of byPartition) {
      for (let i = 0; i < list.length; i += RECORDS_A_VALUE) {
        const key = keys.fleet(partition, `${version}-${++this.records}`);
        conditions.push({ key, version: 0 });
        writes.push({ put: key, value: encodeFleet(list.slice(i, i + RECORDS_A_VALUE)) });
      }
    }
    let result: TxnResult = { kind: 'refused' };
    // Until it is known what became of it, also while our session lease lapses for a moment: a try whose answer was lost may still
    // be carried out, and a machine recorded anew meanwhile would stand in two partitions.
    while (this.leaderVersion === version && this.replica.leader?.version === version) {
      if (this.member.alive()) {
        result = await this.ledger.txn(conditions, writes, RequestPriority.Decision);
        // A conflict: our own earlier try was applied, or we do not lead any more. Either way the replica must show it.
        if (result.kind === 'applied' && (await this.ledger.caughtUp(result.revision, 2000))) break;
        if (result.kind === 'conflict' && (await this.ledger.fresh())) break;
      }
      await new Promise<void>((resolve) => this.clock.after(RETRY_MS, resolve));
    }
    for (const [id] of machines) this.recording.delete(id);
  }

  private scaleFleet(now: number): void {
    const partitions = [...this.replica.partitions.values()];
    if (partitions.length === 0 || this.types.size === 0) return;
    this.scaledAt = now;
    this.newLoads = false;
    const loads = partitions
      .map((p) => this.loads.get(p.id))
      .filter((l): l is { load: PartitionLoad; at: number } => l !== undefined && now - l.at < LOAD_FRESH_MS)
      .map((l) => l.load);
    if (loads.some((load) => this.settles(load, now))) return;
    const machines: FleetMachine[] = [...this.replica.machines].map(([id, { record }]) => {
      const seen = this.seenOf(id, now);
      return {
        id,
        partition: record.partition,
        type: record.type,
        zone: record.zone,
        spot: record.spot,
        returning: record.phase === 'returning',
        ageMs: now - seen.bootsSince,
        booting: seen.heardAt === null,
        unheardMs: seen.heardAt === null ? 0 : now - seen.heardAt,
        failed: seen.status === 'failed',
        faultyMs: seen.faultySince === null ? 0 : now - seen.faultySince,
        movedMs: now - seen.movedAt,
      };
    });
    // Rentals that are not answered or recorded yet count as machines on their way.
    for (const [key, n] of this.rentsInFlight) {
      const [partition, type, zone, spot] = JSON.parse(key) as [string, string, string, boolean];
      for (let i = 0; i < n; i++) {
        const base = { id: '', partition, type, zone, spot, returning: false, ageMs: 0, faultyMs: 0 };
        machines.push({ ...base, booting: true, unheardMs: 0, failed: false, movedMs: Infinity });
      }
    }
    const actions = scale({
      types: this.types,
      loads,
      machines,
      soldOut: (kind) => (this.soldOut.get(kindKey(kind)) ?? Number.NEGATIVE_INFINITY) > now,
      leaseMs: this.settings.leaseMs,
      policy: this.policy,
    });
    this.tellFleet(loads, machines, now);
    const owners = new Map(partitions.map((p) => [p.id, p.record.owner]));
    // Calls are few: machines of a kind are asked for together, whichever partitions wait for them.
    const wanted = new Map<string, { kind: RentalOrder; partitions: string[] }>();
    for (const action of actions) {
      if (action.kind === 'rent') {
        const key = kindKey(action.order);
        const known = wanted.get(key);
        if (known) known.partitions.push(action.partition);
        else wanted.set(key, { kind: action.order, partitions: [action.partition] });
      } else if (action.kind === 'move') {
        const owner = owners.get(action.fromPartition);
        const { machine, toPartition, drain } = action;
        if (toPartition !== action.fromPartition) this.seenOf(machine, now).movedAt = now;
        if (owner) this.sendTo(owner, { kind: 'move', machine, toPartition, drain });
      } else {
        const owner = owners.get(action.partition);
        const { machine, why, force } = action;
        if (owner) this.sendTo(owner, { kind: 'retire', machine, why, force });
      }
    }
    for (const [key, { kind, partitions: takers }] of wanted) {
      // A kind that was sold out before may have a few again: one order tells.
      const most = this.soldOut.has(key) ? RENT_AT_ONCE : ORDERS_A_ROUND * RENT_AT_ONCE;
      for (let i = 0; i < Math.min(most, takers.length) && this.limiter.take(now, 1); i += RENT_AT_ONCE)
        this.rent(kind, takers.slice(i, i + RENT_AT_ONCE));
    }
  }

  /**
   * A partition that was just taken over: most of its machines have not spoken, so nothing is known of what they lack. To plan
   * a fleet of hundreds meanwhile would take the time in which its owner, who may be this controller, must answer them.
   */
  private settles({ partition, version, machines, unconfirmed }: PartitionLoad, now: number): boolean {
    const known = this.takenOver.get(partition);
    if (known?.version !== version) this.takenOver.set(partition, { version, at: now });
    const since = known?.version === version ? known.at : now;
    return unconfirmed > SETTLING_SHARE * machines.length && now - since < SETTLING_MS;
  }

  /** The fleet at a glance, for the log. */
  private tellFleet(loads: readonly PartitionLoad[], machines: readonly FleetMachine[], now: number): void {
    if (now - this.toldFleetAt < FLEET_LOG_MS) return;
    this.toldFleetAt = now;
    const partitions = loads.map((load) => {
      const here = machines.filter((m) => m.partition === load.partition && !m.returning);
      const cpus = here.reduce((sum, m) => sum + (this.types.get(m.type)?.cpus ?? 0), 0);
      const freeOf = (which: (m: MachineLoad) => boolean): number =>
        Math.round(load.machines.filter(which).reduce((sum, m) => sum + m.freeCpus, 0));
      const free = {
        all: freeOf(() => true),
        booting: freeOf((m) => m.silentMs < 0),
        leaving: freeOf((m) => m.leavingTo !== null),
        noticed: freeOf((m) => m.noticed),
        silent: freeOf((m) => m.silentMs > this.settings.reportMs * 2),
      };
      const waiting = load.demands.map((d) => `${d.tasks}x${d.cpus}@${d.rank}`).join(' ');
      const booting = here.filter((m) => m.booting).length;
      return {
        partition: load.partition,
        machines: here.length,
        booting,
        cpus,
        free,
        workLeft: load.workLeft.map(Math.round).join(' '),
        waiting,
      };
    });
    this.log.info({ partitions }, 'fleet');
  }

  /** Asks for one machine of a kind for each of these partitions. */
  private rent(kind: RentalOrder, partitions: string[]): void {
    for (const partition of partitions) this.countRents(partition, kind, 1);
    // The leader's version is in no other leader's names, so no name is ever used twice.
    const name = `${this.member.name}-${this.leaderVersion}-${++this.rentals}`;
    const order = { ...kind, count: partitions.length };
    void this.cloud.call('POST', '/rentals', rentalBody(name, order), CLOUD_MS).then((answer) => {
      this.tell({ kind: 'rented', order, partitions, answer });
    });
  }

  private countRents(partition: string, { type, zone, spot }: RentalOrder, n: number): void {
    const key = JSON.stringify([partition, type, zone, spot]);
    const left = (this.rentsInFlight.get(key) ?? 0) + n;
    if (left > 0) this.rentsInFlight.set(key, left);
    else this.rentsInFlight.delete(key);
  }

  private takeRental(
    { order, partitions, answer }: { order: RentalOrder; partitions: string[]; answer: HttpAnswer | null },
    now: number,
  ): void {
    const settle = (): void => {
      for (const partition of partitions) this.countRents(partition, order, -1);
    };
    const rented = answer?.status === 200 ? parseRental(answer.body) : null;
    this.log.info({ order, status: answer?.status ?? null, rented: rented?.length ?? null }, 'rental');
    if (answer?.status === 503 || (rented && rented.length < order.count)) {
      this.soldOut.set(kindKey(order), now + SOLD_OUT_MS);
    }
    // The list may have brought some of them sooner than the answer.
    const machines = rented?.filter((id) => !this.replica.machines.has(id) && !this.recording.has(id)) ?? [];
    if (machines.length === 0) return settle();
    const { type, zone, spot } = order;
    for (const id of machines) this.seenOf(id, now);
    const records = machines.map((id, i): [string, MachineRecord] => [
      id,
      { partition: partitions[i % partitions.length] ?? '', phase: 'kept', type, zone, spot },
    ]);
    // Until the records have come round they are still counted as on their way.
    void this.record(records).then(settle);
  }
}
