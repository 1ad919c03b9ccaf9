import { z } from 'zod';

/*
 * Requests to the state store and its responses. Wire terms: `path` key, `v` value, `stamp` revision at which a key last
 * changed, `ledger_rev` revision of the store, `permit` lease, `pairs` entries, `news` changes, `set` and `delete` the key that
 * is written or removed, `if` conditions, `apply` writes, `grants` leases. Parsers return null for a malformed body.
 */

/** A key and its value; `revision` is the one at which the key last changed. */
export interface Entry {
  key: string;
  value: unknown;
  revision: number;
  /** The lease whose end removes the key, or null if there is none. */
  leaseId: number | null;
}

/** A change of a key, as a watch reports it. */
export type Change =
  { key: string; value: unknown; revision: number } | { key: string; deleted: true; revision: number };

/**
 * A condition of a transaction: the key last changed at this revision. A transaction is applied only if all its conditions
 * hold.
 */
export interface Condition {
  key: string;
  /** 0 if the key must not exist. */
  revision: number;
}

/** A write of a transaction. A key written with a lease is removed when the lease ends. */
export type Write = { put: string; value: unknown; leaseId?: number } | { remove: string };

/** One page of a scan. */
export interface ScanPage {
  entries: Entry[];
  /** Whether keys follow the last entry. */
  more: boolean;
  revision: number;
}

/** The changes that a watch reports, in order, up to `revision`. */
export interface WatchResult {
  changes: Change[];
  revision: number;
}

const entrySchema = z.object({
  path: z.string(),
  v: z.unknown().optional(),
  stamp: z.number(),
  permit: z.number().nullish(),
});
const revisionSchema = z.object({ ledger_rev: z.number() });
const scanSchema = z.object({
  pairs: z.array(entrySchema),
  truncated: z.boolean().nullish(),
  ledger_rev: z.number(),
});
const changeSchema = z.object({
  set: z.string().nullish(),
  delete: z.string().nullish(),
  v: z.unknown().optional(),
  stamp: z.number(),
});
const watchSchema = z.object({ ledger_rev: z.number(), news: z.array(changeSchema) });
const failedSchema = z.object({ failed: z.array(z.string()) });
const leaseSchema = z.object({ permit: z.number() });

function toEntry({ path, v, stamp, permit }: z.infer<typeof entrySchema>): Entry {
  return { key: path, value: v, revision: stamp, leaseId: permit ?? null };
}

function toChange(change: z.infer<typeof changeSchema>): Change | null {
  if (typeof change.set === 'string') return { key: change.set, value: change.v, revision: change.stamp };
  if (typeof change.delete === 'string') return { key: change.delete, deleted: true, revision: change.stamp };
  return null;
}

export function parseEntry(body: unknown): Entry | null {
  const parsed = entrySchema.safeParse(body);
  return parsed.success ? toEntry(parsed.data) : null;
}

export function parseScan(body: unknown): ScanPage | null {
  const parsed = scanSchema.safeParse(body);
  if (!parsed.success) return null;
  return {
    entries: parsed.data.pairs.map(toEntry),
    more: parsed.data.truncated ?? false,
    revision: parsed.data.ledger_rev,
  };
}

export function parseWatch(body: unknown): WatchResult | null {
  const parsed = watchSchema.safeParse(body);
  if (!parsed.success) return null;
  const changes: Change[] = [];
  for (const reported of parsed.data.news) {
    const change = toChange(reported);
    if (change === null) return null;
    changes.push(change);
  }
  return { changes, revision: parsed.data.ledger_rev };
}

/** Parses the store's revision, which most bodies hold, including the response to a read of an absent key. */
export function parseRevision(body: unknown): number | null {
  const parsed = revisionSchema.safeParse(body);
  return parsed.success ? parsed.data.ledger_rev : null;
}

/** Parses the keys whose conditions did not hold. */
export function parseFailedKeys(body: unknown): string[] | null {
  const parsed = failedSchema.safeParse(body);
  return parsed.success ? parsed.data.failed : null;
}

const NO_SUCH_LEASE = 'no such lease';
const errorSchema = z.object({ error: z.string() });

/**
 * Whether the response to a rejected transaction says that the lease of a write has ended. Any other rejection is about the form
 * or the size of the transaction.
 */
export function isEndedLeaseError(body: unknown): boolean {
  const parsed = errorSchema.safeParse(body);
  return parsed.success && parsed.data.error === NO_SUCH_LEASE;
}

/** Parses the id of a new lease. */
export function parseLease(body: unknown): number | null {
  const parsed = leaseSchema.safeParse(body);
  return parsed.success ? parsed.data.permit : null;
}

/** Maximum size in bytes of the body of a transaction. */
export const MAX_TRANSACTION_BYTES = 64 * 1024;
/** Maximum number of conditions of a transaction, as a multiple of its maximum number of writes. */
export const MAX_CONDITIONS_PER_WRITE = 4;

/** Size of a value in bytes as the state store counts it: that of its JSON in UTF-8. */
export function jsonBytes(value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value));
}

/** The body of a transaction. */
export function transactionBody(conditions: Condition[], writes: Write[]): object {
  return {
    if: conditions.map(({ key, revision }) => ({ path: key, stamp: revision })),
    apply: writes.map(toWireWrite),
  };
}

function toWireWrite(write: Write): object {
  if ('remove' in write) return { delete: write.remove };
  const { put, value, leaseId } = write;
  return { set: put, v: value, ...(leaseId === undefined ? {} : { permit: leaseId }) };
}

/** The body of a request for a lease that ends unless it is renewed within `ttlMs`. */
export function openLeaseBody(ttlMs: number): object {
  return { ttl_ms: ttlMs };
}

const SCAN_PAGE_ENTRIES = 1000;

/** Paths of the store's HTTP interface. */
export const storePaths = {
  entry: (key: string): string => `/store/${key}`,
  /** The entries after a key, or the first ones for ''. */
  scan: (prefix: string, after: string): string => {
    const from = after ? `&from=${encodeURIComponent(after)}` : '';
    return `/store?prefix=${encodeURIComponent(prefix)}&limit=${SCAN_PAGE_ENTRIES}${from}`;
  },
  transaction: '/multi',
  leases: '/grants',
  renewLease: (leaseId: number): string => `/grants/${leaseId}/touch`,
  lease: (leaseId: number): string => `/grants/${leaseId}`,
  /** The changes after a revision. The store holds a response without changes back for `holdMs`. */
  watch: (prefix: string, after: number, holdMs: number): string =>
    `/watch?prefix=${encodeURIComponent(prefix)}&from=${after}&hold_ms=${holdMs}`,
};
