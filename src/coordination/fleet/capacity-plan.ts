import { type MachineType, type MachineRequest } from '../../protocol/cloud';
import { type Policy } from '../../protocol/policy';
import { DRAIN_TO_CLOUD, type Demand, type MachineLoad, type PartitionLoad } from '../../protocol/peers';
import { allowsMachineType } from '../partition/placement';
import { countFitting, type Resources } from '../partition/resources';

/** A machine as the leader knows it. */
export interface FleetMachine {
  id: string;
  partition: string;
  type: string;
  zone: string;
  spot: boolean;
  deprovisioning: boolean;
  /** Time since its rental if it boots, else since this leader knows it. */
  ageMs: number;
  /** Nobody has heard it yet. */
  booting: boolean;
  /** Time since some owner last heard it; 0 while it boots. */
  sinceHeartbeatMs: number;
  failed: boolean;
  /** For how long its partition's owner has taken it to be at fault, 0: not now. */
  quarantinedMs: number;
  /** Time since this leader last had it moved, Infinity: never. */
  sinceTransferMs: number;
}

/** What the leader knows of the fleet, and what the fleet is to be planned by. */
export interface FleetSnapshot {
  types: ReadonlyMap<string, MachineType>;
  loads: readonly PartitionLoad[];
  machines: readonly FleetMachine[];
  /** Kinds of machine of which the cloud has none just now. */
  capacityExhausted: (kind: Omit<MachineRequest, 'count'>) => boolean;
  leaseMs: number;
  policy: Policy;
}

/** What is to be done to one machine of the fleet. */
export type FleetAction =
  | { kind: 'scale-out'; partition: string; request: MachineRequest }
  | { kind: 'transfer'; machine: string; fromPartition: string; toPartition: string; drain: boolean }
  | { kind: 'scale-in'; machine: string; partition: string; reason: string; force: boolean };

/** Once no job has come for this long, little is kept for the next one. */
const NO_SUBMISSIONS_S = 20;
const MIN_IDLE_BEFORE_TRANSFER_MS = 3000;
/** A machine that was moved is not moved again before both partitions have told what came of it. */
export const MIN_TRANSFER_INTERVAL_MS = 6000;
/** A machine that takes this many times as long to boot as its type should is late. */
const LATE_BOOT_RATIO = 1.7;
/** A machine that nobody has heard for this long is no room to count on: a move or a lost report takes less. */
const MAX_SILENT_MS = 8000;
/** If more than this share of a partition's machines is silent, it is the owner who does not hear them. */
const MAX_MISSING_RATIO = 0.25;
/** A kind of machine counts as late once more than this share of those rented is. */
const MIN_LATE_BOOT_RATIO = 0.2;

/** Room on a machine. */
export interface MachineCapacity {
  id: string;
  free: Resources;
  type: MachineType;
  zone: string;
  spot: boolean;
}

/** A machine that holds nothing: any partition may have it. */
export interface EmptyMachine extends MachineCapacity {
  partition: string;
  /** Seconds until it can take tasks where it is. */
  readyInS: number;
  /** It may have got something to do since its partition's owner last told, or it has just been moved: it stays for now. */
  recentlyChanged: boolean;
}

/** How many tasks of a demand find no room yet. */
export interface PendingDemand {
  demand: Demand;
  tasks: number;
  /** How many of the partition's machines were looked through: room there only shrinks. */
  scannedMachines: number;
}

/** A partition as it will stand once the actions decided so far have been carried out. */
export interface PlannedPartition {
  load: PartitionLoad;
  pendingDemands: PendingDemand[];
  machines: MachineCapacity[];
  /** CPU seconds that run or wait, down to the urgency looked at. */
  queuedCpuSeconds: number;
  /** Some waiting tasks find no room on the machines that the partition has in use. */
  hasUnmetDemand: boolean;
}

/** One round of planning: the fleet as it stands, and the actions decided so far. */
export class CapacityPlan {
  readonly actions: FleetAction[] = [];
  readonly partitions: PlannedPartition[];
  /** Machines that hold nothing and are not given out yet. */
  readonly emptyPool: EmptyMachine[];
  readonly loadOf = new Map<string, MachineLoad>();
  /** Machines that are rented, by zone. */
  readonly machinesByZone = new Map<string, number>();
  /** No job has come to any partition for a while. */
  readonly quiet: boolean;
  /** Of each kind of machine that comes up late or never, which share of those that were rented does. */
  readonly lateBootRatios: ReadonlyMap<string, number>;
  private readonly typeNames = new Map<string, string>();

  constructor(readonly snapshot: FleetSnapshot) {
    for (const partition of snapshot.loads)
      for (const load of partition.machines) this.loadOf.set(load.machine, load);
    for (const machine of snapshot.machines) {
      this.typeNames.set(machine.id, machine.type);
      if (!machine.deprovisioning)
        this.machinesByZone.set(machine.zone, (this.machinesByZone.get(machine.zone) ?? 0) + 1);
    }
    const missing = missingMachines(snapshot.machines);
    this.emptyPool = this.emptyMachines(missing);
    // Neither is room: what is empty is in the pool, what is missing takes nothing.
    const unavailable = new Set([...this.emptyPool.map((e) => e.id), ...missing]);
    this.partitions = snapshot.loads.map((load) => this.plannedPartition(load, unavailable));
    this.quiet = snapshot.loads.every((load) => load.sinceLastJobS > NO_SUBMISSIONS_S);
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

  /** Machines that some action moves. */
  transferredMachines(): Set<string> {
    return new Set(this.actions.map((a) => (a.kind === 'transfer' ? a.machine : '')));
  }

  /** Empties a machine for another partition, or for the cloud. */
  drain(machine: string, fromPartition: string, toPartition: string): void {
    this.actions.push({ kind: 'transfer', machine, fromPartition, toPartition, drain: true });
  }

  scaleIn({ id, partition }: { id: string; partition: string }, reason: string, force: boolean): void {
    this.actions.push({ kind: 'scale-in', machine: id, partition, reason, force });
  }

  isLateBooting(machine: FleetMachine): boolean {
    const type = this.snapshot.types.get(machine.type);
    return machine.booting && type !== undefined && machine.ageMs > LATE_BOOT_RATIO * type.bootS * 1000;
  }

  /** Machines that are idle or booting. Some take several times as long to boot as they should: not those. */
  private emptyMachines(missing: ReadonlySet<string>): EmptyMachine[] {
    const pool: EmptyMachine[] = [];
    for (const m of this.snapshot.machines) {
      const type = this.snapshot.types.get(m.type);
      const load = this.loadOf.get(m.id);
      if (!type || this.isLateBooting(m) || m.deprovisioning || missing.has(m.id) || isUnavailable(load))
        continue;
      if (!m.booting && load?.tasks !== 0) continue;
      const readyInS = m.booting ? Math.max(0, type.bootS - m.ageMs / 1000) : 0;
      const recentlyChanged =
        (!m.booting && (load?.idleMs ?? 0) < MIN_IDLE_BEFORE_TRANSFER_MS) ||
        m.sinceTransferMs < MIN_TRANSFER_INTERVAL_MS;
      const { id, partition, zone, spot } = m;
      pool.push({ id, partition, free: fullCapacity(type), type, zone, spot, readyInS, recentlyChanged });
    }
    return pool;
  }

  private plannedPartition(load: PartitionLoad, unavailable: ReadonlySet<string>): PlannedPartition {
    const machines: MachineCapacity[] = [];
    for (const m of this.snapshot.machines) {
      const type = this.snapshot.types.get(m.type);
      const known = this.loadOf.get(m.id);
      if (m.partition !== load.partition || m.deprovisioning || m.booting || unavailable.has(m.id)) continue;
      if (!type || !known || isUnavailable(known)) continue;
      const free = {
        cpus: known.freeCpus,
        accelerators: known.freeAccelerators,
        memoryGb: known.freeMemoryGb,
      };
      machines.push({ id: m.id, free, type, zone: m.zone, spot: m.spot });
    }
    const demands = [...load.demands].sort((a, b) => a.priority - b.priority);
    const partition: PlannedPartition = {
      load,
      pendingDemands: demands.map((demand) => ({ demand, tasks: demand.tasks, scannedMachines: 0 })),
      machines,
      queuedCpuSeconds: load.remainingWork.reduce((sum, work) => sum + work, 0),
      hasUnmetDemand: false,
    };
    for (const pending of partition.pendingDemands) placeOnMachines(partition, pending);
    partition.hasUnmetDemand = partition.pendingDemands.some((pending) => pending.tasks > 0);
    return partition;
  }

  private computeLateBootRatios(): Map<string, number> {
    const counts = new Map<string, { late: number; all: number }>();
    for (const m of this.snapshot.machines) {
      if (m.deprovisioning || m.id === '') continue;
      const count = counts.get(kindKey(m)) ?? { late: 0, all: 0 };
      counts.set(kindKey(m), count);
      count.all++;
      if (this.isLateBooting(m)) count.late++;
    }
    const shares = [...counts].map(([kind, { late, all }]): [string, number] => [kind, late / all]);
    return new Map(shares.filter(([, share]) => share > MIN_LATE_BOOT_RATIO));
  }
}

/** A type, zone and way of buying, as one key. */
export function kindKey(kind: { type: string; zone: string; spot: boolean }): string {
  return `${kind.type}/${kind.zone}/${kind.spot}`;
}

/** All that a machine of a type has. */
export function fullCapacity({ cpus, accelerators, memoryGb }: MachineType): Resources {
  return { cpus, accelerators, memoryGb };
}

/** Whether a machine of this kind can take a task of this demand at all. */
export function canRun(demand: Demand, s: { type: MachineType; zone: string; spot: boolean }): boolean {
  return (
    allowsMachineKind(demand, { type: s.type.name, zone: s.zone, spot: s.spot }) &&
    countFitting(s.type, demand) > 0
  );
}

/** Whether a demand allows a kind of machine. */
export function allowsMachineKind(
  demand: Demand,
  kind: { type: string; zone: string; spot: boolean },
): boolean {
  return (demand.zones === null || demand.zones.includes(kind.zone)) && allowsMachineType(demand, kind);
}

/** Sets what waits against the room on machines that the partition uses already. */
export function placeOnMachines(partition: PlannedPartition, pending: PendingDemand): void {
  for (
    ;
    pending.scannedMachines < partition.machines.length && pending.tasks > 0;
    pending.scannedMachines++
  ) {
    const machine = partition.machines[pending.scannedMachines] as MachineCapacity;
    if (canRun(pending.demand, machine))
      pending.tasks -= reserveTasks(machine.free, pending.demand, pending.tasks);
  }
}

/** Takes room for as many tasks of a demand as fit, and returns how many. */
export function reserveTasks(free: Resources, demand: Demand, tasks: number): number {
  const n = Math.min(tasks, countFitting(free, demand));
  free.cpus -= n * demand.cpus;
  free.accelerators -= n * demand.accelerators;
  free.memoryGb -= n * demand.memoryGb;
  return n;
}

/** CPUs of the machines that a partition has in use. */
export function totalCpus(partition: PlannedPartition): number {
  return partition.machines.reduce((sum, s) => sum + s.type.cpus, 0);
}

function isUnavailable(load: MachineLoad | undefined): boolean {
  return load !== undefined && (load.transferTarget !== null || load.quarantined || load.preemptionNotice);
}

/**
 * Machines that nobody has heard for too long to count on their room. If most of a partition's are silent it is their owner
 * who does not hear them, and no reason to rent them a second time.
 */
function missingMachines(machines: readonly FleetMachine[]): Set<string> {
  const silent = new Map<string, string[]>();
  const up = new Map<string, number>();
  for (const m of machines) {
    if (m.booting || m.deprovisioning) continue;
    up.set(m.partition, (up.get(m.partition) ?? 0) + 1);
    if (m.sinceHeartbeatMs > MAX_SILENT_MS)
      silent.set(m.partition, [...(silent.get(m.partition) ?? []), m.id]);
  }
  const few = [...silent].filter(
    ([partition, ids]) => ids.length <= MAX_MISSING_RATIO * (up.get(partition) ?? 0),
  );
  return new Set(few.flatMap(([, ids]) => ids));
}

/** Whether a machine is being emptied to go back to the cloud. */
export function drainsToCloud(load: MachineLoad): boolean {
  return load.transferTarget === DRAIN_TO_CLOUD;
}
