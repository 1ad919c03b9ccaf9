import { type ExitReason, type HeartbeatTask } from '../../protocol/workers';
import { type PartitionJob } from './job';
import { type JobSet } from './job-set';
import { taskKey, type InFlightTask, type LostTask, type TaskExit, type TaskRelease } from './in-flight-task';
import { type MachineState } from './machine';
import { type RuntimeEstimates } from './priority';
import { type TaskObserver } from './task-observer';
import { type TeamQuota } from './team-quota';

/** The first retry of a task is delayed by twice this time, and each further one by twice as long, up to the maximum. */
const RETRY_BASE_DELAY_MS = 250;
const MAX_RETRY_DELAY_MS = 30_000;
/** Added to the estimated duration of a checkpoint, so that a task is not killed if its estimate is slightly too short. */
const CHECKPOINT_MARGIN_S = 1;
/** Share of the time in a preemption notice that can be relied on. */
const RELIABLE_NOTICE_RATIO = 0.5;
/** Number of heartbeats that may pass until a command reaches the worker. */
const COMMAND_DELAY_HEARTBEATS = 2;

/** Exits of tasks that the worker refused to start; `unknown`: it did not find the job or the task. */
const REFUSED_STARTS: ReadonlySet<ExitReason> = new Set(['no_room', 'busy', 'unknown']);

/** Counters of a partition in `GET /status`. Their names are part of that interface. */
export interface PartitionCounters {
  started: number;
  done: number;
  lost: number;
  failed: number;
  /** Heartbeats received. */
  reports: number;
  /** Heartbeats that were not newer than all received before. */
  stale: number;
  placementPasses: number;
}

export interface TaskLifecycleDependencies {
  jobs: ReadonlyMap<string, PartitionJob>;
  jobSet: JobSet;
  quota: TeamQuota;
  estimates: RuntimeEstimates;
  counters: PartitionCounters;
  /** Holder of the observer, which is set after the partition is built. */
  observerHolder: { readonly observer: TaskObserver | null };
  heartbeatIntervalMs: number;
}

/** Handles tasks after their start: adopts tasks of an earlier owner, accounts for exits and losses, retries and stops tasks. */
export class TaskLifecycle {
  constructor(private readonly deps: TaskLifecycleDependencies) {}

  private get observer(): TaskObserver | null {
    return this.deps.observerHolder.observer;
  }

  /** Adopts a live task that an earlier owner started. Kills it unless its job is open and the task is pending. */
  adoptRunningTask(machine: MachineState, task: HeartbeatTask, now: number): void {
    const { jobs, jobSet, quota } = this.deps;
    const job = jobs.get(task.ref);
    const spec = jobSet.specOf(task.ref);
    const inFlight = machine.adoptRunningTask(task, spec ?? null, now);
    if (spec) quota.addUsage(spec, 1);
    if (job?.hasTask(task.index) && job.isPending(task.index)) {
      job.markInFlight(task.index, machine);
      machine.images.add(job.spec.image);
    } else {
      inFlight.stop = { graceS: 0 };
    }
  }

  /** Releases a task that is certain not to be on its machine although its exit was not reported. Counts it as lost. */
  releaseLostTask({ task, release }: LostTask, now: number): void {
    this.deps.counters.lost++;
    this.releaseTask(task, release, now);
  }

  /** Releases a task that is certain not to be on its machine any more. Fails its job if the task must not be started again. */
  releaseTask(task: InFlightTask, release: TaskRelease, now: number): void {
    const { jobs, jobSet, quota } = this.deps;
    if (task.spec) quota.addUsage(task.spec, -1);
    const job = jobs.get(task.ref);
    const machine = job?.inFlight.get(task.index);
    // The job may have another attempt of the task in flight on another machine, where it is being stopped.
    const hasOtherAttempt = machine?.tasks.has(taskKey(task.ref, task.index)) ?? false;
    if (job && !hasOtherAttempt) this.requeue(job, task.index, now);
    if (task.spec && !task.confirmed && !job?.isUnconfirmed(task.index))
      quota.reserveForUnconfirmedTask(task.spec);
    if (job && !hasOtherAttempt && release === 'interrupted') jobSet.failIfRunsAtMostOnce(job);
  }

  private requeue(job: PartitionJob, index: number, now: number): void {
    job.requeue(index);
    if (job.isPending(index)) this.observer?.taskRequeued(job.ref, index, now);
    this.deps.jobSet.markIfDone(job);
  }

  /** Handles an exit that a worker has reported. The worker repeats the exit until it is told to forget it. */
  handleExit(machine: MachineState, exit: TaskExit, now: number): void {
    if (exit.inFlight) this.releaseTask(exit.inFlight, 'exited', now);
    const job = this.deps.jobs.get(exit.ref);
    if (!job) return;
    if (exit.reason === 'done') this.recordRunTime(job, exit, now);
    if (!job.hasTask(exit.index)) return;
    if (exit.reason === 'done') this.handleSuccess(job, machine, exit, now);
    else if (exit.inFlight) this.handleFailure(job, machine, exit, now);
  }

  /**
   * Records the run time of a done task. A task of a job with checkpoints is excluded, because it may have resumed from one, and
   * its run time then says nothing about the next task.
   */
  private recordRunTime({ spec }: PartitionJob, exit: TaskExit, now: number): void {
    const runningSince = exit.inFlight?.runningSince;
    if (typeof runningSince !== 'number' || spec.checkpointIntervalS !== 0) return;
    const seconds = (now - runningSince) / 1000;
    this.deps.estimates.addSample(spec.workload, spec.expectedS, seconds);
    this.observer?.runTimeMeasured(spec, seconds);
  }

  private handleSuccess(job: PartitionJob, machine: MachineState, exit: TaskExit, now: number): void {
    machine.failures.recordSuccess(job.ref);
    if (job.isDone(exit.index)) return this.confirmSuccess(job, machine, exit);
    if (!job.isPending(exit.index)) this.killInFlightAttempt(job, exit.index);
    job.markDone(exit.index, machine.confirmed);
    this.observer?.taskDone(exit.ref, exit.index, now);
    this.deps.counters.done++;
    this.deps.jobSet.markIfDone(job);
  }

  /** Handles a repeated success. Once its machine is confirmed, it is certain that no other attempt is left. */
  private confirmSuccess(job: PartitionJob, machine: MachineState, exit: TaskExit): void {
    if (!machine.confirmed) return;
    job.confirmDone(exit.index);
    this.deps.jobSet.markIfDone(job);
  }

  private handleFailure(job: PartitionJob, machine: MachineState, exit: TaskExit, now: number): void {
    if (exit.reason !== 'stopped') this.observer?.taskFailed(exit.ref, exit.index, now);
    if (!REFUSED_STARTS.has(exit.reason)) this.deps.jobSet.failIfRunsAtMostOnce(job);
    if (exit.reason === 'error' || exit.reason === 'unknown') this.retryLater(job, machine, exit, now);
    else if (exit.reason === 'no_room') job.delayRetry(exit.index, now + this.deps.heartbeatIntervalMs);
  }

  /**
   * Schedules a retry of a failed task, with a delay that doubles with each failure. Retries go on until the user cancels the
   * job.
   */
  private retryLater(job: PartitionJob, machine: MachineState, exit: TaskExit, now: number): void {
    this.deps.counters.failed++;
    const runMs = now - (exit.inFlight?.runningSince ?? now);
    if (exit.reason === 'error') machine.failures.recordFailure(job.ref, runMs, now);
    const count = job.failures.recordFailure(exit.index, machine.id, runMs, now);
    job.delayRetry(exit.index, now + Math.min(MAX_RETRY_DELAY_MS, RETRY_BASE_DELAY_MS * 2 ** count));
  }

  /** Has the attempt of a task that is in flight killed, if there is one. */
  private killInFlightAttempt(job: PartitionJob, index: number): void {
    const task = job.inFlight.get(index)?.tasks.get(taskKey(job.ref, index));
    if (task) task.stop = { graceS: 0 };
  }

  /**
   * Has all tasks of a closed job killed. They stay in flight, and count against the quota, until they are certain not to be on
   * their machines any more.
   */
  stopTasksOf(job: PartitionJob): void {
    for (const index of job.inFlight.keys()) this.killInFlightAttempt(job, index);
  }

  /** Stops the tasks that can save a checkpoint, in time to do so before the cloud preempts their machine. */
  checkpointBeforePreemption(machine: MachineState, now: number): void {
    const noticeS = ((machine.preemptionDeadline ?? now) - now) / 1000;
    const commandDelayS = (COMMAND_DELAY_HEARTBEATS * this.deps.heartbeatIntervalMs) / 1000;
    for (const task of machine.tasks.values()) {
      const checkpointS = task.spec?.checkpointDurationS ?? 0;
      if (noticeS * RELIABLE_NOTICE_RATIO <= checkpointS + commandDelayS + CHECKPOINT_MARGIN_S)
        this.checkpointAndReschedule(task);
    }
  }

  /** Stops a task that can continue on another machine from its checkpoint. Any other task is left running. */
  checkpointAndReschedule(task: InFlightTask): void {
    const job = this.deps.jobs.get(task.ref);
    if (!job || job.runsAtMostOnce || job.spec.checkpointIntervalS <= 0 || task.stop) return;
    task.stop = { graceS: job.spec.checkpointDurationS + CHECKPOINT_MARGIN_S };
  }
}
