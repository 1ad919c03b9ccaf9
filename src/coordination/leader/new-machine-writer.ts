import { sleep, type Clock } from '../../transport/clock';
import { type Log } from '../../transport/log';
import { initialWriteMayBeRetried } from '../../storage/fleet-edit';
import { FleetPacker, type MachineWrite } from '../../storage/fleet-packer';
import { RejectedMachines } from '../../storage/rejected-machines';
import { type ReplicaView } from '../../storage/replica-view';
import { RequestPriority } from '../../storage/request-queue';
import { type StateStoreClient, type TransactionResult } from '../../storage/state-store-client';
import { writesThatFit } from '../../storage/transaction-size';
import { initialFleetValueName, keys } from '../../protocol/keys';
import { encodeFleet, type MachineRecord } from '../../protocol/records';
import { type Settings } from '../../protocol/settings';
import { type Write } from '../../protocol/store';
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
  log: Log;
}

/** Writes the records of new machines to the state store and removes values that no longer hold any machine. */
export class NewMachineWriter {
  private valueCount = 0;
  /** Keys of this leader's values for which every write attempt received a response, so that none can be applied again. */
  private readonly settledKeys = new Set<string>();
  private sweptAt = Number.NEGATIVE_INFINITY;
  private sweeping = false;
  private readonly rejected: RejectedMachines;

  constructor(private readonly deps: NewMachineWriterDependencies) {
    this.rejected = new RejectedMachines(deps.log);
  }

  /**
   * Writes records under a leader's term, in separate values for each partition and as many transactions as the limits of the
   * state store require. Resolves once the replica shows the outcome or `isCurrent` returns false because the term is over.
   */
  async write(
    machines: readonly [string, MachineRecord][],
    leaderTerm: number,
    isCurrent: () => boolean,
  ): Promise<void> {
    const transactions = this.splitIntoTransactions(this.newValues(machines, leaderTerm));
    for (let values = transactions.shift(); values && isCurrent(); values = transactions.shift()) {
      const rejected = await this.writeValues(values, leaderTerm, isCurrent);
      if (rejected) transactions.unshift(...this.smallerTransactions(values, leaderTerm));
    }
  }

  /** Whether the record of this machine fits into no value, so that it cannot be written. */
  isUnwritable(id: string): boolean {
    return this.rejected.isExcluded(id);
  }

  private splitIntoTransactions(values: readonly NewValue[]): NewValue[][] {
    const { txnOps } = this.deps.settings.stateStoreLimits;
    const transactions: NewValue[][] = [];
    for (let remaining = values; remaining.length > 0;) {
      const writes = remaining.map(({ write }) => write);
      const count = writesThatFit(writes, txnOps).length;
      transactions.push(remaining.slice(0, count));
      remaining = remaining.slice(count);
    }
    return transactions;
  }

  /**
   * Repeats the transaction until the replica shows the outcome or `isCurrent` returns false. A session lease that lapses for a
   * moment does not end the repetition: an attempt whose response was lost may still be applied, and a machine that was recorded
   * anew in the meantime would be in two partitions. Resolves to whether the state store rejects the transaction.
   */
  private async writeValues(
    values: readonly NewValue[],
    leaderTerm: number,
    isCurrent: () => boolean,
  ): Promise<boolean> {
    const { membership, stateStore, clock } = this.deps;
    const absent = values.map(({ write }) => ({ key: write.put, revision: 0 }));
    const conditions = [{ key: keys.leader, revision: leaderTerm }, ...absent];
    const writes = values.map(({ write }) => write);
    let outcomeUnknown = false;
    while (isCurrent()) {
      if (membership.mayAct()) {
        const result = await stateStore.transact(conditions, writes, RequestPriority.Decision);
        if (result.kind === 'rejected') return true;
        outcomeUnknown ||= result.kind === 'unknown';
        if (await this.replicaShows(result)) break;
      }
      await sleep(clock, RETRY_DELAY_MS);
    }
    if (!outcomeUnknown) for (const { write } of values) this.settledKeys.add(write.put);
    return false;
  }

  /** Smaller transactions in place of a rejected one; none if it had a single machine, which cannot be recorded. */
  private smallerTransactions(values: readonly NewValue[], leaderTerm: number): NewValue[][] {
    const [first] = values;
    if (values.length !== 1 || !first) return values.map((value) => [value]);
    const { partition, machines } = first;
    if (machines.length === 1) {
      for (const [id] of machines) this.rejected.exclude(id);
      return [];
    }
    const middle = Math.ceil(machines.length / 2);
    const halves = [machines.slice(0, middle), machines.slice(middle)];
    return halves.map((half) => [this.newValue(partition, half, leaderTerm)]);
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

  /** The values that hold new machines, each under a key that was never used before. */
  private newValues(machines: readonly [string, MachineRecord][], leaderTerm: number): NewValue[] {
    const { valueBytes } = this.deps.settings.stateStoreLimits;
    const values: NewValue[] = [];
    for (const [partition, entries] of groupByPartition(machines)) {
      const packer = new FleetPacker(valueBytes, valueBytes, MAX_RECORDS_PER_VALUE);
      for (const entry of entries) if (!packer.add(entry)) this.rejected.exclude(entry[0]);
      for (const part of packer.parts) values.push(this.newValue(partition, part, leaderTerm));
    }
    return values;
  }

  private newValue(partition: string, machines: readonly MachineWrite[], leaderTerm: number): NewValue {
    const key = keys.fleet(partition, initialFleetValueName(leaderTerm, ++this.valueCount));
    return { partition, machines, write: { put: key, value: encodeFleet(machines) } };
  }
}

/** A value that holds new machines of one partition. */
interface NewValue {
  partition: string;
  machines: readonly MachineWrite[];
  write: Extract<Write, { put: string }>;
}

function groupByPartition(machines: readonly [string, MachineRecord][]): Map<string, MachineWrite[]> {
  const groups = new Map<string, MachineWrite[]>();
  for (const [id, record] of machines) {
    const entries = groups.get(record.partition) ?? [];
    entries.push([id, { record, revision: null }]);
    groups.set(record.partition, entries);
  }
  return groups;
}
