import { type RentalOrder } from '../protocol/cloud';
import { URGENCIES } from '../protocol/jobs';
import { type Demand } from '../protocol/peers';
import {
  allOf,
  fill,
  kindKey,
  permits,
  suits,
  useRoom,
  type EmptyMachine,
  type FleetPlan,
  type PartitionView,
  type Supply,
  type Wait,
} from './fleet-plan';
import { fits } from './placement';

/** Within how many seconds the waiting work of an urgency is meant to be done; index as in URGENCIES. */
const DRAIN_S = [15, 15, 30, 50] as const;
const DRAIN_OTHERWISE_S = 60;
/** What a move costs: the worker is sent on, and shows the new owner that it hears it. */
const MOVE_S = 6;
/** Bounds one round; the next one goes on. */
const MOST_MOVES = 60;
const MOST_RENTS = 400;
/** Ordinary machines cost more: they are rented once the work would take this many times as long as meant. */
const ORDINARY_PATIENCE = 2;
/** A kind of machine that always comes up late counts as dearer by this share of its price. */
const LATE_COST = 1.5;
/** A task takes at least so many CPUs, and so many seconds, when work is estimated. */
const LEAST_CPUS = 0.1;
const LEAST_TASK_S = 5;
/** Makes the zone with fewer machines the cheaper one where prices are the same. */
const ZONE_TIE = 1e-6;

/** Finds machines for all that waits without room: empty ones first, else rented ones. The more urgent goes first. */
export function provideMachines(plan: FleetPlan): void {
  for (let rank = 0; rank < URGENCIES.length; rank++) {
    const waits = plan.views.flatMap((view) => view.waits.map((wait) => ({ view, wait })));
    const group = waits.filter(({ wait }) => wait.demand.rank === rank);
    for (const { view, wait } of group) view.ahead += workOf(wait.demand);
    // One machine each in turn: quick ones are few, and none should get them all.
    for (let open = group; open.length > 0 && !roundIsFull(plan);)
      open = open.filter(({ view, wait }) => provide(plan, view, wait));
  }
}

function workOf({ tasks, cpus, seconds }: Demand): number {
  return tasks * cpus * Math.max(seconds, LEAST_TASK_S);
}

function roundIsFull({ actions }: FleetPlan): boolean {
  const moves = actions.filter((a) => a.kind === 'move').length;
  return moves >= MOST_MOVES || actions.length - moves >= MOST_RENTS;
}

/** Finds one machine for what is left: the empty one that is ready first, else a rented one. False: none. */
function provide(plan: FleetPlan, view: PartitionView, wait: Wait): boolean {
  // Room left on machines that this partition has been given meanwhile.
  useRoom(view, wait);
  if (wait.tasks <= 0) return false;
  const empty = firstReady(plan, view, wait.demand);
  if (empty) {
    takeEmpty(plan, view, wait, empty);
    return true;
  }
  return rent(plan, view, wait);
}

function firstReady(plan: FleetPlan, view: PartitionView, demand: Demand): EmptyMachine | null {
  const here = view.load.partition;
  let first: EmptyMachine | null = null;
  let firstS = Number.POSITIVE_INFINITY;
  for (const e of plan.pool) {
    if (!suits(demand, e) || (e.partition !== here && e.settling)) continue;
    const readyS = e.partition === here ? e.readyInS : Math.max(MOVE_S, e.readyInS) + MOVE_S;
    if (readyS < firstS) [first, firstS] = [e, readyS];
  }
  return first;
}

function takeEmpty(plan: FleetPlan, view: PartitionView, wait: Wait, empty: EmptyMachine): void {
  plan.pool.splice(plan.pool.indexOf(empty), 1);
  addSupply(view, wait, empty);
  const { id: machine, partition: fromPartition } = empty;
  const toPartition = view.load.partition;
  // What is rented but not known by name yet cannot be moved.
  if (fromPartition !== toPartition && machine !== '')
    plan.actions.push({ kind: 'move', machine, fromPartition, toPartition, drain: false });
}

function rent(plan: FleetPlan, view: PartitionView, wait: Wait): boolean {
  const { demand } = wait;
  const drainS = DRAIN_S[demand.rank] ?? DRAIN_OTHERWISE_S;
  // What the machines that suit it will have worked off in time needs no new ones.
  const able = view.supply.reduce((sum, s) => sum + (suits(demand, s) ? s.type.cpus : 0), 0);
  const size = Math.max(demand.cpus, LEAST_CPUS);
  const missing = Math.min(wait.tasks * size, (plan.picture.policy.headroom * view.ahead) / drainS - able);
  if (missing <= 0) return false;
  const late = view.ahead / drainS > ORDINARY_PATIENCE * able;
  const patient = able > 0 && demand.spot && waitsForCheap(plan, demand, late);
  const order = cheapest(plan, wait, missing, !patient);
  const type = order && plan.picture.types.get(order.type);
  if (!order || !type) return false;
  addSupply(view, wait, { id: '', free: allOf(type), type, zone: order.zone, spot: order.spot });
  plan.actions.push({ kind: 'rent', partition: view.load.partition, order });
  plan.inZone.set(order.zone, (plan.inZone.get(order.zone) ?? 0) + 1);
  return true;
}

/** Idle work waits for cheap machines as long as there are any that will come to it. */
function waitsForCheap(plan: FleetPlan, demand: Demand, late: boolean): boolean {
  const price = plan.picture.policy.classes[demand.workload]?.price ?? 'balanced';
  const idle = demand.rank === URGENCIES.length - 1;
  return price === 'cheap' || (price === 'balanced' && (idle || !late));
}

/** Counts a machine that is on its way to the partition, with the tasks that it takes. */
function addSupply(view: PartitionView, wait: Wait, { id, type, zone, spot }: Supply): void {
  const free = allOf(type);
  wait.tasks -= fill(free, wait.demand, wait.tasks);
  view.supply.push({ id, free, type, zone, spot });
}

/** The kind of machine that costs least for what is missing; spread over zones where the price is the same. */
function cheapest(
  plan: FleetPlan,
  { demand, tasks }: Wait,
  missing: number,
  ordinaryToo: boolean,
): RentalOrder | null {
  const { picture, lateShares, inZone } = plan;
  let best: RentalOrder | null = null;
  let bestCost = Number.POSITIVE_INFINITY;
  for (const type of picture.types.values()) {
    const places = Math.min(fits(type, demand), tasks);
    if (places === 0) continue;
    const size = Math.max(demand.cpus, LEAST_CPUS);
    const useful = Math.min(places * size, Math.max(missing, size));
    for (const zone of type.zones) {
      for (const spot of ordinaryToo ? [true, false] : [true]) {
        const order = { type: type.name, zone, spot, count: 1 };
        if (!permits(demand, order) || picture.soldOut(order)) continue;
        const price = spot ? type.spotPrice : type.price;
        const rate = price * (1 + LATE_COST * (lateShares.get(kindKey(order)) ?? 0));
        const cost = rate / useful + (inZone.get(zone) ?? 0) * ZONE_TIE;
        if (cost < bestCost) [best, bestCost] = [order, cost];
      }
    }
  }
  return best;
}
