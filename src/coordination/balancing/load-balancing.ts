import {
  MachineTransferGuard,
  SummaryStore,
  type BalancerSettings,
  type LoadSummary,
} from '@heathbridge/load-balancer';
import { type Clock } from '../../transport/clock';
import { DRAIN_TO_CLOUD } from '../../protocol/peers';
import { type Balancing } from './balancing';
import { type FleetBalancing, type FleetSize, type ReviewedActions } from '../fleet/fleet-balancing';
import { type PartitionBalancing } from '../partition/partition-balancing';
import { type FleetAction } from '../fleet/fleet-snapshot';
import { type PartitionCore } from '../partition/partition-core';
import { TaskMoves } from './task-moves';

/** Reviews what planning proposes by the partitions' own summaries. */
class MachineTransferReview implements FleetBalancing {
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
    let inProgress = draining;
    for (const action of actions) {
      if (!this.settings.machine_moves || !changesPartition(action)) {
        reviewed.actions.push(action);
        continue;
      }
      const { allowed, reason, fromS, toS } = this.guard.review(action, now, machines, inProgress);
      const { machine, fromPartition, toPartition, drain } = action;
      const line = { machine, fromPartition, toPartition, drain, reason, fromS, toS };
      (allowed ? reviewed.allowed : reviewed.rejected).push(line);
      if (!allowed) continue;
      reviewed.actions.push(action);
      if (drain) inProgress++;
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

/** Whether an action takes a machine to another partition; taking a drain back, or giving a machine back, does not. */
function changesPartition(action: FleetAction): action is Extract<FleetAction, { kind: 'transfer' }> {
  if (action.kind !== 'transfer') return false;
  return action.toPartition !== action.fromPartition && action.toPartition !== DRAIN_TO_CLOUD;
}

/** Moves of tasks within one partition, with its summary. */
class ObservedTaskMoves extends TaskMoves implements PartitionBalancing {
  summary(now: number): LoadSummary {
    this.refresh(now);
    return this.balancer.summary(now);
  }

  movesInProgress(): object[] {
    return this.balancer.tracker.movesInProgress.map(({ id, task, source, target, cause, state }) => ({
      ...{
        move: id,
        task: `${task.job}/${task.index}`,
        source,
        target,
        cause: `${cause.kind} ${cause.job}`,
        state,
      },
    }));
  }
}

/** Load balancing by the package of that name. */
export function loadBalancing(settings: BalancerSettings, clock: Clock): Balancing {
  return {
    forPartition: (core: PartitionCore) => new ObservedTaskMoves(core, settings, () => clock.steady()),
    fleet: new MachineTransferReview(settings),
  };
}
