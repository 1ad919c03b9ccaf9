import { type Clock } from '../../transport/clock';
import { type Log } from '../../transport/log';
import { WorkPacer } from '../../transport/work-pacer';
import { type ReplicaView } from '../../storage/replica-view';
import { DRAIN_TO_CLOUD, type PartitionLoad, type PeerMessage } from '../../protocol/peers';
import { type Policy } from '../../protocol/policy';
import { type Settings } from '../../protocol/settings';
import { type FleetBalancing } from '../fleet/fleet-balancing';
import { planCapacity } from '../fleet/autoscaler';
import { type FleetHistory } from '../fleet/fleet-history';
import { type FleetAction, type FleetMachine } from '../fleet/fleet-snapshot';
import { fleetSummary } from '../fleet/fleet-summary';
import { type MachineCatalog } from './machine-catalog';
import { type MachineDeprovisioner } from './machine-deprovisioner';
import { type MachineProvisioner } from './machine-provisioner';
import { type PartitionLoads } from './partition-loads';
import { unservedTeamNames } from './team-partitions';

const MIN_PLANNING_INTERVAL_MS = 500;
/** Interval of planning without new partition loads, when there is little to decide, and upper bound of the pacer's interval. */
const MAX_PLANNING_INTERVAL_MS = 2500;
/** The share of CPU time that planning may take. */
const PLANNING_TIME_RATIO = 0.15;
const STATUS_LOG_INTERVAL_MS = 10_000;

export interface FleetPlannerDependencies {
  settings: Settings;
  policy: Policy;
  replica: ReplicaView;
  clock: Clock;
  log: Log;
  history: FleetHistory;
  loads: PartitionLoads;
  catalog: MachineCatalog;
  provisioner: MachineProvisioner;
  deprovisioner: MachineDeprovisioner;
  /** Reviews planned transfers of machines. Null if transfers are ordered without a review. */
  balancing: FleetBalancing | null;
  sendTo: (member: string, message: PeerMessage) => void;
}

/** Plans the fleet at intervals, requests machines from the cloud and sends other actions to the partitions' owners. */
export class FleetPlanner {
  private readonly pacer = new WorkPacer({
    minIntervalMs: MIN_PLANNING_INTERVAL_MS,
    maxIntervalMs: MAX_PLANNING_INTERVAL_MS,
    maxTimeShare: PLANNING_TIME_RATIO,
  });
  private hasNewLoads = false;
  private plannedAt = Number.NEGATIVE_INFINITY;
  private statusLoggedAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly deps: FleetPlannerDependencies) {}

  recordLoad(load: PartitionLoad, receivedAt: number, now: number): void {
    this.hasNewLoads = true;
    this.deps.loads.record(load, receivedAt);
    this.deps.history.recordLoad(load, receivedAt, now);
  }

  isDue(now: number): boolean {
    return this.hasNewLoads ? this.pacer.isDue(now) : now - this.plannedAt >= MAX_PLANNING_INTERVAL_MS;
  }

  /** Runs one round of planning. */
  run(now: number): void {
    this.plan(now);
    this.pacer.record(now, this.deps.clock.steady());
  }

  private plan(now: number): void {
    const { replica, history, loads, catalog, provisioner } = this.deps;
    if (replica.partitions.size === 0 || catalog.types.size === 0) return;
    this.plannedAt = now;
    this.hasNewLoads = false;
    const recentLoads = loads.recent(replica.partitions.keys(), now);
    if (recentLoads.some((load) => loads.isSettling(load, now))) return;
    const machines = history.fleetMachines(replica.machines, now);
    const planned = this.planActions(recentLoads, machines, now);
    this.logStatus(recentLoads, machines, now);
    const actions = this.reviewTransfers(planned, recentLoads, now);
    for (const action of actions) this.sendToOwner(action, now);
    provisioner.requestMachines(actions);
  }

  private planActions(
    loads: readonly PartitionLoad[],
    machines: readonly FleetMachine[],
    now: number,
  ): FleetAction[] {
    const { settings, policy, catalog, provisioner } = this.deps;
    return planCapacity({
      types: catalog.types,
      loads,
      machines,
      capacityExhausted: (kind) => provisioner.isExhausted(kind, now),
      capacityRefused: (kind) => provisioner.wasRefused(kind),
      leaseMs: settings.workerLeaseMs,
      policy,
    });
  }

  /** Removes transfers between partitions that the partitions' own load summaries do not justify. */
  private reviewTransfers(
    actions: readonly FleetAction[],
    loads: readonly PartitionLoad[],
    now: number,
  ): readonly FleetAction[] {
    const { balancing, log, replica } = this.deps;
    if (!balancing) return actions;
    const fleet = { machines: replica.machines.size, draining: countDrainingForTransfer(loads) };
    const reviewed = balancing.review(actions, fleet, now);
    for (const decision of reviewed.allowed) log.info(decision, 'machine transfer approved');
    for (const decision of reviewed.rejected) log.debug(decision, 'machine transfer rejected');
    return reviewed.actions;
  }

  /** Sends a transfer or scale-in to the owner of the partition that has the machine, which carries it out. */
  private sendToOwner(action: FleetAction, now: number): void {
    if (action.kind === 'scale-out') return;
    const { replica, history, sendTo } = this.deps;
    const partition = action.kind === 'transfer' ? action.fromPartition : action.partition;
    const owner = replica.partitions.get(partition)?.record.owner;
    if (action.kind === 'transfer') {
      const { machine, toPartition, drain } = action;
      if (toPartition !== partition) history.recordTransfer(machine, now);
      if (owner) sendTo(owner, { kind: 'move', machine, toPartition, drain });
      return;
    }
    const { machine, reason, force } = action;
    if (owner) sendTo(owner, { kind: 'retire', machine, reason, force });
  }

  private logStatus(loads: readonly PartitionLoad[], machines: readonly FleetMachine[], now: number): void {
    if (now - this.statusLoggedAt < STATUS_LOG_INTERVAL_MS) return;
    this.statusLoggedAt = now;
    const { settings, replica, catalog, deprovisioner, log } = this.deps;
    const partitions = loads.map((load) =>
      fleetSummary(load, machines, catalog.types, settings.heartbeatIntervalMs),
    );
    const unservedTeams = unservedTeamNames(settings.teams, replica.partitions.values());
    const scaledIn = deprovisioner.takeCountsByReason();
    log.info({ partitions, unservedTeams, scaledIn }, 'fleet status');
  }
}

/** Number of machines that are being drained for another partition. */
function countDrainingForTransfer(loads: readonly PartitionLoad[]): number {
  const machines = loads.flatMap((load) => load.machines);
  return machines.filter((m) => m.transferTarget !== null && m.transferTarget !== DRAIN_TO_CLOUD).length;
}
