import { type MoveExecutor, type TaskId } from '@heathbridge/load-balancer';
import { type JobSpec } from '../../protocol/jobs';
import { taskKey } from '../partition/in-flight-task';
import { type PartitionCore } from '../partition/partition-core';
import { countFitting } from '../partition/resources';
import { type CoreSnapshot } from './core-snapshot';

/** Added to the checkpoint duration that a job states, so that the grace period does not cut the checkpoint short. */
const CHECKPOINT_GRACE_MARGIN_S = 1;

/** Carries out the steps of moves on a partition: reservations on machines, stop commands, and holds on tasks. */
export class CoreMoveExecutor implements MoveExecutor {
  /** Tasks that only their move may start, by task key, with the specification that stays counted in the team's usage. */
  private readonly heldTasks = new Map<string, JobSpec>();

  constructor(
    private readonly core: PartitionCore,
    private readonly snapshot: CoreSnapshot,
  ) {}

  reserve(machineId: string, { job, index }: TaskId): boolean {
    const machine = this.core.machines.get(machineId);
    const spec = this.core.jobs.get(job)?.spec;
    const free = machine && this.core.freeOn(machine);
    if (!machine || !spec || !free || countFitting(free, spec) === 0) return false;
    if (this.core.isUnschedulable(machine, this.snapshot.now)) return false;
    machine.reserve(taskKey(job, index), spec);
    this.snapshot.invalidateMachines();
    return true;
  }

  release(machineId: string, { job, index }: TaskId): void {
    this.core.machines.get(machineId)?.releaseReservation(taskKey(job, index));
    this.snapshot.invalidateMachines();
  }

  stop(machineId: string, { job, index }: TaskId): void {
    const task = this.core.machines.get(machineId)?.tasks.get(taskKey(job, index));
    if (!task || task.stop) return;
    const hasCheckpoints = (task.spec?.checkpointIntervalS ?? 0) > 0;
    const checkpointS = task.spec?.checkpointDurationS ?? 0;
    task.stop = { graceS: hasCheckpoints ? checkpointS + CHECKPOINT_GRACE_MARGIN_S : 0 };
  }

  holdTask({ job: ref, index }: TaskId, untilMs: number): void {
    const job = this.core.jobs.get(ref);
    const key = taskKey(ref, index);
    if (!job || this.heldTasks.has(key)) return;
    job.delayRetry(index, untilMs);
    this.heldTasks.set(key, job.spec);
    // The task stays counted in its team's usage. Otherwise another task of the team could use up the team's limit, and
    // the move could not be completed.
    this.core.quota.addUsage(job.spec, 1);
  }

  releaseHeldTask({ job: ref, index }: TaskId): void {
    const key = taskKey(ref, index);
    const spec = this.heldTasks.get(key);
    if (!spec || !this.heldTasks.delete(key)) return;
    this.core.quota.addUsage(spec, -1);
    this.core.jobs.get(ref)?.clearRetryDelay(index);
  }

  reserveForJob(machineId: string, ref: string): void {
    const spec = this.core.jobs.get(ref)?.spec;
    if (spec) this.core.machines.get(machineId)?.reserve(jobReservationKey(ref), spec);
    this.snapshot.invalidateMachines();
  }

  releaseJobReservation(machineId: string, ref: string): void {
    this.core.machines.get(machineId)?.releaseReservation(jobReservationKey(ref));
    this.snapshot.invalidateMachines();
  }
}

/** The key of the reservation for the next task of a job, whichever task that is. */
function jobReservationKey(ref: string): string {
  return `${ref}/next`;
}
