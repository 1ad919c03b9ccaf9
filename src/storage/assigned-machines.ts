import { keys } from '../protocol/keys';
import { type Condition, type Write } from '../protocol/store';
import { type ReplicaView } from './replica-view';

/** A change of one value of assigned machines. */
export interface AssignedMachinesEdit {
  /** The machines that this edit adds; the others are left for the next one. */
  ids: string[];
  condition: Condition;
  write: Write;
}

/** Machines to be added to the assigned ones of a partition. */
export interface AssignedMachinesEditRequest {
  partition: string;
  machines: readonly string[];
  /** Whether a machine is still in the partition. */
  exists: (id: string) => boolean;
  /** The most that a value may hold, in bytes. */
  valueBytes: number;
}

/**
 * Adds machines to those that tasks of a partition may have been started on, with one write. Machines that no longer exist
 * are dropped, so the list stays about as long as the fleet is large.
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

/** The first machines that fit into the value, at least one if the value is empty. */
function machinesThatFit(
  value: readonly string[],
  machines: readonly string[],
  valueBytes: number,
): string[] {
  const ids: string[] = [];
  let bytes = JSON.stringify(value).length;
  for (const id of machines) {
    bytes += JSON.stringify(id).length + 1;
    if (bytes > valueBytes && value.length + ids.length > 0) break;
    ids.push(id);
  }
  return ids;
}
