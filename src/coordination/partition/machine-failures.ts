/** Which machines are considered the cause of task failures. */
import { type PartitionJob } from './job';
import { type MachineState } from './machine';

/** Number of failures on a machine without a success in between after which it is quarantined. */
const QUARANTINE_FAILURE_COUNT = 3;

/**
 * Whether a machine is considered the cause of task failures on it. The failures of a job count against the machine if any task
 * of the job has succeeded, or if no task ever succeeded on the machine. Other jobs that have failed on the machine count once
 * each, so that only several of them quarantine it. The failures of a job that fails everywhere never count: it is
 * faulty, and healthy machines would be deprovisioned because of it.
 */
export function isQuarantined(machine: MachineState, jobs: ReadonlyMap<string, PartitionJob>): boolean {
  let failures = 0;
  let unprovenJobs = 0;
  for (const [ref, n] of machine.failuresByJob) {
    const job = jobs.get(ref);
    if (!job || job.failsEverywhere) continue;
    if (job.doneCount > 0 || !machine.hadTaskSuccess) failures += n;
    else unprovenJobs++;
  }
  return failures >= QUARANTINE_FAILURE_COUNT || unprovenJobs >= QUARANTINE_FAILURE_COUNT;
}

/**
 * Whether a job is not started on a machine because it has succeeded nowhere and fails there. Running it on another machine shows
 * whether the job or the machine is faulty.
 */
export function avoidsMachine(job: PartitionJob, machine: MachineState): boolean {
  return job.doneCount === 0 && (machine.failuresByJob.get(job.ref) ?? 0) >= QUARANTINE_FAILURE_COUNT;
}
