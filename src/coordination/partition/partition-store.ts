import { sleep, type Clock } from '../../transport/clock';
import { type ReplicaView } from '../../storage/replica-view';
import { type StateStoreClient, type TransactionResult } from '../../storage/state-store-client';
import { type RequestPriority } from '../../storage/request-queue';
import { keys } from '../../protocol/keys';
import { type Condition, type Write } from '../../protocol/store';

/** Delay before a transaction is attempted again. */
const RETRY_INTERVAL_MS = 150;

export interface PartitionStoreOptions {
  partition: string;
  /** Epoch of the partition's record. */
  epoch: number;
  stateStore: StateStoreClient;
  replica: ReplicaView;
  clock: Clock;
  /** Whether this controller may act for the partition now. */
  isActive: () => boolean;
}

/** Gives the owner of one partition write access to the state store. Each transaction is conditional on the partition's epoch. */
export class PartitionStore {
  readonly partition: string;
  readonly epoch: number;
  readonly stateStore: StateStoreClient;
  readonly replica: ReplicaView;

  constructor(private readonly options: PartitionStoreOptions) {
    this.partition = options.partition;
    this.epoch = options.epoch;
    this.stateStore = options.stateStore;
    this.replica = options.replica;
  }

  /** Whether this controller may act for the partition now. */
  get isActive(): boolean {
    return this.options.isActive();
  }

  /** Condition that holds as long as the partition's record is unchanged, so that no other owner has taken the partition over. */
  get epochCondition(): Condition {
    return { key: keys.partition(this.partition), revision: this.epoch };
  }

  /** Runs a transaction, which ends in a conflict once another owner has taken the partition over. */
  transact(
    conditions: readonly Condition[],
    writes: Write[],
    priority: RequestPriority,
    timeoutMs?: number,
  ): Promise<TransactionResult> {
    return this.stateStore.transact([this.epochCondition, ...conditions], writes, priority, timeoutMs);
  }

  /** Resolves when the next attempt is due. */
  waitToRetry(): Promise<void> {
    return sleep(this.options.clock, RETRY_INTERVAL_MS);
  }
}
