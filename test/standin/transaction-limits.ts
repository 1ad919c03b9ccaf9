/** A transaction in the form of the state store's interface. */
export interface TransactionBody {
  if: { path: string; stamp: number }[];
  apply: ({ set: string; v: unknown; permit?: number } | { delete: string })[];
}

/** The limits of the state store that the settings state. */
export interface StoreLimits {
  /** Maximum size of a value in KiB. */
  valueKb: number;
  /** Maximum number of puts and deletes of a transaction. */
  txnOps: number;
}

const MAX_KEY_BYTES = 200;
const MAX_BODY_BYTES = 64 * 1024;
const CONDITIONS_PER_OPERATION = 4;

/** Why the state store rejects a transaction as malformed, from PROTOCOL's limits; null if it does not. Sizes are in bytes of UTF-8. */
export function transactionError(body: TransactionBody, { valueKb, txnOps }: StoreLimits): string | null {
  if (body.apply.length > txnOps) return 'too many changes';
  if (body.if.length > CONDITIONS_PER_OPERATION * txnOps) return 'too many conditions';
  if (jsonBytes(body) > MAX_BODY_BYTES) return 'the body is too large';
  const changedKeys = body.apply.map((change) => ('set' in change ? change.set : change.delete));
  if (![...changedKeys, ...body.if.map(({ path }) => path)].every(isValidKey)) return 'invalid key';
  const tooLarge = body.apply.some((change) => 'set' in change && jsonBytes(change.v) > valueKb * 1024);
  return tooLarge ? 'the value is too large' : null;
}

function isValidKey(key: string): boolean {
  const bytes = Buffer.byteLength(key);
  return bytes >= 1 && bytes <= MAX_KEY_BYTES && !key.includes(' ');
}

function jsonBytes(value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value));
}
