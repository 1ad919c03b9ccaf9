import { type TaskId } from './partition-snapshot';

/** Carries out the steps of moves. The service implements it. */
export interface MoveExecutor {
  /** Reserves resources of a machine for a task; returns false if they are not free. */
  reserve(machine: string, task: TaskId): boolean;
  release(machine: string, task: TaskId): void;
  /** Orders a task to stop, after a checkpoint if its job makes any. The service repeats the command until the task is gone. */
  stop(machine: string, task: TaskId): void;
  /**
   * Holds a task until `untilMs` of the steady clock or `releaseHeldTask`. While it is held, only the move may start it, and no
   * other task may use the amount that it counts against its team's limit.
   */
  holdTask(task: TaskId, untilMs: number): void;
  releaseHeldTask(task: TaskId): void;
  /** Reserves resources of a machine for the next task of a job. They need not be free yet. */
  reserveForJob(machine: string, job: string): void;
  releaseJobReservation(machine: string, job: string): void;
}
