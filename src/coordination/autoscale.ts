import { type MachineType, type RentalOrder } from '../protocol/cloud';
import { type Demand, type MachineLoad, type PartLoad } from '../protocol/peers';
import { allows, fits, type Free } from './placement';

export interface FleetMachine {
  id: string;
  part: string;
  type: string;
  zone: string;
  spot: boolean;
  returning: boolean;
  /** Time since this leader first knew of it. */
  ageMs: number;
  /** Has not reported to its part's owner yet. */
  booting: boolean;
  failed: boolean;
}

export interface FleetPicture {
  types: ReadonlyMap<string, MachineType>;
  loads: readonly PartLoad[];
  machines: readonly FleetMachine[];
  /** Kinds of machine of which the cloud has none just now. */
  soldOut: (kind: Omit<RentalOrder, 'count'>) => boolean;
  leaseMs: number;
}

export type FleetAction =
  | { kind: 'rent'; part: string; order: RentalOrder }
  | { kind: 'move'; machine: string; fromPart: string; toPart: string }
  | { kind: 'retire'; machine: string; part: string; why: string; force: boolean };

/** Within how many seconds the waiting work of an urgency is meant to begin; index as in URGENCIES. */
const DRAIN_S = [10, 12, 30, 60] as const;
/** An idle machine is kept this long: work comes in waves, and a new one must boot and fetch first. */
const KEEP_IDLE_MS = 20_000;
const SILENT_MS = 30_000;
const ORDINARY_PATIENCE = 2;

interface Supply {
  free: Free;
  type: string;
  zone: string;
  spot: boolean;
}

/** What to rent, move and return, given what waits and what there is. Pure. */
export function scale(picture: FleetPicture): FleetAction[] {
  const actions: FleetAction[] = [];
  const loadOf = new Map<string, MachineLoad>();
  for (const part of picture.loads) for (const m of part.machines) loadOf.set(m.machine, m);
  const idle: FleetMachine[] = [];
  for (const m of picture.machines) {
    if (m.returning) continue;
    const why = broken(m, loadOf.get(m.id), picture);
    if (why) actions.push({ kind: 'retire', machine: m.id, part: m.part, why, force: true });
    else if (!m.booting && loadOf.get(m.id)?.tasks === 0) idle.push(m);
  }
  for (const part of picture.loads) serve(part, picture, loadOf, idle, actions);
  for (const m of idle) {
    const load = loadOf.get(m.id);
    if (load && load.idleMs > KEEP_IDLE_MS) {
      actions.push({ kind: 'retire', machine: m.id, part: m.part, why: 'idle', force: false });
    }
  }
  return actions;
}

function broken(m: FleetMachine, load: MachineLoad | undefined, picture: FleetPicture): string | null {
  if (m.failed) return 'failed';
  if (load?.faulty) return 'fails every task';
  const bootMs = (picture.types.get(m.type)?.bootS ?? 60) * 1000;
  if (m.booting && m.ageMs > 3 * bootMs + 15_000) return 'never came up';
  if (load && load.silentMs > Math.max(SILENT_MS, picture.leaseMs + 5000)) return 'silent';
  return null;
}

function serve(
  part: PartLoad,
  picture: FleetPicture,
  loadOf: ReadonlyMap<string, MachineLoad>,
  idle: FleetMachine[],
  actions: FleetAction[],
): void {
  const supply: Supply[] = [];
  let capacity = 0;
  for (const m of picture.machines) {
    const type = picture.types.get(m.type);
    if (m.part !== part.part || m.returning || !type) continue;
    capacity += type.cpus;
    const load = loadOf.get(m.id);
    const free = m.booting
      ? { ...type }
      : { cpus: load?.freeCpus ?? 0, accelerators: load?.freeAccelerators ?? 0, memoryGb: load?.freeMemoryGb ?? 0 };
    supply.push({ free, type: m.type, zone: m.zone, spot: m.spot });
  }
  let backlog = 0;
  for (const demand of [...part.demands].sort((a, b) => a.rank - b.rank)) {
    let tasks = demand.tasks;
    for (const s of supply) if (allows(demand, s)) tasks -= fill(s.free, demand, tasks);
    backlog += tasks * demand.cpus * Math.max(demand.seconds, 5);
    if (tasks <= 0) continue;
    const drainS = DRAIN_S[demand.rank] ?? 60;
    // What the running machines will have worked off in time needs no new ones.
    let missing = Math.min(tasks * demand.cpus, backlog / drainS - capacity);
    for (const m of [...idle]) {
      const type = picture.types.get(m.type);
      if (missing <= 0 || tasks <= 0) break;
      if (!type || m.part === part.part || !allows(demand, m) || fits(type, demand) === 0) continue;
      idle.splice(idle.indexOf(m), 1);
      actions.push({ kind: 'move', machine: m.id, fromPart: m.part, toPart: part.part });
      const taken = fill({ ...type }, demand, tasks);
      tasks -= taken;
      missing -= taken * demand.cpus;
      capacity += type.cpus;
    }
    const patience = backlog / drainS > ORDINARY_PATIENCE * Math.max(1, capacity);
    for (let tries = 0; missing > 0 && tasks > 0 && tries < 20; tries++) {
      const order = cheapest(demand, missing, tasks, picture, patience, actions);
      if (!order) break;
      const type = picture.types.get(order.type) as MachineType;
      const free = { ...type };
      const taken = fill(free, demand, tasks);
      tasks -= taken;
      missing -= taken * demand.cpus;
      capacity += type.cpus;
      supply.push({ free, ...order });
      actions.push({ kind: 'rent', part: part.part, order });
    }
  }
}

function fill(free: Free, demand: Demand, tasks: number): number {
  const n = Math.min(tasks, fits(free, demand));
  free.cpus -= n * demand.cpus;
  free.accelerators -= n * demand.accelerators;
  free.memoryGb -= n * demand.memoryGb;
  return n;
}

/** The kind of machine that costs least for what is missing; spread over zones where the price is the same. */
function cheapest(
  demand: Demand,
  missing: number,
  tasks: number,
  picture: FleetPicture,
  ordinaryToo: boolean,
  actions: readonly FleetAction[],
): RentalOrder | null {
  let best: RentalOrder | null = null;
  let bestCost = Number.POSITIVE_INFINITY;
  for (const type of picture.types.values()) {
    const places = Math.min(fits(type, demand), tasks);
    if (places === 0) continue;
    const useful = Math.min(places * demand.cpus, Math.max(missing, demand.cpus));
    for (const zone of type.zones) {
      for (const spot of [true, false]) {
        const order = { type: type.name, zone, spot, count: 1 };
        if (!allows(demand, order) || picture.soldOut(order)) continue;
        if (!spot && !ordinaryToo) continue;
        const sameZone =
          picture.machines.filter((m) => m.zone === zone && !m.returning).length +
          actions.filter((a) => a.kind === 'rent' && a.order.zone === zone).length;
        const cost = (spot ? type.spotPrice : type.price) / useful + sameZone * 1e-6;
        if (cost < bestCost) [best, bestCost] = [order, cost];
      }
    }
  }
  return best;
}
