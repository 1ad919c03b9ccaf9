import { type MachineType, type RentalOrder } from '../protocol/cloud';
import { type Policy } from '../protocol/policy';
import { LEAVES_FLEET, type Demand, type MachineLoad, type PartitionLoad } from '../protocol/peers';
import { allowsKind, fits, type Free } from './placement';

/** A machine as the leader knows it. */
export interface FleetMachine {
  id: string;
  partition: string;
  type: string;
  zone: string;
  spot: boolean;
  returning: boolean;
  /** Time since its rental if it boots, else since this leader knows it. */
  ageMs: number;
  /** Nobody has heard it yet. */
  booting: boolean;
  /** Time since some owner last heard it; 0 while it boots. */
  unheardMs: number;
  failed: boolean;
  /** For how long its partition's owner has taken it to be at fault, 0: not now. */
  faultyMs: number;
  /** Time since this leader last had it moved, Infinity: never. */
  movedMs: number;
}

/** What the leader knows of the fleet, and what the fleet is to be planned by. */
export interface FleetPicture {
  types: ReadonlyMap<string, MachineType>;
  loads: readonly PartitionLoad[];
  machines: readonly FleetMachine[];
  /** Kinds of machine of which the cloud has none just now. */
  soldOut: (kind: Omit<RentalOrder, 'count'>) => boolean;
  leaseMs: number;
  policy: Policy;
}

/** What is to be done to one machine of the fleet. */
export type FleetAction =
  | { kind: 'rent'; partition: string; order: RentalOrder }
  | { kind: 'move'; machine: string; fromPartition: string; toPartition: string; drain: boolean }
  | { kind: 'retire'; machine: string; partition: string; why: string; force: boolean };

/** Once no job has come for this long, little is kept for the next one. */
const QUIET_S = 20;
const SETTLE_MS = 3000;
/** A machine that was moved is not moved again before both partitions have told what came of it. */
export const STAYS_MS = 6000;
/** A machine that takes this many times as long to boot as its type should is late. */
const LATE_BOOT = 1.7;
/** A machine that nobody has heard for this long is no room to count on: a move or a lost report takes less. */
const MISSED_MS = 8000;
/** If more than this share of a partition's machines is silent, it is the owner who does not hear them. */
const MANY_SILENT = 0.25;
/** A kind of machine counts as late once more than this share of those rented is. */
const LATE_SHARE = 0.2;

/** Room on a machine. */
export interface Supply {
  id: string;
  free: Free;
  type: MachineType;
  zone: string;
  spot: boolean;
}

/** A machine that holds nothing: any partition may have it. */
export interface EmptyMachine extends Supply {
  partition: string;
  /** Seconds until it can take tasks where it is. */
  readyInS: number;
  /** It may have got something to do since its partition's owner last told, or it has just been moved: it stays for now. */
  settling: boolean;
}

/** How many tasks of a demand find no room yet. */
export interface Wait {
  demand: Demand;
  tasks: number;
  /** How many of the partition's machines were looked through: room there only shrinks. */
  looked: number;
}

/** A partition as it will stand once the actions decided so far have been carried out. */
export interface PartitionView {
  load: PartitionLoad;
  waits: Wait[];
  supply: Supply[];
  /** CPU seconds that run or wait, down to the urgency looked at. */
  ahead: number;
  /** Some waiting tasks find no room on the machines that the partition has in use. */
  short: boolean;
}

/** One round of planning: the fleet as it stands, and the actions decided so far. */
export class FleetPlan {
  readonly actions: FleetAction[] = [];
  readonly views: PartitionView[];
  /** Machines that hold nothing and are not given out yet. */
  readonly pool: EmptyMachine[];
  readonly loadOf = new Map<string, MachineLoad>();
  /** Machines that are rented, by zone. */
  readonly inZone = new Map<string, number>();
  /** No job has come to any partition for a while. */
  readonly quiet: boolean;
  /** Of each kind of machine that comes up late or never, which share of those that were rented does. */
  readonly lateShares: ReadonlyMap<string, number>;
  private readonly typeNames = new Map<string, string>();

  constructor(readonly picture: FleetPicture) {
    for (const partition of picture.loads)
      for (const load of partition.machines) this.loadOf.set(load.machine, load);
    for (const machine of picture.machines) {
      this.typeNames.set(machine.id, machine.type);
      if (!machine.returning) this.inZone.set(machine.zone, (this.inZone.get(machine.zone) ?? 0) + 1);
    }
    const missing = missingMachines(picture.machines);
    this.pool = this.emptyMachines(missing);
    // Neither is room: what is empty is in the pool, what is missing takes nothing.
    const apart = new Set([...this.pool.map((e) => e.id), ...missing]);
    this.views = picture.loads.map((load) => this.view(load, apart));
    this.quiet = picture.loads.every((load) => load.quietS > QUIET_S);
    this.lateShares = this.countLate();
  }

  typeOf(id: string): MachineType | undefined {
    return this.picture.types.get(this.typeNames.get(id) ?? '');
  }

  tasksOn(id: string): number {
    return this.loadOf.get(id)?.tasks ?? 0;
  }

  /** Seconds until the last task on a machine is expected to end. */
  emptyInS(id: string): number {
    return this.loadOf.get(id)?.emptyInS ?? 0;
  }

  /** Machines that some action moves. */
  moved(): Set<string> {
    return new Set(this.actions.map((a) => (a.kind === 'move' ? a.machine : '')));
  }

  /** Empties a machine for another partition, or for the cloud. */
  drain(machine: string, fromPartition: string, toPartition: string): void {
    this.actions.push({ kind: 'move', machine, fromPartition, toPartition, drain: true });
  }

  retire({ id, partition }: { id: string; partition: string }, why: string, force: boolean): void {
    this.actions.push({ kind: 'retire', machine: id, partition, why, force });
  }

  isLate(machine: FleetMachine): boolean {
    const type = this.picture.types.get(machine.type);
    return machine.booting && type !== undefined && machine.ageMs > LATE_BOOT * type.bootS * 1000;
  }

  /** Machines that are idle or booting. Some take several times as long to boot as they should: not those. */
  private emptyMachines(missing: ReadonlySet<string>): EmptyMachine[] {
    const pool: EmptyMachine[] = [];
    for (const m of this.picture.machines) {
      const type = this.picture.types.get(m.type);
      const load = this.loadOf.get(m.id);
      if (!type || this.isLate(m) || m.returning || missing.has(m.id) || unusable(load)) continue;
      if (!m.booting && load?.tasks !== 0) continue;
      const readyInS = m.booting ? Math.max(0, type.bootS - m.ageMs / 1000) : 0;
      const settling = (!m.booting && (load?.idleMs ?? 0) < SETTLE_MS) || m.movedMs < STAYS_MS;
      const { id, partition, zone, spot } = m;
      pool.push({ id, partition, free: allOf(type), type, zone, spot, readyInS, settling });
    }
    return pool;
  }

  private view(load: PartitionLoad, apart: ReadonlySet<string>): PartitionView {
    const supply: Supply[] = [];
    for (const m of this.picture.machines) {
      const type = this.picture.types.get(m.type);
      const known = this.loadOf.get(m.id);
      if (m.partition !== load.partition || m.returning || m.booting || apart.has(m.id)) continue;
      if (!type || !known || unusable(known)) continue;
      const free = {
        cpus: known.freeCpus,
        accelerators: known.freeAccelerators,
        memoryGb: known.freeMemoryGb,
      };
      supply.push({ id: m.id, free, type, zone: m.zone, spot: m.spot });
    }
    const demands = [...load.demands].sort((a, b) => a.rank - b.rank);
    const view: PartitionView = {
      load,
      waits: demands.map((demand) => ({ demand, tasks: demand.tasks, looked: 0 })),
      supply,
      ahead: load.workLeft.reduce((sum, work) => sum + work, 0),
      short: false,
    };
    for (const wait of view.waits) useRoom(view, wait);
    view.short = view.waits.some((wait) => wait.tasks > 0);
    return view;
  }

  private countLate(): Map<string, number> {
    const counts = new Map<string, { late: number; all: number }>();
    for (const m of this.picture.machines) {
      if (m.returning || m.id === '') continue;
      const count = counts.get(kindKey(m)) ?? { late: 0, all: 0 };
      counts.set(kindKey(m), count);
      count.all++;
      if (this.isLate(m)) count.late++;
    }
    const shares = [...counts].map(([kind, { late, all }]): [string, number] => [kind, late / all]);
    return new Map(shares.filter(([, share]) => share > LATE_SHARE));
  }
}

/** A type, zone and way of buying, as one key. */
export function kindKey(kind: { type: string; zone: string; spot: boolean }): string {
  return `${kind.type}/${kind.zone}/${kind.spot}`;
}

/** All that a machine of a type has. */
export function allOf({ cpus, accelerators, memoryGb }: MachineType): Free {
  return { cpus, accelerators, memoryGb };
}

/** Whether a machine of this kind can take a task of this demand at all. */
export function suits(demand: Demand, s: { type: MachineType; zone: string; spot: boolean }): boolean {
  return permits(demand, { type: s.type.name, zone: s.zone, spot: s.spot }) && fits(s.type, demand) > 0;
}

/** Whether a demand allows a kind of machine. */
export function permits(demand: Demand, kind: { type: string; zone: string; spot: boolean }): boolean {
  return (demand.zones === null || demand.zones.includes(kind.zone)) && allowsKind(demand, kind);
}

/** Sets what waits against the room on machines that the partition uses already. */
export function useRoom(view: PartitionView, wait: Wait): void {
  for (; wait.looked < view.supply.length && wait.tasks > 0; wait.looked++) {
    const supply = view.supply[wait.looked] as Supply;
    if (suits(wait.demand, supply)) wait.tasks -= fill(supply.free, wait.demand, wait.tasks);
  }
}

/** Takes room for as many tasks of a demand as fit, and returns how many. */
export function fill(free: Free, demand: Demand, tasks: number): number {
  const n = Math.min(tasks, fits(free, demand));
  free.cpus -= n * demand.cpus;
  free.accelerators -= n * demand.accelerators;
  free.memoryGb -= n * demand.memoryGb;
  return n;
}

/** CPUs of the machines that a partition has in use. */
export function cpusOf(view: PartitionView): number {
  return view.supply.reduce((sum, s) => sum + s.type.cpus, 0);
}

function unusable(load: MachineLoad | undefined): boolean {
  return load !== undefined && (load.leavingTo !== null || load.faulty || load.noticed);
}

/**
 * Machines that nobody has heard for too long to count on their room. If most of a partition's are silent it is their owner
 * who does not hear them, and no reason to rent them a second time.
 */
function missingMachines(machines: readonly FleetMachine[]): Set<string> {
  const silent = new Map<string, string[]>();
  const up = new Map<string, number>();
  for (const m of machines) {
    if (m.booting || m.returning) continue;
    up.set(m.partition, (up.get(m.partition) ?? 0) + 1);
    if (m.unheardMs > MISSED_MS) silent.set(m.partition, [...(silent.get(m.partition) ?? []), m.id]);
  }
  const few = [...silent].filter(([partition, ids]) => ids.length <= MANY_SILENT * (up.get(partition) ?? 0));
  return new Set(few.flatMap(([, ids]) => ids));
}

/** Whether a machine is being emptied to go back to the cloud. */
export function leavesFleet(load: MachineLoad): boolean {
  return load.leavingTo === LEAVES_FLEET;
}
