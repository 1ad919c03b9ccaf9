import { type MachineType, type RentalOrder } from '../protocol/cloud';
import { URGENCIES } from '../protocol/jobs';
import { type Policy } from '../protocol/policy';
import { LEAVES_FLEET, type Demand, type MachineLoad, type PartitionLoad } from '../protocol/peers';
import { allowsKind, fits, type Free } from './placement';

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

export interface FleetPicture {
  types: ReadonlyMap<string, MachineType>;
  loads: readonly PartitionLoad[];
  machines: readonly FleetMachine[];
  /** Kinds of machine of which the cloud has none just now. */
  soldOut: (kind: Omit<RentalOrder, 'count'>) => boolean;
  leaseMs: number;
  policy: Policy;
}

export type FleetAction =
  | { kind: 'rent'; partition: string; order: RentalOrder }
  | { kind: 'move'; machine: string; fromPartition: string; toPartition: string; drain: boolean }
  | { kind: 'retire'; machine: string; partition: string; why: string; force: boolean };

/** Within how many seconds the waiting work of an urgency is meant to be done; index as in URGENCIES. */
const DRAIN_S = [15, 15, 30, 50] as const;
/** An idle machine is kept this long: work comes in waves, and a new one must boot and fetch first. */
const KEEP_IDLE_MS = { spot: 18_000, ordinary: 6000 };
/** Once no job has come for this long, little is kept for the next one. */
const QUIET_S = 20;
const KEEP_QUIET_MS = 4000;
const SPARE_ROOM = 1.5;
const NEARLY_EMPTY = 0.7;
const SPARE_FROM_S = 12;
/** Of a partition's machines in use, the share that is sent off at once. */
const SPARE_AT_ONCE = 0.1;
/** Bounds one round; the next one goes on. */
const MOST_MOVES = 60;
const MOST_RENTS = 400;
/** What a move costs: the worker is sent on, and shows the new owner that it hears it. */
const MOVE_S = 6;
const SETTLE_MS = 3000;
/** A machine that was moved is not moved again before both partitions have told what came of it. */
const STAYS_MS = 6000;
const LATE_BOOT = 1.7;
/** A kind of which a larger share than this is late counts as dearer, by so much if all of them are. */
const LATE_SHARE = 0.2;
const LATE_COST = 1.5;
/** A machine is charged for this long at least (PROTOCOL, "Controller nodes -> cloud"). */
const LEAST_CHARGED_MS = 60_000;
const SILENT_MS = 30_000;
/** A machine that nobody has heard for this long is no room to count on: a move or a lost report takes less. */
const MISSED_MS = 8000;
/** If more than this share of a partition's machines is silent, it is the owner who does not hear them. */
const MANY_SILENT = 0.25;
/** Whether machine or job is at fault shows elsewhere within this time; meanwhile it gets nothing. */
const SURELY_FAULTY_MS = 8000;
/** Ordinary machines cost more: they are rented once the work would take this many times as long as meant. */
const ORDINARY_PATIENCE = 2;
/** A partition gives a machine away while another would need this many times as long for its work. */
const LEND_RATIO = 1.3;
const LEND_FROM_S = 8;
/** Draining leaves room unused: it is worth it for machines whose last task ends soon, and for few at once. */
const DRAIN_WITHIN_S = 20;
const DRAIN_AT_ONCE = 0.04;
/** More at once if the other partition would need this many times as long for work that is as urgent. */
const FAR_BEHIND = 2;
const DRAIN_FAR_BEHIND = 0.1;
/** A donor that has room for all of its own drains machines with up to this share of its free CPUs, however busy they are. */
const IDLE_LENT = 0.5;
const DRAIN_IDLE_WITHIN_S = 90;
/** So many in any case: of a small fleet a share is less than a machine. */
const FEW_DRAINED = 4;

interface Supply {
  id: string;
  free: Free;
  type: MachineType;
  zone: string;
  spot: boolean;
}

/** A partition as it will stand once the actions decided so far have been carried out. */
interface PartitionView {
  load: PartitionLoad;
  waits: Wait[];
  supply: Supply[];
  /** CPU seconds that run or wait, down to the urgency looked at. */
  ahead: number;
  /** Some waiting tasks find no room on the machines that the partition has in use. */
  short: boolean;
}

/** How many tasks of a demand find no room yet. */
interface Wait {
  demand: Demand;
  tasks: number;
  /** How many of the partition's machines were looked through: room there only shrinks. */
  looked: number;
}

/** What to rent, move and return, given what waits and what there is. Pure. */
export function scale(picture: FleetPicture): FleetAction[] {
  const actions: FleetAction[] = [];
  const loadOf = new Map<string, MachineLoad>();
  for (const partition of picture.loads) for (const m of partition.machines) loadOf.set(m.machine, m);
  for (const m of picture.machines) {
    const why = m.returning ? null : broken(m, loadOf.get(m.id), picture);
    if (why) actions.push({ kind: 'retire', machine: m.id, partition: m.partition, why, force: true });
  }
  const missing = missingMachines(picture);
  const pool = empties(picture, loadOf, missing);
  // Neither is room: what is empty is in the pool, what is missing takes nothing.
  const apart = new Set([...pool.map((e) => e.id), ...missing]);
  const views = picture.loads.map((load) => view(load, picture, loadOf, apart));
  for (const partition of views) cover(partition);
  const inZone = new Map<string, number>();
  for (const m of picture.machines) if (!m.returning) inZone.set(m.zone, (inZone.get(m.zone) ?? 0) + 1);
  for (let rank = 0; rank < URGENCIES.length; rank++) {
    const waits = views.flatMap((partition) => partition.waits.map((wait) => ({ partition, wait })));
    const group = waits.filter(({ wait }) => wait.demand.rank === rank);
    for (const { partition, wait } of group) partition.ahead += workOf(wait.demand, wait.demand.tasks);
    // The more urgent first, and one machine each in turn: quick ones are few, and none should get them all.
    for (let open = group; open.length > 0 && !tooMany(actions);) {
      open = open.filter(({ partition, wait }) => provide(partition, wait, pool, picture, inZone, actions));
    }
  }
  lend(views, picture, loadOf, actions);
  keep(views, picture, loadOf, actions);
  const quiet = picture.loads.every((load) => load.quietS > QUIET_S);
  // What takes far longer to boot than it should is waited for only while there is work for it.
  if (quiet && views.every((v) => v.waits.length === 0)) {
    for (const m of picture.machines)
      if (m.booting && m.id !== '' && !m.returning && isLate(m, picture) && m.ageMs > LEAST_CHARGED_MS)
        actions.push({
          kind: 'retire',
          machine: m.id,
          partition: m.partition,
          why: 'boots too long',
          force: true,
        });
  }
  spare(views, picture, loadOf, quiet, actions);
  const moved = new Set(actions.map((a) => (a.kind === 'move' ? a.machine : '')));
  // What is left of the pool was not needed for anything that waits.
  for (const { id, partition, spot } of pool) {
    const load = loadOf.get(id);
    if (!load || load.silentMs < 0 || moved.has(id)) continue;
    const keepMs = spot ? KEEP_IDLE_MS.spot : KEEP_IDLE_MS.ordinary;
    if (load.idleMs > (quiet ? KEEP_QUIET_MS : keepMs)) {
      actions.push({ kind: 'retire', machine: id, partition, why: 'idle', force: false });
    }
  }
  return actions;
}

function tooMany(actions: readonly FleetAction[]): boolean {
  const moves = actions.filter((a) => a.kind === 'move').length;
  return moves >= MOST_MOVES || actions.length - moves >= MOST_RENTS;
}

function broken(m: FleetMachine, load: MachineLoad | undefined, picture: FleetPicture): string | null {
  if (m.failed) return 'failed';
  if (m.faultyMs > SURELY_FAULTY_MS) return 'fails every task';
  const bootMs = (picture.types.get(m.type)?.bootS ?? 60) * 1000;
  if (m.booting && m.ageMs > 3 * bootMs + 15_000) return 'never came up';
  // Not the owner's word alone: one that fell silent while it changed owners has never been silent for the new one.
  const silentMs = Math.max(m.unheardMs, load?.silentMs ?? 0);
  if (silentMs > Math.max(SILENT_MS, picture.leaseMs + 5000)) return 'silent';
  return null;
}

/** A machine that holds nothing: any partition may have it. */
interface Empty extends Supply {
  partition: string;
  /** Seconds until it can take tasks where it is. */
  readyInS: number;
  /** It may have got something to do since its partition's owner last told, or it has just been moved: it stays for now. */
  settling: boolean;
}

/** Machines that are idle or booting. Some take several times as long to boot as they should: not those. */
function empties(
  picture: FleetPicture,
  loadOf: ReadonlyMap<string, MachineLoad>,
  missing: ReadonlySet<string>,
): Empty[] {
  const pool: Empty[] = [];
  for (const m of picture.machines) {
    const type = picture.types.get(m.type);
    const state = loadOf.get(m.id);
    if (!type || isLate(m, picture) || m.returning || unusable(state) || (!m.booting && state?.tasks !== 0))
      continue;
    const leftS = m.booting ? Math.max(0, type.bootS - m.ageMs / 1000) : 0;
    if (missing.has(m.id)) continue;
    const free = { cpus: type.cpus, accelerators: type.accelerators, memoryGb: type.memoryGb };
    const settling = (!m.booting && (state?.idleMs ?? 0) < SETTLE_MS) || m.movedMs < STAYS_MS;
    pool.push({
      id: m.id,
      partition: m.partition,
      free,
      type,
      zone: m.zone,
      spot: m.spot,
      readyInS: leftS,
      settling,
    });
  }
  return pool;
}

/**
 * Machines that nobody has heard for too long to count on their room. If most of a partition's are silent it is their owner who does
 * not hear them, and no reason to rent them a second time.
 */
function missingMachines(picture: FleetPicture): Set<string> {
  const silent = new Map<string, string[]>();
  const up = new Map<string, number>();
  for (const m of picture.machines) {
    if (m.booting || m.returning) continue;
    up.set(m.partition, (up.get(m.partition) ?? 0) + 1);
    if (m.unheardMs > MISSED_MS) silent.set(m.partition, [...(silent.get(m.partition) ?? []), m.id]);
  }
  const few = [...silent].filter(([partition, ids]) => ids.length <= MANY_SILENT * (up.get(partition) ?? 0));
  return new Set(few.flatMap(([, ids]) => ids));
}

function isLate(m: FleetMachine, picture: FleetPicture): boolean {
  const type = picture.types.get(m.type);
  return m.booting && type !== undefined && m.ageMs > LATE_BOOT * type.bootS * 1000;
}

function unusable(state: MachineLoad | undefined): boolean {
  return state !== undefined && (state.leavingTo !== null || state.faulty || state.noticed);
}

function view(
  load: PartitionLoad,
  picture: FleetPicture,
  loadOf: ReadonlyMap<string, MachineLoad>,
  apart: ReadonlySet<string>,
): PartitionView {
  const supply: Supply[] = [];
  for (const m of picture.machines) {
    const type = picture.types.get(m.type);
    const state = loadOf.get(m.id);
    if (m.partition !== load.partition || m.returning || !type || !state || unusable(state) || m.booting)
      continue;
    if (apart.has(m.id)) continue;
    const free = { cpus: state.freeCpus, accelerators: state.freeAccelerators, memoryGb: state.freeMemoryGb };
    supply.push({ id: m.id, free, type, zone: m.zone, spot: m.spot });
  }
  const demands = [...load.demands].sort((a, b) => a.rank - b.rank);
  return {
    load,
    waits: demands.map((demand) => ({ demand, tasks: demand.tasks, looked: 0 })),
    supply,
    ahead: load.workLeft.reduce((sum, w) => sum + w, 0),
    short: false,
  };
}

function workOf(demand: Demand, tasks: number): number {
  return tasks * demand.cpus * Math.max(demand.seconds, 5);
}

/** Whether a machine of this kind can take a task of this demand at all. */
function suits(demand: Demand, s: { type: MachineType; zone: string; spot: boolean }): boolean {
  return permits(demand, { type: s.type.name, zone: s.zone, spot: s.spot }) && fits(s.type, demand) > 0;
}

function permits(demand: Demand, kind: { type: string; zone: string; spot: boolean }): boolean {
  return (demand.zones === null || demand.zones.includes(kind.zone)) && allowsKind(demand, kind);
}

/** Sets what waits against the room on machines that the partition uses already. */
function cover(partition: PartitionView): void {
  for (const wait of partition.waits) useRoom(partition, wait);
  partition.short = partition.waits.some((wait) => wait.tasks > 0);
}

function useRoom(partition: PartitionView, wait: Wait): void {
  for (; wait.looked < partition.supply.length && wait.tasks > 0; wait.looked++) {
    const s = partition.supply[wait.looked] as Supply;
    if (suits(wait.demand, s)) wait.tasks -= fill(s.free, wait.demand, wait.tasks);
  }
}

/** Finds one machine for what is left: the empty one that is ready first, else a rented one. False: none. */
function provide(
  partition: PartitionView,
  wait: Wait,
  pool: Empty[],
  picture: FleetPicture,
  inZone: Map<string, number>,
  actions: FleetAction[],
): boolean {
  const { demand } = wait;
  // Room left on machines that this partition has been given meanwhile.
  useRoom(partition, wait);
  if (wait.tasks <= 0) return false;
  const here = partition.load.partition;
  let first: Empty | null = null;
  let firstS = Number.POSITIVE_INFINITY;
  for (const e of pool) {
    if (!suits(demand, e) || (e.partition !== here && e.settling)) continue;
    const readyS = e.partition === here ? e.readyInS : Math.max(MOVE_S, e.readyInS) + MOVE_S;
    if (readyS < firstS) [first, firstS] = [e, readyS];
  }
  if (first) {
    pool.splice(pool.indexOf(first), 1);
    wait.tasks -= add(partition, first.id, first.type, first.zone, first.spot, demand, wait.tasks);
    // What is rented but not known by name yet cannot be moved.
    if (first.partition !== here && first.id !== '') {
      actions.push({
        kind: 'move',
        machine: first.id,
        fromPartition: first.partition,
        toPartition: here,
        drain: false,
      });
    }
    return true;
  }
  const drainS = DRAIN_S[demand.rank] ?? 60;
  const size = Math.max(demand.cpus, 0.1);
  // What the machines that suit it will have worked off in time needs no new ones.
  const able = partition.supply.reduce((sum, s) => sum + (suits(demand, s) ? s.type.cpus : 0), 0);
  const { headroom, classes } = picture.policy;
  const missing = Math.min(wait.tasks * size, (headroom * partition.ahead) / drainS - able);
  if (missing <= 0) return false;
  // Idle work waits for cheap machines as long as there are any that will come to it.
  const idle = demand.rank === URGENCIES.length - 1;
  const price = classes[demand.workload]?.price ?? 'balanced';
  const late = partition.ahead / drainS > ORDINARY_PATIENCE * able;
  const waits = price === 'cheap' || (price === 'balanced' && (idle || !late));
  const patient = able > 0 && demand.spot && waits;
  const order = cheapest(demand, missing, wait.tasks, picture, !patient, inZone);
  const type = order && picture.types.get(order.type);
  if (!order || !type) return false;
  wait.tasks -= add(partition, '', type, order.zone, order.spot, demand, wait.tasks);
  actions.push({ kind: 'rent', partition: partition.load.partition, order });
  inZone.set(order.zone, (inZone.get(order.zone) ?? 0) + 1);
  return true;
}

/** Counts a machine that is on its way to the partition; returns how many of the demand's tasks it takes. */
function add(
  partition: PartitionView,
  id: string,
  type: MachineType,
  zone: string,
  spot: boolean,
  demand: Demand,
  tasks: number,
): number {
  const free = { cpus: type.cpus, accelerators: type.accelerators, memoryGb: type.memoryGb };
  const taken = fill(free, demand, tasks);
  partition.supply.push({ id, free, type, zone, spot });
  return taken;
}

function fill(free: Free, demand: Demand, tasks: number): number {
  const n = Math.min(tasks, fits(free, demand));
  free.cpus -= n * demand.cpus;
  free.accelerators -= n * demand.accelerators;
  free.memoryGb -= n * demand.memoryGb;
  return n;
}

function cpusOf(partition: PartitionView): number {
  return partition.supply.reduce((sum, s) => sum + s.type.cpus, 0);
}

/** Seconds in which a partition would have done its work down to this urgency with these CPUs. */
function horizon(partition: PartitionView, cpus: number, rank: number): number {
  let work = 0;
  for (let r = 0; r <= rank; r++)
    work += (partition.load.workLeft[r] ?? 0) + (partition.load.backlog[r] ?? 0);
  return work / Math.max(1, cpus);
}

/** Of what still waits, the most pressing urgency. */
function pressing(partition: PartitionView): number {
  return Math.min(...partition.waits.filter((w) => w.tasks > 0).map((w) => w.demand.rank));
}

/**
 * Lets the partition that would be done first empty machines for the one that would be done last. Each urgency is looked
 * at by itself, the more urgent first: one partition's idle work is no reason to let another's urgent work wait.
 */
function lend(
  views: readonly PartitionView[],
  picture: FleetPicture,
  loadOf: ReadonlyMap<string, MachineLoad>,
  actions: FleetAction[],
): void {
  const cpus = new Map(views.map((v) => [v, cpusOf(v)]));
  // What is being emptied already counts for the one that gets it.
  for (const m of picture.machines) {
    const taker = views.find((v) => v.load.partition === loadOf.get(m.id)?.leavingTo);
    if (taker) cpus.set(taker, (cpus.get(taker) ?? 0) + (picture.types.get(m.type)?.cpus ?? 0));
  }
  const taken = new Set(actions.map((a) => (a.kind === 'move' ? a.machine : '')));
  for (const m of picture.machines) if (m.movedMs < STAYS_MS) taken.add(m.id);
  for (let rank = 0; rank < URGENCIES.length; rank++) {
    const at = (v: PartitionView): number => horizon(v, cpus.get(v) ?? 0, rank);
    const waiting = views.filter((v) => v.waits.some((w) => w.tasks > 0 && w.demand.rank === rank));
    const taker = waiting.sort((a, b) => at(b) - at(a))[0];
    // Who has more urgent work without room lends nothing for less urgent work: while its machines went out for that,
    // as many came back for the other, twice a second, and the partition ended up with nearly none.
    const short = (v: PartitionView): boolean => v.waits.some((w) => w.tasks > 0 && w.demand.rank < rank);
    const donor = views.filter((v) => v !== taker && !short(v)).sort((a, b) => at(a) - at(b))[0];
    if (!taker || !donor) continue;
    const unmet = taker.waits.filter((w) => w.tasks > 0 && w.demand.rank <= rank);
    let missing = unmet.reduce((sum, w) => sum + w.tasks * w.demand.cpus, 0);
    missing -= (cpus.get(taker) ?? 0) - cpusOf(taker);
    const farBehind = at(taker) > FAR_BEHIND * at(donor);
    let draining = (farBehind ? DRAIN_FAR_BEHIND : DRAIN_AT_ONCE) * cpusOf(donor);
    let few = FEW_DRAINED;
    // A donor that has room for all of its own loses by a drain no more than the room that is free on that machine.
    let idle = donor.short ? 0 : IDLE_LENT * donor.supply.reduce((sum, s) => sum + s.free.cpus, 0);
    for (const m of donor.load.machines) {
      if (m.leavingTo === null) continue;
      draining -= typeOf(m.machine, picture)?.cpus ?? 0;
      few--;
      idle -= (1 - IDLE_LENT) * m.freeCpus;
    }
    const withinS = idle > 0 ? DRAIN_IDLE_WITHIN_S : DRAIN_WITHIN_S;
    // Emptiest first: what is free or still booting moves at once.
    const offers = donor.supply
      .filter((s) => !taken.has(s.id) && loadOf.has(s.id) && unmet.some((w) => suits(w.demand, s)))
      .filter((s) => !loadOf.get(s.id)?.noticed && (loadOf.get(s.id)?.emptyInS ?? 0) < withinS)
      .sort((a, b) => b.free.cpus / b.type.cpus - a.free.cpus / a.type.cpus);
    for (const s of offers) {
      const [has, gets] = [cpus.get(donor) ?? 0, cpus.get(taker) ?? 0];
      // Work beyond the teams' limits cannot use more machines.
      if (missing <= 0 || at(taker) < LEND_FROM_S || at(taker) < LEND_RATIO * at(donor)) break;
      const busy = (loadOf.get(s.id)?.tasks ?? 0) > 0;
      if (busy && draining <= 0 && few <= 0 && idle <= 0) break;
      // It must not turn the two round.
      if (horizon(donor, has - s.type.cpus, rank) > horizon(taker, gets + s.type.cpus, rank)) continue;
      cpus.set(donor, has - s.type.cpus);
      cpus.set(taker, gets + s.type.cpus);
      missing -= s.type.cpus;
      if (busy) {
        draining -= s.type.cpus;
        few--;
        idle -= s.free.cpus;
      }
      taken.add(s.id);
      const [fromPartition, toPartition] = [donor.load.partition, taker.load.partition];
      actions.push({ kind: 'move', machine: s.id, fromPartition, toPartition, drain: true });
    }
  }
}

/**
 * Takes a draining back that the work since has made wrong. Waiting tasks that other machines have room for are no reason: the
 * tasks stopped on a draining machine wait themselves for a moment, and once had every drain of their partition taken back.
 */
function keep(
  views: readonly PartitionView[],
  picture: FleetPicture,
  loadOf: ReadonlyMap<string, MachineLoad>,
  actions: FleetAction[],
): void {
  const byPartition = new Map(views.map((v) => [v.load.partition, v]));
  for (const m of picture.machines) {
    const to = loadOf.get(m.id)?.leavingTo;
    const from = byPartition.get(m.partition);
    if (to === undefined || to === null || !from) continue;
    const taker = byPartition.get(to);
    const rank = taker ? pressing(taker) : Infinity;
    const wanted =
      to === LEAVES_FLEET
        ? !from.short
        : taker && rank < Infinity && horizon(taker, cpusOf(taker), rank) > horizon(from, cpusOf(from), rank);
    if (!wanted)
      actions.push({
        kind: 'move',
        machine: m.id,
        fromPartition: m.partition,
        toPartition: m.partition,
        drain: true,
      });
  }
}

/** Empties the dearest machines whose tasks the others of their partition have room for, while nothing waits. */
function spare(
  views: readonly PartitionView[],
  picture: FleetPicture,
  loadOf: ReadonlyMap<string, MachineLoad>,
  quiet: boolean,
  actions: FleetAction[],
): void {
  // What one partition can spare another may need, as soon as it can be emptied.
  if (views.some((v) => v.short)) return;
  const moved = new Set(actions.map((a) => (a.kind === 'move' ? a.machine : '')));
  for (const partition of views) {
    const { partition: fromPartition, machines } = partition.load;
    // One that may never come up must not keep all others: for two minutes nothing was sent off because of it.
    const booting = picture.machines.some(
      (m) => m.partition === fromPartition && m.booting && !isLate(m, picture),
    );
    if (booting) continue;
    const running = partition.supply.filter((s) => !moved.has(s.id) && (loadOf.get(s.id)?.tasks ?? 0) > 0);
    // Room for what is moved off, less what was sent off before and has not settled elsewhere.
    let free = running.reduce((sum, s) => sum + s.free.cpus, 0);
    for (const m of machines)
      if (m.leavingTo === LEAVES_FLEET) free -= (typeOf(m.machine, picture)?.cpus ?? 0) - m.freeCpus;
    // While jobs still come only dear or nearly empty machines are worth the trouble; else more room is asked
    // for than the tasks take, for some of it is needed by what comes next.
    const room = quiet ? SPARE_ROOM : 1;
    const cost = (s: Supply): number => (priceOf(s) * s.free.cpus) / s.type.cpus;
    let left = quiet ? Math.max(1, Math.ceil(running.length * SPARE_AT_ONCE)) : 1;
    for (const s of running.filter((r) => cost(r) > 0).sort((a, b) => cost(b) - cost(a))) {
      const used = s.type.cpus - s.free.cpus;
      if (!quiet && s.spot && s.free.cpus < NEARLY_EMPTY * s.type.cpus) continue;
      if (free - s.free.cpus < room * used || (loadOf.get(s.id)?.emptyInS ?? 0) < SPARE_FROM_S) continue;
      if (left-- <= 0) break;
      free -= s.free.cpus + used;
      actions.push({ kind: 'move', machine: s.id, fromPartition, toPartition: LEAVES_FLEET, drain: true });
    }
  }
}

function priceOf({ spot, type }: Supply): number {
  return spot ? type.spotPrice : type.price;
}

function typeOf(id: string, picture: FleetPicture): MachineType | undefined {
  const machine = picture.machines.find((m) => m.id === id);
  return machine && picture.types.get(machine.type);
}

function kindOf(kind: { type: string; zone: string; spot: boolean }): string {
  return `${kind.type}/${kind.zone}/${kind.spot}`;
}

/** Of each kind of machine that comes up late or never, which share of those that were rented does. */
function lateShares(picture: FleetPicture): Map<string, number> {
  const counts = new Map<string, { late: number; all: number }>();
  for (const m of picture.machines) {
    if (m.returning || m.id === '') continue;
    const count = counts.get(kindOf(m)) ?? { late: 0, all: 0 };
    counts.set(kindOf(m), count);
    count.all++;
    if (isLate(m, picture)) count.late++;
  }
  const shares = [...counts].map(([kind, { late, all }]): [string, number] => [kind, late / all]);
  return new Map(shares.filter(([, share]) => share > LATE_SHARE));
}

/** The kind of machine that costs least for what is missing; spread over zones where the price is the same. */
function cheapest(
  demand: Demand,
  missing: number,
  tasks: number,
  picture: FleetPicture,
  ordinaryToo: boolean,
  inZone: ReadonlyMap<string, number>,
): RentalOrder | null {
  const late = lateShares(picture);
  let best: RentalOrder | null = null;
  let bestCost = Number.POSITIVE_INFINITY;
  for (const type of picture.types.values()) {
    const places = Math.min(fits(type, demand), tasks);
    if (places === 0) continue;
    const size = Math.max(demand.cpus, 0.1);
    const useful = Math.min(places * size, Math.max(missing, size));
    for (const zone of type.zones) {
      for (const spot of [true, false]) {
        const order = { type: type.name, zone, spot, count: 1 };
        if (!permits(demand, order) || picture.soldOut(order)) continue;
        if (!spot && !ordinaryToo) continue;
        const rate = (spot ? type.spotPrice : type.price) * (1 + LATE_COST * (late.get(kindOf(order)) ?? 0));
        const cost = rate / useful + (inZone.get(zone) ?? 0) * 1e-6;
        if (cost < bestCost) [best, bestCost] = [order, cost];
      }
    }
  }
  return best;
}
