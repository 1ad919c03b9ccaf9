import { Actor } from '../transport/actor';
import { type Clock } from '../transport/clock';
import { type Log } from '../transport/log';
import { WorkPacer } from '../transport/work-pacer';
import { type ReplicaView } from '../storage/replica-view';
import { RequestPriority, type Ledger } from '../storage/ledger';
import { keys, type MachineRecord, type MemberRecord } from '../protocol/records';
import { type ListedMachine, type MachineType, type RentalOrder } from '../protocol/cloud';
import { LEAVES_FLEET, type PartitionLoad, type PeerMessage } from '../protocol/peers';
import { type Policy } from '../protocol/policy';
import { type Settings } from '../protocol/settings';
import { type Report } from '../protocol/workers';
import type { LoadSummary } from '@heathbridge/load-balancer';
import { Assignment } from './assignment';
import { scale } from './autoscale';
import { type FleetBalancing } from './balancing';
import { type CloudClient, type RentalResult } from './cloud-client';
import { FleetHistory } from './fleet-history';
import { fleetSummary } from './fleet-log';
import { kindKey, type FleetAction, type FleetMachine } from './fleet-plan';
import { type LeaseExtensions } from './lease-extension';
import { MachineRegistry } from './machine-registry';
import { type Member } from './member';
import { type Heard } from './reachability';

type Message =
  | { kind: 'tick' }
  | { kind: 'changed' }
  | { kind: 'load'; load: PartitionLoad; at: number }
  | { kind: 'summary'; summary: LoadSummary; at: number }
  | { kind: 'heard'; member: string; heard: Heard; at: number }
  | { kind: 'unknown-machine'; report: Report }
  | { kind: 'listed'; machines: ListedMachine[]; at: number }
  | { kind: 'rented'; order: RentalOrder; partitions: string[]; result: RentalResult }
  | { kind: 'returned'; machines: string[]; ok: boolean };

/** What a leader needs of its controller. */
export interface LeaderDependencies {
  settings: Settings;
  policy: Policy;
  member: Member;
  ledger: Ledger;
  replica: ReplicaView;
  cloud: CloudClient;
  clock: Clock;
  log: Log;
  extensions: LeaseExtensions;
  /** Null: moves of machines are ordered as they are planned. */
  balancing: FleetBalancing | null;
  sendTo: (member: string, message: PeerMessage) => void;
}

const LIST_MS = 1500;
/** A long list is read less often. */
const LIST_MS_PER_MACHINE = 3;
/** No list is older than this many times the usual lag, and a moment. */
const LIST_AGE = 2.5;
const LIST_AGE_MARGIN_MS = 500;
const SCALE_MS = 500;
/** Without news of the partitions there is little to decide; with news, this long is the longest that it waits. */
const SCALE_ANYWAY_MS = 2500;
/** Planning may take this share of the time: twice a second it once took all that a small controller has. */
const SCALE_SHARE = 0.15;
const STORE_ANSWERED_MS = 2000;
const RETURN_AT_ONCE = 100;
const RENT_AT_ONCE = 50;
const ORDERS_A_ROUND = 3;
const CATALOG_MS = 20_000;
const FIRST_CATALOG_MS = 1000;
const SOLD_OUT_MS = 12_000;
const SETTLING_SHARE = 0.25;
const SETTLING_MS = 8000;
const LOAD_FRESH_MS = 6000;
const FLEET_LOG_MS = 10_000;
const CAUGHT_UP_MS = 2000;

/** The one controller that shares out partitions and machines and speaks with the cloud. */
export class Leader extends Actor<Message> {
  private leaderVersion = 0;
  private since = 0;
  private claiming = false;
  private readonly loads = new Map<string, { load: PartitionLoad; at: number }>();
  private readonly history = new FleetHistory();
  private readonly registry: MachineRegistry;
  private scaledAt = Number.NEGATIVE_INFINITY;
  private readonly scaling = new WorkPacer({
    leastMs: SCALE_MS,
    mostMs: SCALE_ANYWAY_MS,
    share: SCALE_SHARE,
  });
  private newLoads = false;
  /** When this leader first heard of a partition under its present owner. */
  private readonly takenOver = new Map<string, { version: number; at: number }>();
  private readonly returning = new Set<string>();
  /** Machines given back since the log last told of the fleet, by reason. */
  private readonly returnReasons = new Map<string, number>();
  private readonly soldOut = new Map<string, number>();
  private rentals = 0;
  private listedAt = Number.NEGATIVE_INFINITY;
  private listing = false;
  private toldFleetAt = Number.NEGATIVE_INFINITY;
  private catalogAt = Number.NEGATIVE_INFINITY;
  private readonly assignment: Assignment;
  types: ReadonlyMap<string, MachineType> = new Map();

  constructor(private readonly deps: LeaderDependencies) {
    super((error) => deps.log.error({ error }, 'leader failed'));
    const { settings, member, ledger, replica, clock, log, extensions, sendTo } = deps;
    this.registry = new MachineRegistry(settings, member, ledger, replica, clock, log);
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
    replica.events.subscribe((event) => {
      if (event.kind === 'members') this.tell({ kind: 'changed' });
    });
  }

  get leading(): boolean {
    const { member, replica } = this.deps;
    return this.leaderVersion !== 0 && member.alive() && replica.leader?.version === this.leaderVersion;
  }

  protected receive(message: Message): void {
    const now = this.deps.clock.steady();
    switch (message.kind) {
      case 'changed':
        void this.claim();
        if (this.leading) void this.assignment.assign(now, this.leaderVersion, this.since);
        return;
      case 'tick':
        return this.tick(now);
      case 'load':
        this.newLoads = true;
        this.loads.set(message.load.partition, { load: message.load, at: message.at });
        this.history.takeLoad(message.load, message.at, now);
        return;
      case 'summary':
        this.deps.balancing?.take(message.summary, message.at);
        return;
      case 'heard':
        this.assignment.reachability.tell(message.member, message.heard, message.at);
        return;
      case 'unknown-machine':
        if (this.leading) this.registry.meet(message.report);
        return;
      case 'listed':
        this.takeList(message.machines, message.at, now);
        return;
      case 'rented':
        this.takeRental(message, now);
        return;
      case 'returned':
        for (const id of message.machines) this.returning.delete(id);
        if (message.ok) for (const id of message.machines) this.registry.end(id);
    }
  }

  private tick(now: number): void {
    void this.claim();
    // Nobody can take a submission without the machine types: at first, whoever starts asks for them.
    if (this.deps.replica.types.size === 0 && this.types.size === 0) this.refreshCatalog(now);
    if (!this.leading) return;
    void this.assignment.assign(now, this.leaderVersion, this.since);
    this.refreshCatalog(now);
    this.refreshList(now);
    this.returnMachines();
    void this.registry.forgetEnded();
    void this.registry.sweepEmpty(now);
    const due = this.newLoads ? this.scaling.due(now) : now - this.scaledAt >= SCALE_ANYWAY_MS;
    // What is rented must be recorded, or it would be rented again and again.
    if (!due || !this.deps.ledger.answering(STORE_ANSWERED_MS)) return;
    this.scaleFleet(now);
    this.scaling.took(now, this.deps.clock.steady());
  }

  // Leadership.

  private async claim(): Promise<void> {
    const { member, ledger, replica } = this.deps;
    if (this.claiming || !member.alive() || !ledger.synced) return;
    const known = replica.leader;
    if (known) {
      // Our own claim, carried out although its answer was lost: without this nobody would lead for as long as we live.
      // It was conditional on our present session lease, so a newer record in our name can be no earlier life's.
      const ours = known.member === member.name && known.version > member.incarnation;
      if (ours && known.version !== this.leaderVersion) this.lead(known.version);
      return;
    }
    this.claiming = true;
    const record: MemberRecord = { member: member.name };
    const result = await ledger.txn(
      [
        { key: keys.leader, version: 0 },
        { key: keys.member(member.name), version: member.incarnation },
      ],
      [{ put: keys.leader, value: record, lease: member.lease }],
      RequestPriority.Decision,
    );
    if (result.kind === 'applied') {
      this.lead(result.revision);
      await ledger.caughtUp(result.revision, CAUGHT_UP_MS);
    }
    this.claiming = false;
  }

  private lead(version: number): void {
    this.leaderVersion = version;
    this.registry.leaderVersion = version;
    this.since = this.deps.clock.steady();
    this.history.clear();
    this.deps.log.info({ version }, 'leading');
  }

  // The cloud.

  private refreshCatalog(now: number): void {
    const everyMs = this.types.size === 0 ? FIRST_CATALOG_MS : CATALOG_MS;
    if (now - this.catalogAt <= everyMs || !this.deps.cloud.mayCall()) return;
    this.catalogAt = now;
    void this.fetchCatalog();
  }

  private async fetchCatalog(): Promise<void> {
    const { cloud, ledger, replica } = this.deps;
    const types = await cloud.catalog();
    if (!types) return;
    this.types = new Map(types.map((t) => [t.name, t]));
    // The others learn the machine types from here, also while the cloud does not answer.
    if (replica.types.size > 0) return;
    const write = { put: keys.catalog, value: types };
    await ledger.txn([{ key: keys.catalog, version: 0 }], [write], RequestPriority.Decision);
  }

  private refreshList(now: number): void {
    const everyMs = LIST_MS + LIST_MS_PER_MACHINE * this.deps.replica.machines.size;
    if (this.listing || now - this.listedAt <= everyMs || !this.deps.cloud.mayCall()) return;
    this.listedAt = now;
    this.listing = true;
    void this.deps.cloud.list().then((machines) => {
      this.listing = false;
      if (machines) this.tell({ kind: 'listed', machines, at: now });
    });
  }

  private takeList(listed: ListedMachine[], at: number, now: number): void {
    if (!this.leading) return;
    const names = new Set<string>();
    for (const machine of listed) {
      names.add(machine.name);
      this.history.takeListed(machine, at, now);
      // A machine that nobody remembers renting: a request that was carried out late, or one of the first.
      if (!this.registry.knows(machine.name)) this.registry.adopt(machine.name, machine);
    }
    const oldestMs = LIST_AGE * this.deps.settings.listLagMs + LIST_AGE_MARGIN_MS;
    for (const id of this.deps.replica.machines.keys()) {
      this.history.meet(id, now);
      // Once listed a machine stays listed until it is gone, and no list is older than that.
      const certain = (this.history.listedForMs(id, at) ?? 0) > oldestMs;
      if (!names.has(id) && certain) this.registry.end(id);
    }
  }

  private returnMachines(): void {
    const back: { id: string; why: string }[] = [];
    for (const [id, { record }] of this.deps.replica.machines) {
      if (record.phase !== 'returning' || this.returning.has(id) || this.registry.hasEnded(id)) continue;
      if (back.push({ id, why: record.why ?? 'unknown' }) === RETURN_AT_ONCE) break;
    }
    if (back.length === 0 || !this.deps.cloud.mayCall()) return;
    for (const { id, why } of back) {
      this.returning.add(id);
      this.returnReasons.set(why, (this.returnReasons.get(why) ?? 0) + 1);
    }
    const machines = back.map(({ id }) => id);
    void this.deps.cloud.giveBack(machines).then((ok) => this.tell({ kind: 'returned', machines, ok }));
  }

  /** Asks for one machine of a kind for each of these partitions. */
  private rent(kind: RentalOrder, partitions: string[]): void {
    for (const partition of partitions) this.history.countRents(partition, kind, 1);
    // The leader's version is in no other leader's names, so no name is ever used twice.
    const name = `${this.deps.member.name}-${this.leaderVersion}-${++this.rentals}`;
    const order = { ...kind, count: partitions.length };
    void this.deps.cloud.rent(name, order).then((result) => {
      this.tell({ kind: 'rented', order, partitions, result });
    });
  }

  private takeRental(
    { order, partitions, result }: { order: RentalOrder; partitions: string[]; result: RentalResult },
    now: number,
  ): void {
    const settle = (): void => {
      for (const partition of partitions) this.history.countRents(partition, order, -1);
    };
    const rented = result.kind === 'rented' ? result.machines : [];
    if (result.kind !== 'unknown' && rented.length < order.count)
      this.soldOut.set(kindKey(order), now + SOLD_OUT_MS);
    // The list may have brought some of them sooner than the answer.
    const machines = rented.filter((id) => !this.registry.knows(id));
    if (machines.length === 0) return settle();
    const { type, zone, spot } = order;
    for (const id of machines) this.history.meet(id, now);
    const records = machines.map((id, i): [string, MachineRecord] => [
      id,
      { partition: partitions[i % partitions.length] ?? '', phase: 'kept', type, zone, spot },
    ]);
    // Until the records have come round they are still counted as on their way.
    void this.registry.record(records).then(settle);
  }

  // The fleet.

  private scaleFleet(now: number): void {
    const { settings, policy, replica } = this.deps;
    if (replica.partitions.size === 0 || this.types.size === 0) return;
    this.scaledAt = now;
    this.newLoads = false;
    const loads = this.freshLoads(now);
    if (loads.some((load) => this.settles(load, now))) return;
    const machines = this.history.fleet(replica.machines, now);
    const actions = scale({
      types: this.types,
      loads,
      machines,
      soldOut: (kind) => (this.soldOut.get(kindKey(kind)) ?? Number.NEGATIVE_INFINITY) > now,
      leaseMs: settings.leaseMs,
      policy,
    });
    this.tellFleet(loads, machines, now);
    const reviewed = this.review(actions, loads, now);
    for (const action of reviewed) this.tellOwner(action, now);
    this.order(reviewed);
  }

  /** Leaves out moves of machines that are not worth it by the partitions' own summaries. */
  private review(
    actions: readonly FleetAction[],
    loads: readonly PartitionLoad[],
    now: number,
  ): readonly FleetAction[] {
    const { balancing, log, replica } = this.deps;
    if (!balancing) return actions;
    const machines = loads.flatMap((load) => load.machines);
    const draining = machines.filter((m) => m.leavingTo !== null && m.leavingTo !== LEAVES_FLEET).length;
    const fleet = { machines: replica.machines.size, draining };
    const { actions: kept, allowed, refused } = balancing.review(actions, fleet, now);
    for (const decision of allowed) log.info(decision, 'machine move');
    for (const decision of refused) log.debug(decision, 'machine move refused');
    return kept;
  }

  private freshLoads(now: number): PartitionLoad[] {
    const told = [...this.deps.replica.partitions.keys()].flatMap((id) => this.loads.get(id) ?? []);
    return told.filter(({ at }) => now - at < LOAD_FRESH_MS).map(({ load }) => load);
  }

  /**
   * A partition that was just taken over: most of its machines have not spoken, so nothing is known of what they lack. To
   * plan a fleet of hundreds meanwhile would take the time in which its owner, who may be this controller, must answer them.
   */
  private settles({ partition, version, machines, unconfirmed }: PartitionLoad, now: number): boolean {
    const known = this.takenOver.get(partition);
    if (known?.version !== version) this.takenOver.set(partition, { version, at: now });
    const since = known?.version === version ? known.at : now;
    return unconfirmed > SETTLING_SHARE * machines.length && now - since < SETTLING_MS;
  }

  /** Moves and returns are their owner's to carry out. */
  private tellOwner(action: FleetAction, now: number): void {
    if (action.kind === 'rent') return;
    const from = action.kind === 'move' ? action.fromPartition : action.partition;
    const owner = this.deps.replica.partitions.get(from)?.record.owner;
    if (action.kind === 'move') {
      const { machine, toPartition, drain } = action;
      if (toPartition !== from) this.history.moved(machine, now);
      if (owner) this.deps.sendTo(owner, { kind: 'move', machine, toPartition, drain });
      return;
    }
    const { machine, why, force } = action;
    if (owner) this.deps.sendTo(owner, { kind: 'retire', machine, why, force });
  }

  /** Calls are few: machines of a kind are asked for together, whichever partitions wait for them. */
  private order(actions: readonly FleetAction[]): void {
    const wanted = new Map<string, { kind: RentalOrder; takers: string[] }>();
    for (const action of actions) {
      if (action.kind !== 'rent') continue;
      const key = kindKey(action.order);
      const known = wanted.get(key) ?? { kind: action.order, takers: [] };
      known.takers.push(action.partition);
      wanted.set(key, known);
    }
    for (const [key, { kind, takers }] of wanted) {
      // A kind that was sold out before may have a few again: one order tells.
      const most = this.soldOut.has(key) ? RENT_AT_ONCE : ORDERS_A_ROUND * RENT_AT_ONCE;
      for (let i = 0; i < Math.min(most, takers.length) && this.deps.cloud.mayCall(); i += RENT_AT_ONCE)
        this.rent(kind, takers.slice(i, i + RENT_AT_ONCE));
    }
  }

  /** The fleet at a glance, for the log. */
  private tellFleet(loads: readonly PartitionLoad[], machines: readonly FleetMachine[], now: number): void {
    if (now - this.toldFleetAt < FLEET_LOG_MS) return;
    this.toldFleetAt = now;
    const { reportMs } = this.deps.settings;
    const partitions = loads.map((load) => fleetSummary(load, machines, this.types, reportMs));
    const returned = Object.fromEntries(this.returnReasons);
    this.returnReasons.clear();
    this.deps.log.info({ partitions, returned }, 'fleet');
  }
}
