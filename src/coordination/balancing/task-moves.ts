import {
  PartitionBalancer,
  type BalancerSettings,
  type JobReservation,
  type LoadSummary,
  type Move,
  type MoveDecision,
  type TaskId,
} from '@heathbridge/load-balancer';
import { WorkPacer } from '../../transport/work-pacer';
import { PRIORITIES, type JobSpec } from '../../protocol/jobs';
import { type CommandList } from '../partition/command-list';
import { type MachineState } from '../partition/machine';
import { taskKey } from '../partition/in-flight-task';
import { type PartitionCore } from '../partition/partition-core';
import { type PlacementSpreader } from '../partition/task-placement';
import { type PartitionBalancing } from '../partition/partition-balancing';
import { CoreMoveExecutor } from './core-move-executor';
import { CoreSnapshot } from './core-snapshot';
import { EvenSpreader } from './even-spreader';

/** The share of the time that planning may take. */
const PLANNING_TIME_RATIO = 0.04;
/** Planning is due after this many times its minimum interval at the latest, however long it takes. */
const MAX_PLAN_INTERVAL_RATIO = 10;

/** Moves tasks between the machines of one partition: passes task events to the balancer and advances its moves. */
export class TaskMover implements PartitionBalancing {
  readonly balancer: PartitionBalancer;
  readonly spreader: PlacementSpreader | null;
  private readonly snapshot: CoreSnapshot;
  private readonly executor: CoreMoveExecutor;
  private readonly pacer: WorkPacer;

  constructor(
    private readonly core: PartitionCore,
    settings: BalancerSettings,
    /** Returns the time of the steady clock, in milliseconds. */
    private readonly steadyNow: () => number,
  ) {
    this.snapshot = new CoreSnapshot(core);
    this.executor = new CoreMoveExecutor(core, this.snapshot);
    const { heartbeatIntervalMs, leaseMs } = core.options;
    this.balancer = new PartitionBalancer({
      partition: core.id,
      priorityCount: PRIORITIES.length,
      settings,
      timeouts: { heartbeatIntervalMs, leaseMs },
      snapshot: this.snapshot,
      executor: this.executor,
    });
    this.spreader = settings.placement === 'even' ? new EvenSpreader(core, settings.locality_weight) : null;
    const minIntervalMs = settings.plan_interval_s * 1000;
    this.pacer = new WorkPacer({
      minIntervalMs,
      maxIntervalMs: MAX_PLAN_INTERVAL_RATIO * minIntervalMs,
      maxTimeShare: PLANNING_TIME_RATIO,
    });
  }

  taskRequeued(ref: string, index: number, now: number): void {
    const { tracker } = this.balancer;
    const task = { job: ref, index };
    tracker.handleEvent(task, { kind: 'source-gone' }, now);
    // Has no effect on a move that `source-gone` has just put into the state `restarting`.
    tracker.handleEvent(task, { kind: 'target-gone' }, now);
  }

  taskDone(ref: string, index: number, now: number): void {
    this.balancer.tracker.handleEvent({ job: ref, index }, { kind: 'finished' }, now);
  }

  taskFailed(ref: string, index: number, now: number): void {
    this.balancer.tracker.handleEvent({ job: ref, index }, { kind: 'source-failed' }, now);
  }

  runTimeMeasured(spec: JobSpec, seconds: number): void {
    this.balancer.estimator.learn(this.snapshot.jobSnapshot(spec), seconds);
  }

  jobClosed(ref: string, now: number): void {
    this.balancer.tracker.jobClosed(ref, now);
    this.balancer.estimator.forget(ref);
  }

  machineRemoved(id: string, now: number): void {
    this.balancer.tracker.machineUnavailable(id, now);
  }

  startReservedTasks(machine: MachineState, commands: CommandList, now: number): void {
    const { tracker } = this.balancer;
    if (tracker.isIdle) return;
    this.handleReportedTasks(machine, now);
    for (const task of tracker.tasksToStartOn(machine.id)) this.startAtTarget(task, machine, commands, now);
    for (const reservation of tracker.jobReservationsOn(machine.id))
      this.startInReservation(reservation, machine, commands, now);
  }

  private handleReportedTasks(machine: MachineState, now: number): void {
    const { tracker } = this.balancer;
    for (const { target, task } of tracker.movesInProgress) {
      if (target !== machine.id) continue;
      const inFlight = machine.tasks.get(taskKey(task.job, task.index));
      if (inFlight?.phase === 'reported') tracker.handleEvent(task, { kind: 'target-reported' }, now);
    }
  }

  private startAtTarget(task: TaskId, machine: MachineState, commands: CommandList, now: number): void {
    const { core, executor } = this;
    const job = core.jobs.get(task.job);
    // Released first, so that the start can use the reserved resources and the held share of the team's limit.
    executor.release(machine.id, task);
    executor.releaseHeldTask(task);
    const started = job && core.placement.startReserved(job, task.index, machine, commands, now);
    this.balancer.tracker.handleEvent(task, { kind: started ? 'start-sent' : 'target-full' }, now);
  }

  /** Starts the next task of the job that a reservation is for. If none can be started yet, the reservation is kept. */
  private startInReservation(
    reservation: JobReservation,
    machine: MachineState,
    commands: CommandList,
    now: number,
  ): void {
    const { core, executor } = this;
    const job = core.jobs.get(reservation.job);
    executor.releaseJobReservation(machine.id, reservation.job);
    if (job && core.placement.startNext(job, machine, commands, now))
      return this.balancer.tracker.releaseJobReservations((other) => other === reservation);
    executor.reserveForJob(machine.id, reservation.job);
  }

  tick(now: number): void {
    this.snapshot.now = now;
    const { tracker } = this.balancer;
    tracker.tick(now);
    for (const move of tracker.movesInProgress)
      if (move.target !== null && this.isTargetLost(move, now)) tracker.machineUnavailable(move.target, now);
    // Until all machines have confirmed their tasks, too little is known about the partition to plan moves.
    if (this.core.unconfirmedCount > 0 || !this.pacer.isDue(now)) return;
    this.snapshot.refresh(now);
    const startedAt = this.steadyNow();
    this.balancer.plan(now);
    this.pacer.record(startedAt, this.steadyNow());
  }

  private isTargetLost({ target, state }: Readonly<Move>, now: number): boolean {
    if (state === 'starting' || target === null) return false;
    const machine = this.core.machines.get(target);
    return !machine || this.core.isUnschedulable(machine, now);
  }

  loadSummary(now: number): LoadSummary {
    this.snapshot.refresh(now);
    return this.balancer.summary(now);
  }

  movesInProgress(): object[] {
    return this.balancer.tracker.movesInProgress.map(({ id, task, source, target, cause, state }) => ({
      move: id,
      task: `${task.job}/${task.index}`,
      source,
      target,
      cause: `${cause.kind} ${cause.job}`,
      state,
    }));
  }

  takeDecisions(): object[] {
    return this.balancer.tracker.takeDecisions().map(logEntry);
  }
}

function logEntry({ move, event }: MoveDecision): object {
  const { id, task, source, target, cause, gainS, costS, reason } = move;
  return {
    move: id,
    event,
    task: taskKey(task.job, task.index),
    source,
    target,
    cause: `${cause.kind} ${cause.job}`,
    gainS: toTenths(gainS),
    costS: toTenths(costS),
    ...(reason === null ? {} : { reason }),
  };
}

function toTenths(seconds: number): number {
  return Math.round(seconds * 10) / 10;
}
