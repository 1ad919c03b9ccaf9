import {
  jsonBytes,
  MAX_CONDITIONS_PER_WRITE,
  MAX_TRANSACTION_BYTES,
  transactionBody,
  type Condition,
  type Write,
} from '../protocol/store';

/** The state store's limits on the size of a value, in bytes, and on the operations of a transaction. */
export interface TransactionLimits {
  valueBytes: number;
  txnOps: number;
}

/** Conditions that the sender of a planned transaction may add, on the leader or on the epoch of a partition. */
const ADDED_CONDITIONS = 1;
/** Bytes reserved for the added conditions, whose keys have up to 200 bytes. */
const ADDED_CONDITION_BYTES = 256;
/** Bytes reserved for punctuation and the added conditions. */
const TRANSACTION_OVERHEAD_BYTES = 512;
/** Bytes reserved for the condition on the key of a write, which has up to 200 bytes. */
const WRITE_CONDITION_BYTES = 256;

/** Whether a transaction stays within the state store's limits on its operations, its conditions and its size. */
export function fitsInTransaction(
  { conditions, writes }: { conditions: Condition[]; writes: Write[] },
  txnOps: number,
): boolean {
  if (writes.length > txnOps) return false;
  if (conditions.length + ADDED_CONDITIONS > MAX_CONDITIONS_PER_WRITE * txnOps) return false;
  return jsonBytes(transactionBody(conditions, writes)) + ADDED_CONDITION_BYTES <= MAX_TRANSACTION_BYTES;
}

/**
 * The writes from the start of the list that fit into one transaction, each with one condition. At least one write, because the
 * state store's limit on a value is below that on a transaction.
 */
export function writesThatFit(writes: readonly Write[], txnOps: number): Write[] {
  const fitting: Write[] = [];
  let freeBytes = MAX_TRANSACTION_BYTES - TRANSACTION_OVERHEAD_BYTES;
  for (const write of writes) {
    freeBytes -= jsonBytes(write) + WRITE_CONDITION_BYTES;
    if (fitting.length === txnOps || (fitting.length > 0 && freeBytes < 0)) break;
    fitting.push(write);
  }
  return fitting;
}
