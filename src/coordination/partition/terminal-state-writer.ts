import { RequestPriority } from '../../storage/request-queue';
import { type TerminalState } from '../../protocol/records';
import { keys } from '../../protocol/keys';
import { type PartitionStore } from './partition-store';

const MAX_STATES_PER_WRITE = 30;
/** Once the JSON text of a stored value is longer than this, the next states are written to a new value. */
const MAX_VALUE_BYTES = 1500;
const CATCH_UP_TIMEOUT_MS = 2000;

/** Writes the terminal states of jobs to the state store, one transaction at a time, until none is left. */
export class TerminalStateWriter {
  private writing = false;

  constructor(
    private readonly store: PartitionStore,
    /** Returns the terminal states that are not yet known to be in the state store, by job. */
    private readonly pending: () => ReadonlyMap<string, TerminalState>,
    /** Maximum number of operations in one transaction. */
    private readonly txnOps: number,
  ) {}

  /** Starts to write the pending states, unless a write is in progress. */
  writePending(): void {
    if (this.pending().size > 0) void this.write();
  }

  private async write(): Promise<void> {
    if (this.writing || !this.store.isActive) return;
    this.writing = true;
    const states = [...this.pending()].slice(0, Math.min(MAX_STATES_PER_WRITE, this.txnOps * 2));
    const { key, revision, value } = this.targetValue();
    // The state of a job that its user has cancelled in the meantime is not written, because the cancellation takes precedence.
    const notCancelled = states.map(([ref]) => ({ key: keys.cancellation(ref), revision: 0 }));
    const result = await this.store.transact(
      [{ key, revision }, ...notCancelled],
      [{ put: key, value: { ...value, ...Object.fromEntries(states) } }],
      RequestPriority.Decision,
    );
    // A conflicting change, like this write itself, is received through the watch. The next attempt is based on it.
    if (result.kind === 'applied')
      await this.store.stateStore.whenCaughtUp(result.revision, CATCH_UP_TIMEOUT_MS);
    else await this.store.waitToRetry();
    this.writing = false;
    this.writePending();
  }

  /** The stored value to extend: the partition's last one, or a new one if that is full. */
  private targetValue(): { key: string; revision: number; value: object } {
    const { partition, replica, stateStore } = this.store;
    const lastIndex = replica.lastTerminalStatesIndex(partition);
    const key = keys.terminalStates(partition, lastIndex);
    const current = stateStore.replica.entries.get(key);
    if (current === undefined) return { key, revision: 0, value: {} };
    if (JSON.stringify(current.value).length > MAX_VALUE_BYTES)
      return { key: keys.terminalStates(partition, lastIndex + 1), revision: 0, value: {} };
    return { key, revision: current.revision, value: current.value as object };
  }
}
