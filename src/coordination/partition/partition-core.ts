import { type MachineType } from '../../protocol/cloud';
import { PRIORITIES, type JobSpec } from '../../protocol/jobs';
import { DRAIN_TO_CLOUD, type PartitionLoad } from '../../protocol/peers';
import {
  type TerminalState,
  type JobProgress,
  type JobState,
  type MachineRecord,
} from '../../protocol/records';
import { type Objective, type Team } from '../../protocol/settings';
import { type Heartbeat } from '../../protocol/workers';
import { dropOutlivedFailures } from './failure-recovery';
import { failureSummary } from './failure-summary';
import { HeartbeatHandler, type HeartbeatAnswer } from './heartbeat-handler';
import { type PartitionJob } from './job';
import { JobSet, type OpenJob, type JobAtRevision } from './job-set';
import { type InFlightTask } from './in-flight-task';
import { type MachineState } from './machine';
import { isQuarantined, maxStartsOn } from './machine-failures';
import { MachineSet, type DrainedMachine } from './machine-set';
import { partitionLoad } from './partition-load';
import { type PartitionState } from './partition-state';
import { type Resources } from './resources';
import { keepMachinesForRetries } from './retry-machines';
import { RuntimeEstimates } from './priority';
import { SchedulingQueue } from './scheduling-queue';
import { progressToWrite, type ProgressToWrite } from './start-watermarks';
import { TaskLifecycle, type PartitionCounters } from './task-lifecycle';
import { type TaskObserver } from './task-observer';
import { TaskPlacement, type PlacementContext, type PlacementSpreader } from './task-placement';
import { TeamQuota } from './team-quota';
import { UnconfirmedMachines } from './unconfirmed-machines';

/** Settings that apply to every partition. */
export interface PartitionOptions {
  heartbeatIntervalMs: number;
  leaseMs: number;
  /** Size in bytes of the largest value that the state store accepts. */
  valueBytes: number;
  objectives: readonly Objective[];
}

export interface PartitionCoreOptions {
  id: string;
  /** Epoch of the partition's record in the state store; it fences every earlier owner. */
  epoch: number;
  teams: readonly Team[];
  /** Returns the machine types by name, as the cloud last listed them. */
  machineTypes: () => ReadonlyMap<string, MachineType>;
  /** Returns the specification of a job that is no longer open; its tasks may still be on machines. Undefined if unknown. */
  specOfClosedJob: (ref: string) => JobSpec | undefined;
  options: PartitionOptions;
  /**
   * Machines on which tasks may have been started, as listed in the state store. The partition takes ownership of the set and
   * changes it. Default: none.
   */
  assignedMachines?: Set<string>;
}

/**
 * A task that has run for at most this time is not stopped for the transfer of its machine to another partition: stopped soon after
 * each start, it would make no progress.
 */
const MIN_RUN_BEFORE_STOP_MS = 30_000;
/** Share of a stored value that the list of finished tasks of one job may take. */
const MAX_DONE_RANGES_RATIO = 0.25;

/**
 * The state and decisions of one partition: the jobs of its teams and the machines that belong to it. No task of these teams runs
 * on any other machine, so everything that quota, placement and recovery depend on is known here. The class does no I/O and reads
 * no clock; `now` is steady time in milliseconds in every method. Calls must not overlap: the partition actor makes them one
 * after the other.
 */
export class PartitionCore implements PlacementContext, PartitionState {
  readonly id: string;
  readonly epoch: number;
  readonly machineTypes: () => ReadonlyMap<string, MachineType>;
  readonly options: PartitionOptions;
  readonly jobs: ReadonlyMap<string, PartitionJob>;
  readonly machines: ReadonlyMap<string, MachineState>;
  readonly estimates = new RuntimeEstimates();
  readonly quota: TeamQuota;
  readonly placement: TaskPlacement;
  readonly counters: PartitionCounters = {
    started: 0,
    done: 0,
    lost: 0,
    failed: 0,
    reports: 0,
    stale: 0,
    placementPasses: 0,
  };
  /** Observer that moves tasks between machines; null if tasks are not moved. */
  observer: TaskObserver | null = null;
  private readonly unconfirmedMachines = new UnconfirmedMachines();
  private readonly machineSet: MachineSet;
  private readonly jobSet: JobSet;
  private readonly queue: SchedulingQueue;
  private readonly lifecycle: TaskLifecycle;
  private readonly heartbeats: HeartbeatHandler;

  constructor({
    id,
    epoch,
    teams,
    machineTypes,
    specOfClosedJob,
    options,
    assignedMachines,
  }: PartitionCoreOptions) {
    this.id = id;
    this.epoch = epoch;
    this.machineTypes = machineTypes;
    this.options = options;
    const { heartbeatIntervalMs, leaseMs, objectives } = options;
    const { estimates, counters, unconfirmedMachines } = this;
    const jobs = new Map<string, PartitionJob>();
    this.jobs = jobs;
    const quota = new TeamQuota(teams, unconfirmedMachines, jobs);
    this.quota = quota;
    const machines = new MachineSet({
      partition: id,
      epoch,
      machineTypes,
      assignedMachines: assignedMachines ?? new Set(),
      unconfirmedMachines,
    });
    this.machineSet = machines;
    this.machines = machines.byId;
    const jobSet = new JobSet({ epoch, objectives, jobs, quota, specOfClosedJob });
    this.jobSet = jobSet;
    const totalCpus = (): number => machines.totalCpus();
    this.queue = new SchedulingQueue({ jobs, quota, estimates, objectives, totalCpus });
    const placement = new TaskPlacement(this);
    this.placement = placement;
    const lifecycle = new TaskLifecycle({
      jobs,
      jobSet,
      quota,
      estimates,
      counters,
      observerHolder: this,
      heartbeatIntervalMs,
    });
    this.lifecycle = lifecycle;
    this.heartbeats = new HeartbeatHandler({
      epoch,
      leaseMs,
      machines,
      unconfirmedMachines,
      jobs,
      quota,
      lifecycle,
      placement,
      counters,
      observerHolder: this,
      markConfirmed: (machine) => this.markConfirmed(machine),
    });
  }

  get heartbeatIntervalMs(): number {
    return this.options.heartbeatIntervalMs;
  }

  get spreader(): PlacementSpreader | null {
    return this.observer?.spreader ?? null;
  }

  get maxDoneRangesBytes(): number {
    return this.options.valueBytes * MAX_DONE_RANGES_RATIO;
  }

  /** Whether the partition schedules the jobs of a team. */
  ownsTeam(team: string): boolean {
    return this.quota.has(team);
  }

  // Machines.

  /** Adds a machine, or replaces the record of a known machine. `revision` is the revision of the record. */
  upsertMachine(id: string, record: MachineRecord, revision: number, now: number): void {
    this.machineSet.upsert(id, record, revision, now);
  }

  /** Removes a machine that is gone or belongs to another partition, and requeues its tasks. */
  removeMachine(id: string, now: number): void {
    const machine = this.machineSet.remove(id);
    if (!machine) return;
    for (const task of machine.removeAllTasks()) this.lifecycle.releaseTask(task, 'interrupted', now);
    this.observer?.machineRemoved(id, now);
    this.markConfirmed(id);
  }

  /**
   * Cordons a machine that is to be transferred or deprovisioned. Returns false, and does nothing, if that is not possible (see
   * `MachineSet.cordon`).
   */
  cordon(id: string): boolean {
    return this.machineSet.cordon(id);
  }

  /** Uncordons a machine, unless its record says that it is being deprovisioned. */
  uncordon(id: string): void {
    this.machineSet.uncordon(id);
  }

  /**
   * Drains a machine for its transfer to another partition, or to the cloud if `partition` is `DRAIN_TO_CLOUD`. If `partition` is
   * this partition, the drain is cancelled.
   */
  drainForTransfer(id: string, partition: string, now: number): void {
    const machine = this.machineSet.setTransferTarget(id, partition);
    if (!machine) return;
    const toCloud = partition === DRAIN_TO_CLOUD;
    for (const task of machine.tasks.values())
      if (toCloud ? task.runningSince !== null : this.mayStopForTransfer(task, now))
        this.lifecycle.checkpointAndReschedule(task);
  }

  /**
   * Whether a task may be stopped so that its machine can be transferred to another partition. The conditions below do not apply
   * when the machine is drained to the cloud, because the deprovisioning of an expensive machine must not wait.
   */
  private mayStopForTransfer(task: InFlightTask, now: number): boolean {
    if (task.runningSince === null || now - task.runningSince <= MIN_RUN_BEFORE_STOP_MS) return false;
    return this.placement.reserveSlack(task, now);
  }

  /** Machines that can be given tasks as soon as the state store lists them as assigned. */
  unassignedMachines(): string[] {
    return this.machineSet.unassigned();
  }

  /** Records that the state store now lists these machines as assigned. */
  markAssigned(machines: readonly string[]): void {
    this.machineSet.markAssigned(machines);
  }

  isAssigned(machine: string): boolean {
    return this.machineSet.isAssigned(machine);
  }

  /** Machines that have been drained, each with the partition it goes to. */
  drainedMachines(): DrainedMachine[] {
    return this.machineSet.drained();
  }

  capacityOf(machine: MachineState): Resources | null {
    return this.machineSet.capacityOf(machine);
  }

  freeOn(machine: MachineState): Resources | null {
    return this.machineSet.freeOn(machine);
  }

  /**
   * Records that every task that an earlier owner started and that is still on this machine has been reported. Once this holds for
   * all machines, releases the quota reserved for closed jobs and fails interrupted jobs that run at most once.
   */
  private markConfirmed(id: string): void {
    if (!this.unconfirmedMachines.remove(id)) return;
    this.quota.releaseCancelled();
    this.jobSet.allMachinesConfirmed();
  }

  /** Up to `count` of the machines that are not yet confirmed. */
  firstUnconfirmedMachines(count: number): string[] {
    return this.unconfirmedMachines.firstIds(count);
  }

  get unconfirmedCount(): number {
    return this.unconfirmedMachines.count;
  }

  // Jobs.

  /**
   * Adds a job that is open in the state store. Ignores a job that is known already, or whose team belongs to another partition.
   */
  openJob(job: OpenJob, now: number): void {
    if (this.jobSet.open(job, this.unconfirmedCount === 0, now)) this.queue.invalidate();
  }

  /** Adds a terminated job to its pipeline, where its edges still apply. Ignores a job without a pipeline. */
  addTerminatedPipelineJob(job: JobAtRevision, state: JobState): void {
    this.jobSet.addTerminatedPipelineJob(job, state);
  }

  /**
   * Reserves quota for a job that an earlier owner may have started and that ended in a state other than `done`: its tasks may be
   * on unconfirmed machines.
   */
  reserveQuotaForCancelled(job: JobAtRevision, state: JobState): void {
    this.jobSet.reserveQuotaForCancelled(job, state);
  }

  /** Closes a job whose terminal state is in the state store, and stops its tasks. */
  closeJob(ref: string, state: JobState, now: number): void {
    const job = this.jobSet.close(ref, state);
    if (!job) return;
    this.queue.invalidate();
    this.lifecycle.stopTasksOf(job);
    this.observer?.jobClosed(ref, now);
  }

  get lastJobArrivalAt(): number {
    return this.jobSet.lastArrivalAt;
  }

  /** Terminal states that are not yet known to be in the state store, by job. */
  get terminalStates(): ReadonlyMap<string, TerminalState> {
    return this.jobSet.terminalStates;
  }

  /** Progress to be written, with start watermarks high enough for the next tasks in scheduling order to start. */
  progress(now: number): ProgressToWrite {
    return progressToWrite(this, now);
  }

  /**
   * Records that the state store has this progress. Tasks below its start watermarks may now be started, and workers may forget the
   * exits that it includes.
   */
  markProgressWritten(jobs: ReadonlyMap<string, JobProgress>): void {
    this.jobSet.markProgressWritten(jobs);
  }

  jobsInSchedulingOrder(): readonly PartitionJob[] {
    return this.queue.jobsInOrder();
  }

  jobsWithoutCpus(): readonly PartitionJob[] {
    return this.queue.jobsWithoutCpus();
  }

  // Heartbeats and time.

  /** Returns the token and commands to answer a worker's heartbeat with; null if its machine is not in this partition. */
  handleHeartbeat(heartbeat: Heartbeat, now: number): HeartbeatAnswer | null {
    return this.heartbeats.handle(heartbeat, now);
  }

  /** Expires leases and prepares the placement at the next heartbeats. Must be called a few times a second. */
  tick(now: number, wallClockMs: number): void {
    this.queue.tick(now, wallClockMs);
    this.expireLeases(now);
    dropOutlivedFailures(this.machines, this.jobs);
    this.quota.invalidateReserved();
    this.placement.prioritizeMachines(now);
    keepMachinesForRetries(this, now);
    this.observer?.tick(now);
  }

  private expireLeases(now: number): void {
    for (const machine of this.machines.values()) {
      const lost = machine.expireLease(now, this.options.leaseMs);
      if (!lost) continue;
      for (const task of lost) this.lifecycle.releaseLostTask({ task, release: 'interrupted' }, now);
      this.markConfirmed(machine.id);
    }
  }

  // Machine states and summaries for other components.

  isUnschedulable(machine: MachineState, now: number): boolean {
    return this.placement.isUnschedulable(machine, now);
  }

  isQuarantined(machine: MachineState, now: number): boolean {
    return isQuarantined(machine, this.jobs, now);
  }

  maxStartsOn(machine: MachineState, now: number): number {
    return maxStartsOn(machine, this.jobs, now);
  }

  /** The partition's load, as it is published to the leader. */
  currentLoad(now: number): PartitionLoad {
    return partitionLoad(this, now);
  }

  /** The partition's entry in `GET /status`. Its field names are part of that interface. */
  statusSummary(now: number): object {
    const byRank = PRIORITIES.map((name, priority) => {
      const jobs = [...this.jobs.values()].filter((job) => job.spec.priority === priority);
      const waiting = jobs.reduce((count, job) => count + job.pendingCount, 0);
      return { urgency: name, jobs: jobs.length, waiting };
    });
    return {
      partition: this.id,
      machines: this.machines.size,
      unconfirmed: this.unconfirmedCount,
      byRank,
      failures: failureSummary(this.machines.values(), this.jobs, now),
      ...this.counters,
    };
  }
}
