import { z } from 'zod';

/** One entry of the state service: `version` is the revision at which it last changed. */
export interface Entry {
  key: string;
  value: unknown;
  revision: number;
  leaseId: number | null;
}

export type Change =
  { key: string; value: unknown; revision: number } | { key: string; deleted: true; revision: number };

export interface Condition {
  key: string;
  /** 0: the key does not exist. */
  revision: number;
}

export type Write = { put: string; value: unknown; leaseId?: number } | { remove: string };

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
const watchSchema = z.object({
  ledger_rev: z.number(),
  news: z.array(
    z.object({
      set: z.string().nullish(),
      delete: z.string().nullish(),
      v: z.unknown().optional(),
      stamp: z.number(),
    }),
  ),
});

function toEntry(e: z.infer<typeof entrySchema>): Entry {
  return { key: e.path, value: e.v, revision: e.stamp, leaseId: e.permit ?? null };
}

export function parseEntry(body: unknown): Entry | null {
  const read = entrySchema.safeParse(body);
  return read.success ? toEntry(read.data) : null;
}

export function parseScan(body: unknown): { entries: Entry[]; more: boolean; revision: number } | null {
  const read = scanSchema.safeParse(body);
  if (!read.success) return null;
  return {
    entries: read.data.pairs.map(toEntry),
    more: read.data.truncated ?? false,
    revision: read.data.ledger_rev,
  };
}

export function parseWatch(body: unknown): { changes: Change[]; revision: number } | null {
  const read = watchSchema.safeParse(body);
  if (!read.success) return null;
  const changes: Change[] = [];
  for (const n of read.data.news) {
    if (typeof n.set === 'string') changes.push({ key: n.set, value: n.v, revision: n.stamp });
    else if (typeof n.delete === 'string') changes.push({ key: n.delete, deleted: true, revision: n.stamp });
    else return null;
  }
  return { changes, revision: read.data.ledger_rev };
}

export function parseRevision(body: unknown): number | null {
  const read = revisionSchema.safeParse(body);
  return read.success ? read.data.ledger_rev : null;
}

export function parseFailedKeys(body: unknown): string[] | null {
  const read = z.object({ failed: z.array(z.string()) }).safeParse(body);
  return read.success ? read.data.failed : null;
}

export function parseLease(body: unknown): number | null {
  const read = z.object({ permit: z.number() }).safeParse(body);
  return read.success ? read.data.permit : null;
}

/** The body of a request for a lease that ends after `ttlMs` without renewal. */
export function leaseBody(ttlMs: number): object {
  return { ttl_ms: ttlMs };
}

export function transactionBody(conditions: Condition[], writes: Write[]): object {
  return {
    if: conditions.map((c) => ({ path: c.key, stamp: c.revision })),
    apply: writes.map((w) =>
      'put' in w
        ? { set: w.put, v: w.value, ...(w.leaseId === undefined ? {} : { permit: w.leaseId }) }
        : { delete: w.remove },
    ),
  };
}

export const paths = {
  entry: (key: string): string => `/store/${key}`,
  scan: (prefix: string, after: string): string =>
    `/store?prefix=${encodeURIComponent(prefix)}&limit=1000${after ? `&from=${encodeURIComponent(after)}` : ''}`,
  transaction: '/multi',
  leases: '/grants',
  renewLease: (lease: number): string => `/grants/${lease}/touch`,
  lease: (lease: number): string => `/grants/${lease}`,
  watch: (prefix: string, after: number, holdMs: number): string =>
    `/watch?prefix=${encodeURIComponent(prefix)}&from=${after}&hold_ms=${holdMs}`,
};
