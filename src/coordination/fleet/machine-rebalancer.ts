import { PRIORITIES } from '../../protocol/jobs';
import { DRAIN_TO_CLOUD } from '../../protocol/peers';
import {
  totalCpus,
  MIN_TRANSFER_INTERVAL_MS,
  canRun,
  type CapacityPlan,
  type PlannedPartition,
  type MachineCapacity,
  type PendingDemand,
} from './capacity-plan';

/** A partition gives a machine away while another would need this many times as long for its work. */
const MIN_COMPLETION_TIME_RATIO = 1.3;
const MIN_COMPLETION_TIME_S = 8;
/** Draining leaves room unused: it is worth it for machines whose last task ends soon, and for few at once. */
const MAX_DRAIN_S = 20;
const MAX_DRAINING_CPU_RATIO = 0.04;
/** More at once if the other partition would need this many times as long for work that is as urgent. */
const FAR_BEHIND_RATIO = 2;
const MAX_DRAINING_CPU_RATIO_FAR_BEHIND = 0.1;
/** A donor that has room for all of its own drains machines with up to this share of its free CPUs, however busy they are. */
const MAX_IDLE_TRANSFER_RATIO = 0.5;
const MAX_IDLE_DRAIN_S = 90;
/** So many in any case: of a small fleet a share is less than a machine. */
const MIN_DRAIN_COUNT = 4;

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
export function rebalanceMachines(plan: CapacityPlan): void {
  const lending = new MachineRebalancer(plan);
  for (let priority = 0; priority < PRIORITIES.length; priority++) lending.rebalance(priority);
}

class MachineRebalancer {
  /** CPUs of each partition once what is being emptied has changed hands. */
  private readonly cpusByPartition: Map<PlannedPartition, number>;
  private readonly unavailable: Set<string>;

  constructor(private readonly plan: CapacityPlan) {
    const { snapshot, partitions, loadOf } = plan;
    this.cpusByPartition = new Map(partitions.map((partition) => [partition, totalCpus(partition)]));
    for (const m of snapshot.machines) {
      const recipient = partitions.find((v) => v.load.partition === loadOf.get(m.id)?.transferTarget);
      if (recipient)
        this.cpusByPartition.set(
          recipient,
          this.plannedCpus(recipient) + (snapshot.types.get(m.type)?.cpus ?? 0),
        );
    }
    this.unavailable = plan.transferredMachines();
    for (const m of snapshot.machines)
      if (m.sinceTransferMs < MIN_TRANSFER_INTERVAL_MS) this.unavailable.add(m.id);
  }

  private plannedCpus(partition: PlannedPartition): number {
    return this.cpusByPartition.get(partition) ?? 0;
  }

  private completionS(partition: PlannedPartition, priority: number): number {
    return completionSeconds(partition, this.plannedCpus(partition), priority);
  }

  rebalance(priority: number): void {
    const { partitions } = this.plan;
    const withUnmetDemand = partitions.filter((v) =>
      v.pendingDemands.some((w) => w.tasks > 0 && w.demand.priority === priority),
    );
    const recipient = withUnmetDemand.sort(
      (a, b) => this.completionS(b, priority) - this.completionS(a, priority),
    )[0];
    // Who has more urgent work without room lends nothing for less urgent work: while its machines went out for that,
    // as many came back for the other, twice a second, and the partition ended up with nearly none.
    const possibleDonors = partitions.filter(
      (v) => v !== recipient && !v.pendingDemands.some((w) => w.tasks > 0 && w.demand.priority < priority),
    );
    const donor = possibleDonors.sort(
      (a, b) => this.completionS(a, priority) - this.completionS(b, priority),
    )[0];
    if (recipient && donor) this.transferMachines(donor, recipient, priority);
  }

  private transferMachines(donor: PlannedPartition, recipient: PlannedPartition, priority: number): void {
    const unmet = recipient.pendingDemands.filter((w) => w.tasks > 0 && w.demand.priority <= priority);
    let missingCpus = unmet.reduce((sum, w) => sum + w.tasks * w.demand.cpus, 0);
    missingCpus -= this.plannedCpus(recipient) - totalCpus(recipient);
    const budget = this.drainBudget(
      donor,
      this.completionS(recipient, priority) > FAR_BEHIND_RATIO * this.completionS(donor, priority),
    );
    for (const machine of this.transferCandidates(donor, unmet, budget)) {
      const { cpus } = machine.type;
      const recipientS = this.completionS(recipient, priority);
      // Work beyond the teams' limits cannot use more machines.
      if (
        missingCpus <= 0 ||
        recipientS < MIN_COMPLETION_TIME_S ||
        recipientS < MIN_COMPLETION_TIME_RATIO * this.completionS(donor, priority)
      )
        break;
      const busy = this.plan.tasksOn(machine.id) > 0;
      if (busy && budget.cpus <= 0 && budget.machines <= 0 && budget.freeCpus <= 0) break;
      const [donorCpus, recipientCpus] = [this.plannedCpus(donor) - cpus, this.plannedCpus(recipient) + cpus];
      // It must not turn the two round.
      if (
        completionSeconds(donor, donorCpus, priority) > completionSeconds(recipient, recipientCpus, priority)
      )
        continue;
      this.cpusByPartition.set(donor, donorCpus);
      this.cpusByPartition.set(recipient, recipientCpus);
      missingCpus -= cpus;
      if (busy) spend(budget, cpus, machine.free.cpus);
      this.unavailable.add(machine.id);
      this.plan.drain(machine.id, donor.load.partition, recipient.load.partition);
    }
  }

  private drainBudget(donor: PlannedPartition, farBehind: boolean): DrainBudget {
    const free = donor.machines.reduce((sum, s) => sum + s.free.cpus, 0);
    const budget = {
      cpus: (farBehind ? MAX_DRAINING_CPU_RATIO_FAR_BEHIND : MAX_DRAINING_CPU_RATIO) * totalCpus(donor),
      machines: MIN_DRAIN_COUNT,
      // A donor that has room for all of its own loses by a drain no more than the room that is free on that machine.
      freeCpus: donor.hasUnmetDemand ? 0 : MAX_IDLE_TRANSFER_RATIO * free,
    };
    for (const m of donor.load.machines) {
      if (m.transferTarget === null) continue;
      spend(budget, this.plan.typeOf(m.machine)?.cpus ?? 0, (1 - MAX_IDLE_TRANSFER_RATIO) * m.freeCpus);
    }
    return budget;
  }

  /** Machines that the donor can give, emptiest first: what is free or still booting moves at once. */
  private transferCandidates(
    donor: PlannedPartition,
    unmet: readonly PendingDemand[],
    { freeCpus }: DrainBudget,
  ): MachineCapacity[] {
    const { loadOf } = this.plan;
    const withinS = freeCpus > 0 ? MAX_IDLE_DRAIN_S : MAX_DRAIN_S;
    return donor.machines
      .filter(
        (s) => !this.unavailable.has(s.id) && loadOf.has(s.id) && unmet.some((w) => canRun(w.demand, s)),
      )
      .filter((s) => !loadOf.get(s.id)?.preemptionNotice && this.plan.emptyInS(s.id) < withinS)
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
export function revokeDrains(plan: CapacityPlan): void {
  const byPartition = new Map(plan.partitions.map((v) => [v.load.partition, v]));
  for (const { id, partition } of plan.snapshot.machines) {
    const to = plan.loadOf.get(id)?.transferTarget;
    const from = byPartition.get(partition);
    if (to === undefined || to === null || !from) continue;
    const wanted = to === DRAIN_TO_CLOUD ? !from.hasUnmetDemand : isBehind(byPartition.get(to), from);
    if (!wanted) plan.drain(id, partition, partition);
  }
}

/** Whether the taker still waits for machines, and would be done later than the donor. */
function isBehind(recipient: PlannedPartition | undefined, donor: PlannedPartition): boolean {
  const unmet = recipient?.pendingDemands.filter((w) => w.tasks > 0) ?? [];
  if (!recipient || unmet.length === 0) return false;
  const priority = Math.min(...unmet.map((w) => w.demand.priority));
  return (
    completionSeconds(recipient, totalCpus(recipient), priority) >
    completionSeconds(donor, totalCpus(donor), priority)
  );
}

/** Seconds in which a partition would have done its work down to this urgency with these CPUs. */
function completionSeconds({ load }: PlannedPartition, cpus: number, priority: number): number {
  let work = 0;
  for (let r = 0; r <= priority; r++) work += (load.remainingWork[r] ?? 0) + (load.backlog[r] ?? 0);
  return work / Math.max(1, cpus);
}
