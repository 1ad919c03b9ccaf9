/** The state of a move. */
export type MoveState =
  /** Resources are reserved at the target. The stop command has not yet been sent to the source. */
  | 'reserved'
  /** The stop command was sent. The task may be writing its checkpoint, or the command may not have arrived. */
  | 'stopping'
  /** The task is certainly gone from its source. The response to the target's next heartbeat starts it there. */
  | 'restarting'
  /** The start command was sent to the target. */
  | 'starting'
  /** The target has reported the task, or nothing is left for the move to do. */
  | 'completed'
  /** The task is left to ordinary placement, or is not started again. */
  | 'abandoned';

/** An event in the course of a move. Events may occur at any time and in any order. */
export type MoveEvent =
  | { kind: 'stop-sent' }
  /** The task is certainly no longer on its source. */
  | { kind: 'source-gone' }
  /** The same as `source-gone`, for a task that is requeued. */
  | { kind: 'task-requeued' }
  /** The task completed before it was stopped. */
  | { kind: 'finished' }
  /** The task failed on its source. Whether it is retried does not concern the move. */
  | { kind: 'source-failed' }
  /** The job is done, cancelled or failed. */
  | { kind: 'job-closed' }
  | { kind: 'start-sent' }
  /** The target has reported the task. */
  | { kind: 'target-reported' }
  /** The task is certainly not on the target on which it was started. */
  | { kind: 'target-gone' }
  /** The target no longer accepts tasks: it is gone, draining, about to be preempted, or quarantined. */
  | { kind: 'target-lost' }
  /** The target's resources are not free when the task is to be started. */
  | { kind: 'target-full' }
  | { kind: 'timeout' };

/** An action that the executor must take. `release-reservation` concerns the reservation at the target. */
export type MoveEffect = 'stop-source' | 'hold-task' | 'release-held-task' | 'release-reservation';

/** The state of a move after an event, and the effects to carry out in this order. */
export interface MoveTransition {
  state: MoveState;
  effects: MoveEffect[];
  /** The reason for abandoning the move; undefined in other cases. */
  reason?: string;
}

/** Whether a move in this state has ended. */
export function isTerminal(state: MoveState): state is 'completed' | 'abandoned' {
  return state === 'completed' || state === 'abandoned';
}

/**
 * Returns the state and the effects that an event leads to, by the protocol of a move. An event that does not fit the state
 * changes nothing, so events may be repeated and reordered. Every end of a move releases the reservation at the target. Every
 * end that does not start a held task at its target releases the task.
 */
export function transition(state: MoveState, event: MoveEvent): MoveTransition {
  const unchanged: MoveTransition = { state, effects: [] };
  if (isTerminal(state)) return unchanged;
  switch (event.kind) {
    case 'stop-sent':
      return state === 'reserved' ? { state: 'stopping', effects: ['stop-source'] } : unchanged;
    case 'source-gone':
      return state === 'reserved' || state === 'stopping'
        ? { state: 'restarting', effects: ['hold-task'] }
        : unchanged;
    case 'task-requeued':
      return state === 'stopping' ? { state: 'completed', effects: ['release-reservation'] } : unchanged;
    case 'start-sent':
      // From now on the started task itself uses the resources.
      return state === 'restarting' ? { state: 'starting', effects: ['release-reservation'] } : unchanged;
    case 'target-reported':
      return state === 'starting' ? { state: 'completed', effects: [] } : unchanged;
    case 'target-gone':
      return state === 'starting' ? abandon(state, 'the target did not keep it') : unchanged;
    case 'finished':
    case 'source-failed':
    case 'job-closed':
    case 'target-lost':
    case 'target-full':
    case 'timeout':
      return abandonFor(state, event.kind);
  }
}

type AbandonCause = 'finished' | 'source-failed' | 'job-closed' | 'target-lost' | 'target-full' | 'timeout';

const ABANDON_REASONS: Record<AbandonCause, string> = {
  finished: 'the task completed first',
  'source-failed': 'the task failed first',
  'job-closed': 'its job is over',
  'target-lost': 'the target takes nothing any more',
  'target-full': 'the target has no room',
  timeout: 'it took too long',
};

function abandonFor(state: MoveState, cause: AbandonCause): MoveTransition {
  // After the start was sent, the task is an ordinary task of the target, and the move has nothing left to do.
  if (state === 'starting' && cause !== 'timeout') return { state: 'completed', effects: [] };
  return abandon(state, ABANDON_REASONS[cause]);
}

function abandon(state: MoveState, reason: string): MoveTransition {
  const effects: MoveEffect[] = [];
  if (state !== 'starting') effects.push('release-reservation');
  if (state === 'restarting') effects.push('release-held-task');
  return { state: 'abandoned', effects, reason };
}
