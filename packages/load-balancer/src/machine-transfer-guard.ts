import { totalWork } from './load-model';
import { type LoadSummary } from './load-summary';
import { MoveBudget } from './move-budget';
import { type BalancerSettings } from './settings';
import { type SummaryStore } from './summary-store';

/** A proposal to transfer a machine to another partition. */
export interface MachineTransfer {
  machine: string;
  fromPartition: string;
  toPartition: string;
  /** It is in use and would be emptied first; false: it is empty, or boots. */
  drain: boolean;
}

/** Why a transfer is allowed or refused; shown in `GET /status` and the log. */
export type TransferReason =
  'allowed' | 'no fresh summary' | 'moved back too soon' | 'the difference is too small' | 'too many moves';

/** What became of a proposal. */
export interface MachineTransferDecision {
  allowed: boolean;
  reason: TransferReason;
  /** Seconds in which each partition would complete its work, with its trend; null: not computed. */
  fromS: number | null;
  toS: number | null;
}

/** A trend is projected this far into the future. */
const TREND_PROJECTION_S = 30;

/** Seconds in which a partition would complete all of its work if its trend went on for a while. */
export function projectedCompletionS({ cpus, running, waiting, trendPerS }: LoadSummary): number {
  const work = totalWork(running) + totalWork(waiting) + trendPerS * TREND_PROJECTION_S;
  return Math.max(0, work) / Math.max(1, cpus);
}

/**
 * Reviews transfers of machines between partitions before they are ordered: by fresh summaries only, with hysteresis, bounds
 * and a least time of residence. Proposals come from capacity planning, which knows what is pending and where it fits.
 */
export class MachineTransferGuard {
  /** Shown in `GET /status`. */
  readonly counters = { allowed: 0, refused: 0 };
  private readonly budget: MoveBudget;
  private readonly lastTransfers = new Map<string, { from: string; at: number }>();
  private readonly refusalCounts = new Map<TransferReason, number>();

  constructor(
    private readonly settings: BalancerSettings,
    private readonly summaries: SummaryStore,
  ) {
    this.budget = new MoveBudget(settings);
  }

  /** Reviews one proposal in a fleet of `machines`, of which `draining` are being emptied for another partition. */
  review(
    transfer: MachineTransfer,
    now: number,
    machines: number,
    draining: number,
  ): MachineTransferDecision {
    const verdict = this.verdict(transfer, now, machines, draining);
    if (!verdict.allowed) {
      this.counters.refused++;
      this.refusalCounts.set(verdict.reason, (this.refusalCounts.get(verdict.reason) ?? 0) + 1);
      return verdict;
    }
    this.counters.allowed++;
    const { machine, fromPartition, toPartition, drain } = transfer;
    this.lastTransfers.set(machine, { from: fromPartition, at: now });
    if (drain) this.budget.begin(machine, { kind: 'make-room', job: toPartition }, now);
    return verdict;
  }

  /** Number of refusals by reason. */
  refusalsByReason(): { reason: string; count: number }[] {
    return [...this.refusalCounts].map(([reason, count]) => ({ reason, count }));
  }

  /** Forgets machines that are gone. */
  pruneMachines(isKnown: (machine: string) => boolean): void {
    for (const id of this.lastTransfers.keys()) if (!isKnown(id)) this.lastTransfers.delete(id);
  }

  private verdict(
    transfer: MachineTransfer,
    now: number,
    machines: number,
    draining: number,
  ): MachineTransferDecision {
    if (this.wouldReturn(transfer, now)) return refused('moved back too soon');
    // An empty machine costs nobody anything: only its going back and forth is checked.
    if (!transfer.drain) return { allowed: true, reason: 'allowed', fromS: null, toS: null };
    const from = this.summaries.fresh(transfer.fromPartition, now);
    const to = this.summaries.fresh(transfer.toPartition, now);
    if (!from || !to) return refused('no fresh summary');
    const fromS = projectedCompletionS(from);
    const toS = projectedCompletionS(to);
    if (toS <= this.settings.hysteresis * fromS + this.settings.min_gain_s)
      return { allowed: false, reason: 'the difference is too small', fromS, toS };
    if (this.budget.remaining(now, machines, draining) === 0) return refused('too many moves');
    return { allowed: true, reason: 'allowed', fromS, toS };
  }

  private wouldReturn({ machine, toPartition }: MachineTransfer, now: number): boolean {
    const last = this.lastTransfers.get(machine);
    return last?.from === toPartition && now - last.at < this.settings.min_residence_s * 1000;
  }
}

function refused(reason: TransferReason): MachineTransferDecision {
  return { allowed: false, reason, fromS: null, toS: null };
}
