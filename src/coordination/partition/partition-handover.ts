import { RequestPriority } from '../../storage/request-queue';
import { type PartitionRecord } from '../../protocol/records';
import { keys } from '../../protocol/keys';
import { type Write } from '../../protocol/store';
import { type PartitionStore } from './partition-store';

/** The member that becomes the owner of the partition. */
export interface HandoverTarget {
  member: string;
  /** Incarnation of the member's record. */
  incarnation: number;
}

/**
 * Writes a new owner into the partition's record. The caller must have stopped acting for the partition before. Resolves to true
 * once the record has changed, and to false once it is certain that no attempt will be applied, so that the partition keeps its
 * owner. Until one of the two is known the write is repeated: an attempt whose response was lost may be applied seconds later, and
 * tasks started in the meantime would be unknown to the new owner.
 */
export async function handOverPartition(
  store: PartitionStore,
  record: PartitionRecord,
  target: HandoverTarget,
): Promise<boolean> {
  const { member, incarnation } = target;
  const partitionKey = keys.partition(store.partition);
  const put: Write = { put: partitionKey, value: { ...record, owner: member, incarnation } };
  const targetUnchanged = { key: keys.member(member), revision: incarnation };
  for (let outcomeUnknown = false; ;) {
    const result = await store.transact([targetUnchanged], [put], RequestPriority.Decision);
    const recordChanged = result.kind === 'conflict' && result.failed.includes(partitionKey);
    if (result.kind === 'applied' || recordChanged) return true;
    if (result.kind === 'conflict' || result.kind === 'rejected') return false;
    if (result.kind === 'refused' && !outcomeUnknown) return false;
    outcomeUnknown ||= result.kind === 'unknown';
    await store.waitToRetry();
  }
}
