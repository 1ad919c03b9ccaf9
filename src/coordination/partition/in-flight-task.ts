import { type JobSpec } from '../../protocol/jobs';
import { type ExitReason } from '../../protocol/workers';

/** A task whose start was sent or that was reported. It counts as being on its machine until it is certain not to be. */
export interface InFlightTask {
  ref: string;
  index: number;
  attempt: number;
  /** Specification of the task's job; null if the job is unknown, and hence also the resources that the task uses. */
  spec: JobSpec | null;
  phase: 'sent' | 'reported';
  /**
   * Whether the task is certain to be, or to have been, on this machine under this owner. A heartbeat of an unconfirmed machine, which
   * may be a late copy, does not prove that: the task may be on another unconfirmed machine.
   */
  confirmed: boolean;
  /** Identifies the heartbeat whose answer contained the start, or which first reported the task. */
  originHeartbeat: { agentEpoch: number; sequence: number };
  /** Set once the task is to be stopped, else null. With a grace period of 0 seconds the task is killed. */
  stop: { graceS: number } | null;
  /** Whether the task is saving a checkpoint before it stops. */
  checkpointing: boolean;
  /** Steady time in milliseconds at which the start was sent, or the task was first reported to this owner. */
  startedAt: number;
  /** Steady time in milliseconds at which the task was first reported running, with its image present; null if it was not yet. */
  runningSince: number | null;
}

/**
 * Why a task is certain not to be on its machine. `exited`: its worker reported the exit. `undelivered`: its start never reached
 * the worker. `interrupted`: it may have been started, and no exit was reported.
 */
export type TaskRelease = 'exited' | 'undelivered' | 'interrupted';

/** A task that is certain not to be on its machine although its exit was not reported. */
export interface LostTask {
  task: InFlightTask;
  release: Exclude<TaskRelease, 'exited'>;
}

/** A task exit reported by a worker. */
export interface TaskExit {
  ref: string;
  index: number;
  attempt: number;
  reason: ExitReason;
  /** The task in flight that exited; null if this attempt was not in flight. */
  inFlight: InFlightTask | null;
}

/** Key of a task, used in maps and logs. */
export function taskKey(ref: string, index: number): string {
  return `${ref}/${index}`;
}
