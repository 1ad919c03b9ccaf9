import {
  evenAllowance,
  evenLevel,
  fetchSeconds,
  PartitionBalancer,
  type BalancerSettings,
  type JobSnapshot,
  type JobReservation,
  type MachineSnapshot,
  type Move,
  type MoveDecision,
  type MoveExecutor,
  type PartitionSnapshot,
  type TaskId,
  type TaskSnapshot,
  type TeamUsage,
  type PendingTasks,
} from '@heathbridge/load-balancer';
import { WorkPacer } from '../../transport/work-pacer';
import { PRIORITIES, type JobSpec } from '../../protocol/jobs';
import { type MachineType } from '../../protocol/cloud';
import { type Command } from '../../protocol/workers';
import { type PartitionJob } from '../partition/job';
import { taskKey, type InFlightTask, type MachineState } from '../partition/machine';
import { type PartitionCore } from '../partition/partition-core';
import { allowsMachine, countFitting, type Resources } from '../partition/placement';
import { jobsWithinGuarantee } from '../partition/scheduling-order';
import { type PlacementSpreader } from '../partition/task-placement';
import { type TaskObserver } from '../partition/task-observer';

/** Planning may take this share of the time. */
const PLANNING_TIME_RATIO = 0.04;
/** Planning is due after so many times its interval at the latest, however much it costs. */
const MAX_PLAN_INTERVAL_RATIO = 10;
/** A task that has waited for so many reports is not merely between two of them. */
const MIN_PENDING_HEARTBEATS = 2;
/** Added to the time that a task needs to save: it must not be cut short by its own estimate. */
const SAVE_GRACE_MARGIN_S = 1;
/** Room and images are not known better than this while a fetch is under way. */
const NO_RESOURCES = { cpus: 0, accelerators: 0, memoryGb: 0 };

/** Implements what the balancer needs of a partition: how it stands, and the steps of moves. */
export class TaskMoves implements TaskObserver, PartitionSnapshot, MoveExecutor {
  readonly balancer: PartitionBalancer;
  readonly spreader: PlacementSpreader | null;
  private readonly pacer: WorkPacer;
  /** Tasks that no one but their move may start, with what they count for against their team's limit. */
  private readonly heldTasks = new Map<string, JobSpec>();
  private readonly jobSnapshots = new WeakMap<JobSpec, JobSnapshot>();
  private machineSnapshots: MachineSnapshot[] | null = null;
  private now = 0;

  constructor(
    private readonly core: PartitionCore,
    private readonly settings: BalancerSettings,
    private readonly steady: () => number,
  ) {
    const { heartbeatIntervalMs, leaseMs } = core.options;
    const timeouts = { heartbeatIntervalMs, leaseMs };
    this.balancer = new PartitionBalancer({
      ...{ partition: core.id, priorities: PRIORITIES.length, settings, timeouts },
      ...{ snapshot: this, executor: this },
    });
    this.spreader = settings.placement === 'even' ? new EvenSpreader(core, settings.locality_weight) : null;
    const minIntervalMs = settings.plan_interval_s * 1000;
    this.pacer = new WorkPacer({
      minIntervalMs,
      maxIntervalMs: MAX_PLAN_INTERVAL_RATIO * minIntervalMs,
      share: PLANNING_TIME_RATIO,
    });
  }

  get epoch(): number {
    return this.core.epoch;
  }

  // What becomes of tasks.

  taskRequeued(ref: string, index: number, now: number): void {
    const { tracker } = this.balancer;
    tracker.handleEvent({ job: ref, index }, { kind: 'source-gone' }, now);
    // A move that has just come to its target's turn is not concerned by this.
    tracker.handleEvent({ job: ref, index }, { kind: 'target-gone' }, now);
  }

  taskDone(ref: string, index: number, now: number): void {
    this.balancer.tracker.handleEvent({ job: ref, index }, { kind: 'finished' }, now);
  }

  taskFailed(ref: string, index: number, now: number): void {
    this.balancer.tracker.handleEvent({ job: ref, index }, { kind: 'source-failed' }, now);
  }

  taskRan(spec: JobSpec, seconds: number): void {
    this.balancer.estimator.learn(this.jobSnapshot(spec), seconds);
  }

  jobClosed(ref: string, now: number): void {
    this.balancer.tracker.jobClosed(ref, now);
    this.balancer.estimator.forget(ref);
  }

  machineRemoved(id: string, now: number): void {
    this.balancer.tracker.targetLost(id, now);
  }

  answeringHeartbeat(machine: MachineState, commands: Command[], now: number): void {
    const { tracker } = this.balancer;
    if (tracker.isIdle) return;
    for (const move of tracker.movesInProgress) {
      if (move.target !== machine.id) continue;
      const shown = machine.tasks.get(taskKey(move.task.job, move.task.index));
      if (shown?.phase === 'reported') tracker.handleEvent(move.task, { kind: 'target-seen' }, now);
    }
    for (const task of tracker.startsOn(machine.id)) this.startAtTarget(task, machine, commands, now);
    for (const room of tracker.jobReservationsOn(machine.id))
      this.startInJobReservation(room, machine, commands, now);
  }

  /** Starts a task of the job that room was made for, once all of the room is there. */
  private startInJobReservation(
    kept: JobReservation,
    machine: MachineState,
    commands: Command[],
    now: number,
  ): void {
    const { tracker } = this.balancer;
    const job = this.core.jobs.get(kept.job);
    this.releaseJobReservation(machine.id, kept.job);
    if (job && this.core.placement.startNext(job, machine, commands, now))
      return tracker.releaseJobReservations((room) => room === kept);
    this.reserveForJob(machine.id, kept.job);
  }

  private startAtTarget(task: TaskId, machine: MachineState, commands: Command[], now: number): void {
    const { tracker } = this.balancer;
    const job = this.core.jobs.get(task.job);
    // What was held for it becomes what the start itself takes.
    this.release(machine.id, task);
    this.releaseHold(task);
    const started = job && this.core.placement.startReserved(job, task.index, machine, commands, now);
    tracker.handleEvent(task, { kind: started ? 'start-sent' : 'target-full' }, now);
  }

  /** What is told from here on is as of now. */
  protected refresh(now: number): void {
    this.now = now;
    this.machineSnapshots = null;
  }

  tick(now: number): void {
    this.now = now;
    const { tracker } = this.balancer;
    tracker.tick(now);
    for (const move of tracker.movesInProgress)
      if (move.target !== null && this.isTargetLost(move, now)) tracker.targetLost(move.target, now);
    // Until all machines have spoken nothing is known well enough to be moved.
    if (this.core.unconfirmedCount > 0 || !this.pacer.isDue(now)) return;
    this.refresh(now);
    const startedAt = this.steady();
    this.balancer.plan(now);
    this.pacer.record(startedAt, this.steady());
  }

  private isTargetLost({ target, state }: Readonly<Move>, now: number): boolean {
    if (state === 'starting' || target === null) return false;
    const machine = this.core.machines.get(target);
    return !machine || this.core.isUnschedulable(machine, now);
  }

  /** Lines for the operators' log. */
  takeDecisions(): object[] {
    return this.balancer.tracker.takeDecisions().map(logLine);
  }

  // The balancer's view of the partition.

  pendingTasks(): PendingTasks[] {
    const { core, now } = this;
    const limits = core.quota.teams;
    const jobs = core.jobsInSchedulingOrder();
    const guaranteed = jobsWithinGuarantee(jobs, limits);
    const found: PendingTasks[] = [];
    for (const job of jobs) {
      const tasks = this.startableTasks(job);
      const waitedMs = now - job.firstSeenAt;
      if (tasks === 0 || waitedMs < MIN_PENDING_HEARTBEATS * core.heartbeatIntervalMs) continue;
      const spec = this.jobSnapshot(job.spec);
      found.push({ spec, tasks, pendingS: waitedMs / 1000, withinGuarantee: guaranteed.has(job) });
    }
    return found;
  }

  /** Waiting tasks that lack nothing but a machine. */
  private startableTasks(job: PartitionJob): number {
    const { spec } = job;
    if (
      job.heldByPipeline ||
      job.pendingCount === 0 ||
      job.state !== 'open' ||
      spec.singleZone ||
      spec.spreadZones
    )
      return 0;
    const teamFree = this.core.quota.remaining(spec.team);
    const allowedByTeam = countFitting({ ...teamFree, memoryGb: Infinity }, { ...spec, memoryGb: 0 });
    return Math.max(0, Math.min(job.pendingCount, job.maxInFlight(this.now), allowedByTeam));
  }

  machines(): readonly MachineSnapshot[] {
    this.machineSnapshots ??= [...this.core.machines.values()].flatMap((machine) =>
      this.machineSnapshot(machine),
    );
    return this.machineSnapshots;
  }

  private machineSnapshot(machine: MachineState): MachineSnapshot[] {
    const type = this.core.types().get(machine.record.type);
    if (!type) return [];
    const fetching = fetchingImages(machine);
    const accepting =
      machine.confirmed && machine.tokenAcknowledged && !this.core.isUnschedulable(machine, this.now);
    return [
      {
        id: machine.id,
        capacity: type,
        free: machine.free(type) ?? NO_RESOURCES,
        accepting: accepting && this.core.isAssigned(machine.id),
        fetching: fetching.size,
        fetchGbPerS: type.fetchGbPerS,
        hasImage: (image) => machine.images.has(image) && !fetching.has(image),
      },
    ];
  }

  tasksOn(id: string): TaskSnapshot[] {
    const machine = this.core.machines.get(id);
    if (!machine) return [];
    const views: TaskSnapshot[] = [];
    for (const task of machine.tasks.values()) if (task.spec) views.push(this.taskSnapshot(task, task.spec));
    return views;
  }

  private taskSnapshot(task: InFlightTask, spec: JobSpec): TaskSnapshot {
    const { ref, index, runningSince, startedAt } = task;
    return {
      ...{ job: ref, index, spec: this.jobSnapshot(spec) },
      phase: runningSince === null ? 'fetching' : 'running',
      elapsedS: (this.now - (runningSince ?? startedAt)) / 1000,
      pinned: this.pinReason(task, spec),
    };
  }

  private pinReason(
    { ref, index, stop, checkpointing, phase }: InFlightTask,
    spec: JobSpec,
  ): TaskSnapshot['pinned'] {
    const job = this.core.jobs.get(ref);
    // What was sent and not seen yet may not even be there.
    if (phase === 'sent') return 'starting';
    if (stop || checkpointing) return 'stopping';
    if (!job || job.state !== 'open' || job.isDone(index)) return 'job over';
    if (job.runsAtMostOnce) return 'run once';
    return spec.singleZone || spec.spreadZones ? 'zone bound' : null;
  }

  allows(ref: string, id: string): boolean {
    const job = this.core.jobs.get(ref);
    const machine = this.core.machines.get(id);
    return job !== undefined && machine !== undefined && allowsMachine(job.spec, machine.record);
  }

  team(name: string): TeamUsage {
    const guaranteedCpus = this.core.quota.teams.get(name)?.guaranteed.cpus ?? 0;
    return { usedCpus: this.core.quota.usageOf(name).cpus, guaranteedCpus };
  }

  private jobSnapshot(spec: JobSpec): JobSnapshot {
    const known = this.jobSnapshots.get(spec);
    if (known) return known;
    const { ref, team, workload, priority, cpus, accelerators, memoryGb } = spec;
    const { image, imageGb, expectedS, checkpointIntervalS, checkpointDurationS } = spec;
    const view: JobSnapshot = {
      ...{ job: ref, team, workload, priority, resources: { cpus, accelerators, memoryGb } },
      ...{ image, imageGb, expectedS, checkpointS: checkpointIntervalS, saveS: checkpointDurationS },
    };
    this.jobSnapshots.set(spec, view);
    return view;
  }

  // The steps of a move.

  reserve(id: string, { job, index }: TaskId): boolean {
    const machine = this.core.machines.get(id);
    const spec = this.core.jobs.get(job)?.spec;
    const free = machine && this.core.freeOn(machine);
    if (!machine || !spec || !free || countFitting(free, spec) === 0) return false;
    if (this.core.isUnschedulable(machine, this.now)) return false;
    machine.reserve(taskKey(job, index), spec);
    this.machineSnapshots = null;
    return true;
  }

  release(id: string, { job, index }: TaskId): void {
    this.core.machines.get(id)?.releaseReservation(taskKey(job, index));
    this.machineSnapshots = null;
  }

  stop(id: string, { job, index }: TaskId): void {
    const task = this.core.machines.get(id)?.tasks.get(taskKey(job, index));
    if (!task || task.stop) return;
    const saves = (task.spec?.checkpointIntervalS ?? 0) > 0;
    task.stop = { graceS: saves ? (task.spec?.checkpointDurationS ?? 0) + SAVE_GRACE_MARGIN_S : 0 };
  }

  holdTask({ job: ref, index }: TaskId, untilMs: number): void {
    const job = this.core.jobs.get(ref);
    const key = taskKey(ref, index);
    if (!job || this.heldTasks.has(key)) return;
    job.delayRetry(index, untilMs);
    this.heldTasks.set(key, job.spec);
    // Nobody else of its team may take what it gave up, or it could not start again.
    this.core.quota.addUsage(job.spec, 1);
  }

  reserveForJob(id: string, ref: string): void {
    const spec = this.core.jobs.get(ref)?.spec;
    if (spec) this.core.machines.get(id)?.reserve(jobReservationKey(ref), spec);
    this.machineSnapshots = null;
  }

  releaseJobReservation(id: string, ref: string): void {
    this.core.machines.get(id)?.releaseReservation(jobReservationKey(ref));
    this.machineSnapshots = null;
  }

  releaseHeldTask(task: TaskId): void {
    this.releaseHold(task);
  }

  private releaseHold({ job: ref, index }: TaskId): void {
    const key = taskKey(ref, index);
    const spec = this.heldTasks.get(key);
    if (!spec || !this.heldTasks.delete(key)) return;
    this.core.quota.addUsage(spec, -1);
    this.core.jobs.get(ref)?.clearRetryDelay(index);
  }
}

/** Room that is kept for the next task of a job, whichever that is. */
function jobReservationKey(ref: string): string {
  return `${ref}/next`;
}

/** Fills all machines of a partition alike. */
class EvenSpreader implements PlacementSpreader {
  private level = 1;

  constructor(
    private readonly core: PartitionCore,
    private readonly localityWeight: number,
  ) {}

  observe(machines: Iterable<MachineState>, waitingCpus: number): void {
    const fills: { cpus: number; used: number }[] = [];
    for (const machine of machines) {
      const cpus = this.typeOf(machine)?.cpus ?? 0;
      fills.push({ cpus, used: cpus - (this.core.freeOn(machine)?.cpus ?? 0) });
    }
    this.level = evenLevel(fills, waitingCpus);
  }

  cpuAllowance(machine: MachineState, free: Resources, spec: JobSpec): number {
    const type = this.typeOf(machine);
    if (!type) return 0;
    const near = machine.images.has(spec.image);
    const elsewhere = { fetching: 0, fetchGbPerS: type.fetchGbPerS, hasImage: () => false };
    const fetchS = fetchSeconds(spec, elsewhere);
    const expectedS = this.core.estimates.expectedSeconds(spec);
    return evenAllowance(
      { capacity: type, free },
      this.level,
      near ? fetchS : 0,
      expectedS,
      this.localityWeight,
    );
  }

  private typeOf(machine: MachineState): MachineType | undefined {
    return this.core.types().get(machine.record.type);
  }
}

/** Images that a machine fetches for tasks which have not begun. */
function fetchingImages(machine: MachineState): Set<string> {
  const images = new Set<string>();
  const present = new Set<string>();
  for (const { runningSince, spec } of machine.tasks.values())
    if (spec) (runningSince === null ? images : present).add(spec.image);
  for (const image of present) images.delete(image);
  return images;
}

function logLine({ move, event }: MoveDecision): object {
  const { id, task, source, target, cause, gainS, costS, reason } = move;
  const reckoning = { gainS: round(gainS), costS: round(costS) };
  return {
    ...{ move: id, event, task: taskKey(task.job, task.index), source, target },
    ...{ cause: `${cause.kind} ${cause.job}`, ...reckoning, ...(reason === null ? {} : { reason }) },
  };
}

function round(seconds: number): number {
  return Math.round(seconds * 10) / 10;
}
