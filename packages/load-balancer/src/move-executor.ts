import { type TaskId } from './partition-snapshot';

/** How the service carries out the steps of moves. */
export interface MoveExecutor {
  /** Reserves resources of a machine for a task; false: they are not free. */
  reserve(machine: string, task: TaskId): boolean;
  release(machine: string, task: TaskId): void;
  /** Has a task stopped, with a checkpoint if it makes any; the service repeats the command until the task is gone. */
  stop(machine: string, task: TaskId): void;
  /**
   * Until `untilMs` of the steady clock or `releaseHeldTask`: only the move may start the task, and no other task may use what
   * it counts for against its team's limit.
   */
  holdTask(task: TaskId, untilMs: number): void;
  releaseHeldTask(task: TaskId): void;
  /** Reserves what becomes free on a machine for the next task of a job; it need not be free yet. */
  reserveForJob(machine: string, job: string): void;
  releaseJobReservation(machine: string, job: string): void;
}
