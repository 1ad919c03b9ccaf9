import { Actor } from '../../transport/actor';
import { type Clock } from '../../transport/clock';
import { type Log } from '../../transport/log';
import { WorkPacer } from '../../transport/work-pacer';
import { type ReplicaView } from '../../storage/replica-view';
import { RequestPriority } from '../../storage/request-queue';
import { type StateStoreClient } from '../../storage/state-store-client';
import { keys } from '../../protocol/keys';
import { type MachineRecord, type MemberRecord } from '../../protocol/records';
import { type ListedMachine, type MachineType, type MachineRequest } from '../../protocol/cloud';
import { DRAIN_TO_CLOUD, type PartitionLoad, type PeerMessage } from '../../protocol/peers';
import { type Policy } from '../../protocol/policy';
import { type Settings } from '../../protocol/settings';
import { type Heartbeat } from '../../protocol/workers';
import type { LoadSummary } from '@heathbridge/load-balancer';
import { PartitionAssignment } from './partition-assignment';
import { planCapacity } from '../fleet/autoscaler';
import { type FleetBalancing } from '../fleet/fleet-balancing';
import { type CloudClient, type ProvisionResult } from './cloud-client';
import { FleetHistory } from '../fleet/fleet-history';
import { fleetSummary } from '../fleet/fleet-summary';
import { kindKey, type FleetAction, type FleetMachine } from '../fleet/capacity-plan';
import { type LeaseExtensions } from '../membership/lease-extension';
import { MachineRegistry } from './machine-registry';
import { type Membership } from '../membership/membership';
import { type HeartbeatStats } from '../membership/reachability';

type Message =
  | { kind: 'tick' }
  | { kind: 'members-changed' }
  | { kind: 'partition-load'; load: PartitionLoad; at: number }
  | { kind: 'load-summary'; summary: LoadSummary; at: number }
  | { kind: 'heartbeat-stats'; member: string; stats: HeartbeatStats; at: number }
  | { kind: 'unknown-machine-heartbeat'; report: Heartbeat }
  | { kind: 'machine-list'; machines: ListedMachine[]; at: number }
  | { kind: 'provision-result'; request: MachineRequest; partitions: string[]; result: ProvisionResult }
  | { kind: 'deprovision-result'; machines: string[]; ok: boolean };

/** What a leader needs of its controller. */
export interface LeaderDependencies {
  settings: Settings;
  policy: Policy;
  member: Membership;
  ledger: StateStoreClient;
  replica: ReplicaView;
  cloud: CloudClient;
  clock: Clock;
  log: Log;
  extensions: LeaseExtensions;
  /** Null: moves of machines are ordered as they are planned. */
  balancing: FleetBalancing | null;
  sendTo: (member: string, message: PeerMessage) => void;
}

const MACHINE_LIST_INTERVAL_MS = 1500;
/** A long list is read less often. */
const MACHINE_LIST_INTERVAL_MS_PER_MACHINE = 3;
/** No list is older than this many times the usual lag, and a moment. */
const MAX_LIST_AGE_LAG_RATIO = 2.5;
const LIST_AGE_MARGIN_MS = 500;
const MIN_PLANNING_INTERVAL_MS = 500;
/** Without news of the partitions there is little to decide; with news, this long is the longest that it waits. */
const MAX_PLANNING_INTERVAL_MS = 2500;
/** Planning may take this share of the time: twice a second it once took all that a small controller has. */
const PLANNING_TIME_RATIO = 0.15;
const MAX_STORE_SILENCE_MS = 2000;
const MAX_MACHINES_PER_DEPROVISION_CALL = 100;
const MAX_MACHINES_PER_PROVISION_CALL = 50;
const MAX_PROVISION_CALLS_PER_KIND = 3;
const CATALOG_INTERVAL_MS = 20_000;
const INITIAL_CATALOG_INTERVAL_MS = 1000;
const CAPACITY_EXHAUSTED_MS = 12_000;
const MAX_UNCONFIRMED_RATIO = 0.25;
const FAILOVER_SETTLING_MS = 8000;
const MAX_LOAD_AGE_MS = 6000;
const FLEET_LOG_INTERVAL_MS = 10_000;
const REPLICA_CATCH_UP_TIMEOUT_MS = 2000;

/** The one controller that shares out partitions and machines and speaks with the cloud. */
export class Leader extends Actor<Message> {
  private leaderTerm = 0;
  private leaderSince = 0;
  private claiming = false;
  private readonly loads = new Map<string, { load: PartitionLoad; at: number }>();
  private readonly history = new FleetHistory();
  private readonly registry: MachineRegistry;
  private plannedAt = Number.NEGATIVE_INFINITY;
  private readonly planningPacer = new WorkPacer({
    minIntervalMs: MIN_PLANNING_INTERVAL_MS,
    maxIntervalMs: MAX_PLANNING_INTERVAL_MS,
    share: PLANNING_TIME_RATIO,
  });
  private hasNewLoads = false;
  /** When this leader first heard of a partition under its present owner. */
  private readonly firstLoads = new Map<string, { version: number; at: number }>();
  private readonly deprovisioning = new Set<string>();
  /** Machines given back since the log last told of the fleet, by reason. */
  private readonly scaleInReasons = new Map<string, number>();
  private readonly capacityExhaustedUntil = new Map<string, number>();
  private provisionCalls = 0;
  private listedAt = Number.NEGATIVE_INFINITY;
  private listing = false;
  private fleetLoggedAt = Number.NEGATIVE_INFINITY;
  private catalogAt = Number.NEGATIVE_INFINITY;
  private readonly assignment: PartitionAssignment;
  machineTypes: ReadonlyMap<string, MachineType> = new Map();

  constructor(private readonly deps: LeaderDependencies) {
    super((error) => deps.log.error({ error }, 'leader failed'));
    const { settings, member, ledger, replica, clock, log, extensions, sendTo } = deps;
    this.registry = new MachineRegistry(settings, member, ledger, replica, clock, log);
    this.assignment = new PartitionAssignment(
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
      if (event.kind === 'members') this.send({ kind: 'members-changed' });
    });
  }

  get leading(): boolean {
    const { member, replica } = this.deps;
    return this.leaderTerm !== 0 && member.alive() && replica.leader?.term === this.leaderTerm;
  }

  protected receive(message: Message): void {
    const now = this.deps.clock.steady();
    switch (message.kind) {
      case 'members-changed':
        void this.claimLeadership();
        if (this.leading) void this.assignment.assign(now, this.leaderTerm, this.leaderSince);
        return;
      case 'tick':
        return this.tick(now);
      case 'partition-load':
        this.hasNewLoads = true;
        this.loads.set(message.load.partition, { load: message.load, at: message.at });
        this.history.recordLoad(message.load, message.at, now);
        return;
      case 'load-summary':
        this.deps.balancing?.recordSummary(message.summary, message.at);
        return;
      case 'heartbeat-stats':
        this.assignment.reachability.recordStats(message.member, message.stats, message.at);
        return;
      case 'unknown-machine-heartbeat':
        if (this.leading) this.registry.noteUnknownMachine(message.report);
        return;
      case 'machine-list':
        this.reconcileMachineList(message.machines, message.at, now);
        return;
      case 'provision-result':
        this.handleProvisionResult(message, now);
        return;
      case 'deprovision-result':
        for (const id of message.machines) this.deprovisioning.delete(id);
        if (message.ok) for (const id of message.machines) this.registry.markTerminated(id);
    }
  }

  private tick(now: number): void {
    void this.claimLeadership();
    // Nobody can take a submission without the machine types: at first, whoever starts asks for them.
    if (this.deps.replica.machineTypes.size === 0 && this.machineTypes.size === 0) this.refreshCatalog(now);
    if (!this.leading) return;
    void this.assignment.assign(now, this.leaderTerm, this.leaderSince);
    this.refreshCatalog(now);
    this.refreshList(now);
    this.deprovisionMachines();
    void this.registry.removeTerminated();
    void this.registry.sweepEmpty(now);
    const due = this.hasNewLoads
      ? this.planningPacer.isDue(now)
      : now - this.plannedAt >= MAX_PLANNING_INTERVAL_MS;
    // What is rented must be recorded, or it would be rented again and again.
    if (!due || !this.deps.ledger.respondedWithin(MAX_STORE_SILENCE_MS)) return;
    this.planFleet(now);
    this.planningPacer.record(now, this.deps.clock.steady());
  }

  // Leadership.

  private async claimLeadership(): Promise<void> {
    const { member, ledger, replica } = this.deps;
    if (this.claiming || !member.alive() || !ledger.replica.synced) return;
    const known = replica.leader;
    if (known) {
      // Our own claim, carried out although its answer was lost: without this nobody would lead for as long as we live.
      // It was conditional on our present session lease, so a newer record in our name can be no earlier life's.
      const ours = known.member === member.name && known.term > member.memberIncarnation;
      if (ours && known.term !== this.leaderTerm) this.becomeLeader(known.term);
      return;
    }
    this.claiming = true;
    const record: MemberRecord = { member: member.name };
    const result = await ledger.transact(
      [
        { key: keys.leader, revision: 0 },
        { key: keys.member(member.name), revision: member.memberIncarnation },
      ],
      [{ put: keys.leader, value: record, leaseId: member.sessionLeaseId }],
      RequestPriority.Decision,
    );
    if (result.kind === 'applied') {
      this.becomeLeader(result.revision);
      await ledger.whenCaughtUp(result.revision, REPLICA_CATCH_UP_TIMEOUT_MS);
    }
    this.claiming = false;
  }

  private becomeLeader(leaderTerm: number): void {
    this.leaderTerm = leaderTerm;
    this.registry.leaderTerm = leaderTerm;
    this.leaderSince = this.deps.clock.steady();
    this.history.clear();
    this.deps.log.info({ leaderTerm }, 'leadership acquired');
  }

  // The cloud.

  private refreshCatalog(now: number): void {
    const everyMs = this.machineTypes.size === 0 ? INITIAL_CATALOG_INTERVAL_MS : CATALOG_INTERVAL_MS;
    if (now - this.catalogAt <= everyMs || !this.deps.cloud.tryAcquireCall()) return;
    this.catalogAt = now;
    void this.fetchCatalog();
  }

  private async fetchCatalog(): Promise<void> {
    const { cloud, ledger, replica } = this.deps;
    const types = await cloud.fetchCatalog();
    if (!types) return;
    this.machineTypes = new Map(types.map((t) => [t.name, t]));
    // The others learn the machine types from here, also while the cloud does not answer.
    if (replica.machineTypes.size > 0) return;
    const write = { put: keys.catalog, value: types };
    await ledger.transact([{ key: keys.catalog, revision: 0 }], [write], RequestPriority.Decision);
  }

  private refreshList(now: number): void {
    const everyMs =
      MACHINE_LIST_INTERVAL_MS + MACHINE_LIST_INTERVAL_MS_PER_MACHINE * this.deps.replica.machines.size;
    if (this.listing || now - this.listedAt <= everyMs || !this.deps.cloud.tryAcquireCall()) return;
    this.listedAt = now;
    this.listing = true;
    void this.deps.cloud.listMachines().then((machines) => {
      this.listing = false;
      if (machines) this.send({ kind: 'machine-list', machines, at: now });
    });
  }

  private reconcileMachineList(listed: ListedMachine[], at: number, now: number): void {
    if (!this.leading) return;
    const names = new Set<string>();
    for (const machine of listed) {
      names.add(machine.name);
      this.history.recordListed(machine, at, now);
      // A machine that nobody remembers renting: a request that was carried out late, or one of the first.
      if (!this.registry.knows(machine.name)) this.registry.register(machine.name, machine);
    }
    const oldestMs = MAX_LIST_AGE_LAG_RATIO * this.deps.settings.cloudListLagMs + LIST_AGE_MARGIN_MS;
    for (const id of this.deps.replica.machines.keys()) {
      this.history.historyOf(id, now);
      // Once listed a machine stays listed until it is gone, and no list is older than that.
      const certain = (this.history.listedForMs(id, at) ?? 0) > oldestMs;
      if (!names.has(id) && certain) this.registry.markTerminated(id);
    }
  }

  private deprovisionMachines(): void {
    const leaving: { id: string; why: string }[] = [];
    for (const [id, { record }] of this.deps.replica.machines) {
      if (record.phase !== 'deprovisioning' || this.deprovisioning.has(id) || this.registry.isTerminated(id))
        continue;
      if (leaving.push({ id, why: record.reason ?? 'unknown' }) === MAX_MACHINES_PER_DEPROVISION_CALL) break;
    }
    if (leaving.length === 0 || !this.deps.cloud.tryAcquireCall()) return;
    for (const { id, why: reason } of leaving) {
      this.deprovisioning.add(id);
      this.scaleInReasons.set(reason, (this.scaleInReasons.get(reason) ?? 0) + 1);
    }
    const machines = leaving.map(({ id }) => id);
    void this.deps.cloud
      .deprovision(machines)
      .then((ok) => this.send({ kind: 'deprovision-result', machines, ok }));
  }

  /** Asks for one machine of a kind for each of these partitions. */
  private provision(kind: MachineRequest, partitions: string[]): void {
    for (const partition of partitions) this.history.countProvisions(partition, kind, 1);
    // The leader's version is in no other leader's names, so no name is ever used twice.
    const name = `${this.deps.member.name}-${this.leaderTerm}-${++this.provisionCalls}`;
    const request = { ...kind, count: partitions.length };
    void this.deps.cloud.provision(name, request).then((result) => {
      this.send({ kind: 'provision-result', request, partitions, result });
    });
  }

  private handleProvisionResult(
    {
      request,
      partitions,
      result,
    }: { request: MachineRequest; partitions: string[]; result: ProvisionResult },
    now: number,
  ): void {
    const settleInFlight = (): void => {
      for (const partition of partitions) this.history.countProvisions(partition, request, -1);
    };
    const provisioned = result.kind === 'provisioned' ? result.machines : [];
    if (result.kind !== 'unknown' && provisioned.length < request.count)
      this.capacityExhaustedUntil.set(kindKey(request), now + CAPACITY_EXHAUSTED_MS);
    // The list may have brought some of them sooner than the answer.
    const machines = provisioned.filter((id) => !this.registry.knows(id));
    if (machines.length === 0) return settleInFlight();
    const { type, zone, spot } = request;
    for (const id of machines) this.history.historyOf(id, now);
    const records = machines.map((id, i): [string, MachineRecord] => [
      id,
      { partition: partitions[i % partitions.length] ?? '', phase: 'active', type, zone, spot },
    ]);
    // Until the records have come round they are still counted as on their way.
    void this.registry.record(records).then(settleInFlight);
  }

  // The fleet.

  private planFleet(now: number): void {
    const { settings, policy, replica } = this.deps;
    if (replica.partitions.size === 0 || this.machineTypes.size === 0) return;
    this.plannedAt = now;
    this.hasNewLoads = false;
    const loads = this.freshLoads(now);
    if (loads.some((load) => this.isSettling(load, now))) return;
    const machines = this.history.fleet(replica.machines, now);
    const actions = planCapacity({
      types: this.machineTypes,
      loads,
      machines,
      capacityExhausted: (kind) =>
        (this.capacityExhaustedUntil.get(kindKey(kind)) ?? Number.NEGATIVE_INFINITY) > now,
      leaseMs: settings.leaseMs,
      policy,
    });
    this.logFleetStatus(loads, machines, now);
    const approved = this.reviewTransfers(actions, loads, now);
    for (const action of approved) this.sendToOwner(action, now);
    this.requestProvisioning(approved);
  }

  /** Leaves out moves of machines that are not worth it by the partitions' own summaries. */
  private reviewTransfers(
    actions: readonly FleetAction[],
    loads: readonly PartitionLoad[],
    now: number,
  ): readonly FleetAction[] {
    const { balancing, log, replica } = this.deps;
    if (!balancing) return actions;
    const machines = loads.flatMap((load) => load.machines);
    const draining = machines.filter(
      (m) => m.transferTarget !== null && m.transferTarget !== DRAIN_TO_CLOUD,
    ).length;
    const fleet = { machines: replica.machines.size, draining };
    const { actions: kept, allowed, rejected } = balancing.review(actions, fleet, now);
    for (const decision of allowed) log.info(decision, 'machine transfer approved');
    for (const decision of rejected) log.debug(decision, 'machine transfer rejected');
    return kept;
  }

  private freshLoads(now: number): PartitionLoad[] {
    const received = [...this.deps.replica.partitions.keys()].flatMap((id) => this.loads.get(id) ?? []);
    return received.filter(({ at }) => now - at < MAX_LOAD_AGE_MS).map(({ load }) => load);
  }

  /**
   * A partition that was just taken over: most of its machines have not spoken, so nothing is known of what they lack. To
   * plan a fleet of hundreds meanwhile would take the time in which its owner, who may be this controller, must answer them.
   */
  private isSettling({ partition, epoch, machines, unconfirmed }: PartitionLoad, now: number): boolean {
    const known = this.firstLoads.get(partition);
    if (known?.version !== epoch) this.firstLoads.set(partition, { version: epoch, at: now });
    const since = known?.version === epoch ? known.at : now;
    return unconfirmed > MAX_UNCONFIRMED_RATIO * machines.length && now - since < FAILOVER_SETTLING_MS;
  }

  /** Moves and returns are their owner's to carry out. */
  private sendToOwner(action: FleetAction, now: number): void {
    if (action.kind === 'scale-out') return;
    const from = action.kind === 'transfer' ? action.fromPartition : action.partition;
    const owner = this.deps.replica.partitions.get(from)?.record.owner;
    if (action.kind === 'transfer') {
      const { machine, toPartition, drain } = action;
      if (toPartition !== from) this.history.recordTransfer(machine, now);
      if (owner) this.deps.sendTo(owner, { kind: 'move', machine, toPartition, drain });
      return;
    }
    const { machine, reason, force } = action;
    if (owner) this.deps.sendTo(owner, { kind: 'retire', machine, reason, force });
  }

  /** Calls are few: machines of a kind are asked for together, whichever partitions wait for them. */
  private requestProvisioning(actions: readonly FleetAction[]): void {
    const wanted = new Map<string, { kind: MachineRequest; partitions: string[] }>();
    for (const action of actions) {
      if (action.kind !== 'scale-out') continue;
      const key = kindKey(action.request);
      const group = wanted.get(key) ?? { kind: action.request, partitions: [] };
      group.partitions.push(action.partition);
      wanted.set(key, group);
    }
    for (const [key, { kind, partitions }] of wanted) {
      // A kind that was sold out before may have a few again: one order tells.
      const maxMachines = this.capacityExhaustedUntil.has(key)
        ? MAX_MACHINES_PER_PROVISION_CALL
        : MAX_PROVISION_CALLS_PER_KIND * MAX_MACHINES_PER_PROVISION_CALL;
      for (
        let i = 0;
        i < Math.min(maxMachines, partitions.length) && this.deps.cloud.tryAcquireCall();
        i += MAX_MACHINES_PER_PROVISION_CALL
      )
        this.provision(kind, partitions.slice(i, i + MAX_MACHINES_PER_PROVISION_CALL));
    }
  }

  /** The fleet at a glance, for the log. */
  private logFleetStatus(
    loads: readonly PartitionLoad[],
    machines: readonly FleetMachine[],
    now: number,
  ): void {
    if (now - this.fleetLoggedAt < FLEET_LOG_INTERVAL_MS) return;
    this.fleetLoggedAt = now;
    const { heartbeatIntervalMs } = this.deps.settings;
    const partitions = loads.map((load) =>
      fleetSummary(load, machines, this.machineTypes, heartbeatIntervalMs),
    );
    const scaledIn = Object.fromEntries(this.scaleInReasons);
    this.scaleInReasons.clear();
    this.deps.log.info({ partitions, scaledIn }, 'fleet status');
  }
}
