/**
 * The planner of fleet edits as it was before it measured the values that it writes. In a rolling upgrade, controllers of that build
 * edit the values that those of the present one write, and the other way round.
 */
import { keys } from '../../src/protocol/keys';
import {
  encodeFleet,
  type FleetEntry,
  type FleetWrite,
  type MachineRecord,
} from '../../src/protocol/records';
import { type Condition, type Write } from '../../src/protocol/store';
import { initialWriteMayBeRetried } from '../../src/storage/fleet-edit';
import { type ReplicaView } from '../../src/storage/replica-view';

/** A transaction that changes the records of machines of one partition. */
export interface EarlierFleetEdit {
  /** The machines that this edit changes. The remaining ones need further edits. */
  ids: string[];
  conditions: Condition[];
  writes: Write[];
}

/** The state store's limits on the size of a value, in bytes, and on the operations of a transaction. */
interface FleetLimits {
  valueBytes: number;
  txnOps: number;
}

/** The new record of each machine, or null if the machine no longer exists. */
type FleetChanges = ReadonlyMap<string, MachineRecord | null>;

type MachineWrites = [string, FleetWrite][];

/** Maximum share of a value's size that the machines of one edit may take. */
const MAX_EDIT_SIZE_RATIO = 0.4;
/** Bytes that an id takes besides its characters: quotes and commas. */
const ID_OVERHEAD_BYTES = 4;

/**
 * Plans the change of many machines of a partition with few writes. Rewrites the values that hold them, and writes machines
 * that move to another partition into a new value of that partition, named `name`. Unchanged machines keep the revision of
 * their last change, because fencing tokens and the proof that a machine was empty on arrival depend on it.
 */
export function planEarlierFleetEdit(
  replica: ReplicaView,
  partition: string,
  changes: FleetChanges,
  name: string,
  limits: FleetLimits,
): EarlierFleetEdit {
  const { ids, touchedKeys, transfers } = chooseMachines(replica, partition, changes, limits);
  const changed = new Set(ids);
  const remaining = touchedKeys.map((key) => ({
    key,
    machines: remainingMachines(replica.fleetInKey(key), partition, changes, changed),
  }));
  const conditions = touchedKeys.map((key) => ({ key, revision: replica.storeReplica.revisionOf(key) }));
  const writes = rewriteValues(replica, remaining, limits);
  for (const [target, machines] of transfers) {
    const key = keys.fleet(target, name);
    conditions.push({ key, revision: 0 });
    writes.push({ put: key, value: encodeFleet(machines) });
  }
  return { ids, conditions, writes };
}

/**
 * The first machines that one transaction can change, the keys of the values that hold them, and the machines that move to each
 * target partition.
 */
function chooseMachines(
  replica: ReplicaView,
  partition: string,
  changes: FleetChanges,
  limits: FleetLimits,
): { ids: string[]; touchedKeys: string[]; transfers: ReadonlyMap<string, MachineWrites> } {
  const ids: string[] = [];
  const touchedKeys = new Set<string>();
  const transfers = new Map<string, MachineWrites>();
  let freeBytes = limits.valueBytes * MAX_EDIT_SIZE_RATIO;
  for (const [id, change] of changes) {
    const machine = replica.machines.get(id);
    if (!machine || machine.record.partition !== partition) continue;
    const target = change !== null && change.partition !== partition ? change.partition : null;
    const keysAfter = touchedKeys.size + (touchedKeys.has(machine.key) ? 0 : 1);
    const targetsAfter = transfers.size + (target === null || transfers.has(target) ? 0 : 1);
    freeBytes -= id.length + ID_OVERHEAD_BYTES;
    if (keysAfter + targetsAfter > limits.txnOps || freeBytes < 0) break;
    ids.push(id);
    touchedKeys.add(machine.key);
    if (target === null || change === null) continue;
    const machines = transfers.get(target) ?? [];
    machines.push([id, { record: change, revision: null }]);
    transfers.set(target, machines);
  }
  return { ids, touchedKeys: [...touchedKeys], transfers };
}

/**
 * Plans the writes of the machines that remain in each value. Values that fit into one are merged, so that later edits touch
 * fewer keys.
 */
function rewriteValues(
  replica: ReplicaView,
  values: readonly { key: string; machines: MachineWrites }[],
  limits: FleetLimits,
): Write[] {
  const merged = encodeFleet(values.flatMap(({ machines }) => machines));
  const mergedBytes = Buffer.byteLength(JSON.stringify(merged));
  const shouldMerge = mergedBytes <= limits.valueBytes * (1 - MAX_EDIT_SIZE_RATIO);
  return values.map(({ key, machines }, i) => {
    const mergedValue = i === 0 ? merged : [];
    const value = shouldMerge ? mergedValue : encodeFleet(machines);
    return value.length > 0 || initialWriteMayBeRetried(replica, key) ? { put: key, value } : { remove: key };
  });
}

function remainingMachines(
  fleet: ReadonlyMap<string, FleetEntry>,
  partition: string,
  changes: FleetChanges,
  changed: ReadonlySet<string>,
): MachineWrites {
  const remaining: MachineWrites = [];
  for (const [id, entry] of fleet) {
    const change = changed.has(id) ? changes.get(id) : undefined;
    if (change === undefined) remaining.push([id, entry]);
    else if (change?.partition === partition) remaining.push([id, { record: change, revision: null }]);
  }
  return remaining;
}
