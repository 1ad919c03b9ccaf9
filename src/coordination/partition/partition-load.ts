import { PRIORITIES, type JobSpec } from '../../protocol/jobs';
import { type Demand, type PartitionLoad } from '../../protocol/peers';
import { type ResourceQuota } from '../../protocol/settings';
import { type PartitionState } from './partition-state';
import { type PartitionJob } from './job';
import { eligibleZones } from './placement';
import { countWithinQuota } from './resources';

/** Of what a task was expected to take, the least that it is still expected to. */
const MIN_REMAINING_RATIO = 0.2;

/** The load of a partition as its owner publishes it to the leader: pending tasks within their teams' quota, and its machines. */
export function partitionLoad(partition: PartitionState, now: number): PartitionLoad {
  const { remainingWork, emptyInS } = estimateRemainingWork(partition, now);
  const nothing = { cpus: 0, accelerators: 0, memoryGb: 0 };
  const backlog = PRIORITIES.map(() => 0);
  for (const job of partition.jobsInSchedulingOrder()) {
    const { spec } = job;
    const waiting = Math.min(job.pendingCount, job.maxNewStarts(now));
    backlog[spec.priority] =
      (backlog[spec.priority] ?? 0) + waiting * spec.cpus * partition.estimates.expectedSeconds(spec);
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
      const free = partition.freeOn(m) ?? nothing;
      return {
        machine: m.id,
        tasks: m.tasks.size,
        // Below zero while room is being made: more is reserved than is free.
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
  const found = new Map<string, Demand>();
  const rooms = new Map<string, ResourceQuota>();
  const allZones = new Set([...partition.machineTypes().values()].flatMap((t) => t.zones));
  for (const job of partition.jobsInSchedulingOrder()) {
    const { spec } = job;
    if (job.pendingCount === 0 || job.state !== 'open') continue;
    let room = rooms.get(spec.team);
    if (!room) rooms.set(spec.team, (room = partition.quota.remaining(spec.team)));
    const quota = countWithinQuota(room, spec);
    // No machine is provisioned for a job that fails everywhere.
    const tasks = Math.min(job.pendingCount, job.maxNewStarts(now), quota);
    if (tasks === 0) continue;
    room.cpus -= tasks * spec.cpus;
    room.accelerators -= tasks * spec.accelerators;
    const expectedS = partition.estimates.expectedSeconds(spec);
    const { workload, cpus, accelerators, memoryGb, machineTypes, spot, priority } = spec;
    const zones = eligibleZones(spec, allZones, inFlightByZone(job));
    const key = JSON.stringify([workload, cpus, memoryGb, machineTypes, zones, spot]);
    const known = found.get(key);
    if (known) {
      known.expectedS = (known.expectedS * known.tasks + expectedS * tasks) / (known.tasks + tasks);
      known.tasks += tasks;
    } else {
      found.set(key, {
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
  return [...found.values()];
}

/** How many tasks of a job that must be together or apart are in each zone. */
function inFlightByZone({ spec, inFlight }: PartitionJob): Map<string, number> {
  const zones = new Map<string, number>();
  if (!spec.singleZone && !spec.spreadZones) return zones;
  for (const { record } of inFlight.values()) zones.set(record.zone, (zones.get(record.zone) ?? 0) + 1);
  return zones;
}

/** CPU seconds that the tasks now out still take, and when each machine has none any more. */
function estimateRemainingWork(
  partition: PartitionState,
  now: number,
): { remainingWork: number[]; emptyInS: Map<string, number> } {
  const emptyInS = new Map<string, number>();
  const remainingWork = PRIORITIES.map(() => 0);
  // Tasks are thousands, jobs are few.
  const expected = new Map<JobSpec, number>();
  for (const machine of partition.machines.values()) {
    let last = 0;
    for (const { spec, runningSince } of machine.tasks.values()) {
      if (!spec) continue;
      const ran = runningSince === null ? 0 : (now - runningSince) / 1000;
      const expectedS = expected.get(spec) ?? partition.estimates.expectedSeconds(spec);
      expected.set(spec, expectedS);
      const left = Math.max(expectedS - ran, expectedS * MIN_REMAINING_RATIO);
      remainingWork[spec.priority] = (remainingWork[spec.priority] ?? 0) + spec.cpus * left;
      last = Math.max(last, left);
    }
    if (last > 0) emptyInS.set(machine.id, last);
  }
  return { remainingWork, emptyInS };
}
