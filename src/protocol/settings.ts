import { z } from 'zod';

const address = z.string().regex(/^[0-9.]+:[0-9]+$/, 'must be an IPv4 address and a port');
const amount = z.number().nonnegative();

const settingsSchema = z.object({
  member: z.string().min(1),
  site: z.string(),
  serve_on: address,
  cluster_listen: address,
  peers: z.array(z.object({ member: z.string().min(1), site: z.string().optional(), addr: address })),
  external: z.object({ cloud: address, state: address }),
  facts: z.object({
    teams: z
      .array(
        z.object({
          name: z.string().min(1),
          cpus: amount,
          cpus_max: amount,
          gpus: amount.default(0),
          gpus_max: amount.default(0),
        }),
      )
      .min(1),
    objectives: z
      .array(
        z.object({
          kind: z.string(),
          class: z.string().optional(),
          within_s: z.number().optional(),
          times: z.number().optional(),
        }),
      )
      .default([]),
    workers: z.object({
      report_s: z.number().positive(),
      lease_s: z.number().positive(),
      cancel_s: z.number().positive(),
    }),
    state: z.object({
      rps: z.number().positive(),
      write_rps: z.number().positive(),
      value_kb: z.number().positive(),
      txn_ops: z.number().int().positive(),
    }),
    cloud: z.object({ rps: z.number().positive(), list_lag_s: amount }),
  }),
});

/** A value that fills its limit to the last byte was once refused as too large. */
const VALUE_MARGIN_BYTES = 64;

export interface Team {
  name: string;
  guaranteed: ResourceQuota;
  limit: ResourceQuota;
}

/** What the platform's teams share out. */
export interface ResourceQuota {
  cpus: number;
  accelerators: number;
}

/** What the operator expects of a class of jobs; other kinds of objective say nothing of single jobs. */
export type Objective =
  | { kind: 'deadline'; workload: string; times: number }
  | { kind: 'finished'; workload: string; withinS: number }
  /** Of all classes: work within its team's guarantee is to begin so soon. */
  | { kind: 'guarantee'; withinS: number };

export interface Settings {
  member: string;
  listen: string;
  peerListen: string;
  peers: { member: string; address: string }[];
  cloudAddress: string;
  stateStoreAddress: string;
  teams: Team[];
  objectives: Objective[];
  heartbeatIntervalMs: number;
  leaseMs: number;
  /** After its user was told, a cancelled job's tasks must be gone within this time. */
  cancelMs: number;
  stateStore: { requestRate: number; writeRate: number; valueBytes: number; txnOps: number };
  cloudRequestRate: number;
  cloudListLagMs: number;
}

/**
 * A guest team comes with zeros alone: it is guaranteed nothing, and nothing limits it but what others leave unused. A
 * team with a limit of CPUs and none of accelerators may have no accelerators.
 */
function limitOf(cpus: number, accelerators: number): ResourceQuota {
  return cpus === 0 ? { cpus: Infinity, accelerators: accelerators || Infinity } : { cpus, accelerators };
}

export class SettingsError extends Error {}

/** Reads the platform's settings; unknown fields are ignored, the first bad one is named. */
export function parseSettings(text: string): Settings {
  let json: unknown;
  try {
    json = JSON.parse(text);
  } catch (error) {
    throw new SettingsError(`not JSON: ${(error as Error).message}`);
  }
  const read = settingsSchema.safeParse(json);
  if (!read.success) {
    const issue = read.error.issues[0];
    throw new SettingsError(`${issue?.path.join('.') || 'settings'}: ${issue?.message ?? 'invalid'}`);
  }
  const s = read.data;
  return {
    member: s.member,
    listen: s.serve_on,
    peerListen: s.cluster_listen,
    peers: s.peers.map((p) => ({ member: p.member, address: p.addr })),
    cloudAddress: s.external.cloud,
    stateStoreAddress: s.external.state,
    teams: s.facts.teams.map((t) => ({
      name: t.name,
      guaranteed: { cpus: t.cpus, accelerators: t.gpus },
      limit: limitOf(t.cpus_max, t.gpus_max),
    })),
    objectives: s.facts.objectives.flatMap((o): Objective[] => {
      if (o.kind === 'guarantee' && o.within_s !== undefined)
        return [{ kind: 'guarantee', withinS: o.within_s }];
      if (o.class === undefined) return [];
      if (o.kind === 'deadline') return [{ kind: 'deadline', workload: o.class, times: o.times ?? 1 }];
      if (o.kind === 'finished' && o.within_s !== undefined) {
        return [{ kind: 'finished', workload: o.class, withinS: o.within_s }];
      }
      return [];
    }),
    heartbeatIntervalMs: s.facts.workers.report_s * 1000,
    leaseMs: s.facts.workers.lease_s * 1000,
    cancelMs: s.facts.workers.cancel_s * 1000,
    stateStore: {
      requestRate: s.facts.state.rps,
      writeRate: s.facts.state.write_rps,
      valueBytes: s.facts.state.value_kb * 1024 - VALUE_MARGIN_BYTES,
      txnOps: s.facts.state.txn_ops,
    },
    cloudRequestRate: s.facts.cloud.rps,
    cloudListLagMs: s.facts.cloud.list_lag_s * 1000,
  };
}
