import { DRAIN_TO_CLOUD, type MachineLoad } from '../../protocol/peers';
import {
  drainsToCloud,
  type FleetMachine,
  type CapacityPlan,
  type PlannedPartition,
  type MachineCapacity,
} from './capacity-plan';

/** An idle machine is kept this long: work comes in waves, and a new one must boot and fetch first. */
const MAX_IDLE_MS = { spot: 18_000, onDemand: 6000 };
const MAX_IDLE_WITHOUT_SUBMISSIONS_MS = 4000;
/** Once no more jobs come, this many times the room that a machine's tasks take must be free elsewhere. */
const MIN_FREE_CAPACITY_RATIO = 1.5;
const NEARLY_EMPTY_RATIO = 0.7;
const MIN_REMAINING_RUN_S = 12;
/** Of a partition's machines in use, the share that is sent off at once. */
const MAX_SURPLUS_DRAIN_RATIO = 0.1;
/** A machine that boots for this many times what its type should, and a while more, never will. */
const MAX_BOOT_TIME_RATIO = 3;
const BOOT_TIME_MARGIN_MS = 15_000;
/** How long machines of an unknown type are given to boot. */
const DEFAULT_BOOT_S = 60;
/** A machine is charged for this long at least (PROTOCOL, "Controller nodes -> cloud"). */
const MIN_CHARGED_MS = 60_000;
const MAX_SILENT_MS = 30_000;
/** Leases of silent machines have surely run out this long after their time. */
const LEASE_MARGIN_MS = 5000;
/** Whether machine or job is at fault shows elsewhere within this time; meanwhile it gets nothing. */
const MAX_QUARANTINE_MS = 8000;

/** Returns machines that are of no use any more, whatever waits. */
export function scaleInBroken(plan: CapacityPlan): void {
  for (const m of plan.snapshot.machines) {
    const reason = m.deprovisioning ? null : brokenReason(m, plan);
    if (reason) plan.scaleIn(m, reason, true);
  }
}

function brokenReason(m: FleetMachine, { snapshot, loadOf }: CapacityPlan): string | null {
  if (m.failed) return 'failed';
  if (m.quarantinedMs > MAX_QUARANTINE_MS) return 'fails every task';
  const bootMs = (snapshot.types.get(m.type)?.bootS ?? DEFAULT_BOOT_S) * 1000;
  if (m.booting && m.ageMs > MAX_BOOT_TIME_RATIO * bootMs + BOOT_TIME_MARGIN_MS) return 'never came up';
  // Not the owner's word alone: one that fell silent while it changed owners has never been silent for the new one.
  const silentMs = Math.max(m.sinceHeartbeatMs, loadOf.get(m.id)?.sinceHeartbeatMs ?? 0);
  return silentMs > Math.max(MAX_SILENT_MS, snapshot.leaseMs + LEASE_MARGIN_MS) ? 'silent' : null;
}

/** What takes far longer to boot than it should is waited for only while there is work for it. */
export function scaleInLateBooting(plan: CapacityPlan): void {
  if (!plan.quiet || plan.partitions.some((v) => v.pendingDemands.length > 0)) return;
  for (const m of plan.snapshot.machines) {
    const known = m.id !== '' && !m.deprovisioning;
    if (known && plan.isLateBooting(m) && m.ageMs > MIN_CHARGED_MS) plan.scaleIn(m, 'boots too long', true);
  }
}

/** What is left of the pool was not needed for anything that waits. */
export function scaleInIdle(plan: CapacityPlan): void {
  const transferred = plan.transferredMachines();
  for (const empty of plan.emptyPool) {
    const load = plan.loadOf.get(empty.id);
    if (!load || load.sinceHeartbeatMs < 0 || transferred.has(empty.id)) continue;
    if (load.idleMs > maxIdleMs(empty, plan.quiet)) plan.scaleIn(empty, 'idle', false);
  }
}

function maxIdleMs({ spot }: MachineCapacity, quiet: boolean): number {
  if (quiet) return MAX_IDLE_WITHOUT_SUBMISSIONS_MS;
  return spot ? MAX_IDLE_MS.spot : MAX_IDLE_MS.onDemand;
}

/** Empties the dearest machines whose tasks the others of their partition have room for, while nothing waits. */
export function drainSurplus(plan: CapacityPlan): void {
  // What one partition can spare another may need, as soon as it can be emptied.
  if (plan.partitions.some((v) => v.hasUnmetDemand)) return;
  const transferred = plan.transferredMachines();
  for (const partition of plan.partitions)
    if (!isGrowing(plan, partition)) drainSurplusOf(plan, partition, transferred);
}

/** Machines are still to come. One that may never come up must not keep all others: for two minutes nothing was sent off. */
function isGrowing(plan: CapacityPlan, { load }: PlannedPartition): boolean {
  return plan.snapshot.machines.some(
    (m) => m.partition === load.partition && m.booting && !plan.isLateBooting(m),
  );
}

function drainSurplusOf(
  plan: CapacityPlan,
  partition: PlannedPartition,
  transferred: ReadonlySet<string>,
): void {
  const running = partition.machines.filter((s) => !transferred.has(s.id) && plan.tasksOn(s.id) > 0);
  let free =
    running.reduce((sum, s) => sum + s.free.cpus, 0) - drainingTaskCpus(plan, partition.load.machines);
  // While jobs still come only dear or nearly empty machines are worth the trouble; else more room is asked for than the
  // tasks take, for some of it is needed by what comes next.
  const freeCapacityRatio = plan.quiet ? MIN_FREE_CAPACITY_RATIO : 1;
  let left = plan.quiet ? Math.max(1, Math.ceil(running.length * MAX_SURPLUS_DRAIN_RATIO)) : 1;
  const mostExpensiveFirst = running.filter((s) => idleCost(s) > 0).sort((a, b) => idleCost(b) - idleCost(a));
  for (const s of mostExpensiveFirst) {
    const used = s.type.cpus - s.free.cpus;
    if (!plan.quiet && s.spot && s.free.cpus < NEARLY_EMPTY_RATIO * s.type.cpus) continue;
    if (free - s.free.cpus < freeCapacityRatio * used || plan.emptyInS(s.id) < MIN_REMAINING_RUN_S) continue;
    if (left-- <= 0) break;
    free -= s.free.cpus + used;
    plan.drain(s.id, partition.load.partition, DRAIN_TO_CLOUD);
  }
}

/** CPUs of tasks that were sent off before and have not settled elsewhere. */
function drainingTaskCpus(plan: CapacityPlan, machines: readonly MachineLoad[]): number {
  const leaving = machines.filter(drainsToCloud);
  return leaving.reduce((sum, m) => sum + (plan.typeOf(m.machine)?.cpus ?? 0) - m.freeCpus, 0);
}

/** What the free room of a machine costs. */
function idleCost({ spot, type, free }: MachineCapacity): number {
  return ((spot ? type.spotPrice : type.price) * free.cpus) / type.cpus;
}
