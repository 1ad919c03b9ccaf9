/** The state of a move. */
export type MoveState =
  /** Resources are reserved at the target; the source is to be sent the stop. */
  | 'reserved'
  /** The stop was sent; the task may be making its checkpoint, or the stop may not have arrived. */
  | 'stopping'
  /** The task is certainly gone from its source; the target gets it with the response to its next heartbeat. */
  | 'restarting'
  /** The start was sent to the target. */
  | 'starting'
  /** The target has reported the task. */
  | 'completed'
  /** The task is placed in the ordinary way, or is not started again. */
  | 'abandoned';

/** What may happen to a move, whenever and in whatever order. */
export type MoveEvent =
  | { kind: 'stop-sent' }
  /** The task is certainly not on its source any more. */
  | { kind: 'source-gone' }
  /** The same, of a task that is put back to wait. */
  | { kind: 'put-back' }
  /** The task completed before it was stopped. */
  | { kind: 'finished' }
  /** The task failed on its source; whether it is retried does not concern the move. */
  | { kind: 'source-failed' }
  /** The job is done, cancelled or failed. */
  | { kind: 'job-closed' }
  | { kind: 'start-sent' }
  /** The target has reported the task. */
  | { kind: 'target-seen' }
  /** The task is certainly not on the target where it was started. */
  | { kind: 'target-gone' }
  /** The target accepts no tasks any more: it is gone, draining, about to be preempted, or quarantined. */
  | { kind: 'target-lost' }
  /** The target's resources are not free when the task is to be started. */
  | { kind: 'target-full' }
  | { kind: 'timeout' };

/** What the executor must do on a change of state. */
export type MoveEffect = 'stop-source' | 'hold-task' | 'free-task' | 'release-room';

/** A change of state, and its effects in their order. */
export interface MoveTransition {
  state: MoveState;
  effects: MoveEffect[];
  /** Why the move is abandoned. */
  reason?: string;
}

/** Whether a move has ended. */
export function isTerminal(state: MoveState): state is 'completed' | 'abandoned' {
  return state === 'completed' || state === 'abandoned';
}

/**
 * The protocol of a move, one event at a time. An event that does not fit the state changes nothing, so events may be repeated
 * and reordered. The reservation at the target is released by every end of a move, and a task that is held for its target is
 * released by every end that does not start it there.
 */
export function transition(state: MoveState, event: MoveEvent): MoveTransition {
  const stays: MoveTransition = { state, effects: [] };
  if (isTerminal(state)) return stays;
  switch (event.kind) {
    case 'stop-sent':
      return state === 'reserved' ? { state: 'stopping', effects: ['stop-source'] } : stays;
    case 'source-gone':
      return state === 'reserved' || state === 'stopping'
        ? { state: 'restarting', effects: ['hold-task'] }
        : stays;
    case 'put-back':
      return state === 'stopping' ? { state: 'completed', effects: ['release-room'] } : stays;
    case 'start-sent':
      // The start itself uses the resources now.
      return state === 'restarting' ? { state: 'starting', effects: ['release-room'] } : stays;
    case 'target-seen':
      return state === 'starting' ? { state: 'completed', effects: [] } : stays;
    case 'target-gone':
      return state === 'starting' ? abandon(state, 'the target did not keep it') : stays;
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

function abandonFor(state: MoveState, ending: AbandonCause): MoveTransition {
  // Once the start was sent, the task is an ordinary task of the target, and the move has done its work.
  if (state === 'starting' && ending !== 'timeout') return { state: 'completed', effects: [] };
  return abandon(state, ABANDON_REASONS[ending]);
}

function abandon(state: MoveState, reason: string): MoveTransition {
  const effects: MoveEffect[] = [];
  if (state !== 'starting') effects.push('release-room');
  if (state === 'restarting') effects.push('free-task');
  return { state: 'abandoned', effects, reason };
}
