import { z } from 'zod';
import { EDGE_KINDS, type JobSpec } from './jobs';

/**
 * What the controllers keep in the state service. All keys share one prefix, so that one watch brings every
 * controller the whole picture in the order of the changes. Changes are what the state service has least of:
 * wherever many things change together they share a value.
 */
export const KEY_PREFIX = 'hb/';
export const keys = {
  member: (member: string): string => `${KEY_PREFIX}member/${member}`,
  leader: `${KEY_PREFIX}leader`,
  catalog: `${KEY_PREFIX}catalog`,
  partition: (partition: string): string => `${KEY_PREFIX}part/${partition}`,
  /** Jobs accepted together; written once, never changed. */
  batch: (name: string): string => `${KEY_PREFIX}batch/${name}`,
  /** Present once the job's user has cancelled it; written once. */
  cancel: (ref: string): string => `${KEY_PREFIX}cancel/${ref}`,
  /** How jobs of a partition ended; filled one after the other. */
  terminalStates: (partition: string, n: number): string => `${KEY_PREFIX}final/${partition}/${n}`,
  /** Progress of a partition's open jobs. */
  progress: (partition: string, n: number): string => `${KEY_PREFIX}progress/${partition}/${n}`,
  /** Machines of a partition that tasks may have been started on: told before the first start. */
  assignedMachines: (partition: string, n: number): string => `${KEY_PREFIX}opened/${partition}/${n}`,
  /** Machines of a partition. */
  fleet: (partition: string, name: string): string => `${KEY_PREFIX}fleet/${partition}/${name}`,
  /** Never written: asking for it tells the store's revision. */
  neverWritten: `${KEY_PREFIX}nothing`,
};

/** The kinds of keys that hold a partition's name, and that name. */
export function partitionOfKey(key: string): string {
  return key.split('/')[2] ?? '';
}

/** The name of a value that a leader first writes machines to. */
export function initialFleetValueName(leaderTerm: number, n: number): string {
  return `${leaderTerm}-${n}`;
}

/** Which leader, by its version, first wrote the value of this key; null: an owner did, by moving machines. */
export function leaderTermOfFleetKey(key: string): number | null {
  const term = /^(\d+)-\d+$/.exec(key.split('/')[3] ?? '')?.[1];
  return term === undefined ? null : Number(term);
}

/** Present while a controller's session lease lives; its version is the controller's incarnation. */
export interface MemberRecord {
  member: string;
}

/** A partition: teams that one controller looks after. Its version fences all earlier owners. */
export interface PartitionRecord {
  teams: string[];
  owner: string;
  incarnation: number;
}

/** `deprovisioning`: nothing new is started on the machine and the leader returns it to the cloud. */
export type MachinePhase = 'active' | 'deprovisioning';

/** The stored words for the phases. */
const STORED_PHASES = { active: 'kept', deprovisioning: 'returning' } as const;

/** A machine as stored in its partition's fleet value. */
export interface MachineRecord {
  partition: string;
  phase: MachinePhase;
  type: string;
  zone: string;
  spot: boolean;
  /** Why it is returned, for the log. */
  reason?: string;
}

/** A machine as its partition's value has it. */
export interface FleetEntry {
  record: MachineRecord;
  /** Revision at which it came to stand as it does. */
  revision: number;
}

/** `failed` and `dropped` (what it abort-depends on failed) are for jobs of pipelines alone. */
export type JobState = 'open' | 'done' | 'cancelled' | 'failed' | 'dropped';
const TERMINAL_STATES = ['done', 'failed', 'dropped'] as const;
/** How a job ended, other than by its user's will. */
export type TerminalState = (typeof TERMINAL_STATES)[number];

/** What a batch says of a job. */
export interface AcceptedJob {
  spec: JobSpec;
  /** Time of day of the acceptance (ISO), which gives the arrival order. */
  acceptedAt: string;
}

/** How far an open job is, as last written. */
export interface JobProgress {
  /** Tasks known to be done, as ranges ("0-3,7"). May lag behind; a task run again ends at once. */
  doneRanges: string;
  /** How many tasks were done and running then, for display. */
  doneCount: number;
  runningCount: number;
  /** Tasks from this number on have never been started by anyone. */
  startWatermark: number;
}

/** Tasks that may be started before the first progress of their job is written. */
export const INITIAL_START_WATERMARK = 8;

// A batch: one array a job, in the order of the fields of JobSpec, for names would be half of the value.
const batchSchema = z.array(
  z.tuple([
    z.string(),
    z.object({
      ...{ w: z.string(), t: z.string(), r: z.number(), n: z.number(), c: z.number(), a: z.number() },
      ...{ m: z.number(), i: z.string(), g: z.number(), y: z.array(z.string()).nullable() },
      ...{ z: z.string().nullable(), b: z.number(), e: z.number(), k: z.number(), s: z.number() },
      d: z.number().nullable(),
      p: z
        .object({
          ref: z.string(),
          after: z.array(z.object({ job: z.string(), kind: z.enum(EDGE_KINDS) })),
          reExecutable: z.boolean(),
          alternateFor: z.string().nullable(),
        })
        .optional(),
    }),
    z.string(),
  ]),
);

const SINGLE_ZONE_FLAG = 1;
const SPREAD_ZONES_FLAG = 2;
const SPOT_FLAG = 4;

export function encodeAccepted({ spec, acceptedAt }: AcceptedJob): unknown {
  const flags =
    (spec.singleZone ? SINGLE_ZONE_FLAG : 0) +
    (spec.spreadZones ? SPREAD_ZONES_FLAG : 0) +
    (spec.spot ? SPOT_FLAG : 0);
  const short = {
    ...{
      w: spec.workload,
      t: spec.team,
      r: spec.priority,
      n: spec.tasks,
      c: spec.cpus,
      a: spec.accelerators,
    },
    ...{ m: spec.memoryGb, i: spec.image, g: spec.imageGb, y: spec.machineTypes, z: spec.zone, b: flags },
    ...{ e: spec.expectedS, k: spec.checkpointIntervalS, s: spec.checkpointDurationS, d: spec.deadlineS },
    ...(spec.pipeline ? { p: spec.pipeline } : {}),
  };
  return [spec.ref, short, acceptedAt];
}

/** Null if it is malformed. */
export function decodeBatch(value: unknown): AcceptedJob[] | null {
  const read = batchSchema.safeParse(value);
  if (!read.success) return null;
  return read.data.map(([ref, j, acceptedAt]) => ({
    acceptedAt,
    spec: {
      ...{ ref, workload: j.w, team: j.t, priority: j.r, tasks: j.n, cpus: j.c, accelerators: j.a },
      ...{ memoryGb: j.m, image: j.i, imageGb: j.g, machineTypes: j.y, zone: j.z, expectedS: j.e },
      ...{
        singleZone: (j.b & SINGLE_ZONE_FLAG) > 0,
        spreadZones: (j.b & SPREAD_ZONES_FLAG) > 0,
        spot: (j.b & SPOT_FLAG) > 0,
      },
      ...{ checkpointIntervalS: j.k, checkpointDurationS: j.s, deadlineS: j.d, pipeline: j.p ?? null },
    },
  }));
}

const terminalStatesSchema = z.record(z.string(), z.enum(TERMINAL_STATES));

export function decodeTerminalStates(value: unknown): Record<string, TerminalState> | null {
  const read = terminalStatesSchema.safeParse(value);
  return read.success ? read.data : null;
}

const assignedMachinesSchema = z.array(z.string());

export function decodeAssignedMachines(value: unknown): string[] | null {
  const read = assignedMachinesSchema.safeParse(value);
  return read.success ? read.data : null;
}

const progressSchema = z.record(z.string(), z.tuple([z.string(), z.number(), z.number(), z.number()]));

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

const fleetSchema = z.array(
  z.object({
    /** Left out: the machines came to stand so with this very write. */
    since: z.number().optional(),
    ...{ type: z.string(), zone: z.string(), spot: z.boolean(), phase: z.enum(['kept', 'returning']) },
    why: z.string().optional(),
    ids: z.array(z.string()),
  }),
);
type FleetGroup = z.infer<typeof fleetSchema>[number];

/** Machines of a partition, those that are alike in one group. `version` null: changed by this write. */
export function encodeFleet(
  machines: Iterable<readonly [string, { record: MachineRecord; revision: number | null }]>,
): FleetGroup[] {
  const groups = new Map<string, FleetGroup>();
  for (const [id, { record, revision }] of machines) {
    const { type, zone, spot, phase, reason } = record;
    const groupKey = JSON.stringify([revision, type, zone, spot, phase, reason]);
    const group = groups.get(groupKey);
    if (group) group.ids.push(id);
    else {
      groups.set(groupKey, {
        ...(revision === null ? {} : { since: revision }),
        ...{ type, zone, spot, phase: STORED_PHASES[phase], ids: [id] },
        ...(reason === undefined ? {} : { why: reason }),
      });
    }
  }
  return [...groups.values()];
}

export function decodeFleet(
  partition: string,
  value: unknown,
  revision: number,
): Map<string, FleetEntry> | null {
  const read = fleetSchema.safeParse(value);
  if (!read.success) return null;
  const machines = new Map<string, FleetEntry>();
  for (const { since, type, zone, spot, phase, why: reason, ids } of read.data) {
    const record: MachineRecord = {
      partition,
      phase: phase === STORED_PHASES.active ? 'active' : 'deprovisioning',
      type,
      zone,
      spot,
      ...(reason === undefined ? {} : { reason }),
    };
    for (const id of ids) machines.set(id, { record, revision: since ?? revision });
  }
  return machines;
}

/** Writes a set of task numbers as ranges, leaving out what goes beyond `maxLength` characters. */
export function encodeRanges(done: Uint8Array, isDone: (v: number) => boolean, maxLength: number): string {
  let text = '';
  for (let i = 0; i < done.length; i++) {
    if (!isDone(done[i] as number)) continue;
    let end = i;
    while (end + 1 < done.length && isDone(done[end + 1] as number)) end++;
    const range = `${text ? ',' : ''}${i}${end > i ? `-${end}` : ''}`;
    if (text.length + range.length > maxLength) break;
    text += range;
    i = end;
  }
  return text;
}

export function decodeRanges(text: string): [number, number][] {
  if (!text) return [];
  return text.split(',').map((range) => {
    const [from, to] = range.split('-');
    return [Number(from), Number(to ?? from)];
  });
}
