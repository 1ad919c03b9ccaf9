import { type MoveCost } from './move-cost';
import { type TaskSnapshot } from './partition-snapshot';

/** The reason for moving tasks. */
export type MoveCause =
  /** To free resources for pending tasks of a job that fit on no machine. */
  | { kind: 'make-room'; job: string }
  /** To start tasks of a job sooner, on a machine that has their image. */
  | { kind: 'fetch'; job: string };

/** A cause as a string key. A task is not moved twice for the same cause while MoveBudget remembers its moves. */
export function causeKey({ kind, job }: MoveCause): string {
  return `${kind}:${job}`;
}

/** The planned move of one task. */
export interface PlannedMove {
  task: TaskSnapshot;
  source: string;
  /** Machine on which resources are reserved for the task; null if it is requeued like any other task of its job. */
  target: string | null;
  cost: MoveCost;
  costS: number;
}

/** Moves that are worth their cost together, but not one by one. */
export interface MovePlan {
  cause: MoveCause;
  /** The machine that is cleared for a task of the pending job; null if none is. */
  clearedMachine: string | null;
  moves: PlannedMove[];
  /** Seconds of waiting that the moves save, weighted by priority. */
  gainS: number;
  costS: number;
}

/** Reasons for not moving something, shown in `GET /status`. */
export const REFUSALS = [
  'costs more than it gains',
  'ends first',
  'no room elsewhere',
  'not allowed to stop it',
  'moved for this before',
  'too short on its machine',
  'pinned',
  'too many moves',
] as const;

/** A reason for not moving something. */
export type Refusal = (typeof REFUSALS)[number];

/** Counts refusals by reason. */
export class RefusalCounter {
  private readonly counts = new Map<Refusal, number>();

  count(reason: Refusal): void {
    this.counts.set(reason, (this.counts.get(reason) ?? 0) + 1);
  }

  byReason(): { reason: Refusal; count: number }[] {
    return [...this.counts].map(([reason, count]) => ({ reason, count }));
  }
}
