import { PRIORITIES, type JobSpec } from '../../protocol/jobs';
import { type MachineLoad, type PartitionLoad } from '../../protocol/peers';
import { type MachineState } from './machine';
import { partitionDemands } from './partition-demands';
import { type PartitionState } from './partition-state';
import { type Resources } from './resources';

/** Share of its expected run time that a task is expected to need at least, however long it has run. */
const MIN_REMAINING_RATIO = 0.2;
const NO_RESOURCES: Readonly<Resources> = { cpus: 0, accelerators: 0, memoryGb: 0 };

/** The load of a partition, as its owner publishes it to the leader. */
export function partitionLoad(partition: PartitionState, now: number): PartitionLoad {
  const { remainingWork, emptyInS } = estimateRemainingWork(partition, now);
  const machines = [...partition.machines.values()];
  return {
    partition: partition.id,
    epoch: partition.epoch,
    unconfirmed: partition.unconfirmedCount,
    remainingWork,
    sinceLastJobS: (now - partition.lastJobArrivalAt) / 1000,
    backlog: backlogByPriority(partition, now),
    demands: partitionDemands(partition, now),
    machines: machines.map((machine) => machineLoad(partition, machine, emptyInS.get(machine.id) ?? 0, now)),
  };
}

/** The CPU seconds that the pending tasks are expected to take, by priority. */
function backlogByPriority(partition: PartitionState, now: number): number[] {
  const backlog = PRIORITIES.map(() => 0);
  for (const job of partition.jobsInSchedulingOrder()) {
    const { spec } = job;
    const startable = Math.min(job.pendingCount, job.maxNewStarts(now));
    const cpuSeconds = startable * spec.cpus * partition.estimates.expectedSeconds(spec);
    backlog[spec.priority] = (backlog[spec.priority] ?? 0) + cpuSeconds;
  }
  return backlog;
}

function machineLoad(
  partition: PartitionState,
  machine: MachineState,
  emptyInS: number,
  now: number,
): MachineLoad {
  const free = partition.freeOn(machine) ?? NO_RESOURCES;
  return {
    machine: machine.id,
    tasks: machine.tasks.size,
    // Free resources are negative while tasks are stopped to make room, because more is reserved than is free.
    freeCpus: Math.max(0, free.cpus),
    freeMemoryGb: Math.max(0, free.memoryGb),
    freeAccelerators: Math.max(0, free.accelerators),
    idleMs: machine.tasks.size > 0 ? 0 : now - machine.idleSince,
    sinceHeartbeatMs: machine.sinceHeartbeatMs(now),
    quarantined: partition.isQuarantined(machine, now),
    preemptionNotice: machine.preemptionDeadline !== null,
    transferTarget: machine.transferTarget,
    emptyInS,
  };
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
