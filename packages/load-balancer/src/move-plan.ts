import { type MoveCost } from './move-cost';
import { type TaskSnapshot } from './partition-view';

/** Why tasks are moved. */
export type MoveCause =
  /** Room for waiting tasks of a job that fit nowhere as the room lies. */
  | { kind: 'make-room'; job: string }
  /** Its image would come sooner on a machine that has it. */
  | { kind: 'fetch'; job: string };

/** A cause as a key: for the same one nothing is moved twice. */
export function causeKey({ kind, job }: MoveCause): string {
  return `${kind}:${job}`;
}

/** One task to be moved. */
export interface PlannedMove {
  task: TaskSnapshot;
  source: string;
  /** Where it goes on at once; null: it waits for room like any other task of its job. */
  target: string | null;
  cost: MoveCost;
  costS: number;
}

/** Moves that are worth their cost together, and not alone. */
export interface MovePlan {
  cause: MoveCause;
  /** The machine that is cleared for a task of the waiting job; null: none is. */
  clearedMachine: string | null;
  moves: PlannedMove[];
  /** Seconds of waiting that they save. */
  gainS: number;
  costS: number;
}

/** Why something was not moved. */
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

  get total(): number {
    return [...this.counts.values()].reduce((sum, n) => sum + n, 0);
  }

  byReason(): { reason: Refusal; count: number }[] {
    return [...this.counts].map(([reason, count]) => ({ reason, count }));
  }
}
