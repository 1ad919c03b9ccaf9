import { type MachineType } from '../../protocol/cloud';
import { PRIORITIES, type JobSpec } from '../../protocol/jobs';
import { DRAIN_TO_CLOUD, type PartitionLoad } from '../../protocol/peers';
import {
  type TerminalState,
  type JobProgress,
  type JobState,
  type MachineRecord,
} from '../../protocol/records';
import { type Objective, type ResourceQuota, type Team } from '../../protocol/settings';
import { type Command, type Heartbeat, type HeartbeatTask } from '../../protocol/workers';
import { PartitionJob } from './job';
import { MachineState, taskKey, type TaskExit, type InFlightTask } from './machine';
import { partitionLoad } from './partition-load';
import { PartitionPipelines } from '../pipeline/pipelines';
import { type Resources } from './placement';
import { TaskPlacement, type PlacementHost, type PlacementSpreader } from './task-placement';
import { TeamQuota } from './team-quota';
import { UnconfirmedMachines } from './unconfirmed-machines';
import { schedulingOrder } from './scheduling-order';
import { deadlinesOf, RuntimeEstimates } from './priority';
import { progressToWrite, type ProgressToWrite } from './start-watermarks';
import { type TaskObserver } from './task-observer';

export interface PartitionOptions {
  heartbeatIntervalMs: number;
  leaseMs: number;
  valueBytes: number;
  objectives: readonly Objective[];
}

const REORDER_INTERVAL_MS = 1000;
/** A task that has run for less than this is not stopped for another partition's sake: it would seem never to have begun. */
const MIN_RUN_BEFORE_STOP_MS = 30_000;
/** Of a stored value, what the ranges of one job may take. */
const PROGRESS_RANGES_RATIO = 0.25;

/**
 * The pure core of a partition: the jobs of its teams and the machines lent to it. No tasks of these teams are on
 * any other machine, so everything that quota, placement and recovery ask is known here. A report costs what its
 * own machine's tasks cost, and a look through the jobs that wait if there is room; never a look at the fleet.
 */
export class PartitionCore implements PlacementHost {
  readonly machines = new Map<string, MachineState>();
  readonly jobs = new Map<string, PartitionJob>();
  private queue: PartitionJob[] = [];
  private queueStale = false;
  private orderedAt = Number.NEGATIVE_INFINITY;
  private wallClockMs = 0;
  lastJobArrivalAt = 0;
  readonly estimates = new RuntimeEstimates();
  private readonly unconfirmedMachines = new UnconfirmedMachines();
  readonly quota: TeamQuota;
  readonly placement: TaskPlacement;
  /** Moves tasks between machines; null: nothing is moved. */
  observer: TaskObserver | null = null;
  private readonly unwrittenTerminalStates = new Map<string, TerminalState>();
  private readonly pipelines = new PartitionPipelines();
  readonly counters = { started: 0, done: 0, lost: 0, failed: 0, reports: 0, stale: 0, placementPasses: 0 };

  constructor(
    readonly id: string,
    /** Version of the partition's record: fences every earlier owner. */
    public readonly epoch: number,
    teams: readonly Team[],
    readonly types: () => ReadonlyMap<string, MachineType>,
    /** What a job that is not open any more asked for; its tasks may still be on machines. */
    private readonly specOfClosedJob: (ref: string) => JobSpec | undefined,
    readonly options: PartitionOptions,
    /** Machines that tasks may have been started on, as the store knows: nothing starts on any other. */
    private readonly assignedMachines: Set<string> = new Set<string>(),
  ) {
    this.quota = new TeamQuota(teams, this.unconfirmedMachines, this.jobs);
    this.placement = new TaskPlacement(this);
  }

  get heartbeatIntervalMs(): number {
    return this.options.heartbeatIntervalMs;
  }

  get spreader(): PlacementSpreader | null {
    return this.observer?.spreader ?? null;
  }

  isAssigned(machine: string): boolean {
    return this.assignedMachines.has(machine);
  }

  /** What the ranges of one job may take of a stored value. */
  get maxRangeBytes(): number {
    return this.options.valueBytes * PROGRESS_RANGES_RATIO;
  }

  owns(team: string): boolean {
    return this.quota.has(team);
  }

  // Machines.

  upsertMachine(id: string, record: MachineRecord, revision: number, now: number): void {
    const known = this.machines.get(id);
    if (known) {
      known.record = record;
      known.revision = revision;
      // Never unlocked here: it may be on its way to another partition, and a start now would run there unknown.
      known.cordoned ||= record.phase === 'deprovisioning';
      return;
    }
    // Lent to this partition after we took it over: it came with nothing on it (see `lock`). The same if no owner of this
    // partition has opened it: most of what boots while a partition changes hands would hold up its work for a whole lease.
    const clean = revision > this.epoch || !this.assignedMachines.has(id);
    const machine = new MachineState(id, record, revision, clean, now);
    machine.cordoned = record.phase === 'deprovisioning';
    this.machines.set(id, machine);
    if (!clean) this.unconfirmedMachines.set(id, this.freeOn(machine));
  }

  /** The machine is gone, and everything on it. */
  removeMachine(id: string, now: number): void {
    const machine = this.machines.get(id);
    if (!machine) return;
    this.machines.delete(id);
    // The store's list forgets it as well: should it come back, it is opened anew.
    this.assignedMachines.delete(id);
    for (const task of machine.removeAllTasks()) this.releaseTask(task, now);
    this.observer?.machineRemoved(id, now);
    this.markConfirmed(id);
  }

  /** Locks an empty machine, to be moved or returned. False if it is not empty or not known well enough. */
  cordon(id: string): boolean {
    const machine = this.machines.get(id);
    if (!machine || machine.cordoned || !machine.confirmed || machine.tasks.size > 0) return false;
    if (machine.hasReservations) return false;
    machine.cordoned = true;
    return true;
  }

  uncordon(id: string): void {
    const machine = this.machines.get(id);
    if (machine) machine.cordoned = machine.record.phase === 'deprovisioning';
  }

  /** Empties a machine for another partition: nothing new is put on it. */
  drainForTransfer(id: string, partition: string, now: number): void {
    const machine = this.machines.get(id);
    if (!machine || machine.cordoned) return;
    machine.transferTarget = partition === this.id ? null : partition;
    if (machine.transferTarget === null) return;
    const toCloud = machine.transferTarget === DRAIN_TO_CLOUD;
    for (const task of machine.tasks.values()) {
      if (task.runningSince === null) continue;
      // A dear machine is not kept for the sake of tasks that can go on elsewhere from what they saved. For another partition's
      // sake a task is stopped only if it loses next to nothing by that: there is room for it here, and it has run a while.
      if (toCloud) this.checkpointAndReschedule(task);
      else if (now - task.runningSince > MIN_RUN_BEFORE_STOP_MS && this.placement.consumeSlack(task, now))
        this.checkpointAndReschedule(task);
    }
  }

  /**
   * Machines that could take tasks once the store knows that they may have some. Names of machines that are not here make
   * room in the store's list, so they are forgotten here as well: one that had been here under an earlier owner came back
   * from another partition and was given tasks, though it was on the list no more, and the next owner took it for empty.
   */
  unassignedMachines(): string[] {
    for (const id of this.assignedMachines) if (!this.machines.has(id)) this.assignedMachines.delete(id);
    const found = [];
    for (const m of this.machines.values())
      if (!this.assignedMachines.has(m.id) && !m.cordoned && m.lastHeartbeatAt !== null) found.push(m.id);
    return found;
  }

  /** The store knows now that tasks may be on these. */
  markAssigned(machines: readonly string[]): void {
    for (const id of machines) if (this.machines.has(id)) this.assignedMachines.add(id);
  }

  /** Machines that were emptied for another partition. */
  drainedMachines(): { id: string; toPartition: string }[] {
    const found = [];
    for (const m of this.machines.values()) {
      if (m.transferTarget !== null && m.tasks.size === 0 && !m.hasReservations && !m.cordoned)
        found.push({ id: m.id, toPartition: m.transferTarget });
    }
    return found;
  }

  capacityOf(machine: MachineState): Resources | null {
    return this.types().get(machine.record.type) ?? null;
  }

  freeOn(machine: MachineState): Resources | null {
    const has = this.capacityOf(machine);
    return has && machine.free(has);
  }

  /** Nothing that an earlier owner started can be on this machine unseen any more. */
  private markConfirmed(id: string): void {
    if (!this.unconfirmedMachines.remove(id)) return;
    this.quota.releaseCancelled();
    this.failInterruptedJobs();
  }

  /** The first few of the machines that have not spoken since the partition was taken over. */
  firstUnconfirmedMachines(count: number): string[] {
    return this.unconfirmedMachines.firstIds(count);
  }

  get unconfirmedCount(): number {
    return this.unconfirmedMachines.count;
  }

  // Jobs.

  /** A job that the store has as open. */
  openJob(
    spec: JobSpec,
    acceptedAt: number,
    revision: number,
    progress: JobProgress | null,
    now: number,
  ): void {
    if (!this.owns(spec.team) || this.jobs.has(spec.ref)) return;
    const unconfirmed = revision <= this.epoch;
    const deadlines = deadlinesOf(spec, this.options.objectives);
    const job = new PartitionJob(spec, acceptedAt, deadlines, progress, unconfirmed, now);
    this.jobs.set(spec.ref, job);
    this.quota.invalidateReserved();
    this.pipelines.setMember(spec, 'open', revision);
    this.applyPipeline(spec.ref);
    this.markIfDone(job);
    this.lastJobArrivalAt = now;
    this.queueStale = true;
  }

  /** A job of a pipeline that is over already: its edges still count. */
  addTerminated(spec: JobSpec, state: JobState, revision: number): void {
    if (!this.owns(spec.team) || !spec.pipeline) return;
    this.pipelines.setMember(spec, state, revision);
    this.applyPipeline(spec.ref);
  }

  /** A job that was over before we took the partition: cancelled, its tasks may still be on machines that are silent. */
  addCancelled(spec: JobSpec, state: JobState, revision: number): void {
    if (this.owns(spec.team) && state !== 'done' && revision <= this.epoch)
      this.quota.reserveForCancelled(spec, spec.tasks);
  }

  /** Holds and releases the jobs of a pipeline as its edges say, and ends those that a failure reaches. */
  private applyPipeline(ref: string): void {
    const view = this.pipelines.snapshotOf(ref);
    if (!view) return;
    for (const member of view.standing.keys()) {
      const job = this.jobs.get(member);
      if (job) job.heldByPipeline = !view.ready.has(member);
    }
    // What is done stays done, also while the store does not know it yet.
    for (const [member, state] of view.terminalStates)
      if (this.jobs.get(member)?.finished === false) this.unwrittenTerminalStates.set(member, state);
  }

  /** A task of this job was begun and is lost. A plain job runs it again; one that may not be rerun has failed. */
  private handleLostTask(job: PartitionJob): void {
    if (job.runsAtMostOnce && this.pipelines.markInterrupted(job.ref)) this.applyPipeline(job.ref);
  }

  /**
   * All machines have spoken or their leases have run out: whatever an earlier owner started and is neither done nor
   * anywhere was interrupted.
   */
  private failInterruptedJobs(): void {
    for (const job of this.jobs.values())
      if (job.runsAtMostOnce && job.hasInterruptedTasks) this.handleLostTask(job);
  }

  /** The store knows how a job ended. */
  closeJob(ref: string, state: JobState, now: number): void {
    if (this.pipelines.markClosed(ref, state)) this.applyPipeline(ref);
    const job = this.jobs.get(ref);
    if (!job) return;
    job.state = state;
    if (state !== 'done') this.quota.reserveForCancelled(job.spec, job.unconfirmedCount);
    this.jobs.delete(ref);
    this.unwrittenTerminalStates.delete(ref);
    this.queueStale = true;
    // What is out stays in flight, and counted against the quota, until its machine no longer has it.
    for (const [index, machine] of job.inFlight) {
      const task = machine.tasks.get(taskKey(ref, index));
      if (task) task.stop = { graceS: 0 };
    }
    this.observer?.jobClosed(ref, now);
  }

  private specOf(ref: string): JobSpec | undefined {
    return this.jobs.get(ref)?.spec ?? this.specOfClosedJob(ref);
  }

  /** Jobs that have ended and of which the store does not know it yet. */
  get terminalStates(): ReadonlyMap<string, TerminalState> {
    return this.unwrittenTerminalStates;
  }

  /** Progress to be written, with start watermarks that let the next tasks in turn start. */
  progress(now: number): ProgressToWrite {
    return progressToWrite(this, now);
  }

  /** The store has this progress: tasks before the start watermarks may start, exits that it tells of may be forgotten. */
  markProgressWritten(jobs: ReadonlyMap<string, JobProgress>): void {
    for (const [ref, progress] of jobs) this.jobs.get(ref)?.markProgressWritten(progress);
  }

  // Reports.

  /** Takes a worker's report and answers with our token and commands; null: not a machine of this partition. */
  handleHeartbeat(heartbeat: Heartbeat, now: number): { token: number; commands: Command[] } | null {
    const machine = this.machines.get(heartbeat.machine);
    if (!machine) return null;
    this.counters.reports++;
    // A late copy proves nothing, renews nothing and is given nothing to do.
    if (!machine.isNewer(heartbeat)) {
      this.counters.stale++;
      return { token: machine.token(this.epoch), commands: [] };
    }
    const wasConfirmed = machine.confirmed;
    // What booted until now was not idle: counted from its rental it would be returned the moment it is up.
    if (machine.lastHeartbeatAt === null) machine.idleSince = now;
    const outcome = machine.applyHeartbeat(heartbeat, this.epoch, now, this.options.leaseMs);
    for (const task of outcome.lost) {
      this.counters.lost++;
      this.releaseTask(task, now);
    }
    for (const exit of outcome.exits) this.handleExit(machine, exit, now);
    for (const unknownTask of outcome.unknownTasks) this.adoptRunningTask(machine, unknownTask, now);
    if (!wasConfirmed) {
      if (machine.confirmed) this.markConfirmed(machine.id);
      else this.unconfirmedMachines.set(machine.id, this.freeOn(machine));
    }
    this.quota.invalidateReserved();
    if (machine.preemptionDeadline !== null) this.checkpointBeforePreemption(machine, now);
    if (machine.tasks.size > 0) machine.idleSince = now;
    const commands = machine.takeCommands((exit) => this.isForgettable(exit), now);
    this.observer?.answeringHeartbeat(machine, commands, now);
    this.placement.placeTasks(machine, commands, now);
    return { token: machine.token(this.epoch), commands };
  }

  private isForgettable(exit: TaskExit): boolean {
    // A job that is not open is settled in the store; failures leave nothing worth keeping.
    return exit.reason !== 'done' || this.jobs.get(exit.ref)?.isDurable(exit.index) !== false;
  }

  private handleExit(machine: MachineState, exit: TaskExit, now: number): void {
    if (exit.inFlight) this.releaseTask(exit.inFlight, now, false);
    const job = this.jobs.get(exit.ref);
    const since = exit.inFlight?.runningSince;
    if (job && exit.reason === 'done' && typeof since === 'number' && job.spec.checkpointIntervalS === 0) {
      this.estimates.addSample(job.spec.workload, job.spec.expectedS, (now - since) / 1000);
      this.observer?.taskRan(job.spec, (now - since) / 1000);
    }
    if (!job?.hasTask(exit.index)) return;
    if (exit.reason === 'done') {
      machine.failuresByJob.clear();
      machine.healthy = true;
      if (job.isDone(exit.index)) return;
      // If another attempt is out, it is stopped.
      if (!job.isPending(exit.index)) this.stopOtherAttempt(job, exit.index);
      job.markDone(exit.index);
      this.observer?.taskDone(exit.ref, exit.index, now);
      this.counters.done++;
      this.markIfDone(job);
      return;
    }
    if (!exit.inFlight) return;
    if (exit.reason !== 'stopped') this.observer?.taskFailed(exit.ref, exit.index, now);
    if (exit.reason !== 'no_room' && exit.reason !== 'busy') this.handleLostTask(job);
    if (exit.reason === 'error' || exit.reason === 'unknown') {
      this.counters.failed++;
      job.failedMachines.add(machine.id);
      if (exit.reason === 'error')
        machine.failuresByJob.set(job.ref, (machine.failuresByJob.get(job.ref) ?? 0) + 1);
      const errors = job.countFailure(exit.index);
      // Tried again elsewhere, with growing pauses: the job is not over until its user says so.
      job.delayRetry(exit.index, now + Math.min(30_000, 250 * 2 ** errors));
      if (job.failsEverywhere) job.backOff(now);
    } else if (exit.reason === 'no_room') {
      job.delayRetry(exit.index, now + this.options.heartbeatIntervalMs);
    }
  }

  private stopOtherAttempt(job: PartitionJob, index: number): void {
    const task = job.inFlight.get(index)?.tasks.get(taskKey(job.ref, index));
    if (task) task.stop = { graceS: 0 };
  }

  private adoptRunningTask(machine: MachineState, t: HeartbeatTask, now: number): void {
    const job = this.jobs.get(t.ref);
    const spec = this.specOf(t.ref);
    const inFlight = machine.adoptRunningTask(t, spec ?? null, now);
    if (spec) this.quota.addUsage(spec, 1);
    if (job?.hasTask(t.index) && job.isPending(t.index)) {
      job.markInFlight(t.index, machine);
      machine.images.add(job.spec.image);
    } else {
      inFlight.stop = { graceS: 0 };
    }
  }

  /** A task in flight is surely not on its machine any more. */
  private releaseTask(task: InFlightTask, now: number, lost = true): void {
    if (task.spec) this.quota.addUsage(task.spec, -1);
    const job = this.jobs.get(task.ref);
    const machine = job?.inFlight.get(task.index);
    // The same task may be in flight on another machine too, being stopped there.
    if (!job || machine?.tasks.has(taskKey(task.ref, task.index))) return;
    job.requeue(task.index);
    if (job.isPending(task.index)) this.observer?.taskRequeued(task.ref, task.index, now);
    this.markIfDone(job);
    if (lost && task.phase === 'reported') this.handleLostTask(job);
  }

  /**
   * All tasks are done, and no other attempt of one is still being stopped: what is told as done leaves nothing on any
   * machine, for the next owner counts nothing of it against the team.
   */
  private markIfDone(job: PartitionJob): void {
    if (job.finished && job.inFlight.size === 0) this.unwrittenTerminalStates.set(job.ref, 'done');
  }

  /** The cloud takes the machine away: tasks that can save do so in time. */
  private checkpointBeforePreemption(machine: MachineState, now: number): void {
    const left = ((machine.preemptionDeadline ?? now) - now) / 1000;
    for (const task of machine.tasks.values()) {
      // A notice may be half as long as it says; two reports may pass until the next command arrives.
      const saveS = task.spec?.checkpointDurationS ?? 0;
      if (left * 0.5 <= saveS + (2 * this.options.heartbeatIntervalMs) / 1000 + 1)
        this.checkpointAndReschedule(task);
    }
  }

  /** Stops a task that can go on elsewhere from what it saves. */
  private checkpointAndReschedule(task: InFlightTask): void {
    const job = this.jobs.get(task.ref);
    if (!job || job.runsAtMostOnce || job.spec.checkpointIntervalS <= 0 || task.stop) return;
    task.stop = { graceS: job.spec.checkpointDurationS + 1 };
  }

  // Time.

  tick(now: number, wallClockMs: number): void {
    this.wallClockMs = wallClockMs;
    if (now - this.orderedAt > REORDER_INTERVAL_MS) {
      this.orderedAt = now;
      this.queueStale = true;
    }
    for (const machine of this.machines.values()) {
      const lost = machine.expireLease(now, this.options.leaseMs);
      if (!lost) continue;
      this.counters.lost += lost.length;
      for (const task of lost) this.releaseTask(task, now);
      this.markConfirmed(machine.id);
    }
    this.quota.invalidateReserved();
    this.placement.prioritizeMachines(now);
    this.observer?.tick(now);
  }

  // Placement.

  /** The open jobs in their turn. */
  jobsInSchedulingOrder(): readonly PartitionJob[] {
    if (!this.queueStale) return this.queue;
    this.queueStale = false;
    let cpus = 1;
    for (const m of this.machines.values()) cpus += this.capacityOf(m)?.cpus ?? 0;
    const { estimates, wallClockMs } = this;
    const teams = this.quota.teams;
    this.queue = schedulingOrder([...this.jobs.values()], {
      ...{ cpus, estimates, teams, wallClockMs },
      objectives: this.options.objectives,
    });
    return this.queue;
  }

  // What the leader and the operators are told.

  /** What a team may still use. */
  remainingQuota(team: string): ResourceQuota {
    return this.quota.remaining(team);
  }

  /** Whether nothing new is to be put on a machine just now. */
  isUnschedulable(machine: MachineState, now: number): boolean {
    return this.placement.isUnschedulable(machine, now);
  }

  isQuarantined(machine: MachineState): boolean {
    return this.placement.isQuarantined(machine);
  }

  load(now: number): PartitionLoad {
    return partitionLoad(this, now);
  }

  /** Numbers for the operators' status. */
  summary(): object {
    const byRank = PRIORITIES.map((name, rank) => {
      const jobs = [...this.jobs.values()].filter((j) => j.spec.priority === rank);
      return { urgency: name, jobs: jobs.length, waiting: jobs.reduce((n, j) => n + j.pendingCount, 0) };
    });
    const { size } = this.machines;
    return {
      partition: this.id,
      machines: size,
      unconfirmed: this.unconfirmedCount,
      byRank,
      ...this.counters,
    };
  }
}
