import { PRIORITIES, type JobSpec } from '../../protocol/jobs';
import { type Demand, type PartitionLoad } from '../../protocol/peers';
import { type ResourceQuota } from '../../protocol/settings';
import { type PartitionState } from './partition-state';
import { type PartitionJob } from './job';
import { eligibleZones } from './placement';
import { countWithinQuota } from './resources';

/** Share of its expected run time that a task is expected to need at least, however long it has run. */
const MIN_REMAINING_RATIO = 0.2;

/** The load of a partition, as its owner publishes it to the leader. */
export function partitionLoad(partition: PartitionState, now: number): PartitionLoad {
  const { remainingWork, emptyInS } = estimateRemainingWork(partition, now);
  const noResources = { cpus: 0, accelerators: 0, memoryGb: 0 };
  const backlog = PRIORITIES.map(() => 0);
  for (const job of partition.jobsInSchedulingOrder()) {
    const { spec } = job;
    const startable = Math.min(job.pendingCount, job.maxNewStarts(now));
    backlog[spec.priority] =
      (backlog[spec.priority] ?? 0) + startable * spec.cpus * partition.estimates.expectedSeconds(spec);
  }
  return {
    partition: partition.id,
    epoch: partition.epoch,
    unconfirmed: partition.unconfirmedCount,
    remainingWork,
    sinceLastJobS: (now - partition.lastJobArrivalAt) / 1000,
    backlog,
    demands: demands(partition, now),
    machines: [...partition.machines.values()].map((m) => {
      const free = partition.freeOn(m) ?? noResources;
      return {
        machine: m.id,
        tasks: m.tasks.size,
        // Free resources are negative while tasks are stopped to make room, because more is reserved than is free.
        freeCpus: Math.max(0, free.cpus),
        freeMemoryGb: Math.max(0, free.memoryGb),
        freeAccelerators: Math.max(0, free.accelerators),
        idleMs: m.tasks.size > 0 ? 0 : now - m.idleSince,
        sinceHeartbeatMs: m.sinceHeartbeatMs(now),
        quarantined: partition.isQuarantined(m),
        preemptionNotice: m.preemptionDeadline !== null,
        transferTarget: m.transferTarget,
        emptyInS: emptyInS.get(m.id) ?? 0,
      };
    }),
  };
}

function demands(partition: PartitionState, now: number): Demand[] {
  const demandsByKey = new Map<string, Demand>();
  const remainingByTeam = new Map<string, ResourceQuota>();
  const allZones = new Set([...partition.machineTypes().values()].flatMap((t) => t.zones));
  for (const job of partition.jobsInSchedulingOrder()) {
    const { spec } = job;
    if (job.pendingCount === 0 || job.state !== 'open') continue;
    let remaining = remainingByTeam.get(spec.team);
    if (!remaining) remainingByTeam.set(spec.team, (remaining = partition.quota.remaining(spec.team)));
    const allowedByQuota = countWithinQuota(remaining, spec);
    // A job that fails everywhere counts at most with the one task that may be started, so that no machines are provisioned for it.
    const tasks = Math.min(job.pendingCount, job.maxNewStarts(now), allowedByQuota);
    if (tasks === 0) continue;
    remaining.cpus -= tasks * spec.cpus;
    remaining.accelerators -= tasks * spec.accelerators;
    const expectedS = partition.estimates.expectedSeconds(spec);
    const { workload, cpus, accelerators, memoryGb, machineTypes, spot, priority } = spec;
    const zones = eligibleZones(spec, allZones, inFlightByZone(job));
    const key = JSON.stringify([workload, cpus, accelerators, memoryGb, machineTypes, zones, spot]);
    const existing = demandsByKey.get(key);
    if (existing) {
      existing.expectedS =
        (existing.expectedS * existing.tasks + expectedS * tasks) / (existing.tasks + tasks);
      existing.tasks += tasks;
      // A job that was raised by its deadline may come before more urgent ones; their priority must not be lost.
      existing.priority = Math.min(existing.priority, priority);
    } else {
      demandsByKey.set(key, {
        workload,
        cpus,
        accelerators,
        memoryGb,
        machineTypes,
        zones,
        spot,
        priority,
        tasks,
        expectedS,
      });
    }
  }
  return [...demandsByKey.values()];
}

/** Number of tasks in flight in each zone for a job that must share or spread over zones; empty for any other job. */
function inFlightByZone({ spec, inFlight }: PartitionJob): Map<string, number> {
  const zones = new Map<string, number>();
  if (!spec.singleZone && !spec.spreadZones) return zones;
  for (const { record } of inFlight.values()) zones.set(record.zone, (zones.get(record.zone) ?? 0) + 1);
  return zones;
}

/**
 * Estimates the CPU seconds that the tasks on machines still need, by priority, and the seconds until the last task on each machine
 * ends.
 */
function estimateRemainingWork(
  partition: PartitionState,
  now: number,
): { remainingWork: number[]; emptyInS: Map<string, number> } {
  const emptyInS = new Map<string, number>();
  const remainingWork = PRIORITIES.map(() => 0);
  // Expected run times are computed once per job: there are thousands of tasks, but few jobs.
  const expectedByJob = new Map<JobSpec, number>();
  for (const machine of partition.machines.values()) {
    let longestS = 0;
    for (const { spec, runningSince } of machine.tasks.values()) {
      if (!spec) continue;
      const ranS = runningSince === null ? 0 : (now - runningSince) / 1000;
      const expectedS = expectedByJob.get(spec) ?? partition.estimates.expectedSeconds(spec);
      expectedByJob.set(spec, expectedS);
      const remainingS = Math.max(expectedS - ranS, expectedS * MIN_REMAINING_RATIO);
      remainingWork[spec.priority] = (remainingWork[spec.priority] ?? 0) + spec.cpus * remainingS;
      longestS = Math.max(longestS, remainingS);
    }
    if (longestS > 0) emptyInS.set(machine.id, longestS);
  }
  return { remainingWork, emptyInS };
}
