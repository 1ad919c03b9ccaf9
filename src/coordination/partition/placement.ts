import { type MachineType } from '../../protocol/cloud';
import { type JobSpec } from '../../protocol/jobs';
import { countFitting } from './resources';

interface MachineKind {
  type: string;
  zone: string;
  spot: boolean;
}

/** Whether a type, bought in this way, is allowed, wherever it is. */
export function allowsMachineType(
  job: { machineTypes: string[] | null; spot: boolean },
  machine: MachineKind,
): boolean {
  if (job.machineTypes && !job.machineTypes.includes(machine.type)) return false;
  return job.spot || !machine.spot;
}

/** Whether a job allows a kind of machine at all. */
export function allowsMachine(
  job: { machineTypes: string[] | null; zone: string | null; spot: boolean },
  machine: MachineKind,
): boolean {
  return (job.zone === null || job.zone === machine.zone) && allowsMachineType(job, machine);
}

/** How many more tasks of a job a zone may take, given where its tasks are in flight to be now. */
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
 * The zones in which more tasks of a job may start, given where they are in flight to be now; null: all. Room elsewhere is
 * none for it, and machines provisioned there would leave it pending for ever.
 */
export function eligibleZones(
  spec: JobSpec,
  zones: Iterable<string>,
  inFlightByZone: ReadonlyMap<string, number>,
): string[] | null {
  if (spec.zone !== null) return [spec.zone];
  if (inFlightByZone.size === 0 || !(spec.singleZone || spec.spreadZones)) return null;
  return [...zones].filter((zone) => remainingInZone(spec, zone, inFlightByZone) > 0);
}

/** Why a job can never run, or null. */
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
