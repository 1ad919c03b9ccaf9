import { type JobSpec } from '../../protocol/jobs';
import { type CommandList } from './command-list';
import { type MachineState } from './machine';
import { type PlacementSpreader } from './task-placement';

/** Observes the tasks of a partition, in order to move tasks between machines. Methods named after an event are notifications. */
export interface TaskObserver {
  /** Null if new tasks are not spread over the machines. */
  readonly spreader: PlacementSpreader | null;
  /** Called when a task that was in flight is on no machine any more and is pending again. */
  taskRequeued(ref: string, index: number, now: number): void;
  /** Called when a task is done. */
  taskDone(ref: string, index: number, now: number): void;
  /** Called when a task has exited without being done and without having been stopped on command. */
  taskFailed(ref: string, index: number, now: number): void;
  /**
   * Called when a task of a job without checkpoints is done, with the seconds since it was first reported running. Not called if it
   * was never reported running.
   */
  runTimeMeasured(spec: JobSpec, seconds: number): void;
  /** Called when the state store has a job's terminal state. */
  jobClosed(ref: string, now: number): void;
  /** Called when a machine is gone or belongs to another partition. */
  machineRemoved(id: string, now: number): void;
  /**
   * Starts the tasks for which resources are reserved on a machine whose heartbeat is being answered, and adds the start commands.
   * Called before any other task is placed on the machine.
   */
  startReservedTasks(machine: MachineState, commands: CommandList, now: number): void;
  /** Called at the end of each tick of the partition. */
  tick(now: number): void;
}
