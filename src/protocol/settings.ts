import { z } from 'zod';
import { ConfigError } from './config-error';
import { MAX_TRANSACTION_BYTES } from './store';

/*
 * The platform's settings, which it writes as JSON for each controller. Field names are the platform's: `serve_on` is the
 * address for users and workers, `cluster_listen` the address for peers, `external` the addresses of the cloud and the state
 * store, `facts` what holds for the whole cluster, `report_s` the heartbeat interval.
 */

const address = z.string().regex(/^[0-9.]+:[0-9]+$/, 'must be an IPv4 address and a port');
const amount = z.number().nonnegative();
/** About the size of the smallest stored job with `VALUE_MARGIN_BYTES` and the overhead of a batch. */
const MIN_VALUE_KB = 0.3;

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
      value_kb: z.number().min(MIN_VALUE_KB, `must be at least ${MIN_VALUE_KB}: no job fits into less`),
      txn_ops: z.number().int().positive(),
    }),
    cloud: z.object({ rps: z.number().positive(), list_lag_s: amount }),
  }),
});

type RawSettings = z.infer<typeof settingsSchema>;

/** Values stay below the store's limit by this much, because the store may reject a value that fills it to the last byte. */
const VALUE_MARGIN_BYTES = 64;

/** A value must also fit into a transaction, with its key and conditions. */
const MAX_VALUE_BYTES = MAX_TRANSACTION_BYTES - 8 * 1024;

/** A team and its share of the cluster. */
export interface Team {
  name: string;
  guaranteed: ResourceQuota;
  /** Total that its running tasks may use; infinite where nothing limits it. */
  limit: ResourceQuota;
}

/** The resources by which the cluster is divided between teams. */
export interface ResourceQuota {
  cpus: number;
  accelerators: number;
}

/** A service objective that the operator sets for a workload. Other kinds concern no single job and are ignored. */
export type Objective =
  /** A job of the workload is to be done within this multiple of the deadline that it was submitted with. */
  | { kind: 'deadline'; workload: string; times: number }
  /** A job of the workload is to be done within this time after its submission. */
  | { kind: 'finished'; workload: string; withinS: number }
  /** For all workloads: a task within its team's guarantee is to start within this time. */
  | { kind: 'guarantee'; withinS: number };

/** The settings of one controller. Rates are per second and shared by all controllers. */
export interface Settings {
  member: string;
  listenAddress: string;
  peerListenAddress: string;
  peers: { member: string; address: string }[];
  cloudAddress: string;
  stateStoreAddress: string;
  teams: Team[];
  objectives: Objective[];
  heartbeatIntervalMs: number;
  /** A worker whose lease has not been renewed for this long stops its tasks. */
  workerLeaseMs: number;
  /** The tasks of a cancelled job must have ended within this time after its user received the response. */
  cancellationDeadlineMs: number;
  stateStoreLimits: { requestRate: number; writeRate: number; valueBytes: number; txnOps: number };
  cloudRequestRate: number;
  cloudListLagMs: number;
}

/**
 * The limit of a team. A team whose limits are all zero is a guest: it has no guarantee, and nothing limits it but what others
 * leave unused. A team with a limit of CPUs and none of accelerators may use no accelerators. A limit of accelerators alone leaves
 * the CPUs unlimited.
 */
function limitOf(cpus: number, accelerators: number): ResourceQuota {
  return cpus === 0 ? { cpus: Infinity, accelerators: accelerators || Infinity } : { cpus, accelerators };
}

/** An error in the settings; the message names the first invalid field. */
export class SettingsError extends ConfigError {
  constructor(message: string, cause?: unknown) {
    super('ERR_INVALID_SETTINGS', message, cause);
  }
}

/**
 * Parses the platform's settings; unknown fields are ignored.
 *
 * @throws SettingsError if the text is not JSON, or a field is missing or invalid.
 */
export function parseSettings(text: string): Settings {
  let json: unknown;
  try {
    json = JSON.parse(text);
  } catch (error) {
    throw new SettingsError(`not JSON: ${(error as Error).message}`, error);
  }
  const parsed = settingsSchema.safeParse(json);
  if (!parsed.success) {
    const issue = parsed.error.issues[0];
    throw new SettingsError(
      `${issue?.path.join('.') || 'settings'}: ${issue?.message ?? 'invalid'}`,
      parsed.error,
    );
  }
  const raw = parsed.data;
  return {
    member: raw.member,
    listenAddress: raw.serve_on,
    peerListenAddress: raw.cluster_listen,
    peers: raw.peers.map((p) => ({ member: p.member, address: p.addr })),
    cloudAddress: raw.external.cloud,
    stateStoreAddress: raw.external.state,
    teams: raw.facts.teams.map(toTeam),
    objectives: raw.facts.objectives.flatMap(toObjectives),
    heartbeatIntervalMs: raw.facts.workers.report_s * 1000,
    workerLeaseMs: raw.facts.workers.lease_s * 1000,
    cancellationDeadlineMs: raw.facts.workers.cancel_s * 1000,
    stateStoreLimits: {
      requestRate: raw.facts.state.rps,
      writeRate: raw.facts.state.write_rps,
      valueBytes: Math.min(raw.facts.state.value_kb * 1024 - VALUE_MARGIN_BYTES, MAX_VALUE_BYTES),
      txnOps: raw.facts.state.txn_ops,
    },
    cloudRequestRate: raw.facts.cloud.rps,
    cloudListLagMs: raw.facts.cloud.list_lag_s * 1000,
  };
}

function toTeam({ name, cpus, cpus_max, gpus, gpus_max }: RawSettings['facts']['teams'][number]): Team {
  return { name, guaranteed: { cpus, accelerators: gpus }, limit: limitOf(cpus_max, gpus_max) };
}

function toObjectives(raw: RawSettings['facts']['objectives'][number]): Objective[] {
  const { kind, class: workload, within_s: withinS, times } = raw;
  if (kind === 'guarantee' && withinS !== undefined) return [{ kind, withinS }];
  if (workload === undefined) return [];
  if (kind === 'deadline') return [{ kind, workload, times: times ?? 1 }];
  if (kind === 'finished' && withinS !== undefined) return [{ kind, workload, withinS }];
  return [];
}
