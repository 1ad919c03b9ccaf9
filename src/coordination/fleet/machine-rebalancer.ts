import { PRIORITIES } from '../../protocol/jobs';
import { DRAIN_TO_CLOUD } from '../../protocol/peers';
import { MIN_TRANSFER_INTERVAL_MS, type CapacityPlan } from './capacity-plan';
import { canRun } from './demand-matching';
import {
  completionSeconds,
  totalCpus,
  unmetDemands,
  type MachineCapacity,
  type PendingDemand,
  type PlannedPartition,
} from './planned-partition';

/** A recipient gets machines only if its work takes at least this many times as long as the donor's, and at least this long. */
const MIN_COMPLETION_TIME_RATIO = 1.3;
const MIN_COMPLETION_TIME_S = 8;
/** Draining leaves resources unused, so only machines whose last task ends soon are drained, and few at a time. */
const MAX_DRAIN_S = 20;
const MAX_DRAINING_CPU_RATIO = 0.04;
/** More may be drained at a time if the recipient needs more than this many times as long as the donor. */
const FAR_BEHIND_RATIO = 2;
const MAX_DRAINING_CPU_RATIO_FAR_BEHIND = 0.1;
/** A donor without unmet demand drains machines that hold up to this share of its free CPUs and empty within MAX_IDLE_DRAIN_S. */
const MAX_IDLE_TRANSFER_RATIO = 0.5;
const MAX_IDLE_DRAIN_S = 90;
/** This many machines may drain in any case, because in a small fleet the ratios amount to less than one machine. */
const MIN_DRAIN_COUNT = 4;

/** What a donor may still drain at a time. Another machine may be drained while any of the three is above 0. */
interface DrainBudget {
  cpus: number;
  machines: number;
  /** Free CPUs that a donor without unmet demand can do without. */
  freeCpus: number;
}

/**
 * Transfers machines from the partition that would complete its work first to the one that would complete it last. Each
 * priority is considered separately, the most urgent first, because low-priority work of one partition must not delay urgent
 * work of another.
 */
export function rebalanceMachines(plan: CapacityPlan): void {
  const rebalancer = new MachineRebalancer(plan);
  for (let priority = 0; priority < PRIORITIES.length; priority++) rebalancer.rebalance(priority);
}

class MachineRebalancer {
  /** CPUs of each partition once all transfers in progress and all decided transfers are complete. */
  private readonly cpusByPartition: Map<PlannedPartition, number>;
  /** Machines that must not be transferred in this round. */
  private readonly unavailable: Set<string>;

  constructor(private readonly plan: CapacityPlan) {
    this.cpusByPartition = new Map(plan.partitions.map((partition) => [partition, totalCpus(partition)]));
    this.addTransfersUnderWay();
    this.unavailable = plan.transferredMachines();
    for (const { id, sinceTransferMs } of plan.snapshot.machines)
      if (sinceTransferMs < MIN_TRANSFER_INTERVAL_MS) this.unavailable.add(id);
  }

  rebalance(priority: number): void {
    const recipient = this.chooseRecipient(priority);
    const donor = recipient && this.chooseDonor(recipient, priority);
    if (donor) this.transferMachines(donor, recipient, priority);
  }

  private addTransfersUnderWay(): void {
    const { snapshot, partitions, loadOf } = this.plan;
    for (const { id, type } of snapshot.machines) {
      const target = loadOf.get(id)?.transferTarget;
      const recipient = partitions.find(({ load }) => load.partition === target);
      const cpus = snapshot.types.get(type)?.cpus ?? 0;
      if (recipient) this.cpusByPartition.set(recipient, this.plannedCpus(recipient) + cpus);
    }
  }

  private plannedCpus(partition: PlannedPartition): number {
    return this.cpusByPartition.get(partition) ?? 0;
  }

  private completionS(partition: PlannedPartition, priority: number): number {
    return completionSeconds(partition, this.plannedCpus(partition), priority);
  }

  /** Of the partitions with unmet demand of this priority, the one that completes its work last. */
  private chooseRecipient(priority: number): PlannedPartition | undefined {
    const candidates = this.plan.partitions.filter((partition) =>
      unmetDemands(partition).some(({ demand }) => demand.priority === priority),
    );
    return candidates.sort((a, b) => this.completionS(b, priority) - this.completionS(a, priority))[0];
  }

  /**
   * The partition that completes its work first. A partition with unmet demand of higher priority is no donor: it would get
   * machines for that demand while it gives others away, and machines would be exchanged endlessly.
   */
  private chooseDonor(recipient: PlannedPartition, priority: number): PlannedPartition | undefined {
    const candidates = this.plan.partitions.filter(
      (partition) =>
        partition !== recipient && !unmetDemands(partition).some(({ demand }) => demand.priority < priority),
    );
    return candidates.sort((a, b) => this.completionS(a, priority) - this.completionS(b, priority))[0];
  }

  private transferMachines(donor: PlannedPartition, recipient: PlannedPartition, priority: number): void {
    const unmet = unmetDemands(recipient).filter(({ demand }) => demand.priority <= priority);
    // Work beyond the teams' limits is not part of the demand and cannot use more machines.
    let missingCpus = unmet.reduce((sum, { tasks, demand }) => sum + tasks * demand.cpus, 0);
    missingCpus -= this.plannedCpus(recipient) - totalCpus(recipient);
    const budget = this.drainBudget(donor, this.isFarBehind(recipient, donor, priority));
    for (const machine of this.transferCandidates(donor, unmet, budget)) {
      const { cpus } = machine.type;
      if (missingCpus <= 0 || !this.isWorthwhile(donor, recipient, priority)) break;
      const isBusy = this.plan.tasksOn(machine.id) > 0;
      if (isBusy && isSpent(budget)) break;
      if (this.wouldReverse(donor, recipient, cpus, priority)) continue;
      this.cpusByPartition.set(donor, this.plannedCpus(donor) - cpus);
      this.cpusByPartition.set(recipient, this.plannedCpus(recipient) + cpus);
      missingCpus -= cpus;
      if (isBusy) spend(budget, cpus, machine.free.cpus);
      this.unavailable.add(machine.id);
      this.plan.drain(machine.id, donor.load.partition, recipient.load.partition);
    }
  }

  private isFarBehind(recipient: PlannedPartition, donor: PlannedPartition, priority: number): boolean {
    return this.completionS(recipient, priority) > FAR_BEHIND_RATIO * this.completionS(donor, priority);
  }

  private isWorthwhile(donor: PlannedPartition, recipient: PlannedPartition, priority: number): boolean {
    const recipientS = this.completionS(recipient, priority);
    const donorS = this.completionS(donor, priority);
    return recipientS >= MIN_COMPLETION_TIME_S && recipientS >= MIN_COMPLETION_TIME_RATIO * donorS;
  }

  /** Whether a transfer of `cpus` would make the donor complete its work later than the recipient. */
  private wouldReverse(
    donor: PlannedPartition,
    recipient: PlannedPartition,
    cpus: number,
    priority: number,
  ): boolean {
    const donorS = completionSeconds(donor, this.plannedCpus(donor) - cpus, priority);
    const recipientS = completionSeconds(recipient, this.plannedCpus(recipient) + cpus, priority);
    return donorS > recipientS;
  }

  private drainBudget(donor: PlannedPartition, isFarBehind: boolean): DrainBudget {
    const freeCpus = donor.machines.reduce((sum, { free }) => sum + free.cpus, 0);
    const cpuRatio = isFarBehind ? MAX_DRAINING_CPU_RATIO_FAR_BEHIND : MAX_DRAINING_CPU_RATIO;
    const budget = {
      cpus: cpuRatio * totalCpus(donor),
      machines: MIN_DRAIN_COUNT,
      // By draining a machine, a donor without unmet demand loses no more than the machine's free CPUs.
      freeCpus: donor.hasUnmetDemand ? 0 : MAX_IDLE_TRANSFER_RATIO * freeCpus,
    };
    for (const load of donor.load.machines) {
      if (load.transferTarget === null) continue;
      const cpus = this.plan.typeOf(load.machine)?.cpus ?? 0;
      // The sum above lacks this machine's free CPUs: a share of them adds to the budget, and all of them are spent.
      spend(budget, cpus, (1 - MAX_IDLE_TRANSFER_RATIO) * load.freeCpus);
    }
    return budget;
  }

  /** Machines that the donor can give and the recipient can use, emptiest first, because an empty one transfers at once. */
  private transferCandidates(
    donor: PlannedPartition,
    unmet: readonly PendingDemand[],
    { freeCpus }: DrainBudget,
  ): MachineCapacity[] {
    const { loadOf } = this.plan;
    const maxDrainS = freeCpus > 0 ? MAX_IDLE_DRAIN_S : MAX_DRAIN_S;
    return donor.machines
      .filter(({ id }) => !this.unavailable.has(id) && loadOf.has(id))
      .filter((machine) => unmet.some(({ demand }) => canRun(demand, machine)))
      .filter(({ id }) => !loadOf.get(id)?.preemptionNotice && this.plan.emptyInS(id) < maxDrainS)
      .sort((a, b) => b.free.cpus / b.type.cpus - a.free.cpus / a.type.cpus);
  }
}

function isSpent({ cpus, machines, freeCpus }: DrainBudget): boolean {
  return cpus <= 0 && machines <= 0 && freeCpus <= 0;
}

function spend(budget: DrainBudget, cpus: number, freeCpus: number): void {
  budget.cpus -= cpus;
  budget.machines--;
  budget.freeCpus -= freeCpus;
}

/**
 * Revokes drains that later work has made useless. Demand that fits on other machines of the partition is no reason to revoke
 * one: tasks that the drain itself stopped are pending for a moment too, and would cause every drain to be revoked.
 */
export function revokeDrains(plan: CapacityPlan): void {
  const byPartition = new Map(plan.partitions.map((partition) => [partition.load.partition, partition]));
  for (const { id, partition } of plan.snapshot.machines) {
    const target = plan.loadOf.get(id)?.transferTarget;
    const donor = byPartition.get(partition);
    if (target === undefined || target === null || !donor) continue;
    const isStillUseful =
      target === DRAIN_TO_CLOUD ? !donor.hasUnmetDemand : isBehind(byPartition.get(target), donor);
    if (!isStillUseful) plan.drain(id, partition, partition);
  }
}

/** Whether the recipient still has unmet demand and would complete work of its priority later than the donor. */
function isBehind(recipient: PlannedPartition | undefined, donor: PlannedPartition): boolean {
  const unmet = recipient ? unmetDemands(recipient) : [];
  if (!recipient || unmet.length === 0) return false;
  const priority = Math.min(...unmet.map(({ demand }) => demand.priority));
  const recipientS = completionSeconds(recipient, totalCpus(recipient), priority);
  return recipientS > completionSeconds(donor, totalCpus(donor), priority);
}
