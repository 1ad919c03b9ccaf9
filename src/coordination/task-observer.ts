import { type JobSpec } from '../protocol/jobs';
import { type Command } from '../protocol/workers';
import { type MachineState } from './machine';
import { type PlacementSpreader } from './task-placement';

/** Told by a partition of what becomes of tasks, so that they can be moved. Absent where nothing is to be moved. */
export interface TaskObserver {
  readonly spreader: PlacementSpreader | null;
  /** A task that was in flight is surely not on any machine that we know of any more, and waits. */
  gone(ref: string, index: number, now: number): void;
  /** A task is done. */
  finished(ref: string, index: number, now: number): void;
  /** A task ended in any other way than it was told to. */
  failed(ref: string, index: number, now: number): void;
  /** A task took so long. */
  ran(spec: JobSpec, seconds: number): void;
  /** A job is over. */
  closed(ref: string, now: number): void;
  /** A machine is gone, or takes nothing any more. */
  machineLost(id: string, now: number): void;
  /** A machine is being answered: what room is held for there is started before anything else. */
  answering(machine: MachineState, commands: Command[], now: number): void;
  tick(now: number): void;
}
