import { totalWork } from './load-model';
import { type LoadSummary } from './load-summary';
import { MoveBudget } from './move-budget';
import { type BalancerSettings } from './settings';
import { type SummaryStore } from './summary-store';

/** A proposed transfer of a machine to another partition. */
export interface MachineTransfer {
  machine: string;
  fromPartition: string;
  toPartition: string;
  /** Whether the machine is in use and would be drained first; false if it is empty or booting. */
  drain: boolean;
}

/** The reason for allowing or refusing a transfer, shown in `GET /status` and the log. */
export type TransferReason =
  'allowed' | 'no fresh summary' | 'moved back too soon' | 'the difference is too small' | 'too many moves';

/** The outcome of the review of a transfer. */
export interface MachineTransferDecision {
  allowed: boolean;
  reason: TransferReason;
  /**
   * Seconds in which each partition would complete its work, with its trend projected; null if the decision does not depend on
   * these times.
   */
  fromS: number | null;
  toS: number | null;
}

/** Time over which a trend is projected into the future. */
const TREND_PROJECTION_S = 30;

/** Seconds in which a partition would complete all of its work if its trend continued for TREND_PROJECTION_S. */
export function projectedCompletionS({ cpus, running, waiting, trendPerS }: LoadSummary): number {
  const work = totalWork(running) + totalWork(waiting) + trendPerS * TREND_PROJECTION_S;
  return Math.max(0, work) / Math.max(1, cpus);
}

/**
 * Reviews the transfers of machines between partitions that capacity planning proposes. Within the minimum residence time, no
 * machine returns to the partition that it left. A drain also needs fresh summaries of both partitions, a difference between
 * them that exceeds the hysteresis, and room within the limits on the number of moves.
 */
export class MachineTransferGuard {
  /** Shown in `GET /status`. */
  readonly counters = { allowed: 0, refused: 0 };
  private readonly budget: MoveBudget;
  /** Transfers within the minimum residence time, oldest first. */
  private readonly lastTransfers = new Map<string, { from: string; transferredAt: number }>();
  private readonly refusalCounts = new Map<TransferReason, number>();

  constructor(
    private readonly settings: BalancerSettings,
    private readonly summaries: SummaryStore,
  ) {
    this.budget = new MoveBudget(settings);
  }

  /** Reviews one transfer in a fleet of `machineCount` machines, `drainingCount` of them draining for another partition. */
  review(
    transfer: MachineTransfer,
    now: number,
    machineCount: number,
    drainingCount: number,
  ): MachineTransferDecision {
    this.dropEndedResidences(now);
    const decision = this.decide(transfer, now, machineCount, drainingCount);
    if (!decision.allowed) {
      this.counters.refused++;
      this.refusalCounts.set(decision.reason, (this.refusalCounts.get(decision.reason) ?? 0) + 1);
      return decision;
    }
    this.counters.allowed++;
    const { machine, fromPartition, toPartition, drain } = transfer;
    // Deleted first, so that the machine moves to the end of the map.
    this.lastTransfers.delete(machine);
    this.lastTransfers.set(machine, { from: fromPartition, transferredAt: now });
    // Recorded for the limit per minute only; the guard never looks up a cause.
    if (drain) this.budget.recordMove(machine, { kind: 'make-room', job: toPartition }, now);
    return decision;
  }

  /** Number of refusals by reason. */
  refusalsByReason(): { reason: string; count: number }[] {
    return [...this.refusalCounts].map(([reason, count]) => ({ reason, count }));
  }

  /** Number of transfers that are remembered. */
  get rememberedTransfers(): number {
    return this.lastTransfers.size;
  }

  /** Forgets the transfers that prevent no return any more. */
  private dropEndedResidences(now: number): void {
    for (const [machine, { transferredAt }] of this.lastTransfers) {
      if (now - transferredAt < this.settings.min_residence_s * 1000) return;
      this.lastTransfers.delete(machine);
    }
  }

  private decide(
    transfer: MachineTransfer,
    now: number,
    machineCount: number,
    drainingCount: number,
  ): MachineTransferDecision {
    if (this.returnsTooSoon(transfer)) return refusal('moved back too soon');
    // Moving an empty machine costs nothing, so it is only prevented from moving back and forth.
    if (!transfer.drain) return { allowed: true, reason: 'allowed', fromS: null, toS: null };
    const from = this.summaries.fresh(transfer.fromPartition, now);
    const to = this.summaries.fresh(transfer.toPartition, now);
    if (!from || !to) return refusal('no fresh summary');
    const fromS = projectedCompletionS(from);
    const toS = projectedCompletionS(to);
    if (toS <= this.settings.hysteresis * fromS + this.settings.min_gain_s)
      return { allowed: false, reason: 'the difference is too small', fromS, toS };
    if (this.budget.remainingMoves(now, machineCount, drainingCount) === 0) return refusal('too many moves');
    return { allowed: true, reason: 'allowed', fromS, toS };
  }

  private returnsTooSoon({ machine, toPartition }: MachineTransfer): boolean {
    const last = this.lastTransfers.get(machine);
    return last?.from === toPartition;
  }
}

function refusal(reason: TransferReason): MachineTransferDecision {
  return { allowed: false, reason, fromS: null, toS: null };
}
