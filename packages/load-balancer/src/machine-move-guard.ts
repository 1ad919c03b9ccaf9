import { totalWork } from './load-model';
import { type LoadSummary, type SummaryStore } from './load-summary';
import { MoveBudget } from './move-budget';
import { type BalancerSettings } from './settings';

/** A machine that is proposed to change partitions. */
export interface MachineTransfer {
  machine: string;
  fromPartition: string;
  toPartition: string;
  /** It is in use and would be emptied first; false: it is empty, or boots. */
  drain: boolean;
}

/** What became of a proposal. */
export interface MachineTransferVerdict {
  allowed: boolean;
  reason:
    'allowed' | 'no fresh summary' | 'moved back too soon' | 'the difference is too small' | 'too many moves';
  /** Seconds in which each side would have done its work, with the trend; null: not reckoned. */
  fromS: number | null;
  toS: number | null;
}

/** A trend is followed for so long into the future. */
const TREND_PROJECTION_S = 30;

/** Seconds in which a partition would have done all of its work if the trend went on for a while. */
export function projectedCompletionS({ cpus, running, waiting, trendPerS }: LoadSummary): number {
  const work = totalWork(running) + totalWork(waiting) + trendPerS * TREND_PROJECTION_S;
  return Math.max(0, work) / Math.max(1, cpus);
}

/**
 * Checks moves of machines between partitions before they are ordered: from fresh summaries alone, with hysteresis, bounds and
 * a least stay. Proposals come from the planning of the fleet, which knows what waits and where it fits.
 */
export class MachineTransferGuard {
  private readonly budget: MoveBudget;
  private readonly lastTransfers = new Map<string, { from: string; at: number }>();
  readonly counters = { allowed: 0, refused: 0 };
  private readonly refusalCounts = new Map<MachineTransferVerdict['reason'], number>();

  constructor(
    private readonly settings: BalancerSettings,
    private readonly summaries: SummaryStore,
  ) {
    this.budget = new MoveBudget(settings);
  }

  /** Judges a proposal; `machines`: how many there are, `draining`: how many are being emptied for another partition. */
  review(move: MachineTransfer, now: number, machines: number, draining: number): MachineTransferVerdict {
    const verdict = this.verdict(move, now, machines, draining);
    if (!verdict.allowed) {
      this.counters.refused++;
      this.refusalCounts.set(verdict.reason, (this.refusalCounts.get(verdict.reason) ?? 0) + 1);
      return verdict;
    }
    this.counters.allowed++;
    this.lastTransfers.set(move.machine, { from: move.fromPartition, at: now });
    if (move.drain) this.budget.begin(move.machine, { kind: 'make-room', job: move.toPartition }, now);
    return verdict;
  }

  /** Refusals by reason. */
  refusalsByReason(): { reason: string; count: number }[] {
    return [...this.refusalCounts].map(([reason, count]) => ({ reason, count }));
  }

  /** Machines that are gone need not be remembered. */
  forget(isKnown: (machine: string) => boolean): void {
    for (const id of this.lastTransfers.keys()) if (!isKnown(id)) this.lastTransfers.delete(id);
  }

  private verdict(
    move: MachineTransfer,
    now: number,
    machines: number,
    draining: number,
  ): MachineTransferVerdict {
    const refused = (reason: MachineTransferVerdict['reason']): MachineTransferVerdict => ({
      ...{ allowed: false, reason, fromS: null, toS: null },
    });
    const last = this.lastTransfers.get(move.machine);
    const returns = last?.from === move.toPartition;
    if (returns && now - last.at < this.settings.min_residence_s * 1000)
      return refused('moved back too soon');
    // What is empty is nobody's loss: only going to and fro is checked.
    if (!move.drain) return { allowed: true, reason: 'allowed', fromS: null, toS: null };
    const from = this.summaries.fresh(move.fromPartition, now);
    const to = this.summaries.fresh(move.toPartition, now);
    if (!from || !to) return refused('no fresh summary');
    const [fromS, toS] = [projectedCompletionS(from), projectedCompletionS(to)];
    if (toS <= this.settings.hysteresis * fromS + this.settings.min_gain_s)
      return { allowed: false, reason: 'the difference is too small', fromS, toS };
    if (this.budget.remaining(now, machines, draining) === 0) return refused('too many moves');
    return { allowed: true, reason: 'allowed', fromS, toS };
  }
}
