import { sumOf } from './load-model';
import { type LoadSummary, type SummaryBoard } from './load-summary';
import { MoveBudget } from './move-budget';
import { type BalancerSettings } from './settings';

/** A machine that is proposed to change partitions. */
export interface MachineMove {
  machine: string;
  fromPartition: string;
  toPartition: string;
  /** It is in use and would be emptied first; false: it is empty, or boots. */
  drain: boolean;
}

/** What became of a proposal. */
export interface MachineMoveVerdict {
  allowed: boolean;
  reason:
    'allowed' | 'no fresh summary' | 'moved back too soon' | 'the difference is too small' | 'too many moves';
  /** Seconds in which each side would have done its work, with the trend; null: not reckoned. */
  fromS: number | null;
  toS: number | null;
}

/** A trend is followed for so long into the future. */
const LOOK_AHEAD_S = 30;

/** Seconds in which a partition would have done all of its work if the trend went on for a while. */
export function outlookS({ cpus, running, waiting, trendPerS }: LoadSummary): number {
  const work = sumOf(running) + sumOf(waiting) + trendPerS * LOOK_AHEAD_S;
  return Math.max(0, work) / Math.max(1, cpus);
}

/**
 * Checks moves of machines between partitions before they are ordered: from fresh summaries alone, with hysteresis, bounds and
 * a least stay. Proposals come from the planning of the fleet, which knows what waits and where it fits.
 */
export class MachineMoveGuard {
  private readonly budget: MoveBudget;
  private readonly lastMove = new Map<string, { from: string; at: number }>();
  readonly counters = { allowed: 0, refused: 0 };
  private readonly refusedFor = new Map<MachineMoveVerdict['reason'], number>();

  constructor(
    private readonly settings: BalancerSettings,
    private readonly board: SummaryBoard,
  ) {
    this.budget = new MoveBudget(settings);
  }

  /** Judges a proposal; `machines`: how many there are, `draining`: how many are being emptied for another partition. */
  judge(move: MachineMove, now: number, machines: number, draining: number): MachineMoveVerdict {
    const verdict = this.verdict(move, now, machines, draining);
    if (!verdict.allowed) {
      this.counters.refused++;
      this.refusedFor.set(verdict.reason, (this.refusedFor.get(verdict.reason) ?? 0) + 1);
      return verdict;
    }
    this.counters.allowed++;
    this.lastMove.set(move.machine, { from: move.fromPartition, at: now });
    if (move.drain) this.budget.begin(move.machine, { kind: 'make-room', job: move.toPartition }, now);
    return verdict;
  }

  /** Refusals by reason. */
  refusals(): { reason: string; count: number }[] {
    return [...this.refusedFor].map(([reason, count]) => ({ reason, count }));
  }

  /** Machines that are gone need not be remembered. */
  forget(isKnown: (machine: string) => boolean): void {
    for (const id of this.lastMove.keys()) if (!isKnown(id)) this.lastMove.delete(id);
  }

  private verdict(move: MachineMove, now: number, machines: number, draining: number): MachineMoveVerdict {
    const refused = (reason: MachineMoveVerdict['reason']): MachineMoveVerdict => ({
      ...{ allowed: false, reason, fromS: null, toS: null },
    });
    const last = this.lastMove.get(move.machine);
    const returns = last?.from === move.toPartition;
    if (returns && now - last.at < this.settings.min_residence_s * 1000)
      return refused('moved back too soon');
    // What is empty is nobody's loss: only going to and fro is checked.
    if (!move.drain) return { allowed: true, reason: 'allowed', fromS: null, toS: null };
    const from = this.board.fresh(move.fromPartition, now);
    const to = this.board.fresh(move.toPartition, now);
    if (!from || !to) return refused('no fresh summary');
    const [fromS, toS] = [outlookS(from), outlookS(to)];
    if (toS <= this.settings.hysteresis * fromS + this.settings.min_gain_s)
      return { allowed: false, reason: 'the difference is too small', fromS, toS };
    if (this.budget.left(now, machines, draining) === 0) return refused('too many moves');
    return { allowed: true, reason: 'allowed', fromS, toS };
  }
}
