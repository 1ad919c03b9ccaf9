import { type PartitionJob } from './job';
import { type MachineState } from './machine';

/**
 * Drops the failures of machines and jobs that have recovered: a task that was started after the failures runs for longer than those
 * that failed. Without this, an array of long tasks would be started one task at a time until the first of them is done.
 */
export function dropOutlivedFailures(
  machines: ReadonlyMap<string, MachineState>,
  jobs: ReadonlyMap<string, PartitionJob>,
): void {
  for (const machine of machines.values()) if (!machine.failures.isEmpty) dropOutlivedOn(machine, jobs);
  for (const job of jobs.values()) {
    if (!job.failures.isOutlived) continue;
    job.failures.drop();
    for (const machine of machines.values()) machine.failures.dropJob(job.ref);
  }
}

function dropOutlivedOn(
  { failures, tasks, lastHeartbeatAt }: MachineState,
  jobs: ReadonlyMap<string, PartitionJob>,
): void {
  failures.retainJobs(jobs);
  if (lastHeartbeatAt === null) return;
  for (const task of tasks.values()) failures.dropOutlived(task, lastHeartbeatAt);
}
