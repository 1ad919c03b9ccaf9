import { URGENCIES, type JobSpec } from '../protocol/jobs';
import { type Demand, type PartitionLoad } from '../protocol/peers';
import { type Quantity } from '../protocol/settings';
import { type PartitionCore } from './partition';
import { type PartitionJob } from './job';
import { fits, openZones } from './placement';

/** Of what a task was expected to take, the least that it is still expected to. */
const LEAST_LEFT = 0.2;

/** What a partition tells the leader: what waits within its teams' limits, and how its machines stand. */
export function partitionLoad(partition: PartitionCore, now: number): PartitionLoad {
  const { workLeft, emptyInS } = running(partition, now);
  const nothing = { cpus: 0, accelerators: 0, memoryGb: 0 };
  const backlog = URGENCIES.map(() => 0);
  for (const job of partition.sorted()) {
    const { spec } = job;
    const waiting = Math.min(job.waiting, job.mostOut(now));
    backlog[spec.rank] = (backlog[spec.rank] ?? 0) + waiting * spec.cpus * partition.estimates.expect(spec);
  }
  return {
    partition: partition.id,
    version: partition.version,
    unconfirmed: partition.unconfirmed,
    workLeft,
    quietS: (now - partition.lastArrival) / 1000,
    backlog,
    demands: demands(partition, now),
    machines: [...partition.machines.values()].map((m) => {
      const free = partition.free(m) ?? nothing;
      return {
        machine: m.id,
        tasks: m.tasks.size,
        // Below nothing while room is being made: what is kept is more than what is free.
        freeCpus: Math.max(0, free.cpus),
        freeMemoryGb: Math.max(0, free.memoryGb),
        freeAccelerators: Math.max(0, free.accelerators),
        idleMs: m.tasks.size > 0 ? 0 : now - m.idleSince,
        silentMs: m.silentMs(now),
        faulty: partition.isFaulty(m),
        noticed: m.noticeUntil !== null,
        leavingTo: m.leavingTo,
        emptyInS: emptyInS.get(m.id) ?? 0,
      };
    }),
  };
}

function demands(partition: PartitionCore, now: number): Demand[] {
  const found = new Map<string, Demand>();
  const rooms = new Map<string, Quantity>();
  const allZones = new Set([...partition.types().values()].flatMap((t) => t.zones));
  for (const job of partition.sorted()) {
    const { spec } = job;
    if (job.waiting === 0 || job.state !== 'open') continue;
    let room = rooms.get(spec.team);
    if (!room) rooms.set(spec.team, (room = partition.room(spec.team)));
    const quota = fits({ ...room, memoryGb: Infinity }, { ...spec, memoryGb: 0 });
    // Nothing is rented for what fails everywhere.
    const tasks = Math.min(job.waiting, job.mostOut(now), quota);
    if (tasks === 0) continue;
    room.cpus -= tasks * spec.cpus;
    room.accelerators -= tasks * spec.accelerators;
    const seconds = partition.estimates.expect(spec);
    const { workload, cpus, accelerators, memoryGb, types, spot, rank } = spec;
    const zones = openZones(spec, allZones, placed(job));
    const key = JSON.stringify([workload, cpus, memoryGb, types, zones, spot]);
    const known = found.get(key);
    if (known) {
      known.seconds = (known.seconds * known.tasks + seconds * tasks) / (known.tasks + tasks);
      known.tasks += tasks;
    } else {
      found.set(key, { workload, cpus, accelerators, memoryGb, types, zones, spot, rank, tasks, seconds });
    }
  }
  return [...found.values()];
}

/** How many tasks of a job that must be together or apart are in each zone. */
function placed({ spec, out }: PartitionJob): Map<string, number> {
  const zones = new Map<string, number>();
  if (!spec.together && !spec.apart) return zones;
  for (const { record } of out.values()) zones.set(record.zone, (zones.get(record.zone) ?? 0) + 1);
  return zones;
}

/** CPU seconds that the tasks now out still take, and when each machine has none any more. */
function running(
  partition: PartitionCore,
  now: number,
): { workLeft: number[]; emptyInS: Map<string, number> } {
  const emptyInS = new Map<string, number>();
  const workLeft = URGENCIES.map(() => 0);
  // Tasks are thousands, jobs are few.
  const expected = new Map<JobSpec, number>();
  for (const machine of partition.machines.values()) {
    let last = 0;
    for (const { spec, runningSince } of machine.tasks.values()) {
      if (!spec) continue;
      const ran = runningSince === null ? 0 : (now - runningSince) / 1000;
      const expectedS = expected.get(spec) ?? partition.estimates.expect(spec);
      expected.set(spec, expectedS);
      const left = Math.max(expectedS - ran, expectedS * LEAST_LEFT);
      workLeft[spec.rank] = (workLeft[spec.rank] ?? 0) + spec.cpus * left;
      last = Math.max(last, left);
    }
    if (last > 0) emptyInS.set(machine.id, last);
  }
  return { workLeft, emptyInS };
}
