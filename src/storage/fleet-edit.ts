import { keys, leaderTermOfFleetKey } from '../protocol/keys';
import { FleetValueBuilder, type FleetEntry, type FleetWrite, type MachineRecord } from '../protocol/records';
import { type Condition, type Write } from '../protocol/store';
import { FleetPacker, type MachineWrite } from './fleet-packer';
import { type ReplicaView } from './replica-view';
import { fitsInTransaction, type TransactionLimits } from './transaction-size';

/** A transaction that changes the records of machines of one partition. */
export interface FleetEdit {
  /** The machines that this edit changes. The remaining ones need further edits. */
  ids: string[];
  /** Machines whose change cannot be written within the limits, not even alone. */
  unwritable: string[];
  conditions: Condition[];
  writes: Write[];
}

/** The new record of each machine, or null if the machine no longer exists. */
export type FleetChanges = ReadonlyMap<string, MachineRecord | null>;

/** The machines that remain in one value after an edit. */
interface RemainingMachines {
  key: string;
  machines: MachineWrite[];
}

/** Maximum share of a value's size that the machines of one edit may take. */
const MAX_EDIT_SIZE_RATIO = 0.4;
/**
 * Share of a value's size that merged machines may take, and those of each part of a value that is split. A value is split only
 * once it exceeds its full size, so parts are not merged and split in turn.
 */
const MAX_MERGED_SIZE_RATIO = 1 - MAX_EDIT_SIZE_RATIO;
/** Bytes that an id takes besides its characters: quotes and commas. */
const ID_OVERHEAD_BYTES = 4;

/**
 * Plans the change of many machines of a partition with few writes. Rewrites the values that hold them, and writes machines
 * that move to another partition into new values of that partition. Unchanged machines keep the revision of their last change,
 * because fencing tokens and the proof that a machine was empty on arrival depend on it.
 *
 * No write exceeds the limits: a value that would is split, and changes that do not fit are left for the next edit.
 *
 * @param name Part of the keys of new values; must never have been used before. Such a key cannot be written again after its
 * removal, because each edit is conditional on the revision of a value that it changes.
 */
export function planFleetEdit(
  replica: ReplicaView,
  partition: string,
  changes: FleetChanges,
  name: string,
  limits: TransactionLimits,
): FleetEdit {
  const planner = new FleetEditPlanner(replica, partition, changes, name, limits);
  const unwritable: string[] = [];
  for (;;) {
    const ids = planner.chooseMachines(new Set(unwritable));
    const [first] = ids;
    if (first === undefined) return { ids: [], unwritable, conditions: [], writes: [] };
    const edit = planner.largestFittingEdit(ids);
    if (edit) return { ...edit, unwritable };
    unwritable.push(first);
  }
}

/**
 * Whether the transaction that first wrote this value may still be applied again. A leader retries a transaction whose response
 * is lost, and an earlier attempt may be applied late. The transaction is conditional on the absence of the key and on the
 * leader. If the key were removed while that leader leads, such an attempt would put machines that were transferred meanwhile
 * into this value again, and their tasks would be started a second time.
 */
export function initialWriteMayBeRetried(replica: ReplicaView, key: string): boolean {
  return replica.leader !== null && leaderTermOfFleetKey(key) === replica.leader.term;
}

type Transaction = Omit<FleetEdit, 'unwritable'>;

class FleetEditPlanner {
  constructor(
    private readonly replica: ReplicaView,
    private readonly partition: string,
    private readonly changes: FleetChanges,
    private readonly name: string,
    private readonly limits: TransactionLimits,
  ) {}

  /** The first machines that one transaction can probably change, but at least one if there is any. */
  chooseMachines(excluded: ReadonlySet<string>): string[] {
    const ids: string[] = [];
    const touchedKeys = new Set<string>();
    const targets = new Set<string>();
    let freeBytes = this.limits.valueBytes * MAX_EDIT_SIZE_RATIO;
    for (const [id, change] of this.changes) {
      const key = this.keyOf(id);
      if (key === null || excluded.has(id)) continue;
      const target = this.targetOf(change);
      const keysAfter = touchedKeys.size + (touchedKeys.has(key) ? 0 : 1);
      const targetsAfter = targets.size + (target === null || targets.has(target) ? 0 : 1);
      freeBytes -= Buffer.byteLength(id) + ID_OVERHEAD_BYTES;
      const isFull = keysAfter + targetsAfter > this.limits.txnOps || freeBytes < 0;
      if (isFull && ids.length > 0) break;
      ids.push(id);
      touchedKeys.add(key);
      if (target !== null) targets.add(target);
    }
    return ids;
  }

  /** The edit of as many of the machines as fit into one transaction; null if not even the first one does. */
  largestFittingEdit(ids: readonly string[]): Transaction | null {
    for (let count = ids.length; count > 0; count = Math.floor(count / 2)) {
      const edit = this.planTransaction(ids.slice(0, count));
      if (edit && fitsInTransaction(edit, this.limits.txnOps)) return edit;
    }
    return null;
  }

  /** The transaction that changes exactly these machines; null if a machine's record does not fit into any value. */
  private planTransaction(ids: string[]): Transaction | null {
    const changed = new Set(ids);
    const touchedKeys = [...new Set(ids.map((id) => this.keyOf(id) ?? ''))];
    const remaining = touchedKeys.map((key) => ({ key, machines: this.remainingMachines(key, changed) }));
    const conditions = touchedKeys.map((key) => ({
      key,
      revision: this.replica.storeReplica.revisionOf(key),
    }));
    const writes = this.rewriteValues(remaining);
    const newValues = this.transferredValues(ids);
    if (!writes || !newValues) return null;
    for (const { key, value } of [...writes.added, ...newValues]) {
      conditions.push({ key, revision: 0 });
      writes.rewritten.push({ put: key, value });
    }
    return { ids, conditions, writes: writes.rewritten };
  }

  /**
   * The key of the value that holds a machine of this partition; null if there is none. While the replica is filled, a machine may
   * have left the value that last held it, and the value that now holds it is not known yet.
   */
  private keyOf(id: string): string | null {
    const machine = this.replica.machines.get(id);
    if (machine?.record.partition !== this.partition) return null;
    return this.replica.fleetInKey(machine.key).has(id) ? machine.key : null;
  }

  /** The partition that a change transfers a machine to; null if it stays in this one, or its record is removed. */
  private targetOf(change: MachineRecord | null): string | null {
    return change !== null && change.partition !== this.partition ? change.partition : null;
  }

  private remainingMachines(key: string, changed: ReadonlySet<string>): MachineWrite[] {
    const remaining: MachineWrite[] = [];
    for (const [id, entry] of this.replica.fleetInKey(key)) {
      const change = changed.has(id) ? this.changes.get(id) : undefined;
      if (change === undefined) remaining.push([id, keepRevision(entry)]);
      else if (change?.partition === this.partition) remaining.push([id, { record: change, revision: null }]);
    }
    return remaining;
  }

  /**
   * Plans the writes of the machines that remain in each value. Values that fit into one are merged, so that later edits touch
   * fewer keys. A value that has become too large is split.
   */
  private rewriteValues(
    values: readonly RemainingMachines[],
  ): { rewritten: Write[]; added: { key: string; value: unknown }[] } | null {
    const merged = this.mergedValue(values);
    if (merged)
      return { rewritten: values.map(({ key }, i) => this.rewrite(key, i === 0 ? merged : [])), added: [] };
    const rewritten: Write[] = [];
    const added: { key: string; value: unknown }[] = [];
    for (const { key, machines } of values) {
      const parts = this.packMachines(machines);
      if (!parts) return null;
      const [first = [], ...others] = parts;
      rewritten.push(this.rewrite(key, first));
      for (const value of others)
        added.push({ key: keys.fleet(this.partition, `${this.name}-${added.length + 1}`), value });
    }
    return { rewritten, added };
  }

  private mergedValue(values: readonly RemainingMachines[]): unknown[] | null {
    const machines = values.flatMap((value) => value.machines);
    return packIntoOne(machines, this.limits.valueBytes * MAX_MERGED_SIZE_RATIO);
  }

  /** One value if all machines fit into it, otherwise parts that are at most 0.6 full; null if a machine fits into no value. */
  private packMachines(machines: readonly MachineWrite[]): unknown[][] | null {
    const { valueBytes } = this.limits;
    const single = packIntoOne(machines, valueBytes);
    if (single) return [single];
    const packer = new FleetPacker(valueBytes * MAX_MERGED_SIZE_RATIO, valueBytes);
    return machines.every((machine) => packer.add(machine)) ? packer.values : null;
  }

  private rewrite(key: string, value: unknown[]): Write {
    const keep = value.length > 0 || initialWriteMayBeRetried(this.replica, key);
    return keep ? { put: key, value } : { remove: key };
  }

  /** New values of other partitions with the machines that move there; null if a machine fits into none. */
  private transferredValues(ids: readonly string[]): { key: string; value: unknown }[] | null {
    const packers = new Map<string, FleetPacker>();
    for (const id of ids) {
      const record = this.changes.get(id) ?? null;
      const target = this.targetOf(record);
      if (target === null || record === null) continue;
      const packer = packers.get(target) ?? new FleetPacker(this.limits.valueBytes);
      packers.set(target, packer);
      if (!packer.add([id, { record, revision: null }])) return null;
    }
    return [...packers].flatMap(([target, { values }]) =>
      values.map((value, i) => ({
        key: keys.fleet(target, i === 0 ? this.name : `${this.name}-${i}`),
        value,
      })),
    );
  }
}

/** The value that holds all machines; null if it would be larger than `maxBytes`. */
function packIntoOne(machines: readonly MachineWrite[], maxBytes: number): unknown[] | null {
  const builder = new FleetValueBuilder();
  return machines.every(([id, write]) => builder.tryAdd(id, write, maxBytes)) ? builder.groups : null;
}

function keepRevision({ record, revision }: FleetEntry): FleetWrite {
  return { record, revision };
}
