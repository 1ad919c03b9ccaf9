import { RequestPriority } from '../../storage/request-queue';
import { type TransactionLimits } from '../../storage/transaction-size';
import { type TerminalState } from '../../protocol/records';
import { keys } from '../../protocol/keys';
import { jsonBytes } from '../../protocol/store';
import { type PartitionStore } from './partition-store';

const MAX_STATES_PER_WRITE = 30;
/** Once the JSON text of a stored value is longer than this, the next states are written to a new value. */
const MAX_VALUE_BYTES = 1500;
/** The share of the largest value beyond which states are written to a new value if the store's values are small. */
const MAX_VALUE_RATIO = 0.5;
/** Each state needs a condition, of which the store allows four for each operation; the rest is left for other conditions. */
const STATES_PER_OPERATION = 2;
const CATCH_UP_TIMEOUT_MS = 2000;

/** Writes the terminal states of jobs to the state store, one transaction at a time, until none is left. */
export class TerminalStateWriter {
  private writing = false;

  constructor(
    private readonly store: PartitionStore,
    /** Returns the terminal states that are not yet known to be in the state store, by job. */
    private readonly pending: () => ReadonlyMap<string, TerminalState>,
    private readonly limits: TransactionLimits,
  ) {}

  /** Starts to write the pending states, unless a write is in progress. */
  writePending(): void {
    if (this.pending().size > 0) void this.write();
  }

  private async write(): Promise<void> {
    if (this.writing || !this.store.isActive) return;
    this.writing = true;
    const states = this.statesThatFit();
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

  /** The first pending states that fit into one transaction, and into a value besides those that it may hold already. */
  private statesThatFit(): [string, TerminalState][] {
    const maxStates = Math.min(MAX_STATES_PER_WRITE, this.limits.txnOps * STATES_PER_OPERATION);
    let freeBytes = this.limits.valueBytes - this.maxExtendedBytes;
    const states: [string, TerminalState][] = [];
    for (const state of this.pending()) {
      freeBytes -= jsonBytes(state);
      if (states.length === maxStates || (states.length > 0 && freeBytes < 0)) break;
      states.push(state);
    }
    return states;
  }

  /** Size in bytes up to which a stored value is extended. */
  private get maxExtendedBytes(): number {
    return Math.min(MAX_VALUE_BYTES, this.limits.valueBytes * MAX_VALUE_RATIO);
  }

  /** The stored value to extend: the partition's last one, or a new one if that is full. */
  private targetValue(): { key: string; revision: number; value: object } {
    const { partition, replica, stateStore } = this.store;
    const lastIndex = replica.lastTerminalStatesIndex(partition);
    const key = keys.terminalStates(partition, lastIndex);
    const current = stateStore.replica.entries.get(key);
    if (current === undefined) return { key, revision: 0, value: {} };
    if (jsonBytes(current.value) > this.maxExtendedBytes)
      return { key: keys.terminalStates(partition, lastIndex + 1), revision: 0, value: {} };
    return { key, revision: current.revision, value: current.value as object };
  }
}
