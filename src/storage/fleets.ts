import {
  encodeFleet,
  leaderTermOfFleetKey,
  keys,
  type FleetEntry,
  type MachineRecord,
} from '../protocol/records';
import { type Condition, type Write } from '../protocol/store';
import { type ReplicaView } from './replica-view';

export interface FleetEdit {
  /** The machines that this edit changes; the others are left for the next one. */
  ids: string[];
  conditions: Condition[];
  writes: Write[];
}

export interface FleetLimits {
  valueBytes: number;
  txnOps: number;
}

type MachineAtRevision = { record: MachineRecord; revision: number | null };

/** Of a value, what the machines of one edit may take. */
const MAX_EDIT_SIZE_RATIO = 0.4;
const ID_OVERHEAD_BYTES = 4;

/**
 * Changes many machines of a partition with few changes of the store: rewrites the values in which they stand, and puts
 * those that go to another partition into a new value there, named `name`. Machines that stay as they are keep the
 * revision at which they came to stand so, for tokens and the proof that a machine came empty hang on it. null:
 * the machine is gone.
 */
export function planFleetEdit(
  replica: ReplicaView,
  partition: string,
  changes: ReadonlyMap<string, MachineRecord | null>,
  name: string,
  limits: FleetLimits,
): FleetEdit {
  const ids: string[] = [];
  const touched = new Set<string>();
  const targets = new Map<string, [string, MachineAtRevision][]>();
  let bytes = limits.valueBytes * MAX_EDIT_SIZE_RATIO;
  for (const [id, change] of changes) {
    const machine = replica.machines.get(id);
    if (!machine || machine.record.partition !== partition) continue;
    const keysAfter = touched.size + (touched.has(machine.key) ? 0 : 1);
    const goesTo = change !== null && change.partition !== partition ? change.partition : null;
    const targetsAfter = targets.size + (goesTo === null || targets.has(goesTo) ? 0 : 1);
    bytes -= id.length + ID_OVERHEAD_BYTES;
    if (keysAfter + targetsAfter > limits.txnOps || bytes < 0) break;
    ids.push(id);
    touched.add(machine.key);
    if (goesTo === null || change === null) continue;
    const there = targets.get(goesTo) ?? [];
    there.push([id, { record: change, revision: null }]);
    targets.set(goesTo, there);
  }
  const edited = new Set(ids);
  const conditions = [...touched].map((key) => ({ key, revision: replica.stateStore.revisionOf(key) }));
  const writes: Write[] = [];
  const rest = [...touched].map((key) => ({
    key,
    machines: remainingMachines(replica.fleetInKey(key), partition, changes, edited),
  }));
  const together = encodeFleet(rest.flatMap((r) => r.machines));
  // Values that are rewritten anyway become one, so that later edits touch fewer.
  const merge = Buffer.byteLength(JSON.stringify(together)) <= limits.valueBytes * (1 - MAX_EDIT_SIZE_RATIO);
  for (const [i, { key, machines }] of rest.entries()) {
    const value = merge ? (i === 0 ? together : []) : encodeFleet(machines);
    writes.push(value.length > 0 || mayBeRepeated(replica, key) ? { put: key, value } : { remove: key });
  }
  for (const [target, machines] of targets) {
    const key = keys.fleet(target, name);
    conditions.push({ key, revision: 0 });
    writes.push({ put: key, value: encodeFleet(machines) });
  }
  return { ids, conditions, writes };
}

/**
 * Whether the transaction that first wrote this value may be carried out once more. A leader repeats one whose answer is lost,
 * and the lost one may come late; it is conditional on the absence of the key and on the leader. Were the key removed while
 * that leader leads, machines that have moved on meanwhile would stand here again: their tasks were once started a second time.
 */
export function mayBeRepeated(replica: ReplicaView, key: string): boolean {
  return replica.leader !== null && leaderTermOfFleetKey(key) === replica.leader.term;
}

function remainingMachines(
  fleet: ReadonlyMap<string, FleetEntry>,
  partition: string,
  changes: ReadonlyMap<string, MachineRecord | null>,
  edited: ReadonlySet<string>,
): [string, MachineAtRevision][] {
  const kept: [string, MachineAtRevision][] = [];
  for (const [id, entry] of fleet) {
    const change = edited.has(id) ? changes.get(id) : undefined;
    if (change === undefined) kept.push([id, entry]);
    else if (change?.partition === partition) kept.push([id, { record: change, revision: null }]);
  }
  return kept;
}
