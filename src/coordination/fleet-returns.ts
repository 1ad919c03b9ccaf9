import { LEAVES_FLEET, type MachineLoad } from '../protocol/peers';
import {
  leavesFleet,
  type FleetMachine,
  type FleetPlan,
  type PartitionView,
  type Supply,
} from './fleet-plan';

/** An idle machine is kept this long: work comes in waves, and a new one must boot and fetch first. */
const KEEP_IDLE_MS = { spot: 18_000, ordinary: 6000 };
const KEEP_QUIET_MS = 4000;
/** Once no more jobs come, this many times the room that a machine's tasks take must be free elsewhere. */
const SPARE_ROOM = 1.5;
const NEARLY_EMPTY = 0.7;
const SPARE_FROM_S = 12;
/** Of a partition's machines in use, the share that is sent off at once. */
const SPARE_AT_ONCE = 0.1;
/** A machine that boots for this many times what its type should, and a while more, never will. */
const NEVER_BOOTS = 3;
const NEVER_BOOTS_MS = 15_000;
/** How long machines of an unknown type are given to boot. */
const UNKNOWN_BOOT_S = 60;
/** A machine is charged for this long at least (PROTOCOL, "Controller nodes -> cloud"). */
const LEAST_CHARGED_MS = 60_000;
const SILENT_MS = 30_000;
/** Leases of silent machines have surely run out this long after their time. */
const LEASE_MARGIN_MS = 5000;
/** Whether machine or job is at fault shows elsewhere within this time; meanwhile it gets nothing. */
const SURELY_FAULTY_MS = 8000;

/** Returns machines that are of no use any more, whatever waits. */
export function returnBroken(plan: FleetPlan): void {
  for (const m of plan.picture.machines) {
    const why = m.returning ? null : whyBroken(m, plan);
    if (why) plan.retire(m, why, true);
  }
}

function whyBroken(m: FleetMachine, { picture, loadOf }: FleetPlan): string | null {
  if (m.failed) return 'failed';
  if (m.faultyMs > SURELY_FAULTY_MS) return 'fails every task';
  const bootMs = (picture.types.get(m.type)?.bootS ?? UNKNOWN_BOOT_S) * 1000;
  if (m.booting && m.ageMs > NEVER_BOOTS * bootMs + NEVER_BOOTS_MS) return 'never came up';
  // Not the owner's word alone: one that fell silent while it changed owners has never been silent for the new one.
  const silentMs = Math.max(m.unheardMs, loadOf.get(m.id)?.silentMs ?? 0);
  return silentMs > Math.max(SILENT_MS, picture.leaseMs + LEASE_MARGIN_MS) ? 'silent' : null;
}

/** What takes far longer to boot than it should is waited for only while there is work for it. */
export function returnLate(plan: FleetPlan): void {
  if (!plan.quiet || plan.views.some((v) => v.waits.length > 0)) return;
  for (const m of plan.picture.machines) {
    const known = m.id !== '' && !m.returning;
    if (known && plan.isLate(m) && m.ageMs > LEAST_CHARGED_MS) plan.retire(m, 'boots too long', true);
  }
}

/** What is left of the pool was not needed for anything that waits. */
export function returnIdle(plan: FleetPlan): void {
  const moved = plan.moved();
  for (const empty of plan.pool) {
    const load = plan.loadOf.get(empty.id);
    if (!load || load.silentMs < 0 || moved.has(empty.id)) continue;
    if (load.idleMs > keptMs(empty, plan.quiet)) plan.retire(empty, 'idle', false);
  }
}

function keptMs({ spot }: Supply, quiet: boolean): number {
  if (quiet) return KEEP_QUIET_MS;
  return spot ? KEEP_IDLE_MS.spot : KEEP_IDLE_MS.ordinary;
}

/** Empties the dearest machines whose tasks the others of their partition have room for, while nothing waits. */
export function spareMachines(plan: FleetPlan): void {
  // What one partition can spare another may need, as soon as it can be emptied.
  if (plan.views.some((v) => v.short)) return;
  const moved = plan.moved();
  for (const view of plan.views) if (!isGrowing(plan, view)) spareIn(plan, view, moved);
}

/** Machines are still to come. One that may never come up must not keep all others: for two minutes nothing was sent off. */
function isGrowing(plan: FleetPlan, { load }: PartitionView): boolean {
  return plan.picture.machines.some((m) => m.partition === load.partition && m.booting && !plan.isLate(m));
}

function spareIn(plan: FleetPlan, view: PartitionView, moved: ReadonlySet<string>): void {
  const running = view.supply.filter((s) => !moved.has(s.id) && plan.tasksOn(s.id) > 0);
  let free = running.reduce((sum, s) => sum + s.free.cpus, 0) - unsettled(plan, view.load.machines);
  // While jobs still come only dear or nearly empty machines are worth the trouble; else more room is asked for than the
  // tasks take, for some of it is needed by what comes next.
  const room = plan.quiet ? SPARE_ROOM : 1;
  let left = plan.quiet ? Math.max(1, Math.ceil(running.length * SPARE_AT_ONCE)) : 1;
  const dearestFirst = running.filter((s) => idleCost(s) > 0).sort((a, b) => idleCost(b) - idleCost(a));
  for (const s of dearestFirst) {
    const used = s.type.cpus - s.free.cpus;
    if (!plan.quiet && s.spot && s.free.cpus < NEARLY_EMPTY * s.type.cpus) continue;
    if (free - s.free.cpus < room * used || plan.emptyInS(s.id) < SPARE_FROM_S) continue;
    if (left-- <= 0) break;
    free -= s.free.cpus + used;
    plan.drain(s.id, view.load.partition, LEAVES_FLEET);
  }
}

/** CPUs of tasks that were sent off before and have not settled elsewhere. */
function unsettled(plan: FleetPlan, machines: readonly MachineLoad[]): number {
  const leaving = machines.filter(leavesFleet);
  return leaving.reduce((sum, m) => sum + (plan.typeOf(m.machine)?.cpus ?? 0) - m.freeCpus, 0);
}

/** What the free room of a machine costs. */
function idleCost({ spot, type, free }: Supply): number {
  return ((spot ? type.spotPrice : type.price) * free.cpus) / type.cpus;
}
