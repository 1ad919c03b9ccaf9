import { z } from 'zod';
import { jsonBytes } from './store';

/*
 * The records of machines. A fleet value in the state store holds those of several machines of one partition, in groups of equal
 * records. The stored bytes are fixed, because controllers of one version and the next read each other's values.
 */

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
