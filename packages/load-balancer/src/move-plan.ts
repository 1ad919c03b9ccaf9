import { type MoveCost } from './move-cost';
import { type TaskSnapshot } from './partition-snapshot';

/** Why tasks are moved. */
export type MoveCause =
  /** To free resources for pending tasks of a job that fit on no machine. */
  | { kind: 'make-room'; job: string }
  /** To start tasks of a job sooner, on a machine that has their image. */
  | { kind: 'fetch'; job: string };

/** A cause as a key: nothing is moved twice for the same one. */
export function causeKey({ kind, job }: MoveCause): string {
  return `${kind}:${job}`;
}

/** One task to be moved. */
export interface PlannedMove {
  task: TaskSnapshot;
  source: string;
  /** Where resources are reserved for it; null: it is put back to wait like any other task of its job. */
  target: string | null;
  cost: MoveCost;
  costS: number;
}

/** Moves that are worth their cost together, and not one by one. */
export interface MovePlan {
  cause: MoveCause;
  /** The machine that is cleared for a task of the pending job; null: none is. */
  clearedMachine: string | null;
  moves: PlannedMove[];
  /** Seconds of waiting that they save, weighted by priority. */
  gainS: number;
  costS: number;
}

/** Why something was not moved; shown in `GET /status`. */
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

/** One of the reasons for which nothing was moved. */
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
