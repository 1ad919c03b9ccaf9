import { type PartitionJob } from './job';
import { type MachineState } from './machine';
import { isQuarantined, maxStartsOfJob } from './machine-failures';

/** What is kept from machines because of task failures. The names are part of `GET /status`. */
export interface FailureSummary {
  /** Number of machines that are given no task, because they are considered the cause of failures on them. */
  quarantinedMachines: number;
  /** Number of open jobs with pending tasks that are not started on some machine now, because they failed there. */
  avoidingJobs: number;
  /** Number of open jobs that are retried with one task at a time, because they fail everywhere. */
  failingJobs: number;
}

/** Counts what is kept from machines because of task failures. Costs as many steps as there are pairs of machine and failed job. */
export function failureSummary(
  machines: Iterable<MachineState>,
  jobs: ReadonlyMap<string, PartitionJob>,
  now: number,
): FailureSummary {
  const avoiding = new Set<PartitionJob>();
  let quarantinedMachines = 0;
  for (const machine of machines) {
    if (isQuarantined(machine, jobs, now)) quarantinedMachines++;
    for (const ref of machine.failures.jobs) {
      const job = jobs.get(ref);
      if (job && job.pendingCount > 0 && maxStartsOfJob(job, machine, now) === 0) avoiding.add(job);
    }
  }
  const failingJobs = [...jobs.values()].filter((job) => job.failsEverywhere).length;
  return { quarantinedMachines, avoidingJobs: avoiding.size, failingJobs };
}
