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
import { HeartbeatHandler, type HeartbeatAnswer } from './heartbeat-handler';
import { type PartitionJob } from './job';
import { JobSet, type OpenJob, type StoredJobState } from './job-set';
import { type InFlightTask } from './in-flight-task';
import { type MachineState } from './machine';
import { MachineSet, type DrainedMachine } from './machine-set';
import { partitionLoad } from './partition-load';
import { type PartitionState } from './partition-state';
import { type Resources } from './resources';
import { RuntimeEstimates } from './priority';
import { SchedulingQueue } from './scheduling-queue';
import { progressToWrite, type ProgressToWrite } from './start-watermarks';
import { TaskLifecycle, type PartitionCounters } from './task-lifecycle';
import { type TaskObserver } from './task-observer';
import { TaskPlacement, type PlacementHost, type PlacementSpreader } from './task-placement';
import { TeamQuota } from './team-quota';
import { UnconfirmedMachines } from './unconfirmed-machines';

/** Settings of a partition. */
export interface PartitionOptions {
  heartbeatIntervalMs: number;
  leaseMs: number;
  /** Largest value that the state store takes. */
  valueBytes: number;
  objectives: readonly Objective[];
}

export interface PartitionCoreOptions {
  id: string;
  /** Epoch of the partition's record in the state store: fences every earlier owner. */
  epoch: number;
  teams: readonly Team[];
  /** Machine types by name, as the cloud last listed them. */
  machineTypes: () => ReadonlyMap<string, MachineType>;
  /** Specification of a job that is not open any more; its tasks may still be on machines. */
  specOfClosedJob: (ref: string) => JobSpec | undefined;
  options: PartitionOptions;
  /** Machines that tasks may have been started on, as the state store knows; the partition takes ownership of the set. */
  assignedMachines?: Set<string>;
}

/** A task that has run for less than this is not stopped for a transfer: it would lose all that it has done. */
const MIN_RUN_BEFORE_STOP_MS = 30_000;
/** Of a stored value, what the list of finished tasks of one job may take. */
const PROGRESS_RANGES_RATIO = 0.25;

/**
 * The state and decisions of one partition: the jobs of its teams and the machines assigned to it. No task of these teams runs on
 * any other machine, so all that quota, placement and recovery depend on is known here. It does no I/O and reads no clock; `now`
 * is steady time in milliseconds throughout. Calls must not overlap: the partition actor makes them one after the other.
 */
export class PartitionCore implements PlacementHost, PartitionState {
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
  /** Moves tasks between machines; null: no task is moved. */
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
      observed: this,
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
      observed: this,
      markConfirmed: (machine) => this.markConfirmed(machine),
    });
  }

  get heartbeatIntervalMs(): number {
    return this.options.heartbeatIntervalMs;
  }

  get spreader(): PlacementSpreader | null {
    return this.observer?.spreader ?? null;
  }

  get maxRangeBytes(): number {
    return this.options.valueBytes * PROGRESS_RANGES_RATIO;
  }

  /** Whether the partition schedules the jobs of a team. */
  ownsTeam(team: string): boolean {
    return this.quota.has(team);
  }

  // Machines.

  /** Takes over a machine's record of the given revision; the machine may be known already. */
  upsertMachine(id: string, record: MachineRecord, revision: number, now: number): void {
    this.machineSet.upsert(id, record, revision, now);
  }

  /** The machine is gone, and every task on it. */
  removeMachine(id: string, now: number): void {
    const machine = this.machineSet.remove(id);
    if (!machine) return;
    for (const task of machine.removeAllTasks()) this.lifecycle.releaseTask(task, now, true);
    this.observer?.machineRemoved(id, now);
    this.markConfirmed(id);
  }

  /** Cordons an empty machine, to be transferred or deprovisioned. False if it is not empty, or not confirmed to be. */
  cordon(id: string): boolean {
    return this.machineSet.cordon(id);
  }

  /** Lets tasks on a machine again, unless its record says that it is being deprovisioned. */
  uncordon(id: string): void {
    this.machineSet.uncordon(id);
  }

  /** Drains a machine for a transfer to another partition; naming this partition takes that back. */
  drainForTransfer(id: string, partition: string, now: number): void {
    const machine = this.machineSet.setTransferTarget(id, partition);
    if (!machine) return;
    const toCloud = partition === DRAIN_TO_CLOUD;
    for (const task of machine.tasks.values())
      if (toCloud ? task.runningSince !== null : this.mayStopForTransfer(task, now))
        this.lifecycle.checkpointAndReschedule(task);
  }

  /**
   * Whether a task may be stopped so that its machine can go to another partition. There must be room for it here, and it must
   * have run a while: stopped right away it would never get anywhere. An expensive machine that is deprovisioned does not wait.
   */
  private mayStopForTransfer(task: InFlightTask, now: number): boolean {
    if (task.runningSince === null || now - task.runningSince <= MIN_RUN_BEFORE_STOP_MS) return false;
    return this.placement.consumeSlack(task, now);
  }

  /** Machines that could take tasks once the state store lists them as assigned. */
  unassignedMachines(): string[] {
    return this.machineSet.unassigned();
  }

  /** The state store lists these machines as assigned now. */
  markAssigned(machines: readonly string[]): void {
    this.machineSet.markAssigned(machines);
  }

  isAssigned(machine: string): boolean {
    return this.machineSet.isAssigned(machine);
  }

  /** Machines that have been drained for a transfer. */
  drainedMachines(): DrainedMachine[] {
    return this.machineSet.drained();
  }

  capacityOf(machine: MachineState): Resources | null {
    return this.machineSet.capacityOf(machine);
  }

  freeOn(machine: MachineState): Resources | null {
    return this.machineSet.freeOn(machine);
  }

  /** Nothing that an earlier owner started can be on this machine any more without having been seen. */
  private markConfirmed(id: string): void {
    if (!this.unconfirmedMachines.remove(id)) return;
    this.quota.releaseCancelled();
    this.jobSet.failInterruptedJobs();
  }

  /** Up to `count` of the machines that are not confirmed yet. */
  firstUnconfirmedMachines(count: number): string[] {
    return this.unconfirmedMachines.firstIds(count);
  }

  get unconfirmedCount(): number {
    return this.unconfirmedMachines.count;
  }

  // Jobs.

  /** Adds a job that is open in the state store. Ignored if it is known, or of a team of another partition. */
  openJob(job: OpenJob, now: number): void {
    if (this.jobSet.open(job, now)) this.queue.invalidate();
  }

  /** Adds a job of a pipeline that has terminated already: its edges still count. */
  addTerminatedPipelineJob(job: StoredJobState, state: JobState): void {
    this.jobSet.addTerminatedPipelineJob(job, state);
  }

  /** Reserves quota for a job that was cancelled under an earlier owner: its tasks may be on unconfirmed machines. */
  reserveQuotaForCancelled(job: StoredJobState, state: JobState): void {
    this.jobSet.reserveQuotaForCancelled(job, state);
  }

  /** The state store has a job's terminal state. */
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

  /** Jobs that have ended while the state store does not know it yet. */
  get terminalStates(): ReadonlyMap<string, TerminalState> {
    return this.jobSet.terminalStates;
  }

  /** Progress to be written, with start watermarks that let the next tasks in scheduling order start. */
  progress(now: number): ProgressToWrite {
    return progressToWrite(this, now);
  }

  /** The state store has this progress: starts below its watermarks are allowed, exits recorded in it may be forgotten. */
  markProgressWritten(jobs: ReadonlyMap<string, JobProgress>): void {
    this.jobSet.markProgressWritten(jobs);
  }

  jobsInSchedulingOrder(): readonly PartitionJob[] {
    return this.queue.jobsInOrder();
  }

  // Heartbeats and time.

  /** Answers a worker's heartbeat with a token and commands; null: the machine does not belong to this partition. */
  handleHeartbeat(heartbeat: Heartbeat, now: number): HeartbeatAnswer | null {
    return this.heartbeats.handle(heartbeat, now);
  }

  /** Expires leases and prepares the placement of the next heartbeats. To be called a few times a second. */
  tick(now: number, wallClockMs: number): void {
    this.queue.tick(now, wallClockMs);
    this.expireLeases(now);
    this.quota.invalidateReserved();
    this.placement.prioritizeMachines(now);
    this.observer?.tick(now);
  }

  private expireLeases(now: number): void {
    for (const machine of this.machines.values()) {
      const lost = machine.expireLease(now, this.options.leaseMs);
      if (!lost) continue;
      for (const task of lost) this.lifecycle.releaseLostTask(task, now);
      this.markConfirmed(machine.id);
    }
  }

  // What others read.

  isUnschedulable(machine: MachineState, now: number): boolean {
    return this.placement.isUnschedulable(machine, now);
  }

  isQuarantined(machine: MachineState): boolean {
    return this.placement.isQuarantined(machine);
  }

  /** The load of the partition as it is published to the leader. */
  currentLoad(now: number): PartitionLoad {
    return partitionLoad(this, now);
  }

  /** The partition's part of `GET /status`; the names are part of its output. */
  statusSummary(): object {
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
      ...this.counters,
    };
  }
}
