import { type MoveExecutor, type TaskId } from '@heathbridge/load-balancer';
import { type JobSpec } from '../../protocol/jobs';
import { taskKey } from '../partition/in-flight-task';
import { type PartitionCore } from '../partition/partition-core';
import { countFitting } from '../partition/resources';
import { type CoreSnapshot } from './core-snapshot';

/** Added to the time that a task states for its checkpoint: the stop must not cut it short. */
const CHECKPOINT_GRACE_MARGIN_S = 1;

/** Carries the steps of moves out on a partition: reservations on machines, stops, and holds of tasks. */
export class CoreMoveExecutor implements MoveExecutor {
  /** Tasks that only their move may start, each with what it counts for against its team's limit. */
  private readonly heldTasks = new Map<string, JobSpec>();

  constructor(
    private readonly core: PartitionCore,
    private readonly snapshot: CoreSnapshot,
  ) {}

  reserve(id: string, { job, index }: TaskId): boolean {
    const machine = this.core.machines.get(id);
    const spec = this.core.jobs.get(job)?.spec;
    const free = machine && this.core.freeOn(machine);
    if (!machine || !spec || !free || countFitting(free, spec) === 0) return false;
    if (this.core.isUnschedulable(machine, this.snapshot.now)) return false;
    machine.reserve(taskKey(job, index), spec);
    this.snapshot.invalidateMachines();
    return true;
  }

  release(id: string, { job, index }: TaskId): void {
    this.core.machines.get(id)?.releaseReservation(taskKey(job, index));
    this.snapshot.invalidateMachines();
  }

  stop(id: string, { job, index }: TaskId): void {
    const task = this.core.machines.get(id)?.tasks.get(taskKey(job, index));
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
    // What the task used stays counted, or another task of its team could take it and the move could not end.
    this.core.quota.addUsage(job.spec, 1);
  }

  releaseHeldTask({ job: ref, index }: TaskId): void {
    const key = taskKey(ref, index);
    const spec = this.heldTasks.get(key);
    if (!spec || !this.heldTasks.delete(key)) return;
    this.core.quota.addUsage(spec, -1);
    this.core.jobs.get(ref)?.clearRetryDelay(index);
  }

  reserveForJob(id: string, ref: string): void {
    const spec = this.core.jobs.get(ref)?.spec;
    if (spec) this.core.machines.get(id)?.reserve(jobReservationKey(ref), spec);
    this.snapshot.invalidateMachines();
  }

  releaseJobReservation(id: string, ref: string): void {
    this.core.machines.get(id)?.releaseReservation(jobReservationKey(ref));
    this.snapshot.invalidateMachines();
  }
}

/** Names the reservation for the next task of a job, whichever that is. */
function jobReservationKey(ref: string): string {
  return `${ref}/next`;
}
