import { keys } from '../protocol/records';
import { type Condition, type Write } from '../protocol/store';
import { type ReplicaView } from './replica-view';

export interface AssignedEdit {
  /** Those that found room; the others are left for the next one. */
  ids: string[];
  condition: Condition;
  write: Write;
}

/**
 * Adds machines to what the store says of a partition's opened ones, with one change. Machines that are gone make room for
 * them, so the list stays as long as the fleet is large.
 */
export function planAssignedEdit(
  replica: ReplicaView,
  partition: string,
  machines: readonly string[],
  exists: (id: string) => boolean,
  valueBytes: number,
): AssignedEdit {
  for (let n = 0; ; n++) {
    const key = keys.assignedMachines(partition, n);
    const value = replica.assignedInKey(key).filter(exists);
    const ids: string[] = [];
    let bytes = JSON.stringify(value).length;
    for (const id of machines) {
      bytes += JSON.stringify(id).length + 1;
      if (bytes > valueBytes && value.length + ids.length > 0) break;
      ids.push(id);
    }
    if (ids.length === 0) continue;
    const condition = { key, revision: replica.stateStore.revisionOf(key) };
    return { ids, condition, write: { put: key, value: [...new Set([...value, ...ids])] } };
  }
}
