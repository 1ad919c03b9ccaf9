import type { LoadSummary } from '@heathbridge/load-balancer';
import { Actor } from '../../transport/actor';
import { type Clock } from '../../transport/clock';
import { type Log } from '../../transport/log';
import { type ReplicaView } from '../../storage/replica-view';
import { type StateStoreClient } from '../../storage/state-store-client';
import { type ListedMachine, type MachineType } from '../../protocol/cloud';
import { type PartitionLoad, type PeerMessage } from '../../protocol/peers';
import { type Policy } from '../../protocol/policy';
import { type Settings } from '../../protocol/settings';
import { type Heartbeat } from '../../protocol/workers';
import { type FleetBalancing } from '../fleet/fleet-balancing';
import { FleetHistory } from '../fleet/fleet-history';
import { type LeaseExtensions } from '../membership/lease-extension';
import { type Membership } from '../membership/membership';
import { type HeartbeatStats } from '../membership/reachability';
import { type CloudClient, type ProvisionResult } from './cloud-client';
import { FleetPlanner } from './fleet-planner';
import { Leadership } from './leadership';
import { MachineCatalog } from './machine-catalog';
import { MachineDeprovisioner } from './machine-deprovisioner';
import { MachineListReconciler } from './machine-list-reconciler';
import { MachineProvisioner, type ProvisionCall } from './machine-provisioner';
import { MachineRegistry } from './machine-registry';
import { PartitionAssignment } from './partition-assignment';
import { PartitionLoads } from './partition-loads';

type Message =
  | { kind: 'tick' }
  | { kind: 'members-changed' }
  | { kind: 'partition-load'; load: PartitionLoad; at: number }
  | { kind: 'load-summary'; summary: LoadSummary; at: number }
  | { kind: 'heartbeat-stats'; member: string; stats: HeartbeatStats; at: number }
  | { kind: 'unknown-machine-heartbeat'; heartbeat: Heartbeat }
  | { kind: 'machine-list'; machines: ListedMachine[]; at: number }
  | { kind: 'provision-result'; call: ProvisionCall; result: ProvisionResult }
  | { kind: 'deprovision-result'; machines: readonly string[]; removed: boolean };

/** Components and settings of the controller that the leader uses. */
export interface LeaderDependencies {
  settings: Settings;
  policy: Policy;
  membership: Membership;
  stateStore: StateStoreClient;
  replica: ReplicaView;
  cloud: CloudClient;
  clock: Clock;
  log: Log;
  extensions: LeaseExtensions;
  /** Reviews planned transfers of machines. Null if transfers are ordered without a review. */
  balancing: FleetBalancing | null;
  sendTo: (member: string, message: PeerMessage) => void;
}

/** Fleet changes are planned only if the state store has responded within this time. */
const MAX_STORE_SILENCE_MS = 2000;

/**
 * Actor that runs in every controller and claims leadership. While it leads, it assigns partitions to controllers and machines
 * to partitions, and manages the machines in the cloud.
 *
 * A leader that was replaced may act for a while without noticing. It assigns no partition and records no machine, because
 * these writes are conditional on its term. It can still remove the records of machines that are gone and remove empty values:
 * these writes are conditional only on the revisions of the values that they change. Requests to the cloud and messages to
 * partition owners are conditional on neither; an owner applies what it is asked to do under its partition's epoch.
 */
export class Leader extends Actor<Message> {
  private readonly leadership: Leadership;
  private readonly history = new FleetHistory();
  private readonly loads = new PartitionLoads();
  private readonly registry: MachineRegistry;
  private readonly assignment: PartitionAssignment;
  private readonly catalog: MachineCatalog;
  private readonly machineList: MachineListReconciler;
  private readonly provisioner: MachineProvisioner;
  private readonly deprovisioner: MachineDeprovisioner;
  private readonly planner: FleetPlanner;
  private provisionRequestCount = 0;

  constructor(private readonly deps: LeaderDependencies) {
    super((error) => deps.log.error({ error }, 'leader failed'));
    const { membership, replica } = deps;
    const { history, loads } = this;
    this.leadership = new Leadership({ ...deps, onAcquired: (term) => this.beginTerm(term) });
    this.registry = new MachineRegistry(deps);
    this.assignment = new PartitionAssignment({ ...deps, leader: membership.name, loads });
    this.catalog = new MachineCatalog(deps);
    const { registry, catalog } = this;
    this.machineList = new MachineListReconciler({
      ...deps,
      registry,
      history,
      onList: (machines, at) => this.send({ kind: 'machine-list', machines, at }),
    });
    this.provisioner = new MachineProvisioner({
      ...deps,
      registry,
      history,
      nextRequestId: () => this.nextProvisionRequestId(),
      onResult: (call, result) => this.send({ kind: 'provision-result', call, result }),
    });
    this.deprovisioner = new MachineDeprovisioner({
      ...deps,
      registry,
      onResult: (machines, removed) => this.send({ kind: 'deprovision-result', machines, removed }),
    });
    const { provisioner, deprovisioner } = this;
    this.planner = new FleetPlanner({ ...deps, history, loads, catalog, provisioner, deprovisioner });
    replica.events.subscribe((event) => {
      if (event.kind === 'members') this.send({ kind: 'members-changed' });
    });
  }

  /** Whether this controller leads, according to its session lease and its replica. */
  get leading(): boolean {
    return this.leadership.held;
  }

  /** Machine types that this controller has read from the cloud; empty until the first successful read. */
  get machineTypes(): ReadonlyMap<string, MachineType> {
    return this.catalog.types;
  }

  protected receive(message: Message): void {
    const now = this.deps.clock.steady();
    switch (message.kind) {
      case 'members-changed':
        void this.leadership.claim();
        if (this.leading) this.assignPartitions(now);
        return;
      case 'tick':
        return this.tick(now);
      case 'partition-load':
        return this.planner.recordLoad(message.load, message.at, now);
      case 'load-summary':
        this.deps.balancing?.recordSummary(message.summary, message.at);
        return;
      case 'heartbeat-stats':
        return this.assignment.reachability.recordStats(message.member, message.stats, message.at);
      case 'unknown-machine-heartbeat':
        if (this.leading) this.registry.handleUnknownMachineHeartbeat(message.heartbeat);
        return;
      case 'machine-list':
        if (this.leading) this.machineList.reconcile(message.machines, message.at, now);
        return;
      case 'provision-result':
        return this.provisioner.handleResult(message.call, message.result, now);
      case 'deprovision-result':
        return this.deprovisioner.handleResult(message.machines, message.removed);
    }
  }

  private tick(now: number): void {
    void this.leadership.claim();
    // No controller can accept submissions without machine types, so every controller requests them until they are known.
    this.catalog.refreshIfMissing(now);
    if (!this.leading) return;
    this.assignPartitions(now);
    this.catalog.refresh(now, this.leadership.term);
    this.machineList.fetch(now);
    this.deprovisioner.deprovisionDue();
    void this.registry.removeTerminated();
    void this.registry.sweepEmptyValues(now);
    // If machines were provisioned while they cannot be recorded, they would be requested again and again.
    if (this.planner.isDue(now) && this.deps.stateStore.respondedWithin(MAX_STORE_SILENCE_MS))
      this.planner.run(now);
  }

  private assignPartitions(now: number): void {
    void this.assignment.assign(now, this.leadership.term, this.leadership.since);
  }

  private beginTerm(term: number): void {
    this.registry.leaderTerm = term;
    this.history.clear();
    this.deps.log.info({ leaderTerm: term }, 'leadership acquired');
  }

  /** The id contains the term, so no other leader's requests have the same ids. */
  private nextProvisionRequestId(): string {
    return `${this.deps.membership.name}-${this.leadership.term}-${++this.provisionRequestCount}`;
  }
}
