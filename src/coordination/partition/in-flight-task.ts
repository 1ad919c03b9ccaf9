import { type JobSpec } from '../../protocol/jobs';
import { type ExitReason } from '../../protocol/workers';

/** A task whose start was sent, or that was reported: it counts as being on the machine until it is certain not to be. */
export interface InFlightTask {
  ref: string;
  index: number;
  attempt: number;
  /** Specification of its job; null if the job is not known, and with it what the task takes of its machine. */
  spec: JobSpec | null;
  phase: 'sent' | 'reported';
  /** The heartbeat in whose answer the start was sent, or in which the task was first reported. */
  sentInHeartbeat: { agentEpoch: number; sequence: number };
  /** Set once the task is to be stopped; without grace it is killed. */
  stop: { graceS: number } | null;
  /** It is saving a checkpoint before it stops. */
  checkpointing: boolean;
  /** Steady time at which it was started, or first reported to this owner. */
  startedAt: number;
  /** Steady time at which it was first reported running, its image being present; null: not yet. */
  runningSince: number | null;
}

/** An exit that a worker has reported. */
export interface TaskExit {
  ref: string;
  index: number;
  attempt: number;
  reason: ExitReason;
  /** The task that was in flight, if it was this attempt. */
  inFlight: InFlightTask | null;
}

/** Key of a task in maps and logs. */
export function taskKey(ref: string, index: number): string {
  return `${ref}/${index}`;
}
