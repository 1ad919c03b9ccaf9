import { type JobSpec } from '../../protocol/jobs';
import { type Command } from '../../protocol/workers';
import { type MachineState } from './machine';
import { type PlacementSpreader } from './task-placement';

/** Told by a partition of what becomes of tasks, so that they can be moved. Absent where nothing is to be moved. */
export interface TaskObserver {
  readonly spreader: PlacementSpreader | null;
  /** A task that was in flight is surely not on any machine that we know of any more, and waits. */
  taskRequeued(ref: string, index: number, now: number): void;
  /** A task is done. */
  taskDone(ref: string, index: number, now: number): void;
  /** A task ended in any other way than it was told to. */
  taskFailed(ref: string, index: number, now: number): void;
  /** A task took so long. */
  taskRan(spec: JobSpec, seconds: number): void;
  /** A job is over. */
  jobClosed(ref: string, now: number): void;
  /** A machine is gone, or takes nothing any more. */
  machineRemoved(id: string, now: number): void;
  /** A machine is being answered: what room is held for there is started before anything else. */
  answeringHeartbeat(machine: MachineState, commands: Command[], now: number): void;
  tick(now: number): void;
}
