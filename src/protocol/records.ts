import { z } from 'zod';
import { EDGE_KINDS, type JobSpec } from './jobs';

/*
 * The records that the controllers keep in the state store, by the keys of `keys.ts`. Decoders return null for a value that
 * is malformed. The stored bytes are fixed: controllers of one version and the next read each other's values.
 */

/** Present while a controller's session lease is held; its revision is the member's incarnation. Stored as it is. */
export interface MemberRecord {
  member: string;
}

/** The teams that one controller looks after. Its revision is the partition's epoch and fences all earlier owners. Stored as it is. */
export interface PartitionRecord {
  teams: string[];
  owner: string;
  /** The incarnation of the member that owns it. */
  incarnation: number;
}

/** `deprovisioning`: nothing new is started on the machine and the leader returns it to the cloud. */
export type MachinePhase = 'active' | 'deprovisioning';

/** A machine of a partition. */
export interface MachineRecord {
  partition: string;
  phase: MachinePhase;
  type: string;
  zone: string;
  spot: boolean;
  /** Why it is deprovisioned, for the log. */
  reason?: string;
}

/** A machine and when it came to be as it is. */
export interface FleetEntry {
  record: MachineRecord;
  /** Revision of the write that last changed the record. */
  revision: number;
}

/** `failed` and `dropped` (a job that it abort-depends on failed) are for jobs of pipelines alone. */
export type JobState = 'open' | 'done' | 'cancelled' | 'failed' | 'dropped';

const TERMINAL_STATES = ['done', 'failed', 'dropped'] as const;

/** How a job ended, other than by its user's cancellation. */
export type TerminalState = (typeof TERMINAL_STATES)[number];

/** A job as its batch holds it. */
export interface AcceptedJob {
  spec: JobSpec;
  /** Time of day of the acceptance (ISO 8601), which gives the arrival order. */
  acceptedAt: string;
}

/** How far an open job is, as last written. */
export interface JobProgress {
  /** Tasks known to be done, as ranges ("0-3,7"). May lag behind; a task that is run again ends at once. */
  doneRanges: string;
  /** How many tasks were done and running then, for display. */
  doneCount: number;
  runningCount: number;
  /** Tasks from this index on have never been started by anyone. */
  startWatermark: number;
}

/** Tasks that may be started before the first progress of their job is written. */
export const INITIAL_START_WATERMARK = 8;

/** Field names of one letter, for whole names would be half of the value. */
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

/** A job: its ref, its spec, when it was accepted. */
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

/** One job of a batch. */
export function encodeAcceptedJob({ spec, acceptedAt }: AcceptedJob): unknown {
  return [spec.ref, encodeSpec(spec), acceptedAt];
}

export function decodeBatch(value: unknown): AcceptedJob[] | null {
  const read = batchSchema.safeParse(value);
  if (!read.success) return null;
  return read.data.map(([ref, stored, acceptedAt]) => ({ acceptedAt, spec: decodeSpec(ref, stored) }));
}

const terminalStatesSchema = z.record(z.string(), z.enum(TERMINAL_STATES));

/** Terminal states by the ref of the job; stored as they are. */
export function decodeTerminalStates(value: unknown): Record<string, TerminalState> | null {
  const read = terminalStatesSchema.safeParse(value);
  return read.success ? read.data : null;
}

const assignedMachinesSchema = z.array(z.string());

/** Ids of machines; stored as they are. */
export function decodeAssignedMachines(value: unknown): string[] | null {
  const read = assignedMachinesSchema.safeParse(value);
  return read.success ? read.data : null;
}

const progressSchema = z.record(z.string(), z.tuple([z.string(), z.number(), z.number(), z.number()]));

/** Progress by the ref of the job. */
export function encodeProgress(jobs: ReadonlyMap<string, JobProgress>): object {
  return Object.fromEntries(
    [...jobs].map(([ref, p]) => [ref, [p.doneRanges, p.doneCount, p.runningCount, p.startWatermark]]),
  );
}

export function decodeProgress(value: unknown): Map<string, JobProgress> | null {
  const read = progressSchema.safeParse(value);
  if (!read.success) return null;
  return new Map(
    Object.entries(read.data).map(([ref, [doneRanges, doneCount, runningCount, startWatermark]]) => [
      ref,
      { doneRanges, doneCount, runningCount, startWatermark },
    ]),
  );
}

/** The stored words for the phases of a machine. */
const STORED_PHASES = { active: 'kept', deprovisioning: 'returning' } as const;

/** Machines that are alike, in one group. `why`: the reason. */
const fleetSchema = z.array(
  z.object({
    /** Revision of the write that last changed the records; left out: it was this very write. */
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

/** A machine to be written; `revision` null: the write changes its record. */
export interface FleetWrite {
  record: MachineRecord;
  revision: number | null;
}

/** Machines of one partition by id, those that are alike in one group. */
export function encodeFleet(machines: Iterable<readonly [string, FleetWrite]>): FleetGroup[] {
  const groups = new Map<string, FleetGroup>();
  for (const [id, write] of machines) {
    const { type, zone, spot, phase, reason } = write.record;
    const groupKey = JSON.stringify([write.revision, type, zone, spot, phase, reason]);
    const group = groups.get(groupKey);
    if (group) group.ids.push(id);
    else groups.set(groupKey, newGroup(id, write));
  }
  return [...groups.values()];
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

/** The machines of a fleet value, by id; `revision` is the one of the value. */
export function decodeFleet(
  partition: string,
  value: unknown,
  revision: number,
): Map<string, FleetEntry> | null {
  const read = fleetSchema.safeParse(value);
  if (!read.success) return null;
  const machines = new Map<string, FleetEntry>();
  for (const { since, type, zone, spot, phase, why, ids } of read.data) {
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
