import { type ProvisionRequest, type MachineType } from '../../protocol/cloud';
import { PRIORITIES } from '../../protocol/jobs';
import { MAX_TASKS_PER_MACHINE } from '../../protocol/message-limits';
import { type Demand } from '../../protocol/peers';
import { kindKey } from '../partition/placement';
import { countFitting } from '../partition/resources';
import { type CapacityPlan, type EmptyMachine } from './capacity-plan';
import { allowsMachineKind, canRun, fullCapacity } from './demand-matching';
import {
  placeOnMachines,
  placeOnMachine,
  type MachineCapacity,
  type PendingDemand,
  type PlannedPartition,
} from './planned-partition';

/** Target time for the completion of pending work, by priority. */
const TARGET_COMPLETION_S = [15, 15, 30, 50] as const;
const DEFAULT_TARGET_COMPLETION_S = 60;
/** A transfer takes one heartbeat that is redirected, and another that shows the machine to its new owner. */
const TRANSFER_DURATION_S = 6;
/**
 * Limits of one round; scale-ins count as provisioning requests. Demand that is left over is planned for in the next round.
 */
const MAX_TRANSFERS_PER_ROUND = 60;
const MAX_PROVISION_REQUESTS_PER_ROUND = 400;
/** On-demand machines cost more, and are requested once work would take more than this many times its target time. */
const ON_DEMAND_DELAY_RATIO = 2;
/** A kind of machine that always boots late counts as more expensive by this multiple of its price. */
const LATE_BOOT_COST_RATIO = 1.5;
/** The minimum CPUs and duration that a task counts for in estimates. */
const MIN_COUNTED_TASK_CPUS = 0.1;
const MIN_TASK_DURATION_S = 5;
/** At equal prices, makes the zone with fewer machines the cheaper one. */
const ZONE_TIE_BREAK_COST = 1e-6;

/** A demand that lacks resources, and its partition. */
interface OpenDemand {
  partition: PlannedPartition;
  pending: PendingDemand;
}

/** Finds machines for all pending demands, most urgent first: empty machines of the fleet, or else new ones. */
export function scaleOut(plan: CapacityPlan): void {
  for (let priority = 0; priority < PRIORITIES.length; priority++) {
    const demands = demandsOfPriority(plan, priority);
    for (const { partition, pending } of demands)
      partition.outstandingCpuSeconds += expectedCpuSeconds(pending.demand);
    // Adds one machine for each demand in turn, so that no demand takes all machines that are ready soon.
    let open = demands;
    while (open.length > 0 && !isRoundFull(plan))
      open = open.filter(({ partition, pending }) => addOneMachine(plan, partition, pending));
  }
}

function demandsOfPriority(plan: CapacityPlan, priority: number): OpenDemand[] {
  return plan.partitions.flatMap((partition) =>
    partition.pendingDemands
      .filter(({ demand }) => demand.priority === priority)
      .map((pending) => ({ partition, pending })),
  );
}

/** The work of a demand. Never 0, so that tasks which take no CPUs or no time are given a machine, too. */
function expectedCpuSeconds(demand: Demand): number {
  return demand.tasks * countedCpus(demand) * Math.max(demand.expectedS, MIN_TASK_DURATION_S);
}

function isRoundFull({ actions }: CapacityPlan): boolean {
  const transfers = actions.filter(({ kind }) => kind === 'transfer').length;
  const others = actions.length - transfers;
  return transfers >= MAX_TRANSFERS_PER_ROUND || others >= MAX_PROVISION_REQUESTS_PER_ROUND;
}

/** Adds the empty machine that is ready first, else a new one. Returns false if the demand is met or none can be added. */
function addOneMachine(plan: CapacityPlan, partition: PlannedPartition, pending: PendingDemand): boolean {
  // Machines that were added for other demands of this partition may have resources left.
  placeOnMachines(partition.machines, pending);
  if (pending.tasks <= 0) return false;
  const empty = firstReadyEmptyMachine(plan, partition, pending.demand);
  if (!empty) return requestMachine(plan, partition, pending);
  useEmptyMachine(plan, partition, pending, empty);
  return true;
}

function firstReadyEmptyMachine(
  plan: CapacityPlan,
  { load }: PlannedPartition,
  demand: Demand,
): EmptyMachine | null {
  let first: EmptyMachine | null = null;
  let firstReadyS = Number.POSITIVE_INFINITY;
  for (const machine of plan.emptyPool) {
    const isLocal = machine.partition === load.partition;
    if (!canRun(demand, machine) || (!isLocal && machine.recentlyChanged)) continue;
    const readyS = isLocal
      ? machine.readyInS
      : Math.max(TRANSFER_DURATION_S, machine.readyInS) + TRANSFER_DURATION_S;
    if (readyS < firstReadyS) [first, firstReadyS] = [machine, readyS];
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
  // A machine that is being provisioned has no name yet and cannot be transferred.
  if (fromPartition !== toPartition && machine !== '')
    plan.actions.push({ kind: 'transfer', machine, fromPartition, toPartition, drain: false });
}

/** Plans a request for a machine unless the partition can do without one. Returns false if none is requested. */
function requestMachine(plan: CapacityPlan, partition: PlannedPartition, pending: PendingDemand): boolean {
  const { demand, tasks } = pending;
  const targetS = TARGET_COMPLETION_S[demand.priority] ?? DEFAULT_TARGET_COMPLETION_S;
  const suitableCpus = cpusSuitableFor(demand, partition);
  // Work that the suitable machines complete in time needs no new ones.
  const neededCpus = (plan.snapshot.policy.headroom * partition.outstandingCpuSeconds) / targetS;
  const missingCpus = Math.min(tasks * countedCpus(demand), neededCpus - suitableCpus);
  if (missingCpus <= 0) return false;
  const isLate = partition.outstandingCpuSeconds / targetS > ON_DEMAND_DELAY_RATIO * suitableCpus;
  const spotOnly = suitableCpus > 0 && demand.spot && prefersSpot(plan, demand, isLate);
  const request = cheapestRequest(plan, pending, missingCpus, !spotOnly);
  const type = request && plan.snapshot.types.get(request.type);
  if (!request || !type) return false;
  const { zone, spot } = request;
  addMachine(partition, pending, { id: '', type, zone, spot });
  plan.actions.push({ kind: 'scale-out', partition: partition.load.partition, request });
  plan.machinesByZone.set(zone, (plan.machinesByZone.get(zone) ?? 0) + 1);
  return true;
}

function countedCpus({ cpus }: Demand): number {
  return Math.max(cpus, MIN_COUNTED_TASK_CPUS);
}

/** The CPUs that tasks of a demand could use if the partition's machines ran nothing else. */
function cpusSuitableFor(demand: Demand, { machines }: PlannedPartition): number {
  const maxCpusPerMachine = MAX_TASKS_PER_MACHINE * countedCpus(demand);
  return machines.reduce(
    (sum, machine) => sum + (canRun(demand, machine) ? Math.min(machine.type.cpus, maxCpusPerMachine) : 0),
    0,
  );
}

/** Whether a demand waits for spot machines, by the policy of its class. Under 'balanced', the lowest priority always waits. */
function prefersSpot(plan: CapacityPlan, demand: Demand, isLate: boolean): boolean {
  const price = plan.snapshot.policy.classes[demand.workload]?.price ?? 'balanced';
  const isLowest = demand.priority === PRIORITIES.length - 1;
  return price === 'cheap' || (price === 'balanced' && (isLowest || !isLate));
}

/** Adds a machine to a partition, with as many tasks of this demand as it can take. */
function addMachine(
  partition: PlannedPartition,
  pending: PendingDemand,
  { id, type, zone, spot }: Omit<MachineCapacity, 'free' | 'freeTaskSlots'>,
): void {
  const freeTaskSlots = MAX_TASKS_PER_MACHINE;
  const machine = { id, free: fullCapacity(type), freeTaskSlots, type, zone, spot };
  placeOnMachine(machine, pending);
  partition.machines.push(machine);
}

/** A request for the kind of machine that costs least for the missing CPUs; null if the cloud has no suitable kind. */
function cheapestRequest(
  plan: CapacityPlan,
  { demand, tasks }: PendingDemand,
  missingCpus: number,
  onDemandAllowed: boolean,
): ProvisionRequest | null {
  const spotOptions = onDemandAllowed ? [true, false] : [true];
  let best: ProvisionRequest | null = null;
  let bestCost = Number.POSITIVE_INFINITY;
  for (const type of plan.snapshot.types.values()) {
    const taskCount = Math.min(countFitting(type, demand), tasks);
    if (taskCount === 0) continue;
    const taskCpus = countedCpus(demand);
    const usefulCpus = Math.min(taskCount * taskCpus, Math.max(missingCpus, taskCpus));
    for (const zone of type.zones) {
      for (const spot of spotOptions) {
        const request = { type: type.name, zone, spot, count: 1 };
        if (!allowsMachineKind(demand, request) || plan.snapshot.capacityExhausted(request)) continue;
        const cost = costOf(plan, request, type, usefulCpus);
        if (cost < bestCost) [best, bestCost] = [request, cost];
      }
    }
  }
  return best;
}

/** Price per useful CPU, including the surcharge for kinds that boot late. */
function costOf(
  { lateBootRatios, machinesByZone }: CapacityPlan,
  request: ProvisionRequest,
  type: MachineType,
  usefulCpus: number,
): number {
  const price = request.spot ? type.spotPrice : type.price;
  const adjustedPrice = price * (1 + LATE_BOOT_COST_RATIO * (lateBootRatios.get(kindKey(request)) ?? 0));
  return adjustedPrice / usefulCpus + (machinesByZone.get(request.zone) ?? 0) * ZONE_TIE_BREAK_COST;
}
