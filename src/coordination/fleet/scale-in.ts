import { DRAIN_TO_CLOUD, type MachineLoad } from '../../protocol/peers';
import { drainsToCloud, type CapacityPlan } from './capacity-plan';
import { type FleetMachine } from './fleet-snapshot';
import { type MachineCapacity, type PlannedPartition } from './planned-partition';

/** An idle machine is kept this long, because demand varies and a new machine must boot and fetch images first. */
const MAX_IDLE_MS = { spot: 18_000, onDemand: 6000 };
const MAX_IDLE_WITHOUT_SUBMISSIONS_MS = 4000;
/** Without submissions, other machines must have this many times the CPUs free that a surplus machine's tasks use. */
const MIN_FREE_CAPACITY_RATIO = 1.5;
/** A spot machine with at least this share of its CPUs free counts as nearly empty. */
const NEARLY_EMPTY_RATIO = 0.7;
/** A machine that will be empty sooner than this is not drained. */
const MIN_REMAINING_RUN_S = 12;
/** Without submissions, the share of a partition's machines with tasks that may be drained in one round. */
const MAX_SURPLUS_DRAIN_RATIO = 0.1;
/** A machine that boots for longer than this many times the boot time of its type, plus the margin, is given up. */
const MAX_BOOT_TIME_RATIO = 3;
const BOOT_TIME_MARGIN_MS = 15_000;
/** Assumed boot time of machines of an unknown type. */
const DEFAULT_BOOT_S = 60;
/** The cloud charges for a machine for at least this long (PROTOCOL, "Controller nodes -> cloud"). */
const MIN_CHARGED_MS = 60_000;
/** A machine that is silent for longer than this is returned to the cloud, unless the leases of its tasks may still be valid. */
const MAX_SILENT_MS = 30_000;
/** The leases of a silent machine's tasks have certainly expired this long after the lease time. */
const LEASE_MARGIN_MS = 5000;
/** Within this time, runs on other machines show whether a quarantined machine or a job is at fault. */
const MAX_QUARANTINE_MS = 8000;
/** The last machine of its kind is kept for this long after its first quarantine, so that it can recover. */
const MAX_FAILING_MS = 90_000;

/** Scales in unusable machines, whatever the demand. */
export function scaleInUnhealthy(plan: CapacityPlan): void {
  const kept = machinesToRecover(plan);
  for (const machine of plan.snapshot.machines) {
    const reason = machine.deprovisioning ? null : unhealthyReason(machine, plan, kept);
    if (reason) plan.scaleIn(machine, reason, true);
  }
}

function unhealthyReason(
  machine: FleetMachine,
  plan: CapacityPlan,
  kept: ReadonlySet<FleetMachine>,
): string | null {
  if (machine.failed) return 'failed';
  if (failsEveryTask(machine) && !kept.has(machine)) return 'fails every task';
  if (machine.booting && machine.ageMs > maxBootMs(machine, plan)) return 'never came up';
  return silentMs(machine, plan) > maxSilentMs(plan) ? 'silent' : null;
}

function failsEveryTask({ quarantinedMs }: FleetMachine): boolean {
  return quarantinedMs > MAX_QUARANTINE_MS;
}

/**
 * The failing machines that are kept for now: the cloud has no other of their kind, and their partition has none of their type in their
 * zone that is not quarantined.
 */
function machinesToRecover({ snapshot, loadOf }: CapacityPlan): ReadonlySet<FleetMachine> {
  const failing = snapshot.machines.filter(
    (machine) =>
      failsEveryTask(machine) && machine.failingMs <= MAX_FAILING_MS && snapshot.capacityRefused(machine),
  );
  if (failing.length === 0) return new Set();
  const others = snapshot.machines.filter(
    ({ id, deprovisioning }) => !deprovisioning && loadOf.get(id)?.quarantined !== true,
  );
  const replaceable = new Set(others.map(replacementKey));
  return new Set(failing.filter((machine) => !replaceable.has(replacementKey(machine))));
}

/** Equal for machines that can take each other's tasks in any case, except those that allow no spot machine. */
function replacementKey({ partition, type, zone }: FleetMachine): string {
  return JSON.stringify([partition, type, zone]);
}

function maxBootMs({ type }: FleetMachine, { snapshot }: CapacityPlan): number {
  const bootS = snapshot.types.get(type)?.bootS ?? DEFAULT_BOOT_S;
  return MAX_BOOT_TIME_RATIO * bootS * 1000 + BOOT_TIME_MARGIN_MS;
}

/**
 * Time since the last heartbeat that any owner received, or that the present owner received if that is longer ago. The present
 * owner's value alone does not suffice: if a machine fell silent during a handover, its new owner has never received a heartbeat
 * from it and reports -1.
 */
function silentMs({ id, sinceHeartbeatMs }: FleetMachine, { loadOf }: CapacityPlan): number {
  return Math.max(sinceHeartbeatMs, loadOf.get(id)?.sinceHeartbeatMs ?? 0);
}

function maxSilentMs({ snapshot }: CapacityPlan): number {
  return Math.max(MAX_SILENT_MS, snapshot.leaseMs + LEASE_MARGIN_MS);
}

/** Scales in machines that boot late, once no partition has recent submissions or any demand. */
export function scaleInLateBooting(plan: CapacityPlan): void {
  if (!plan.noRecentSubmissions || plan.partitions.some(({ pendingDemands }) => pendingDemands.length > 0))
    return;
  for (const machine of plan.snapshot.machines) {
    if (machine.id === '' || machine.deprovisioning || machine.ageMs <= MIN_CHARGED_MS) continue;
    if (plan.isLateBooting(machine)) plan.scaleIn(machine, 'boots too long', true);
  }
}

/** Scales in idle machines that no demand of this round has needed. */
export function scaleInIdle(plan: CapacityPlan): void {
  const transferred = plan.transferredMachines();
  for (const machine of plan.emptyPool) {
    const load = plan.loadOf.get(machine.id);
    if (!load || load.sinceHeartbeatMs < 0 || transferred.has(machine.id)) continue;
    if (load.idleMs > maxIdleMs(machine, plan.noRecentSubmissions)) plan.scaleIn(machine, 'idle', false);
  }
}

function maxIdleMs({ spot }: MachineCapacity, noRecentSubmissions: boolean): number {
  if (noRecentSubmissions) return MAX_IDLE_WITHOUT_SUBMISSIONS_MS;
  return spot ? MAX_IDLE_MS.spot : MAX_IDLE_MS.onDemand;
}

/** Drains the most expensive machines whose tasks fit on others of their partition, while no partition has unmet demand. */
export function drainSurplus(plan: CapacityPlan): void {
  // Rebalancing transfers the surplus of one partition to another with unmet demand.
  if (plan.partitions.some(({ hasUnmetDemand }) => hasUnmetDemand)) return;
  const transferred = plan.transferredMachines();
  for (const partition of plan.partitions)
    if (!isGrowing(plan, partition)) drainSurplusOf(plan, partition, transferred);
}

/** Whether machines of the partition are about to come up. Those that boot late do not count, because some never come up. */
function isGrowing(plan: CapacityPlan, { load }: PlannedPartition): boolean {
  return plan.snapshot.machines.some(
    (machine) => machine.partition === load.partition && machine.booting && !plan.isLateBooting(machine),
  );
}

function drainSurplusOf(
  plan: CapacityPlan,
  { machines, load }: PlannedPartition,
  transferred: ReadonlySet<string>,
): void {
  const running = machines.filter(({ id }) => !transferred.has(id) && plan.tasksOn(id) > 0);
  let freeCpus =
    running.reduce((sum, { free }) => sum + free.cpus, 0) - drainingTaskCpus(plan, load.machines);
  // Without submissions, more CPUs than the tasks use must be free, because tasks that are restarted next need some of them.
  const minFreeRatio = plan.noRecentSubmissions ? MIN_FREE_CAPACITY_RATIO : 1;
  let drainsLeft = plan.noRecentSubmissions
    ? Math.max(1, Math.ceil(running.length * MAX_SURPLUS_DRAIN_RATIO))
    : 1;
  for (const machine of mostExpensiveFirst(running)) {
    const usedCpus = machine.type.cpus - machine.free.cpus;
    // While jobs are still submitted, only on-demand machines and nearly empty machines are worth draining.
    if (!plan.noRecentSubmissions && machine.spot && !isNearlyEmpty(machine)) continue;
    if (freeCpus - machine.free.cpus < minFreeRatio * usedCpus) continue;
    if (plan.emptyInS(machine.id) < MIN_REMAINING_RUN_S) continue;
    if (drainsLeft-- <= 0) break;
    freeCpus -= machine.free.cpus + usedCpus;
    plan.drain(machine.id, load.partition, DRAIN_TO_CLOUD);
  }
}

/** CPUs in use on machines that are being drained to the cloud. Tasks that a drain stops need them on other machines. */
function drainingTaskCpus(plan: CapacityPlan, machines: readonly MachineLoad[]): number {
  const draining = machines.filter(drainsToCloud);
  return draining.reduce((sum, load) => sum + (plan.typeOf(load.machine)?.cpus ?? 0) - load.freeCpus, 0);
}

function isNearlyEmpty({ free, type }: MachineCapacity): boolean {
  return free.cpus >= NEARLY_EMPTY_RATIO * type.cpus;
}

/** Machines with free CPUs, in descending order of the price of these CPUs. */
function mostExpensiveFirst(machines: readonly MachineCapacity[]): MachineCapacity[] {
  return machines.filter((machine) => idleCost(machine) > 0).sort((a, b) => idleCost(b) - idleCost(a));
}

function idleCost({ spot, type, free }: MachineCapacity): number {
  const price = spot ? type.spotPrice : type.price;
  return (price * free.cpus) / type.cpus;
}
