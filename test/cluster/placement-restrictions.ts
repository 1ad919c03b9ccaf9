import { type UserJob } from './submitted-jobs';

/** The properties of a machine that a job may restrict. */
interface RestrictedMachine {
  type: string;
  zone: string;
  spot: boolean;
}

/**
 * Says of each restriction of a job that a machine does not meet how a task on it breaks it. `zones`: the zone of each task of the job
 * that is on a machine, including the task in question.
 */
export function brokenRestrictions(
  job: UserJob,
  machine: RestrictedMachine,
  zones: readonly string[],
): string[] {
  const broken: string[] = [];
  if (!job.spot && machine.spot) broken.push('on a spot machine');
  if (job.zone !== null && machine.zone !== job.zone) broken.push('out of its zone');
  if (job.machineTypes !== null && !job.machineTypes.includes(machine.type))
    broken.push(`on a machine of type ${machine.type}`);
  const inThisZone = zones.filter((zone) => zone === machine.zone).length;
  if (job.spreadZones && inThisZone > Math.ceil(job.tasks / 2))
    broken.push(`one of ${inThisZone} tasks of its job in one zone`);
  if (job.singleZone && new Set(zones).size > 1) broken.push('outside the zone of its job');
  return broken;
}
