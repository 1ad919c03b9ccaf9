import { type MachineRequest } from '../../protocol/cloud';
import { PRIORITIES } from '../../protocol/jobs';
import { type Demand } from '../../protocol/peers';
import {
  fullCapacity,
  reserveTasks,
  kindKey,
  allowsMachineKind,
  canRun,
  placeOnMachines,
  type EmptyMachine,
  type CapacityPlan,
  type PlannedPartition,
  type MachineCapacity,
  type PendingDemand,
} from './capacity-plan';
import { countFitting } from '../partition/resources';

/** Within how many seconds the waiting work of an urgency is meant to be done; index as in URGENCIES. */
const TARGET_COMPLETION_S = [15, 15, 30, 50] as const;
const DEFAULT_TARGET_COMPLETION_S = 60;
/** What a move costs: the worker is sent on, and shows the new owner that it hears it. */
const TRANSFER_DURATION_S = 6;
/** Bounds one round; the next one goes on. */
const MAX_TRANSFERS_PER_ROUND = 60;
const MAX_PROVISION_REQUESTS_PER_ROUND = 400;
/** Ordinary machines cost more: they are rented once the work would take this many times as long as meant. */
const ON_DEMAND_DELAY_RATIO = 2;
/** A kind of machine that always comes up late counts as dearer by this share of its price. */
const LATE_BOOT_COST_RATIO = 1.5;
/** A task takes at least so many CPUs, and so many seconds, when work is estimated. */
const MIN_TASK_CPUS = 0.1;
const MIN_TASK_DURATION_S = 5;
/** Makes the zone with fewer machines the cheaper one where prices are the same. */
const ZONE_TIE_BREAK_COST = 1e-6;

/** Finds machines for all that waits without room: empty ones first, else rented ones. The more urgent goes first. */
export function scaleOut(plan: CapacityPlan): void {
  for (let priority = 0; priority < PRIORITIES.length; priority++) {
    const pendingDemands = plan.partitions.flatMap((partition) =>
      partition.pendingDemands.map((pending) => ({ view: partition, wait: pending })),
    );
    const group = pendingDemands.filter(({ wait: pending }) => pending.demand.priority === priority);
    for (const { view: partition, wait: pending } of group)
      partition.queuedCpuSeconds += cpuSecondsOf(pending.demand);
    // One machine each in turn: quick ones are few, and none should get them all.
    for (let open = group; open.length > 0 && !isRoundFull(plan);)
      open = open.filter(({ view: partition, wait: pending }) => provideMachine(plan, partition, pending));
  }
}

function cpuSecondsOf({ tasks, cpus, expectedS }: Demand): number {
  return tasks * cpus * Math.max(expectedS, MIN_TASK_DURATION_S);
}

function isRoundFull({ actions }: CapacityPlan): boolean {
  const moves = actions.filter((a) => a.kind === 'transfer').length;
  return moves >= MAX_TRANSFERS_PER_ROUND || actions.length - moves >= MAX_PROVISION_REQUESTS_PER_ROUND;
}

/** Finds one machine for what is left: the empty one that is ready first, else a rented one. False: none. */
function provideMachine(plan: CapacityPlan, partition: PlannedPartition, pending: PendingDemand): boolean {
  // Room left on machines that this partition has been given meanwhile.
  placeOnMachines(partition, pending);
  if (pending.tasks <= 0) return false;
  const empty = firstReadyEmptyMachine(plan, partition, pending.demand);
  if (empty) {
    useEmptyMachine(plan, partition, pending, empty);
    return true;
  }
  return requestMachine(plan, partition, pending);
}

function firstReadyEmptyMachine(
  plan: CapacityPlan,
  partition: PlannedPartition,
  demand: Demand,
): EmptyMachine | null {
  const here = partition.load.partition;
  let first: EmptyMachine | null = null;
  let firstS = Number.POSITIVE_INFINITY;
  for (const e of plan.emptyPool) {
    if (!canRun(demand, e) || (e.partition !== here && e.recentlyChanged)) continue;
    const readyS =
      e.partition === here ? e.readyInS : Math.max(TRANSFER_DURATION_S, e.readyInS) + TRANSFER_DURATION_S;
    if (readyS < firstS) [first, firstS] = [e, readyS];
  }
  return first;
}

function useEmptyMachine(
  plan: CapacityPlan,
  partition: PlannedPartition,
  pending: PendingDemand,
  empty: EmptyMachine,
): void {
  plan.emptyPool.splice(plan.emptyPool.indexOf(empty), 1);
  addMachine(partition, pending, empty);
  const { id: machine, partition: fromPartition } = empty;
  const toPartition = partition.load.partition;
  // What is rented but not known by name yet cannot be moved.
  if (fromPartition !== toPartition && machine !== '')
    plan.actions.push({ kind: 'transfer', machine, fromPartition, toPartition, drain: false });
}

function requestMachine(plan: CapacityPlan, partition: PlannedPartition, pending: PendingDemand): boolean {
  const { demand } = pending;
  const targetS = TARGET_COMPLETION_S[demand.priority] ?? DEFAULT_TARGET_COMPLETION_S;
  // What the machines that suit it will have worked off in time needs no new ones.
  const suitableCpus = partition.machines.reduce((sum, s) => sum + (canRun(demand, s) ? s.type.cpus : 0), 0);
  const taskCpus = Math.max(demand.cpus, MIN_TASK_CPUS);
  const missingCpus = Math.min(
    pending.tasks * taskCpus,
    (plan.snapshot.policy.headroom * partition.queuedCpuSeconds) / targetS - suitableCpus,
  );
  if (missingCpus <= 0) return false;
  const isLate = partition.queuedCpuSeconds / targetS > ON_DEMAND_DELAY_RATIO * suitableCpus;
  const spotOnly = suitableCpus > 0 && demand.spot && prefersSpot(plan, demand, isLate);
  const request = cheapestKind(plan, pending, missingCpus, !spotOnly);
  const type = request && plan.snapshot.types.get(request.type);
  if (!request || !type) return false;
  addMachine(partition, pending, {
    id: '',
    free: fullCapacity(type),
    type,
    zone: request.zone,
    spot: request.spot,
  });
  plan.actions.push({ kind: 'scale-out', partition: partition.load.partition, request });
  plan.machinesByZone.set(request.zone, (plan.machinesByZone.get(request.zone) ?? 0) + 1);
  return true;
}

/** Idle work waits for cheap machines as long as there are any that will come to it. */
function prefersSpot(plan: CapacityPlan, demand: Demand, isLate: boolean): boolean {
  const price = plan.snapshot.policy.classes[demand.workload]?.price ?? 'balanced';
  const idle = demand.priority === PRIORITIES.length - 1;
  return price === 'cheap' || (price === 'balanced' && (idle || !isLate));
}

/** Counts a machine that is on its way to the partition, with the tasks that it takes. */
function addMachine(
  partition: PlannedPartition,
  pending: PendingDemand,
  { id, type, zone, spot }: MachineCapacity,
): void {
  const free = fullCapacity(type);
  pending.tasks -= reserveTasks(free, pending.demand, pending.tasks);
  partition.machines.push({ id, free, type, zone, spot });
}

/** The kind of machine that costs least for what is missing; spread over zones where the price is the same. */
function cheapestKind(
  plan: CapacityPlan,
  { demand, tasks }: PendingDemand,
  missingCpus: number,
  onDemandAllowed: boolean,
): MachineRequest | null {
  const { snapshot, lateBootRatios, machinesByZone } = plan;
  let best: MachineRequest | null = null;
  let bestCost = Number.POSITIVE_INFINITY;
  for (const type of snapshot.types.values()) {
    const taskCount = Math.min(countFitting(type, demand), tasks);
    if (taskCount === 0) continue;
    const taskCpus = Math.max(demand.cpus, MIN_TASK_CPUS);
    const usefulCpus = Math.min(taskCount * taskCpus, Math.max(missingCpus, taskCpus));
    for (const zone of type.zones) {
      for (const spot of onDemandAllowed ? [true, false] : [true]) {
        const request = { type: type.name, zone, spot, count: 1 };
        if (!allowsMachineKind(demand, request) || snapshot.capacityExhausted(request)) continue;
        const price = spot ? type.spotPrice : type.price;
        const rate = price * (1 + LATE_BOOT_COST_RATIO * (lateBootRatios.get(kindKey(request)) ?? 0));
        const cost = rate / usefulCpus + (machinesByZone.get(zone) ?? 0) * ZONE_TIE_BREAK_COST;
        if (cost < bestCost) [best, bestCost] = [request, cost];
      }
    }
  }
  return best;
}
