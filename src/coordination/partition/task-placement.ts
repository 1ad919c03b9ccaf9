import { type JobSpec } from '../../protocol/jobs';
import { type CommandList } from './command-list';
import { type PartitionJob } from './job';
import { taskKey, type InFlightTask } from './in-flight-task';
import { type MachineState } from './machine';
import { maxStartsOfJob } from './machine-failures';
import { allowsMachine, remainingInZone } from './placement';
import { PlacementPlan, roomsOn, type MachineRoom, type RoomSource } from './placement-plan';
import { countFittingInHeartbeat } from './heartbeat-capacity';
import {
  countFitting,
  countWithinQuota,
  MIN_TASK_CPUS,
  subtractResources,
  type Resources,
} from './resources';
import { type TeamQuota } from './team-quota';

/** Once a job has been known to this owner for this long, it no longer takes precedence on machines that have its image. */
const MAX_IMAGE_PRECEDENCE_MS = 30_000;
/** Attempts are numbered from the epoch times this. As long as an owner starts fewer tasks, later owners use larger numbers. */
const ATTEMPTS_PER_EPOCH = 1_000_000;
/** A machine is given no task once its last heartbeat is older than this many heartbeat intervals and a margin. */
const MAX_HEARTBEAT_AGE_INTERVALS = 1.5;
const HEARTBEAT_AGE_MARGIN_MS = 1000;

/** State of a partition that task placement depends on. */
export interface PlacementContext extends RoomSource {
  readonly epoch: number;
  readonly jobs: ReadonlyMap<string, PartitionJob>;
  readonly quota: TeamQuota;
  readonly heartbeatIntervalMs: number;
  /** Number of machines that have not been confirmed since the failover. */
  readonly unconfirmedCount: number;
  readonly counters: { started: number; placementPasses: number };
  /** Whether the state store lists a machine as assigned, that is, as one that may have tasks. */
  isAssigned(machine: string): boolean;
  /** Free resources of a machine; null if its type, or the job of a task on it, is unknown. */
  freeOn(machine: MachineState): Resources | null;
  /** The open jobs in the order in which they are offered resources. */
  jobsInSchedulingOrder(): readonly PartitionJob[];
  /** Spreads new tasks over the machines; null if tasks are placed on spot machines and on the fullest machines first. */
  readonly spreader: PlacementSpreader | null;
}

/** Limits the resources that new tasks may use on each machine, so that all machines are filled to the same level. */
export interface PlacementSpreader {
  /** Computes the level from the machines that accept tasks and the number of CPUs that pending tasks need. */
  updateFillLevel(machines: Iterable<MachineState>, pendingCpus: number): void;
  /** Number of CPUs that new tasks of a job may use on a machine now. */
  cpuAllowance(machine: MachineState, free: Resources, spec: JobSpec): number;
}

/** Chooses machines for pending tasks and starts the tasks on them. */
export class TaskPlacement {
  private attemptCount = 0;
  /** The plan since the last tick, with the room that was reserved for tasks that are resumed; null if none was needed. */
  private plan: PlacementPlan | null = null;

  constructor(private readonly context: PlacementContext) {}

  /** Whether no new task may be placed on a machine now. */
  isUnschedulable(machine: MachineState, now: number): boolean {
    const maxAgeMs = this.context.heartbeatIntervalMs * MAX_HEARTBEAT_AGE_INTERVALS + HEARTBEAT_AGE_MARGIN_MS;
    return (
      machine.cordoned ||
      machine.transferTarget !== null ||
      machine.preemptionDeadline !== null ||
      this.context.maxStartsOn(machine, now) === 0 ||
      machine.lastHeartbeatAt === null ||
      now - machine.lastHeartbeatAt > maxAgeMs
    );
  }

  /**
   * Whether tasks may be started on a machine: it is schedulable and confirmed, answers reach it, and the state store lists it as
   * assigned.
   */
  private acceptsTasks(machine: MachineState, now: number): boolean {
    const { id, confirmed, tokenAcknowledged } = machine;
    return (
      confirmed && tokenAcknowledged && this.context.isAssigned(id) && !this.isUnschedulable(machine, now)
    );
  }

  /**
   * Reserves room that pending tasks do not need, for a task that is to be stopped and resumed on another machine of this partition.
   * Returns false if there is none, or if the task saves no checkpoints.
   */
  reserveSlack({ ref, spec }: InFlightTask, now: number): boolean {
    const job = this.context.jobs.get(ref);
    if (!job || !spec || spec.checkpointIntervalS <= 0) return false;
    this.plan ??= this.createPlan(now);
    return this.plan.place(job, 1) === 1;
  }

  private pendingCpus(): number {
    let pendingCpus = 0;
    for (const job of this.context.jobsInSchedulingOrder()) pendingCpus += job.pendingCount * job.spec.cpus;
    return pendingCpus;
  }

  /**
   * Chooses the machines that the pending tasks need: spot machines before on-demand machines, which are more expensive, and of each
   * kind the fullest first. The others are deprioritized until more tasks are pending, so that expensive and nearly empty machines
   * become empty and can be deprovisioned. Must be called at each tick.
   */
  prioritizeMachines(now: number): void {
    this.plan = null;
    const pendingCpus = this.pendingCpus();
    if (this.context.spreader) return this.prepareSpreading(this.context.spreader, pendingCpus, now);
    for (const machine of this.context.machines.values()) machine.deprioritized = false;
    if (pendingCpus === 0) return;
    this.plan = this.createPlan(now);
    for (const machine of this.plan.unneededMachines()) machine.deprioritized = true;
  }

  private createPlan(now: number): PlacementPlan {
    const rooms = roomsOn(this.context, (machine) => this.acceptsTasks(machine, now), now);
    const onDemand = ({ machine }: MachineRoom): number => (machine.record.spot ? 0 : 1);
    rooms.sort((a, b) => onDemand(a) - onDemand(b) || a.free.cpus - b.free.cpus);
    const pending = this.context.jobsInSchedulingOrder().filter(({ pendingCount }) => pendingCount > 0);
    const plan = new PlacementPlan(rooms, pending.length, now);
    plan.placeAll(pending);
    return plan;
  }

  /** Uses all machines that accept tasks; the spreader limits the tasks that each of them is given. */
  private prepareSpreading(spreader: PlacementSpreader, pendingCpus: number, now: number): void {
    const usable: MachineState[] = [];
    for (const machine of this.context.machines.values()) {
      machine.deprioritized = false;
      if (pendingCpus > 0 && this.acceptsTasks(machine, now)) usable.push(machine);
    }
    spreader.updateFillLevel(usable, pendingCpus);
  }

  /**
   * Starts a task for which resources were reserved on this machine; the caller must have released the reservation. Returns false
   * if the task cannot be started there now. All machines must be confirmed. Retry delays, the spreader and the deprioritization of
   * the machine are ignored; otherwise the same conditions apply as to any other start.
   */
  startReserved(
    job: PartitionJob,
    index: number,
    machine: MachineState,
    commands: CommandList,
    now: number,
  ): boolean {
    const free = this.context.freeOn(machine);
    if (!free || this.context.unconfirmedCount > 0 || !this.acceptsTasks(machine, now)) return false;
    if (job.heldByPipeline || !job.isPending(index) || index >= job.startWatermark) return false;
    if (machine.tasks.has(taskKey(job.ref, index)) || this.maxStarts(job, machine, free, commands, now) === 0)
      return false;
    this.startTask(job, index, machine, commands, now);
    return true;
  }

  /** Starts the next task of a job on a machine. Returns false if none can be started there now. */
  startNext(job: PartitionJob, machine: MachineState, commands: CommandList, now: number): boolean {
    const free = this.context.freeOn(machine);
    const allConfirmed = this.context.unconfirmedCount === 0;
    if (!free || !this.acceptsTasks(machine, now) || this.maxStarts(job, machine, free, commands, now) === 0)
      return false;
    const index = job
      .startableTasks(machine.tasks.size + 1, allConfirmed, now)
      .find((i) => !machine.tasks.has(taskKey(job.ref, i)));
    if (index === undefined) return false;
    this.startTask(job, index, machine, commands, now);
    return true;
  }

  /**
   * Starts pending tasks on a machine whose heartbeat is being answered: first fit in scheduling order, in two passes for each
   * effective priority. The first pass considers only jobs whose image the machine has, because fetching an image often takes as
   * long as running a task. It excludes jobs known for `MAX_IMAGE_PRECEDENCE_MS` or longer, so that a job defers others no longer
   * than that. The second pass considers all jobs.
   */
  placeTasks(machine: MachineState, commands: CommandList, now: number): void {
    if (machine.deprioritized || !this.acceptsTasks(machine, now)) return;
    const free = this.context.freeOn(machine);
    if (!free) return;
    const isFull = free.cpus <= 0;
    const queue = isFull ? this.context.jobsWithoutCpus() : this.context.jobsInSchedulingOrder();
    if (isFull && queue.length === 0) return;
    this.context.counters.placementPasses++;
    for (let from = 0; from < queue.length && (isFull || free.cpus > 0);) {
      const priority = queue[from]?.effectivePriority;
      let to = from + 1;
      while (to < queue.length && queue[to]?.effectivePriority === priority) to++;
      this.placeJobs(queue.slice(from, to), machine, free, commands, now);
      from = to;
    }
  }

  /** Starts pending tasks of jobs of one priority on a machine, in the two passes of `placeTasks`. */
  private placeJobs(
    jobs: readonly PartitionJob[],
    machine: MachineState,
    free: Resources,
    commands: CommandList,
    now: number,
  ): void {
    const allConfirmed = this.context.unconfirmedCount === 0;
    for (const job of jobs) {
      if (job.startableCount(allConfirmed) === 0 || !machine.images.has(job.spec.image)) continue;
      if (now - job.firstSeenAt < MAX_IMAGE_PRECEDENCE_MS)
        this.startFitting(job, machine, free, commands, now);
    }
    for (const job of jobs)
      if (job.startableCount(allConfirmed) > 0) this.startFitting(job, machine, free, commands, now);
  }

  private startFitting(
    job: PartitionJob,
    machine: MachineState,
    free: Resources,
    commands: CommandList,
    now: number,
  ): void {
    const n = Math.min(
      this.maxStarts(job, machine, free, commands, now),
      this.maxSpreadStarts(job, machine, free),
    );
    if (n <= 0) return;
    for (const index of job.startableTasks(n, this.context.unconfirmedCount === 0, now)) {
      if (machine.tasks.has(taskKey(job.ref, index))) continue;
      this.startTask(job, index, machine, commands, now);
      subtractResources(free, job.spec);
    }
  }

  /**
   * Number of tasks of a job that keep a machine at the level of the others: at least one while the machine is below that level;
   * infinity without a spreader.
   */
  private maxSpreadStarts({ spec }: PartitionJob, machine: MachineState, free: Resources): number {
    const { spreader } = this.context;
    if (!spreader) return Number.POSITIVE_INFINITY;
    const cpus = spreader.cpuAllowance(machine, free, spec);
    return cpus <= 0 ? 0 : Math.max(1, Math.floor(cpus / Math.max(spec.cpus, MIN_TASK_CPUS)));
  }

  /**
   * Number of tasks of a job that may be started on a machine with these free resources, in an answer that already has these commands.
   */
  private maxStarts(
    job: PartitionJob,
    machine: MachineState,
    free: Resources,
    commands: CommandList,
    now: number,
  ): number {
    const { spec } = job;
    const fitting = countFitting(free, spec);
    if (fitting === 0 || job.state !== 'open' || !allowsMachine(spec, machine.record)) return 0;
    const remaining = this.context.quota.remaining(spec.team);
    const allowedByQuota = countWithinQuota(remaining, spec);
    const n = Math.min(
      fitting,
      job.startableCount(this.context.unconfirmedCount === 0),
      job.maxNewStarts(now),
      maxStartsOfJob(job, machine, now),
      this.context.maxStartsOn(machine, now),
      allowedByQuota,
      countFittingInHeartbeat(machine.freeHeartbeatBytes, job.heartbeatBytes),
      commands.countFitting(job.startBytes),
    );
    if (n === 0 || !job.isZoneBound) return n;
    return Math.min(n, remainingInZone(spec, machine.record.zone, this.inFlightByZone(job)));
  }

  /** Starts a task on a machine; `maxStarts` must have allowed it. */
  private startTask(
    job: PartitionJob,
    index: number,
    machine: MachineState,
    commands: CommandList,
    now: number,
  ): void {
    const { spec } = job;
    const attempt = this.context.epoch * ATTEMPTS_PER_EPOCH + ++this.attemptCount;
    commands.add(machine.startTask(spec, index, attempt, now));
    machine.images.add(spec.image);
    machine.idleSince = now;
    job.markInFlight(index, machine);
    this.context.quota.addUsage(spec, 1);
    this.context.counters.started++;
  }

  /** Number of tasks of a job in each zone. */
  private inFlightByZone(job: PartitionJob): Map<string, number> {
    const zones = new Map<string, number>();
    // `job.inFlight` does not suffice: another attempt of a task may be in flight on a machine where it is being stopped.
    for (const machine of this.context.machines.values()) {
      for (const task of machine.tasks.values()) {
        if (task.ref !== job.ref) continue;
        zones.set(machine.record.zone, (zones.get(machine.record.zone) ?? 0) + 1);
      }
    }
    return zones;
  }
}
