import { type Demand } from '../../protocol/peers';
import { type PartitionJob } from './job';
import { type PartitionState } from './partition-state';
import { eligibleZones } from './placement';
import { RemainingQuota } from './remaining-quota';

/**
 * The demands of a partition's pending tasks, in scheduling order. Tasks that need the same machines share a demand, and each team
 * demands no more than its quota allows.
 */
export function partitionDemands(partition: PartitionState, now: number): Demand[] {
  const demandsByKey = new Map<string, Demand>();
  const quota = new RemainingQuota(partition.quota);
  const allZones = new Set([...partition.machineTypes().values()].flatMap((type) => type.zones));
  for (const job of partition.jobsInSchedulingOrder()) {
    if (job.pendingCount === 0 || job.state !== 'open') continue;
    // A job that fails everywhere counts at most with the one task that may be started, so that no machines are provisioned for it.
    const tasks = quota.take(job.spec, Math.min(job.pendingCount, job.maxNewStarts(now)));
    if (tasks > 0) addDemand(demandsByKey, demandOf(partition, job, tasks, allZones));
  }
  return [...demandsByKey.values()];
}

function demandOf(
  partition: PartitionState,
  job: PartitionJob,
  tasks: number,
  allZones: ReadonlySet<string>,
): Demand {
  const { workload, cpus, accelerators, memoryGb, machineTypes, spot, priority } = job.spec;
  const zones = eligibleZones(job.spec, allZones, job.inFlightByZone());
  const expectedS = partition.estimates.expectedSeconds(job.spec);
  return { workload, cpus, accelerators, memoryGb, machineTypes, zones, spot, priority, tasks, expectedS };
}

/** Adds a demand, or adds its tasks to the demand for the same machines. */
function addDemand(demandsByKey: Map<string, Demand>, demand: Demand): void {
  const { workload, cpus, accelerators, memoryGb, machineTypes, zones, spot, tasks, expectedS } = demand;
  const key = JSON.stringify([workload, cpus, accelerators, memoryGb, machineTypes, zones, spot]);
  const existing = demandsByKey.get(key);
  if (!existing) {
    demandsByKey.set(key, demand);
    return;
  }
  existing.expectedS = (existing.expectedS * existing.tasks + expectedS * tasks) / (existing.tasks + tasks);
  existing.tasks += tasks;
  // A job that has waited long may come before more urgent ones; their priority must not be lost.
  existing.priority = Math.min(existing.priority, demand.priority);
}
