import { type Demand } from '../../protocol/peers';
import { type PartitionJob } from './job';
import { type PartitionState } from './partition-state';
import { eligibleZones } from './placement';
import { RemainingQuota } from './remaining-quota';

/**
 * Bytes that the demands of one partition may take in the load that is sent to the leader. A frame above `MAX_FRAME_BYTES` ends the
 * connection, and jobs may differ in any number of ways, with lists of machine types of any length.
 */
const MAX_DEMANDS_BYTES = 256 * 1024;
/** Bytes of a demand's fields that are numbers. */
const DEMAND_NUMBERS_BYTES = 64;

/**
 * The demands of a partition's pending tasks, in scheduling order. Tasks that need the same machines share a demand, and each team
 * demands no more than its quota allows. Demands beyond `MAX_DEMANDS_BYTES` are left out until others are met.
 */
export function partitionDemands(partition: PartitionState, now: number): Demand[] {
  const demands = new DemandList();
  const quota = new RemainingQuota(partition.quota);
  const allZones = new Set([...partition.machineTypes().values()].flatMap((type) => type.zones));
  for (const job of partition.jobsInSchedulingOrder()) {
    if (job.pendingCount === 0 || job.state !== 'open') continue;
    // A job that fails everywhere counts at most with the one task that may be started, so that no machines are provisioned for it.
    const tasks = quota.take(job.spec, Math.min(job.pendingCount, job.maxNewStarts(now)));
    if (tasks > 0) demands.add(demandOf(partition, job, tasks, allZones));
  }
  return demands.list;
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

/** Demands of limited total size, in the order in which they were added. */
class DemandList {
  private readonly byKey = new Map<string, Demand>();
  private freeBytes = MAX_DEMANDS_BYTES;

  get list(): Demand[] {
    return [...this.byKey.values()];
  }

  /** Adds a demand, or adds its tasks to the demand for the same machines. Ignores a demand that does not fit. */
  add(demand: Demand): void {
    const key = demandKey(demand);
    const existing = this.byKey.get(key);
    if (existing) return addTasks(existing, demand);
    const bytes = Buffer.byteLength(key) + DEMAND_NUMBERS_BYTES;
    if (bytes > this.freeBytes) return;
    this.freeBytes -= bytes;
    this.byKey.set(key, demand);
  }
}

/** Equal for demands for the same machines. At least as long as the text fields of the demand. */
function demandKey(demand: Demand): string {
  const { workload, cpus, accelerators, memoryGb, machineTypes, zones, spot } = demand;
  return JSON.stringify([workload, cpus, accelerators, memoryGb, machineTypes, zones, spot]);
}

function addTasks(existing: Demand, { tasks, expectedS, priority }: Demand): void {
  existing.expectedS = (existing.expectedS * existing.tasks + expectedS * tasks) / (existing.tasks + tasks);
  existing.tasks += tasks;
  // A job that has waited long may come before more urgent ones; their priority must not be lost.
  existing.priority = Math.min(existing.priority, priority);
}
