import { Subject } from 'rxjs';
import { type Change, type Entry } from '../protocol/store';
import { type Clock } from '../transport/clock';

interface Waiter {
  revision: number;
  resolve: () => void;
}

/** This controller's copy of every key in the state store, written by the replica feed. */
export class StoreReplica {
  /** Emits every change, in the order in which it is applied. */
  readonly changes = new Subject<Change>();
  /** Emits once the replica is a snapshot at one revision again, after one or more changes. */
  readonly snapshots = new Subject<void>();
  readonly entries = new Map<string, Entry>();
  revision = 0;
  /** Whether the replica is a snapshot of the store at `revision`. While it is filled, it is a mixture of revisions. */
  synced = false;
  /** Steady time in milliseconds: the replica certainly holds everything that was in the store at this moment. */
  freshAsOf = Number.NEGATIVE_INFINITY;
  /** Emits when a caller starts to wait for a revision. */
  readonly waiterAdded = new Subject<void>();
  private readonly waiters: Waiter[] = [];

  constructor(private readonly clock: Clock) {}

  /** The revision at which a key last changed; 0 if the replica does not hold it. */
  revisionOf(key: string): number {
    return this.entries.get(key)?.revision ?? 0;
  }

  get hasWaiters(): boolean {
    return this.waiters.length > 0;
  }

  /** Applies a change, unless the replica already holds the key at this revision or a later one. */
  apply(change: Change): void {
    const known = this.entries.get(change.key);
    if (known && known.revision >= change.revision) return;
    if ('deleted' in change) this.entries.delete(change.key);
    else {
      const { key, value, revision } = change;
      this.entries.set(key, { key, value, revision, leaseId: null });
    }
    this.changes.next(change);
  }

  /** Makes the replica equal to the entries read from the store, and publishes the differences as changes. */
  replaceAll(entries: ReadonlyMap<string, Entry>): void {
    for (const key of [...this.entries.keys()]) {
      if (!entries.has(key)) this.apply({ key, deleted: true, revision: Number.MAX_SAFE_INTEGER });
    }
    for (const entry of entries.values()) this.apply(entry);
  }

  /**
   * Records that the replica holds all changes up to `revision`, and everything that was in the store at `freshAsOf` (steady
   * time).
   */
  advance(revision: number, freshAsOf: number): void {
    this.revision = Math.max(this.revision, revision);
    this.markFresh(freshAsOf);
  }

  /** Records that the replica holds everything that was in the store at this steady time. */
  markFresh(at: number): void {
    this.freshAsOf = Math.max(this.freshAsOf, at);
  }

  /**
   * Publishes that the replica is a snapshot at its revision, and resolves the callers that wait for this revision or an
   * earlier one.
   */
  publishSnapshot(): void {
    this.synced = true;
    this.snapshots.next();
    for (const waiter of this.waiters.filter((w) => w.revision <= this.revision)) {
      this.waiters.splice(this.waiters.indexOf(waiter), 1);
      waiter.resolve();
    }
  }

  /** Resolves to true once the replica holds everything up to `revision`, or to false if that takes longer than `withinMs`. */
  whenCaughtUp(revision: number, withinMs: number): Promise<boolean> {
    if (this.synced && this.revision >= revision) return Promise.resolve(true);
    return new Promise((resolve) => {
      const waiter: Waiter = {
        revision,
        resolve: () => {
          cancelTimeout();
          resolve(true);
        },
      };
      const cancelTimeout = this.clock.schedule(Math.max(0, withinMs), () => {
        const index = this.waiters.indexOf(waiter);
        if (index >= 0) this.waiters.splice(index, 1);
        resolve(false);
      });
      this.waiters.push(waiter);
      this.waiterAdded.next();
    });
  }
}
