import { z } from 'zod';
import { EDGE_KINDS, type JobSpec } from './jobs';

export {
  decodeFleet,
  encodeFleet,
  FleetValueBuilder,
  type FleetEntry,
  type FleetWrite,
  type MachinePhase,
  type MachineRecord,
} from './fleet-records';

/*
 * The records that the controllers keep in the state store under the keys of `keys.ts`. Decoders return null for a malformed
 * value. The stored bytes are fixed, because controllers of one version and the next read each other's values.
 */

/** Present while a controller's session lease is held; its revision is the member's incarnation. Stored as is. */
export interface MemberRecord {
  member: string;
}

/**
 * The teams whose jobs one controller schedules. The record's revision is the partition's epoch, which fences all earlier
 * owners. Stored as is.
 */
export interface PartitionRecord {
  teams: string[];
  owner: string;
  /** The incarnation of the owning member. */
  incarnation: number;
}

/**
 * `failed` and `dropped` occur only in pipelines. `dropped`: a job on which this job has an `abort` dependency failed, was cancelled
 * or was itself dropped.
 */
export type JobState = 'open' | 'done' | 'cancelled' | 'failed' | 'dropped';

const TERMINAL_STATES = ['done', 'failed', 'dropped'] as const;

/** The state in which a job ended, other than by its user's cancellation. */
export type TerminalState = (typeof TERMINAL_STATES)[number];

/** A job as its batch holds it. */
export interface AcceptedJob {
  spec: JobSpec;
  /** Wall-clock time of the acceptance (ISO 8601), which determines the arrival order. */
  acceptedAt: string;
}

/** The last written progress of an open job. */
export interface JobProgress {
  /** Tasks known to be done, as ranges ("0-3,7"). May lag behind; a done task that is therefore run again ends at once. */
  doneRanges: string;
  /** Number of tasks that were done and running at that time, for display. */
  doneCount: number;
  runningCount: number;
  /** No task with this index or a higher one has ever been started. */
  startWatermark: number;
}

/** Number of tasks that may be started before the first progress of their job is written. */
export const INITIAL_START_WATERMARK = 8;

/** The stored form of a job spec. Field names have one letter, because full names would take half of the value. */
const storedSpecSchema = z.object({
  w: z.string(),
  t: z.string(),
  r: z.number(),
  n: z.number(),
  c: z.number(),
  a: z.number(),
  m: z.number(),
  i: z.string(),
  g: z.number(),
  y: z.array(z.string()).nullable(),
  z: z.string().nullable(),
  b: z.number(),
  e: z.number(),
  k: z.number(),
  s: z.number(),
  d: z.number().nullable(),
  p: z
    .object({
      ref: z.string(),
      after: z.array(z.object({ job: z.string(), kind: z.enum(EDGE_KINDS) })),
      reExecutable: z.boolean(),
      alternateFor: z.string().nullable(),
    })
    .optional(),
});
type StoredSpec = z.infer<typeof storedSpecSchema>;

/** The jobs of a batch, each with its ref, its spec and the time of its acceptance. */
const batchSchema = z.array(z.tuple([z.string(), storedSpecSchema, z.string()]));

/** Bits of the stored field `b`. */
const SINGLE_ZONE_FLAG = 1;
const SPREAD_ZONES_FLAG = 2;
const SPOT_FLAG = 4;

function encodeFlags({ singleZone, spreadZones, spot }: JobSpec): number {
  return (singleZone ? SINGLE_ZONE_FLAG : 0) + (spreadZones ? SPREAD_ZONES_FLAG : 0) + (spot ? SPOT_FLAG : 0);
}

function encodeSpec(spec: JobSpec): StoredSpec {
  return {
    w: spec.workload,
    t: spec.team,
    r: spec.priority,
    n: spec.tasks,
    c: spec.cpus,
    a: spec.accelerators,
    m: spec.memoryGb,
    i: spec.image,
    g: spec.imageGb,
    y: spec.machineTypes,
    z: spec.zone,
    b: encodeFlags(spec),
    e: spec.expectedS,
    k: spec.checkpointIntervalS,
    s: spec.checkpointDurationS,
    d: spec.deadlineS,
    ...(spec.pipeline ? { p: spec.pipeline } : {}),
  };
}

function decodeSpec(ref: string, stored: StoredSpec): JobSpec {
  return {
    ref,
    workload: stored.w,
    team: stored.t,
    priority: stored.r,
    tasks: stored.n,
    cpus: stored.c,
    accelerators: stored.a,
    memoryGb: stored.m,
    image: stored.i,
    imageGb: stored.g,
    machineTypes: stored.y,
    zone: stored.z,
    expectedS: stored.e,
    singleZone: (stored.b & SINGLE_ZONE_FLAG) > 0,
    spreadZones: (stored.b & SPREAD_ZONES_FLAG) > 0,
    spot: (stored.b & SPOT_FLAG) > 0,
    checkpointIntervalS: stored.k,
    checkpointDurationS: stored.s,
    deadlineS: stored.d,
    pipeline: stored.p ?? null,
  };
}

/** Encodes one job of a batch. */
export function encodeAcceptedJob({ spec, acceptedAt }: AcceptedJob): unknown {
  return [spec.ref, encodeSpec(spec), acceptedAt];
}

export function decodeBatch(value: unknown): AcceptedJob[] | null {
  const parsed = batchSchema.safeParse(value);
  if (!parsed.success) return null;
  return parsed.data.map(([ref, stored, acceptedAt]) => ({ acceptedAt, spec: decodeSpec(ref, stored) }));
}

const terminalStatesSchema = z.record(z.string(), z.enum(TERMINAL_STATES));

/** Decodes terminal states by job ref, which are stored as is. */
export function decodeTerminalStates(value: unknown): Record<string, TerminalState> | null {
  const parsed = terminalStatesSchema.safeParse(value);
  return parsed.success ? parsed.data : null;
}

const assignedMachinesSchema = z.array(z.string());

/** Decodes ids of assigned machines, which are stored as is. */
export function decodeAssignedMachines(value: unknown): string[] | null {
  const parsed = assignedMachinesSchema.safeParse(value);
  return parsed.success ? parsed.data : null;
}

const progressSchema = z.record(z.string(), z.tuple([z.string(), z.number(), z.number(), z.number()]));

/** Encodes progress by job ref. */
export function encodeProgress(jobs: ReadonlyMap<string, JobProgress>): object {
  return Object.fromEntries(
    [...jobs].map(([ref, p]) => [ref, [p.doneRanges, p.doneCount, p.runningCount, p.startWatermark]]),
  );
}

export function decodeProgress(value: unknown): Map<string, JobProgress> | null {
  const parsed = progressSchema.safeParse(value);
  if (!parsed.success) return null;
  return new Map(
    Object.entries(parsed.data).map(([ref, [doneRanges, doneCount, runningCount, startWatermark]]) => [
      ref,
      { doneRanges, doneCount, runningCount, startWatermark },
    ]),
  );
}
