import {
  MachineTransferGuard,
  SummaryStore,
  type BalancerSettings,
  type LoadSummary,
} from '@heathbridge/load-balancer';
import { DRAIN_TO_CLOUD } from '../../protocol/peers';
import { type FleetAction } from '../fleet/fleet-snapshot';
import { type FleetBalancing, type FleetSize, type ReviewedActions } from '../fleet/fleet-balancing';

type TransferAction = Extract<FleetAction, { kind: 'transfer' }>;

/** Allows or rejects planned machine transfers, based on the load summaries that the partitions' owners send. */
export class MachineTransferReview implements FleetBalancing {
  private readonly summaries: SummaryStore;
  private readonly guard: MachineTransferGuard;

  constructor(private readonly settings: BalancerSettings) {
    this.summaries = new SummaryStore(settings.summary_max_age_s * 1000);
    this.guard = new MachineTransferGuard(settings, this.summaries);
  }

  recordSummary(summary: LoadSummary, now: number): void {
    this.summaries.record(summary, now);
  }

  countMalformed(): void {
    this.summaries.countMalformed();
  }

  review(actions: readonly FleetAction[], { machines, draining }: FleetSize, now: number): ReviewedActions {
    const reviewed: ReviewedActions = { actions: [], allowed: [], rejected: [] };
    let drainCount = draining;
    for (const action of actions) {
      if (!this.settings.machine_moves || !changesPartition(action)) {
        reviewed.actions.push(action);
        continue;
      }
      const { allowed, reason, fromS, toS } = this.guard.review(action, now, machines, drainCount);
      const { machine, fromPartition, toPartition, drain } = action;
      const logEntry = { machine, fromPartition, toPartition, drain, reason, fromS, toS };
      (allowed ? reviewed.allowed : reviewed.rejected).push(logEntry);
      if (!allowed) continue;
      reviewed.actions.push(action);
      if (drain) drainCount++;
    }
    return reviewed;
  }

  status(now: number): object {
    return {
      partitions: this.summaries.all(now),
      droppedSummaries: this.summaries.droppedByFault(),
      machineMoves: { ...this.guard.counters, refusals: this.guard.refusalsByReason() },
    };
  }
}

/** Whether an action transfers a machine to another partition. A revoked drain or a drain to the cloud does not. */
function changesPartition(action: FleetAction): action is TransferAction {
  if (action.kind !== 'transfer') return false;
  return action.toPartition !== action.fromPartition && action.toPartition !== DRAIN_TO_CLOUD;
}
