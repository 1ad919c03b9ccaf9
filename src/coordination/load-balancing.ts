import {
  MachineMoveGuard,
  SummaryBoard,
  type BalancerSettings,
  type LoadSummary,
} from '@heathbridge/load-balancer';
import { type Clock } from '../transport/clock';
import { LEAVES_FLEET } from '../protocol/peers';
import {
  type Balancing,
  type FleetBalancing,
  type FleetSize,
  type PartitionBalancing,
  type ReviewedActions,
} from './balancing';
import { type FleetAction } from './fleet-plan';
import { type PartitionCore } from './partition';
import { TaskMoves } from './task-moves';

/** Reviews what planning proposes by the partitions' own summaries. */
class FleetReview implements FleetBalancing {
  private readonly board: SummaryBoard;
  private readonly guard: MachineMoveGuard;

  constructor(private readonly settings: BalancerSettings) {
    this.board = new SummaryBoard(settings.summary_max_age_s * 1000);
    this.guard = new MachineMoveGuard(settings, this.board);
  }

  take(summary: LoadSummary, now: number): void {
    this.board.take(summary, now);
  }

  countMalformed(): void {
    this.board.countMalformed();
  }

  review(actions: readonly FleetAction[], { machines, draining }: FleetSize, now: number): ReviewedActions {
    const reviewed: ReviewedActions = { actions: [], allowed: [], refused: [] };
    let underWay = draining;
    for (const action of actions) {
      if (!this.settings.machine_moves || !changesPartition(action)) {
        reviewed.actions.push(action);
        continue;
      }
      const { allowed, reason, fromS, toS } = this.guard.judge(action, now, machines, underWay);
      const { machine, fromPartition, toPartition, drain } = action;
      const line = { machine, fromPartition, toPartition, drain, reason, fromS, toS };
      (allowed ? reviewed.allowed : reviewed.refused).push(line);
      if (!allowed) continue;
      reviewed.actions.push(action);
      if (drain) underWay++;
    }
    return reviewed;
  }

  status(now: number): object {
    return {
      partitions: this.board.all(now),
      droppedSummaries: this.board.dropped(),
      machineMoves: { ...this.guard.counters, refusals: this.guard.refusals() },
    };
  }
}

/** Whether an action takes a machine to another partition; taking a drain back, or giving a machine back, does not. */
function changesPartition(action: FleetAction): action is Extract<FleetAction, { kind: 'move' }> {
  if (action.kind !== 'move') return false;
  return action.toPartition !== action.fromPartition && action.toPartition !== LEAVES_FLEET;
}

/** Moves of tasks within one partition, with its summary. */
class PartitionMoves extends TaskMoves implements PartitionBalancing {
  summary(now: number): LoadSummary {
    this.refresh(now);
    return this.balancer.summary(now);
  }

  running(): object[] {
    return this.balancer.tracker.running.map(({ id, task, source, target, cause, state }) => ({
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
    forPartition: (core: PartitionCore) => new PartitionMoves(core, settings, () => clock.steady()),
    fleet: new FleetReview(settings),
  };
}
