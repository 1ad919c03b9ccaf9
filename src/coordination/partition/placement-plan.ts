import { type PartitionJob } from './job';
import { type MachineState } from './machine';
import { maxStartsOfJob } from './machine-failures';
import { allowsMachine, remainingInZone } from './placement';
import { countFittingInHeartbeat } from './heartbeat-capacity';
import { countFitting, takeResources, type Resources } from './resources';

/**
 * Steps of the search for room that one plan may take, for each machine and each job. It bounds the cost of a plan by their sum:
 * a plan is complete while pending tasks differ in no more than about this many ways.
 */
const STEPS_PER_ITEM = 16;

/** A machine that accepts tasks, with its free resources, which the plan takes ownership of. */
export interface MachineRoom {
  machine: MachineState;
  capacity: Resources;
  free: Resources;
  /** Bytes that further tasks may take in the heartbeats of the machine's worker. */
  freeHeartbeatBytes: number;
  /** Number of tasks that may be started on the machine, so far as failures on it are concerned. */
  maxStarts: number;
}

/** The state of a partition on which the room on its machines depends. */
export interface RoomSource {
  readonly machines: ReadonlyMap<string, MachineState>;
  /** Capacity of a machine; null if its type is unknown. */
  capacityOf(machine: MachineState): Resources | null;
  /** Number of tasks that may be started on a machine, so far as failures on it are concerned. */
  maxStartsOn(machine: MachineState, now: number): number;
  /** The open jobs whose tasks take no CPUs, in the order in which jobs are offered resources. */
  jobsWithoutCpus(): readonly PartitionJob[];
}

/**
 * The room on the machines that `accepts` holds for. Machines whose capacity, or a task on which, is unknown have none, nor have those
 * without free CPUs unless there are jobs that need none.
 */
export function roomsOn(
  source: RoomSource,
  accepts: (machine: MachineState) => boolean,
  now: number,
): MachineRoom[] {
  const needsCpus = source.jobsWithoutCpus().length === 0;
  const rooms: MachineRoom[] = [];
  for (const machine of source.machines.values()) {
    if (!accepts(machine)) continue;
    const capacity = source.capacityOf(machine);
    const free = capacity && machine.free(capacity);
    if (!capacity || !free || (needsCpus && free.cpus <= 0)) continue;
    const { freeHeartbeatBytes } = machine;
    rooms.push({ machine, capacity, free, freeHeartbeatBytes, maxStarts: source.maxStartsOn(machine, now) });
  }
  return rooms;
}

interface PlannedMachine {
  room: MachineRoom;
  kind: MachineKindRoom;
  /** Whether the plan places a task on the machine. */
  used: boolean;
}

/** The machines of one type, zone and price model. */
interface MachineKindRoom {
  example: MachineRoom;
  /** Whether tasks wait for room on a machine of this kind. */
  awaited: boolean;
}

/**
 * A plan of the machines on which pending tasks find room now: first fit, in the order of the machines. It asks for each task where
 * the task may run, by zone, machine type, price model, resources and the zones of the job's other tasks. Quotas, start watermarks
 * and retry delays are not considered, because they may change before the next plan is made.
 */
export class PlacementPlan {
  private readonly machines: readonly PlannedMachine[];
  private readonly kinds = new Map<string, MachineKindRoom>();
  /** The first machine that may have room for tasks, by `searchKey`. Room only shrinks, so the machines before it have none. */
  private readonly searchFrom = new Map<string, number>();
  /** Number of tasks in each zone, in flight and planned, by job. Only for jobs whose tasks depend on each other's zones. */
  private readonly zonesByJob = new Map<string, Map<string, number>>();
  private stepsLeft: number;

  /**
   * `machines`: those that accept tasks, most preferred first. `jobCount`: number of jobs that the plan is made for. `now`: steady time
   * in milliseconds.
   */
  constructor(
    machines: readonly MachineRoom[],
    jobCount: number,
    private readonly now: number,
  ) {
    this.machines = machines.map((room) => ({ room, kind: this.kindOf(room), used: false }));
    this.stepsLeft = STEPS_PER_ITEM * (machines.length + jobCount);
  }

  /** Plans all pending tasks of these jobs, in this order. From then on, no room is left where tasks wait for some. */
  placeAll(jobs: readonly PartitionJob[]): void {
    const waiting = new Map<string, PartitionJob>();
    for (const job of jobs)
      if (this.place(job, job.pendingCount) < job.pendingCount) waiting.set(searchKey(job), job);
    // Only afterwards: a machine that tasks wait for may have room for smaller ones.
    for (const job of waiting.values()) this.markAwaited(job);
  }

  /** Plans up to `count` tasks of a job. Returns the number of those for which it found room. */
  place(job: PartitionJob, count: number): number {
    const key = searchKey(job);
    let index = this.searchFrom.get(key) ?? 0;
    let remaining = count;
    while (remaining > 0 && this.stepsLeft > 0) {
      const planned = this.machines[index];
      if (!planned) break;
      this.stepsLeft--;
      remaining -= this.placeOn(planned, job, remaining);
      if (remaining > 0) index++;
    }
    this.searchFrom.set(key, index);
    return count - remaining;
  }

  /**
   * The machines that no pending task needs now: the machines before them have room for all tasks that may run on them. None if the
   * search was cut short.
   */
  unneededMachines(): MachineState[] {
    if (this.stepsLeft <= 0) return [];
    const unneeded = this.machines.filter(({ used, kind }) => !used && !kind.awaited);
    return unneeded.map(({ room }) => room.machine);
  }

  private kindOf(room: MachineRoom): MachineKindRoom {
    const { kindKey } = room.machine;
    const known = this.kinds.get(kindKey);
    if (known) return known;
    const kind = { example: room, awaited: false };
    this.kinds.set(kindKey, kind);
    return kind;
  }

  /** Marks the kinds of machines on which a job for whose tasks there is no room could run. */
  private markAwaited(job: PartitionJob): void {
    for (const kind of this.kinds.values()) {
      const { machine, capacity } = kind.example;
      if (!allowsMachine(job.spec, machine.record) || countFitting(capacity, job.spec) === 0) continue;
      if (this.remainingInZone(job, machine.record.zone) > 0) kind.awaited = true;
    }
  }

  private placeOn(planned: PlannedMachine, job: PartitionJob, count: number): number {
    const { room } = planned;
    const { machine } = room;
    const { spec, heartbeatBytes } = job;
    // The plan is used until the next one, and machines may be drained or cordoned meanwhile.
    if (planned.kind.awaited || machine.transferTarget !== null || machine.cordoned) return 0;
    if (!allowsMachine(spec, machine.record)) return 0;
    const { zone } = machine.record;
    const fittingInHeartbeat = countFittingInHeartbeat(room.freeHeartbeatBytes, heartbeatBytes);
    const taken = takeResources(
      room.free,
      spec,
      Math.min(
        count,
        fittingInHeartbeat,
        room.maxStarts,
        maxStartsOfJob(job, machine, this.now),
        this.remainingInZone(job, zone),
      ),
    );
    if (taken === 0) return 0;
    room.freeHeartbeatBytes -= taken * heartbeatBytes;
    room.maxStarts -= taken;
    planned.used = true;
    const zones = this.zonesOf(job);
    zones?.set(zone, (zones.get(zone) ?? 0) + taken);
    return taken;
  }

  private remainingInZone(job: PartitionJob, zone: string): number {
    const zones = this.zonesOf(job);
    return zones ? remainingInZone(job.spec, zone, zones) : Number.POSITIVE_INFINITY;
  }

  /** The tasks of a job in each zone, in flight and planned; null if its tasks do not depend on each other's zones. */
  private zonesOf(job: PartitionJob): Map<string, number> | null {
    if (!job.isZoneBound) return null;
    const known = this.zonesByJob.get(job.ref);
    if (known) return known;
    const zones = job.inFlightByZone();
    this.zonesByJob.set(job.ref, zones);
    return zones;
  }
}

/** Equal for jobs whose tasks find room on the same machines. */
function searchKey(job: PartitionJob): string {
  const isSpecial = job.isZoneBound || job.failures.avoidsMachines;
  return isSpecial ? job.ref : job.requirementsKey;
}
