import { type JobSpec } from '../../protocol/jobs';
import { type Command } from '../../protocol/workers';
import { type MachineState } from './machine';
import { type PlacementSpreader } from './task-placement';

/** Observes what becomes of the tasks of a partition, so that tasks can be moved between machines. */
export interface TaskObserver {
  readonly spreader: PlacementSpreader | null;
  /** A task that was in flight is on no machine any more, and is pending again. */
  taskRequeued(ref: string, index: number, now: number): void;
  /** A task is done. */
  taskDone(ref: string, index: number, now: number): void;
  /** A task exited neither done nor stopped on command. */
  taskFailed(ref: string, index: number, now: number): void;
  /** A task that never saves checkpoints was done after this many seconds. */
  runTimeMeasured(spec: JobSpec, seconds: number): void;
  /** A job has a terminal state in the state store. */
  jobClosed(ref: string, now: number): void;
  /** A machine is gone. */
  machineRemoved(id: string, now: number): void;
  /** A heartbeat is being answered: tasks that resources are reserved for are started before any other. */
  startReservedTasks(machine: MachineState, commands: Command[], now: number): void;
  tick(now: number): void;
}
