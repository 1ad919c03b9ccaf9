import { type JobSpec } from '../../protocol/jobs';
import { type Command } from '../../protocol/workers';
import { type PartitionJob } from './job';
import { taskKey, type InFlightTask } from './in-flight-task';
import { type MachineState } from './machine';
import { allowsMachine, remainingInZone } from './placement';
import {
  countFitting,
  countWithinQuota,
  MIN_TASK_CPUS,
  subtractResources,
  type Resources,
} from './resources';
import { type TeamQuota } from './team-quota';

/** Failures without a success between them after which a machine is quarantined. */
const QUARANTINE_FAILURE_COUNT = 3;
/** A job that has waited this long is not deferred any more for jobs whose image a machine holds. */
const MAX_IMAGE_AFFINITY_WAIT_MS = 30_000;
const ATTEMPTS_PER_EPOCH = 1_000_000;
/** Heartbeat intervals, and a margin, after which a machine that sends no heartbeat is given no task. */
const MAX_HEARTBEAT_AGE_RATIO = 1.5;
const HEARTBEAT_AGE_MARGIN_MS = 1000;

/** What placement needs to know of a partition. */
export interface PlacementHost {
  readonly epoch: number;
  readonly machines: ReadonlyMap<string, MachineState>;
  readonly jobs: ReadonlyMap<string, PartitionJob>;
  readonly quota: TeamQuota;
  readonly heartbeatIntervalMs: number;
  /** Machines that are not confirmed since the failover. */
  readonly unconfirmedCount: number;
  readonly counters: { started: number; placementPasses: number };
  /** Whether the store knows that tasks may be on this machine. */
  isAssigned(machine: string): boolean;
  freeOn(machine: MachineState): Resources | null;
  /** The open jobs in the order in which they get room. */
  jobsInSchedulingOrder(): readonly PartitionJob[];
  /** Spreads new tasks over the machines; null: they go to the cheap and full ones first. */
  readonly spreader: PlacementSpreader | null;
}

/** Bounds what new tasks may take on each machine, so that all are filled alike. */
export interface PlacementSpreader {
  /** Looks at the machines that take work, and at how many CPUs wait. */
  updateFillLevel(machines: Iterable<MachineState>, waitingCpus: number): void;
  /** CPUs that new tasks of a job may take on a machine now. */
  cpuAllowance(machine: MachineState, free: Resources, spec: JobSpec): number;
}

/** Chooses machines for waiting tasks, and starts the tasks there. */
export class TaskPlacement {
  private attempts = 0;
  /** Free CPUs beyond what waits, less what stopped tasks will take; null: to be counted anew. */
  private slackCpus: number | null = null;

  constructor(private readonly host: PlacementHost) {}

  /** Whether nothing new is to be put on a machine just now. */
  isUnschedulable(machine: MachineState, now: number): boolean {
    const maxAgeMs = this.host.heartbeatIntervalMs * MAX_HEARTBEAT_AGE_RATIO + HEARTBEAT_AGE_MARGIN_MS;
    return (
      machine.cordoned ||
      machine.transferTarget !== null ||
      machine.preemptionDeadline !== null ||
      this.isQuarantined(machine) ||
      machine.lastHeartbeatAt === null ||
      now - machine.lastHeartbeatAt > maxAgeMs
    );
  }

  /**
   * Whether tasks fail because of the machine. A job that succeeds elsewhere and fails here counts against the machine, and so do
   * several jobs that fail here. A job that has succeeded nowhere counts only against a machine where no task ever succeeded:
   * a faulty job fails everywhere, and would have healthy machines deprovisioned.
   */
  isQuarantined(machine: MachineState): boolean {
    let failures = 0;
    let doubtful = 0;
    for (const [ref, n] of machine.failuresByJob) {
      const job = this.host.jobs.get(ref);
      if (!job || job.failsEverywhere) continue;
      if (job.doneCount > 0 || !machine.healthy) failures += n;
      else doubtful++;
    }
    return failures >= QUARANTINE_FAILURE_COUNT || doubtful >= QUARANTINE_FAILURE_COUNT;
  }

  /** Whether tasks may be started on it: it is confirmed, answers reach it, and the state store lists it as assigned. */
  private acceptsTasks(machine: MachineState, now: number): boolean {
    const { id, confirmed, tokenAcknowledged } = machine;
    return confirmed && tokenAcknowledged && this.host.isAssigned(id) && !this.isUnschedulable(machine, now);
  }

  /** Reserves room for a task that is to go on elsewhere in this partition; false: there is none beyond what waits. */
  consumeSlack({ spec }: InFlightTask, now: number): boolean {
    if (!spec || spec.checkpointIntervalS <= 0) return false;
    this.slackCpus ??= this.freeCpus(now) - this.pendingCpus();
    if (this.slackCpus < spec.cpus) return false;
    this.slackCpus -= spec.cpus;
    return true;
  }

  private freeCpus(now: number): number {
    let free = 0;
    for (const machine of this.host.machines.values())
      if (this.acceptsTasks(machine, now)) free += this.host.freeOn(machine)?.cpus ?? 0;
    return free;
  }

  private pendingCpus(): number {
    let needed = 0;
    for (const job of this.host.jobsInSchedulingOrder()) needed += job.pendingCount * job.spec.cpus;
    return needed;
  }

  /**
   * Cheap machines first, then the fullest, as far as what waits needs them: what is expensive or nearly empty comes free
   * to be given back. The others are passed over until more waits.
   */
  prioritizeMachines(now: number): void {
    this.slackCpus = null;
    let needed = this.pendingCpus();
    if (this.host.spreader) return this.spreadOverMachines(this.host.spreader, needed, now);
    const usable: { machine: MachineState; free: number }[] = [];
    for (const machine of this.host.machines.values()) {
      machine.deprioritized = false;
      if (needed === 0 || !this.acceptsTasks(machine, now)) continue;
      const free = this.host.freeOn(machine)?.cpus ?? 0;
      if (free > 0) usable.push({ machine, free });
    }
    usable.sort((a, b) => Number(b.machine.record.spot) - Number(a.machine.record.spot) || a.free - b.free);
    for (const { machine, free } of usable) {
      machine.deprioritized = needed <= 0;
      needed -= free;
    }
  }

  /** All machines are used, each up to what it is allowed when it is filled. */
  private spreadOverMachines(spreader: PlacementSpreader, waitingCpus: number, now: number): void {
    const usable: MachineState[] = [];
    for (const machine of this.host.machines.values()) {
      machine.deprioritized = false;
      if (waitingCpus > 0 && this.acceptsTasks(machine, now)) usable.push(machine);
    }
    spreader.updateFillLevel(usable, waitingCpus);
  }

  /**
   * Starts a task for which room was held on this machine; false: it cannot be started here now. The same conditions hold as
   * for any other start.
   */
  startReserved(
    job: PartitionJob,
    index: number,
    machine: MachineState,
    commands: Command[],
    now: number,
  ): boolean {
    const free = this.host.freeOn(machine);
    if (!free || this.host.unconfirmedCount > 0 || !this.acceptsTasks(machine, now)) return false;
    if (job.heldByPipeline || !job.isPending(index) || index >= job.startWatermark) return false;
    if (machine.tasks.has(taskKey(job.ref, index)) || this.maxStarts(job, machine, free, now) === 0)
      return false;
    commands.push(this.startTask(job, index, machine, now));
    return true;
  }

  /** Starts the next task of a job on a machine; false: none can be started there now. */
  startNext(job: PartitionJob, machine: MachineState, commands: Command[], now: number): boolean {
    const free = this.host.freeOn(machine);
    const allConfirmed = this.host.unconfirmedCount === 0;
    if (!free || !this.acceptsTasks(machine, now) || this.maxStarts(job, machine, free, now) === 0)
      return false;
    const index = job
      .startableTasks(machine.tasks.size + 1, allConfirmed, now)
      .find((i) => !machine.tasks.has(taskKey(job.ref, i)));
    if (index === undefined) return false;
    commands.push(this.startTask(job, index, machine, now));
    return true;
  }

  /**
   * Starts waiting tasks on a machine that has just reported: first fit in arrival order within an urgency, in two
   * passes. Room first goes to jobs whose image the machine holds, for a fetch costs as much as many a task. Who has
   * waited long is not passed over.
   */
  placeTasks(machine: MachineState, commands: Command[], now: number): void {
    if (machine.deprioritized || !this.acceptsTasks(machine, now)) return;
    const free = this.host.freeOn(machine);
    if (!free || free.cpus <= 0) return;
    this.host.counters.placementPasses++;
    const queue = this.host.jobsInSchedulingOrder();
    const allConfirmed = this.host.unconfirmedCount === 0;
    for (let from = 0; from < queue.length && free.cpus > 0;) {
      const rank = queue[from]?.effectivePriority;
      let to = from;
      for (; to < queue.length && queue[to]?.effectivePriority === rank; to++) {
        const job = queue[to] as PartitionJob;
        if (job.startableCount(allConfirmed) === 0 || !machine.images.has(job.spec.image)) continue;
        if (now - job.firstSeenAt < MAX_IMAGE_AFFINITY_WAIT_MS)
          this.startFitting(job, machine, free, commands, now);
      }
      for (let i = from; i < to; i++) {
        const job = queue[i] as PartitionJob;
        if (job.startableCount(allConfirmed) > 0) this.startFitting(job, machine, free, commands, now);
      }
      from = to;
    }
  }

  private startFitting(
    job: PartitionJob,
    machine: MachineState,
    free: Resources,
    commands: Command[],
    now: number,
  ): void {
    const n = Math.min(this.maxStarts(job, machine, free, now), this.maxSpreadStarts(job, machine, free));
    if (n <= 0) return;
    for (const index of job.startableTasks(n, this.host.unconfirmedCount === 0, now)) {
      if (machine.tasks.has(taskKey(job.ref, index))) continue;
      commands.push(this.startTask(job, index, machine, now));
      subtractResources(free, job.spec);
    }
  }

  /** How many of them keep the machine as full as the others; one at least while it is emptier than they are. */
  private maxSpreadStarts({ spec }: PartitionJob, machine: MachineState, free: Resources): number {
    const { spreader } = this.host;
    if (!spreader) return Number.POSITIVE_INFINITY;
    const cpus = spreader.cpuAllowance(machine, free, spec);
    return cpus <= 0 ? 0 : Math.max(1, Math.floor(cpus / Math.max(spec.cpus, MIN_TASK_CPUS)));
  }

  /** How many tasks of a job may be started on a machine that has so much free. */
  private maxStarts(job: PartitionJob, machine: MachineState, free: Resources, now: number): number {
    const { spec } = job;
    const places = countFitting(free, spec);
    if (places === 0 || job.state !== 'open' || !allowsMachine(spec, machine.record)) return 0;
    // It succeeded nowhere yet and fails here: another machine tells whose fault it is.
    if (job.doneCount === 0 && (machine.failuresByJob.get(job.ref) ?? 0) >= QUARANTINE_FAILURE_COUNT)
      return 0;
    const room = this.host.quota.remaining(spec.team);
    const ofTeam = countWithinQuota(room, spec);
    const n = Math.min(
      places,
      job.startableCount(this.host.unconfirmedCount === 0),
      job.maxNewStarts(now),
      ofTeam,
    );
    if (n === 0 || !(spec.singleZone || spec.spreadZones)) return n;
    return Math.min(n, remainingInZone(spec, machine.record.zone, this.inFlightByZone(job)));
  }

  private startTask(job: PartitionJob, index: number, machine: MachineState, now: number): Command {
    const { spec } = job;
    const attempt = this.host.epoch * ATTEMPTS_PER_EPOCH + ++this.attempts;
    const command = machine.startTask(spec, index, attempt, now);
    machine.images.add(spec.image);
    machine.idleSince = now;
    job.markInFlight(index, machine);
    this.host.quota.addUsage(spec, 1);
    this.host.counters.started++;
    return command;
  }

  /** How many tasks of a job are in each zone. */
  private inFlightByZone(job: PartitionJob): Map<string, number> {
    const zones = new Map<string, number>();
    // Not only `out`: a task may also be in flight on a machine where it is being stopped.
    for (const machine of this.host.machines.values()) {
      for (const task of machine.tasks.values()) {
        if (task.ref !== job.ref) continue;
        zones.set(machine.record.zone, (zones.get(machine.record.zone) ?? 0) + 1);
      }
    }
    return zones;
  }
}
