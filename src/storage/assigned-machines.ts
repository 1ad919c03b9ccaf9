import { keys } from '../protocol/keys';
import { jsonBytes, type Condition, type Write } from '../protocol/store';
import { type ReplicaView } from './replica-view';

/** Size of the comma between two ids. */
const SEPARATOR_BYTES = 1;

/** A write of one assigned-machines value, and the condition that it depends on. */
export interface AssignedMachinesEdit {
  /** The requested machines that the value records once this edit is applied. The remaining ones need further edits. */
  ids: string[];
  condition: Condition;
  write: Write;
}

/** A request to record machines as assigned: tasks of the partition may have been started on them. */
export interface AssignedMachinesEditRequest {
  partition: string;
  machines: readonly string[];
  /** Returns whether a machine is still in the partition. */
  exists: (id: string) => boolean;
  /** Maximum size of a value, in bytes. */
  valueBytes: number;
}

/**
 * Plans one write that records machines as assigned, that is, as machines that tasks of the partition may have been started on.
 * Machines that no longer exist are dropped from the value, so the list stays about as long as the fleet is large.
 */
export function planAssignedMachinesEdit(
  replica: ReplicaView,
  { partition, machines, exists, valueBytes }: AssignedMachinesEditRequest,
): AssignedMachinesEdit {
  for (let index = 0; ; index++) {
    const key = keys.assignedMachines(partition, index);
    const value = replica.assignedMachinesInKey(key).filter(exists);
    const ids = machinesThatFit(value, machines, valueBytes);
    if (ids.length === 0) continue;
    const condition = { key, revision: replica.storeReplica.revisionOf(key) };
    return { ids, condition, write: { put: key, value: [...new Set([...value, ...ids])] } };
  }
}

/** The first machines that fit into the value, but at least one if the value is empty. */
function machinesThatFit(
  value: readonly string[],
  machines: readonly string[],
  valueBytes: number,
): string[] {
  const ids: string[] = [];
  let bytes = jsonBytes(value);
  for (const id of machines) {
    bytes += jsonBytes(id) + SEPARATOR_BYTES;
    if (bytes > valueBytes && value.length + ids.length > 0) break;
    ids.push(id);
  }
  return ids;
}
