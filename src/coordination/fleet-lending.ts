import { URGENCIES } from '../protocol/jobs';
import { LEAVES_FLEET } from '../protocol/peers';
import {
  cpusOf,
  STAYS_MS,
  suits,
  type FleetPlan,
  type PartitionView,
  type Supply,
  type Wait,
} from './fleet-plan';

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

/** What a donor may still drain at once: any one of the three that is left allows another machine. */
interface DrainBudget {
  cpus: number;
  machines: number;
  /** Free CPUs that a donor without waiting work can do without. */
  freeCpus: number;
}

/**
 * Lets the partition that would be done first empty machines for the one that would be done last. Each urgency is looked
 * at by itself, the more urgent first: one partition's idle work is no reason to let another's urgent work wait.
 */
export function lendMachines(plan: FleetPlan): void {
  const lending = new Lending(plan);
  for (let rank = 0; rank < URGENCIES.length; rank++) lending.lend(rank);
}

class Lending {
  /** CPUs of each partition once what is being emptied has changed hands. */
  private readonly cpus: Map<PartitionView, number>;
  private readonly taken: Set<string>;

  constructor(private readonly plan: FleetPlan) {
    const { picture, views, loadOf } = plan;
    this.cpus = new Map(views.map((view) => [view, cpusOf(view)]));
    for (const m of picture.machines) {
      const taker = views.find((v) => v.load.partition === loadOf.get(m.id)?.leavingTo);
      if (taker) this.cpus.set(taker, this.cpusNow(taker) + (picture.types.get(m.type)?.cpus ?? 0));
    }
    this.taken = plan.moved();
    for (const m of picture.machines) if (m.movedMs < STAYS_MS) this.taken.add(m.id);
  }

  private cpusNow(view: PartitionView): number {
    return this.cpus.get(view) ?? 0;
  }

  private doneInS(view: PartitionView, rank: number): number {
    return horizon(view, this.cpusNow(view), rank);
  }

  lend(rank: number): void {
    const { views } = this.plan;
    const waiting = views.filter((v) => v.waits.some((w) => w.tasks > 0 && w.demand.rank === rank));
    const taker = waiting.sort((a, b) => this.doneInS(b, rank) - this.doneInS(a, rank))[0];
    // Who has more urgent work without room lends nothing for less urgent work: while its machines went out for that,
    // as many came back for the other, twice a second, and the partition ended up with nearly none.
    const mayLend = views.filter(
      (v) => v !== taker && !v.waits.some((w) => w.tasks > 0 && w.demand.rank < rank),
    );
    const donor = mayLend.sort((a, b) => this.doneInS(a, rank) - this.doneInS(b, rank))[0];
    if (taker && donor) this.lendFrom(donor, taker, rank);
  }

  private lendFrom(donor: PartitionView, taker: PartitionView, rank: number): void {
    const unmet = taker.waits.filter((w) => w.tasks > 0 && w.demand.rank <= rank);
    let missing = unmet.reduce((sum, w) => sum + w.tasks * w.demand.cpus, 0);
    missing -= this.cpusNow(taker) - cpusOf(taker);
    const budget = this.budget(donor, this.doneInS(taker, rank) > FAR_BEHIND * this.doneInS(donor, rank));
    for (const supply of this.offers(donor, unmet, budget)) {
      const { cpus } = supply.type;
      const takerS = this.doneInS(taker, rank);
      // Work beyond the teams' limits cannot use more machines.
      if (missing <= 0 || takerS < LEND_FROM_S || takerS < LEND_RATIO * this.doneInS(donor, rank)) break;
      const busy = this.plan.tasksOn(supply.id) > 0;
      if (busy && budget.cpus <= 0 && budget.machines <= 0 && budget.freeCpus <= 0) break;
      const [has, gets] = [this.cpusNow(donor) - cpus, this.cpusNow(taker) + cpus];
      // It must not turn the two round.
      if (horizon(donor, has, rank) > horizon(taker, gets, rank)) continue;
      this.cpus.set(donor, has);
      this.cpus.set(taker, gets);
      missing -= cpus;
      if (busy) spend(budget, cpus, supply.free.cpus);
      this.taken.add(supply.id);
      this.plan.drain(supply.id, donor.load.partition, taker.load.partition);
    }
  }

  private budget(donor: PartitionView, farBehind: boolean): DrainBudget {
    const free = donor.supply.reduce((sum, s) => sum + s.free.cpus, 0);
    const budget = {
      cpus: (farBehind ? DRAIN_FAR_BEHIND : DRAIN_AT_ONCE) * cpusOf(donor),
      machines: FEW_DRAINED,
      // A donor that has room for all of its own loses by a drain no more than the room that is free on that machine.
      freeCpus: donor.short ? 0 : IDLE_LENT * free,
    };
    for (const m of donor.load.machines) {
      if (m.leavingTo === null) continue;
      spend(budget, this.plan.typeOf(m.machine)?.cpus ?? 0, (1 - IDLE_LENT) * m.freeCpus);
    }
    return budget;
  }

  /** Machines that the donor can give, emptiest first: what is free or still booting moves at once. */
  private offers(donor: PartitionView, unmet: readonly Wait[], { freeCpus }: DrainBudget): Supply[] {
    const { loadOf } = this.plan;
    const withinS = freeCpus > 0 ? DRAIN_IDLE_WITHIN_S : DRAIN_WITHIN_S;
    return donor.supply
      .filter((s) => !this.taken.has(s.id) && loadOf.has(s.id) && unmet.some((w) => suits(w.demand, s)))
      .filter((s) => !loadOf.get(s.id)?.noticed && this.plan.emptyInS(s.id) < withinS)
      .sort((a, b) => b.free.cpus / b.type.cpus - a.free.cpus / a.type.cpus);
  }
}

function spend(budget: DrainBudget, cpus: number, freeCpus: number): void {
  budget.cpus -= cpus;
  budget.machines--;
  budget.freeCpus -= freeCpus;
}

/**
 * Takes a draining back that the work since has made wrong. Waiting tasks that other machines have room for are no reason:
 * the tasks stopped on a draining machine wait themselves for a moment, and once had every drain of their partition taken
 * back.
 */
export function revokeDrains(plan: FleetPlan): void {
  const byPartition = new Map(plan.views.map((v) => [v.load.partition, v]));
  for (const { id, partition } of plan.picture.machines) {
    const to = plan.loadOf.get(id)?.leavingTo;
    const from = byPartition.get(partition);
    if (to === undefined || to === null || !from) continue;
    const wanted = to === LEAVES_FLEET ? !from.short : isBehind(byPartition.get(to), from);
    if (!wanted) plan.drain(id, partition, partition);
  }
}

/** Whether the taker still waits for machines, and would be done later than the donor. */
function isBehind(taker: PartitionView | undefined, donor: PartitionView): boolean {
  const waiting = taker?.waits.filter((w) => w.tasks > 0) ?? [];
  if (!taker || waiting.length === 0) return false;
  const rank = Math.min(...waiting.map((w) => w.demand.rank));
  return horizon(taker, cpusOf(taker), rank) > horizon(donor, cpusOf(donor), rank);
}

/** Seconds in which a partition would have done its work down to this urgency with these CPUs. */
function horizon({ load }: PartitionView, cpus: number, rank: number): number {
  let work = 0;
  for (let r = 0; r <= rank; r++) work += (load.workLeft[r] ?? 0) + (load.backlog[r] ?? 0);
  return work / Math.max(1, cpus);
}
