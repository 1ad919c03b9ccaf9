import { z } from 'zod';
import { EDGE_KINDS, type JobSpec } from './jobs';
import { jsonBytes } from './store';

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

/** `deprovisioning`: no new tasks are started on the machine, and the leader returns it to the cloud. */
export type MachinePhase = 'active' | 'deprovisioning';

/** A machine of a partition. */
export interface MachineRecord {
  partition: string;
  phase: MachinePhase;
  type: string;
  zone: string;
  spot: boolean;
  /** The reason why it is deprovisioned, for the log. */
  reason?: string;
}

/** A machine's record and when it last changed. */
export interface FleetEntry {
  record: MachineRecord;
  /** Revision of the write that last changed the record. */
  revision: number;
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

/** The stored names of the phases of a machine. */
const STORED_PHASES = { active: 'kept', deprovisioning: 'returning' } as const;

/** A fleet value: groups of machines whose records are equal. `why` is the reason for the deprovisioning. */
const fleetSchema = z.array(
  z.object({
    /** Revision of the write that last changed the records; omitted if it was the write of this value. */
    since: z.number().optional(),
    type: z.string(),
    zone: z.string(),
    spot: z.boolean(),
    phase: z.enum([STORED_PHASES.active, STORED_PHASES.deprovisioning]),
    why: z.string().optional(),
    ids: z.array(z.string()),
  }),
);
type FleetGroup = z.infer<typeof fleetSchema>[number];

/** A machine to be written; `revision` is null if this write changes its record. */
export interface FleetWrite {
  record: MachineRecord;
  revision: number | null;
}

/** Encodes machines of one partition, by id. Machines with equal records and revisions share a group. */
export function encodeFleet(machines: Iterable<readonly [string, FleetWrite]>): FleetGroup[] {
  const builder = new FleetValueBuilder();
  for (const [id, write] of machines) builder.tryAdd(id, write, Infinity);
  return builder.groups;
}

/** Size in bytes of an empty JSON array, and of the comma between two elements. */
const EMPTY_ARRAY_BYTES = 2;
const COMMA_BYTES = 1;

/** Builds a fleet value machine by machine, up to a size in bytes. */
export class FleetValueBuilder {
  private readonly groupsByKey = new Map<string, FleetGroup>();
  private encodedBytes = EMPTY_ARRAY_BYTES;

  get groups(): FleetGroup[] {
    return [...this.groupsByKey.values()];
  }

  /** Adds a machine unless the encoded value would then exceed `maxBytes`. Returns whether it was added. */
  tryAdd(id: string, write: FleetWrite, maxBytes: number): boolean {
    const key = groupKey(write);
    const known = this.groupsByKey.get(key);
    const group = known ?? newGroup(id, write);
    const separatorBytes = this.groupsByKey.size > 0 ? COMMA_BYTES : 0;
    const addedBytes = separatorBytes + jsonBytes(known ? id : group);
    if (this.encodedBytes + addedBytes > maxBytes) return false;
    this.encodedBytes += addedBytes;
    if (known) known.ids.push(id);
    else this.groupsByKey.set(key, group);
    return true;
  }
}

function groupKey({ record, revision }: FleetWrite): string {
  const { type, zone, spot, phase, reason } = record;
  return JSON.stringify([revision, type, zone, spot, phase, reason]);
}

function newGroup(id: string, { record, revision }: FleetWrite): FleetGroup {
  const { type, zone, spot, phase, reason } = record;
  return {
    ...(revision === null ? {} : { since: revision }),
    type,
    zone,
    spot,
    phase: STORED_PHASES[phase],
    ids: [id],
    ...(reason === undefined ? {} : { why: reason }),
  };
}

/** Decodes the machines of a fleet value, by id; `revision` is that of the value. */
export function decodeFleet(
  partition: string,
  value: unknown,
  revision: number,
): Map<string, FleetEntry> | null {
  const parsed = fleetSchema.safeParse(value);
  if (!parsed.success) return null;
  const machines = new Map<string, FleetEntry>();
  for (const { since, type, zone, spot, phase, why, ids } of parsed.data) {
    const record: MachineRecord = {
      partition,
      phase: phase === STORED_PHASES.active ? 'active' : 'deprovisioning',
      type,
      zone,
      spot,
      ...(why === undefined ? {} : { reason: why }),
    };
    for (const id of ids) machines.set(id, { record, revision: since ?? revision });
  }
  return machines;
}
