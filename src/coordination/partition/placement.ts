import { type MachineType } from '../../protocol/cloud';
import { type JobSpec } from '../../protocol/jobs';
import { countFitting } from './resources';

/** A machine type in a zone, at the spot price or on demand. */
export interface MachineKind {
  type: string;
  zone: string;
  /** True for a machine at the spot price, which the cloud may reclaim; false for an on-demand machine. */
  spot: boolean;
}

/** The key of a machine kind in maps. */
export function kindKey({ type, zone, spot }: MachineKind): string {
  return `${type}/${zone}/${spot}`;
}

/** Whether the zones in which a task of a job may run depend on where the other tasks of the job are. */
export function isZoneBound({ singleZone, spreadZones }: JobSpec): boolean {
  return singleZone || spreadZones;
}

/** Whether a job allows a machine's type and its price model (spot or not), in any zone. */
export function allowsMachineType(
  job: { machineTypes: string[] | null; spot: boolean },
  machine: MachineKind,
): boolean {
  if (job.machineTypes && !job.machineTypes.includes(machine.type)) return false;
  return job.spot || !machine.spot;
}

/** Whether a job allows a machine's type, price model and zone. */
export function allowsMachine(
  job: { machineTypes: string[] | null; zone: string | null; spot: boolean },
  machine: MachineKind,
): boolean {
  return (job.zone === null || job.zone === machine.zone) && allowsMachineType(job, machine);
}

/** Number of further tasks of a job that may be placed in a zone, given the number of its tasks in flight in each zone. */
export function remainingInZone(
  spec: JobSpec,
  zone: string,
  inFlightByZone: ReadonlyMap<string, number>,
): number {
  if (spec.singleZone) {
    for (const [other, count] of inFlightByZone) if (other !== zone && count > 0) return 0;
  }
  if (spec.spreadZones) return Math.max(0, Math.ceil(spec.tasks / 2) - (inFlightByZone.get(zone) ?? 0));
  return Number.POSITIVE_INFINITY;
}

/**
 * The zones in which further tasks of a job may be started, given the number of its tasks in flight in each zone; null if all zones
 * are allowed. Machines provisioned in any other zone would leave the job pending forever.
 */
export function eligibleZones(
  spec: JobSpec,
  zones: Iterable<string>,
  inFlightByZone: ReadonlyMap<string, number>,
): string[] | null {
  if (spec.zone !== null) return [spec.zone];
  if (inFlightByZone.size === 0 || !isZoneBound(spec)) return null;
  return [...zones].filter((zone) => remainingInZone(spec, zone, inFlightByZone) > 0);
}

/** The reason why a job can never run; null if there is none. */
export function infeasibleReason(
  spec: JobSpec,
  catalog: readonly MachineType[],
  limit: { cpus: number; accelerators: number },
): string | null {
  if (spec.cpus > limit.cpus || spec.accelerators > limit.accelerators) {
    return `a task needs more than the limit of team ${spec.team}`;
  }
  const fitting = catalog.filter(
    (t) =>
      (!spec.machineTypes || spec.machineTypes.includes(t.name)) &&
      (spec.zone === null || t.zones.includes(spec.zone)) &&
      countFitting(t, spec) >= 1,
  );
  if (fitting.length === 0) return 'a task fits no allowed machine type';
  return null;
}
