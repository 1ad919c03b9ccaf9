import { keys, leaderTermOfFleetKey } from '../protocol/keys';
import { encodeFleet, type FleetEntry, type FleetWrite, type MachineRecord } from '../protocol/records';
import { type Condition, type Write } from '../protocol/store';
import { type ReplicaView } from './replica-view';

/** A transaction that changes machines of a partition. */
export interface FleetEdit {
  /** The machines that this edit changes; the others are left for the next one. */
  ids: string[];
  conditions: Condition[];
  writes: Write[];
}

/** Limits of a stored value and of a transaction. */
export interface FleetLimits {
  valueBytes: number;
  txnOps: number;
}

/** The new record of each machine; null: the machine no longer exists. */
export type FleetChanges = ReadonlyMap<string, MachineRecord | null>;

type Machines = [string, FleetWrite][];

/** The part of a value that the machines of one edit may take. */
const MAX_EDIT_SIZE_RATIO = 0.4;
/** What an id takes beside its characters: quotes and commas. */
const ID_OVERHEAD_BYTES = 4;

/**
 * Changes many machines of a partition with few writes: rewrites the values that hold them, and puts those that go to another
 * partition into a new value there, named `name`. Machines that stay as they are keep the revision of their last change, for
 * fencing tokens and the proof that a machine was empty when it came depend on it.
 */
export function planFleetEdit(
  replica: ReplicaView,
  partition: string,
  changes: FleetChanges,
  name: string,
  limits: FleetLimits,
): FleetEdit {
  const { ids, touchedKeys, transfers } = chooseMachines(replica, partition, changes, limits);
  const changed = new Set(ids);
  const rest = touchedKeys.map((key) => ({
    key,
    machines: remainingMachines(replica.fleetInKey(key), partition, changes, changed),
  }));
  const conditions = touchedKeys.map((key) => ({ key, revision: replica.storeReplica.revisionOf(key) }));
  const writes = rewriteValues(replica, rest, limits);
  for (const [target, machines] of transfers) {
    const key = keys.fleet(target, name);
    conditions.push({ key, revision: 0 });
    writes.push({ put: key, value: encodeFleet(machines) });
  }
  return { ids, conditions, writes };
}

/**
 * Whether the transaction that first wrote this value may be carried out once more. A leader repeats one whose response is
 * lost, and the lost one may be applied late; it is conditional on the absence of the key and on the leader. Were the key
 * removed while that leader leads, machines that were transferred meanwhile would be in this value again, and their tasks
 * would be started a second time.
 */
export function initialWriteMayBeRetried(replica: ReplicaView, key: string): boolean {
  return replica.leader !== null && leaderTermOfFleetKey(key) === replica.leader.term;
}

/** The first machines that one transaction can change, the values that hold them, and who goes to which partition. */
function chooseMachines(
  replica: ReplicaView,
  partition: string,
  changes: FleetChanges,
  limits: FleetLimits,
): { ids: string[]; touchedKeys: string[]; transfers: ReadonlyMap<string, Machines> } {
  const ids: string[] = [];
  const touchedKeys = new Set<string>();
  const transfers = new Map<string, Machines>();
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

/** Writes what remains in each value; values that fit into one become one, so that later edits touch fewer. */
function rewriteValues(
  replica: ReplicaView,
  values: readonly { key: string; machines: Machines }[],
  limits: FleetLimits,
): Write[] {
  const merged = encodeFleet(values.flatMap(({ machines }) => machines));
  const mergedBytes = Buffer.byteLength(JSON.stringify(merged));
  const merge = mergedBytes <= limits.valueBytes * (1 - MAX_EDIT_SIZE_RATIO);
  return values.map(({ key, machines }, i) => {
    const mergedPart = i === 0 ? merged : [];
    const value = merge ? mergedPart : encodeFleet(machines);
    return value.length > 0 || initialWriteMayBeRetried(replica, key) ? { put: key, value } : { remove: key };
  });
}

function remainingMachines(
  fleet: ReadonlyMap<string, FleetEntry>,
  partition: string,
  changes: FleetChanges,
  changed: ReadonlySet<string>,
): Machines {
  const remaining: Machines = [];
  for (const [id, entry] of fleet) {
    const change = changed.has(id) ? changes.get(id) : undefined;
    if (change === undefined) remaining.push([id, entry]);
    else if (change?.partition === partition) remaining.push([id, { record: change, revision: null }]);
  }
  return remaining;
}
