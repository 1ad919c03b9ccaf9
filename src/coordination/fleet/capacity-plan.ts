import { type MachineType } from '../../protocol/cloud';
import { DRAIN_TO_CLOUD, type MachineLoad, type PartitionLoad } from '../../protocol/peers';
import { MAX_TASKS_PER_MACHINE } from '../../protocol/message-limits';
import { kindKey } from '../partition/placement';
import { fullCapacity } from './demand-matching';
import { type FleetAction, type FleetMachine, type FleetSnapshot } from './fleet-snapshot';
import { planPartition, type MachineCapacity, type PlannedPartition } from './planned-partition';

/** After this long without a submission, little spare capacity is kept for the next one. */
const NO_SUBMISSIONS_S = 20;
/** Minimum idle time before a transfer, because the owner may have placed tasks on the machine since its last load. */
const MIN_IDLE_BEFORE_TRANSFER_MS = 3000;
/** A machine stays for this long after a transfer, until the loads of both partitions show the effect. */
export const MIN_TRANSFER_INTERVAL_MS = 6000;
/** A machine that has been booting for more than this many times the boot time of its type is booting late. */
const LATE_BOOT_RATIO = 1.7;
/** A machine that is silent for longer than this does not count as capacity. Transfers and lost heartbeats take less. */
const MAX_SILENT_MS = 8000;
/** If more than this share of a partition's machines is silent, the cause is the owner, which receives no heartbeats. */
const MAX_UNRESPONSIVE_RATIO = 0.25;
/** A kind of machine counts as booting late if more than this share of its machines does. */
const MIN_LATE_BOOT_RATIO = 0.2;

/** A machine without tasks that any partition may get. */
export interface EmptyMachine extends MachineCapacity {
  partition: string;
  /** Seconds until the machine can take tasks in its present partition. */
  readyInS: number;
  /** Whether it may have got tasks since its owner's last load or was just transferred. It stays in its partition for now. */
  recentlyChanged: boolean;
}

/** The state of one planning round: the current fleet and the actions decided so far. */
export class CapacityPlan {
  readonly actions: FleetAction[] = [];
  readonly partitions: PlannedPartition[];
  /** Machines without tasks that the plan has not used yet. */
  readonly emptyPool: EmptyMachine[];
  /** The load of each machine by its id, as sent by its partition's owner. */
  readonly loadOf = new Map<string, MachineLoad>();
  /** Number of machines by zone: those of the fleet that are not being deprovisioned, and those that the plan requests. */
  readonly machinesByZone = new Map<string, number>();
  /** Whether no partition has had a submission for more than NO_SUBMISSIONS_S. */
  readonly noRecentSubmissions: boolean;
  /** The share of machines that boot late or never, by kind. Holds only kinds with a share above MIN_LATE_BOOT_RATIO. */
  readonly lateBootRatios: ReadonlyMap<string, number>;
  private readonly typeNames = new Map<string, string>();

  constructor(readonly snapshot: FleetSnapshot) {
    this.indexMachines();
    const unresponsive = unresponsiveMachines(snapshot.machines);
    this.emptyPool = this.findEmptyMachines(unresponsive);
    // Neither counts as in use: empty machines are in the pool, unresponsive ones take no tasks.
    const unavailable = new Set([...this.emptyPool.map(({ id }) => id), ...unresponsive]);
    this.partitions = snapshot.loads.map((load) =>
      planPartition(load, this.machinesInUse(load, unavailable)),
    );
    this.noRecentSubmissions = snapshot.loads.every((load) => load.sinceLastJobS > NO_SUBMISSIONS_S);
    this.lateBootRatios = this.computeLateBootRatios();
  }

  typeOf(id: string): MachineType | undefined {
    return this.snapshot.types.get(this.typeNames.get(id) ?? '');
  }

  tasksOn(id: string): number {
    return this.loadOf.get(id)?.tasks ?? 0;
  }

  /** Seconds until the last task on a machine is expected to end. */
  emptyInS(id: string): number {
    return this.loadOf.get(id)?.emptyInS ?? 0;
  }

  isLateBooting(machine: FleetMachine): boolean {
    const type = this.snapshot.types.get(machine.type);
    return machine.booting && type !== undefined && machine.ageMs > LATE_BOOT_RATIO * type.bootS * 1000;
  }

  /** Ids of the machines that the actions decided so far transfer or drain. Contains the empty id if there are other actions. */
  transferredMachines(): Set<string> {
    return new Set(this.actions.map((action) => (action.kind === 'transfer' ? action.machine : '')));
  }

  /** Adds an action that drains a machine for another partition or for the cloud; for its own partition, it revokes the drain. */
  drain(machine: string, fromPartition: string, toPartition: string): void {
    this.actions.push({ kind: 'transfer', machine, fromPartition, toPartition, drain: true });
  }

  /** Adds an action that returns a machine to the cloud. With `force`, it is returned although it may have tasks. */
  scaleIn({ id, partition }: { id: string; partition: string }, reason: string, force: boolean): void {
    this.actions.push({ kind: 'scale-in', machine: id, partition, reason, force });
  }

  private indexMachines(): void {
    for (const partition of this.snapshot.loads)
      for (const load of partition.machines) this.loadOf.set(load.machine, load);
    for (const { id, type, zone, deprovisioning } of this.snapshot.machines) {
      this.typeNames.set(id, type);
      if (!deprovisioning) this.machinesByZone.set(zone, (this.machinesByZone.get(zone) ?? 0) + 1);
    }
  }

  /** Machines that are idle or booting, except those that boot late, because some of these never come up. */
  private findEmptyMachines(unresponsive: ReadonlySet<string>): EmptyMachine[] {
    const pool: EmptyMachine[] = [];
    for (const machine of this.snapshot.machines) {
      const type = this.snapshot.types.get(machine.type);
      const load = this.loadOf.get(machine.id);
      if (!type || machine.deprovisioning || unresponsive.has(machine.id)) continue;
      if (this.isLateBooting(machine) || isUnavailable(load)) continue;
      if (!machine.booting && load?.tasks !== 0) continue;
      pool.push(emptyMachine(machine, type, load));
    }
    return pool;
  }

  private machinesInUse(load: PartitionLoad, unavailable: ReadonlySet<string>): MachineCapacity[] {
    const machines: MachineCapacity[] = [];
    for (const machine of this.snapshot.machines) {
      const { id, zone, spot } = machine;
      if (machine.partition !== load.partition || machine.deprovisioning || machine.booting) continue;
      const type = this.snapshot.types.get(machine.type);
      const machineLoad = this.loadOf.get(id);
      if (!type || !machineLoad || unavailable.has(id) || isUnavailable(machineLoad)) continue;
      const { freeCpus: cpus, freeAccelerators: accelerators, freeMemoryGb: memoryGb } = machineLoad;
      const freeTaskSlots = Math.max(0, MAX_TASKS_PER_MACHINE - machineLoad.tasks);
      machines.push({ id, free: { cpus, accelerators, memoryGb }, freeTaskSlots, type, zone, spot });
    }
    return machines;
  }

  private computeLateBootRatios(): Map<string, number> {
    const counts = new Map<string, { late: number; all: number }>();
    for (const machine of this.snapshot.machines) {
      if (machine.deprovisioning || machine.id === '') continue;
      const count = counts.get(kindKey(machine)) ?? { late: 0, all: 0 };
      counts.set(kindKey(machine), count);
      count.all++;
      if (this.isLateBooting(machine)) count.late++;
    }
    const ratios = [...counts].map(([kind, { late, all }]): [string, number] => [kind, late / all]);
    return new Map(ratios.filter(([, ratio]) => ratio > MIN_LATE_BOOT_RATIO));
  }
}

function emptyMachine(machine: FleetMachine, type: MachineType, load: MachineLoad | undefined): EmptyMachine {
  const { id, partition, zone, spot, booting, ageMs, sinceTransferMs } = machine;
  const justIdle = !booting && (load?.idleMs ?? 0) < MIN_IDLE_BEFORE_TRANSFER_MS;
  return {
    id,
    partition,
    free: fullCapacity(type),
    freeTaskSlots: MAX_TASKS_PER_MACHINE,
    type,
    zone,
    spot,
    readyInS: booting ? Math.max(0, type.bootS - ageMs / 1000) : 0,
    recentlyChanged: justIdle || sinceTransferMs < MIN_TRANSFER_INTERVAL_MS,
  };
}

function isUnavailable(load: MachineLoad | undefined): boolean {
  return load !== undefined && (load.transferTarget !== null || load.quarantined || load.preemptionNotice);
}

/**
 * Ids of machines that have sent no heartbeat for too long to count as capacity. If many of a partition's machines are silent,
 * the cause is their owner, which receives no heartbeats, and replacements must not be provisioned.
 */
function unresponsiveMachines(machines: readonly FleetMachine[]): Set<string> {
  const silent = new Map<string, string[]>();
  const counts = new Map<string, number>();
  for (const { id, partition, booting, deprovisioning, sinceHeartbeatMs } of machines) {
    if (booting || deprovisioning) continue;
    counts.set(partition, (counts.get(partition) ?? 0) + 1);
    if (sinceHeartbeatMs <= MAX_SILENT_MS) continue;
    const ids = silent.get(partition) ?? [];
    ids.push(id);
    silent.set(partition, ids);
  }
  const unresponsive = [...silent].filter(
    ([partition, ids]) => ids.length <= MAX_UNRESPONSIVE_RATIO * (counts.get(partition) ?? 0),
  );
  return new Set(unresponsive.flatMap(([, ids]) => ids));
}

/** Whether a machine is being drained in order to be returned to the cloud. */
export function drainsToCloud(load: MachineLoad): boolean {
  return load.transferTarget === DRAIN_TO_CLOUD;
}
