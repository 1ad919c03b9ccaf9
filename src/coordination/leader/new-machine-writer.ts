import { sleep, type Clock } from '../../transport/clock';
import { initialWriteMayBeRetried } from '../../storage/fleet-edit';
import { type ReplicaView } from '../../storage/replica-view';
import { RequestPriority } from '../../storage/request-queue';
import { type StateStoreClient, type TransactionResult } from '../../storage/state-store-client';
import { initialFleetValueName, keys } from '../../protocol/keys';
import { encodeFleet, type MachineRecord } from '../../protocol/records';
import { type Settings } from '../../protocol/settings';
import { type Condition, type Write } from '../../protocol/store';
import { type Membership } from '../membership/membership';

/** Maximum number of machine records that share a value when they are first written. */
const MAX_RECORDS_PER_VALUE = 50;
const RETRY_DELAY_MS = 150;
const REPLICA_CATCH_UP_TIMEOUT_MS = 2000;
const SWEEP_INTERVAL_MS = 5000;
/** Limits the share of the state store's write rate that a sweep takes. */
const MAX_VALUES_PER_SWEEP = 6;

export interface NewMachineWriterDependencies {
  settings: Settings;
  membership: Membership;
  stateStore: StateStoreClient;
  replica: ReplicaView;
  clock: Clock;
}

/** Writes the records of new machines to the state store and removes values that no longer hold any machine. */
export class NewMachineWriter {
  private valueCount = 0;
  /** Keys of this leader's values for which every write attempt received a response, so that none can be applied again. */
  private readonly settledKeys = new Set<string>();
  private sweptAt = Number.NEGATIVE_INFINITY;
  private sweeping = false;

  constructor(private readonly deps: NewMachineWriterDependencies) {}

  /**
   * Writes records under a leader's term, in separate values for each partition. Repeats the transaction until the replica
   * shows the outcome or `isCurrent` returns false because the term is over. A session lease that lapses for a moment does not
   * end the repetition: an attempt whose response was lost may still be applied, and a machine that was recorded anew in the
   * meantime would be in two partitions.
   */
  async write(
    machines: readonly [string, MachineRecord][],
    leaderTerm: number,
    isCurrent: () => boolean,
  ): Promise<void> {
    const { membership, stateStore } = this.deps;
    const { conditions, writes } = this.newValues(machines, leaderTerm);
    let outcomeUnknown = false;
    while (isCurrent()) {
      if (membership.alive()) {
        const result = await stateStore.transact(conditions, writes, RequestPriority.Decision);
        outcomeUnknown ||= result.kind === 'unknown';
        if (await this.replicaShows(result)) break;
      }
      await sleep(this.deps.clock, RETRY_DELAY_MS);
    }
    if (outcomeUnknown) return;
    for (const write of writes) if ('put' in write) this.settledKeys.add(write.put);
  }

  private async replicaShows(result: TransactionResult): Promise<boolean> {
    const { stateStore } = this.deps;
    if (result.kind === 'applied')
      return stateStore.whenCaughtUp(result.revision, REPLICA_CATCH_UP_TIMEOUT_MS);
    // Either an earlier attempt of this controller was applied, or this controller no longer leads; a fresh replica shows which.
    return result.kind === 'conflict' && stateStore.ensureFresh();
  }

  /** Removes a limited number of values that hold no machine and that no pending write attempt can write again. */
  async sweepEmptyValues(now: number): Promise<void> {
    if (this.sweeping || now - this.sweptAt < SWEEP_INTERVAL_MS) return;
    this.sweptAt = now;
    const { settings, stateStore } = this.deps;
    const maxKeys = Math.min(MAX_VALUES_PER_SWEEP, settings.stateStoreLimits.txnOps);
    const removedKeys = this.removableKeys().slice(0, maxKeys);
    if (removedKeys.length === 0) return;
    this.sweeping = true;
    const conditions = removedKeys.map((key) => ({ key, revision: stateStore.revisionOf(key) }));
    const removals = removedKeys.map((key): Write => ({ remove: key }));
    const result = await stateStore.transact(conditions, removals, RequestPriority.Progress);
    if (result.kind === 'applied') for (const key of removedKeys) this.settledKeys.delete(key);
    this.sweeping = false;
  }

  private removableKeys(): string[] {
    const { replica } = this.deps;
    return [...replica.emptyFleetKeys].filter(
      (key) => this.settledKeys.has(key) || !initialWriteMayBeRetried(replica, key),
    );
  }

  /** Writes of the values that hold new machines, each under a key that was never used before, and their conditions. */
  private newValues(
    machines: readonly [string, MachineRecord][],
    leaderTerm: number,
  ): { conditions: Condition[]; writes: Write[] } {
    const conditions: Condition[] = [{ key: keys.leader, revision: leaderTerm }];
    const writes: Write[] = [];
    for (const [partition, entries] of groupByPartition(machines)) {
      for (let i = 0; i < entries.length; i += MAX_RECORDS_PER_VALUE) {
        const key = keys.fleet(partition, initialFleetValueName(leaderTerm, ++this.valueCount));
        conditions.push({ key, revision: 0 });
        writes.push({ put: key, value: encodeFleet(entries.slice(i, i + MAX_RECORDS_PER_VALUE)) });
      }
    }
    return { conditions, writes };
  }
}

type NewEntry = [string, { record: MachineRecord; revision: null }];

function groupByPartition(machines: readonly [string, MachineRecord][]): Map<string, NewEntry[]> {
  const groups = new Map<string, NewEntry[]>();
  for (const [id, record] of machines) {
    const entries = groups.get(record.partition) ?? [];
    entries.push([id, { record, revision: null }]);
    groups.set(record.partition, entries);
  }
  return groups;
}
