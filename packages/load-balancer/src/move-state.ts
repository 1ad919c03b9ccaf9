/** Where a move stands. */
export type MoveState =
  /** Room is held at the target; the source is to be told to stop the task. */
  | 'reserved'
  /** The source was told; it may be saving, or may not have heard. */
  | 'stopping'
  /** The task is surely gone from its source; the target starts it when it next reports. */
  | 'restarting'
  /** The start went out to the target. */
  | 'starting'
  /** The target has shown the task. */
  | 'completed'
  /** Given up: the task is placed in the ordinary way, or needs no place any more. */
  | 'abandoned';

/** What may happen to a move. */
export type MoveEvent =
  | { kind: 'stop-sent' }
  /** The task is surely not on its source any more. */
  | { kind: 'source-gone' }
  /** The same for a task that was to wait again. */
  | { kind: 'put-back' }
  /** It completed before it was stopped. */
  | { kind: 'finished' }
  /** It failed on its source: whether and when it is tried again is no matter of load. */
  | { kind: 'source-failed' }
  /** The job is over: done, cancelled or failed. */
  | { kind: 'job-closed' }
  | { kind: 'start-sent' }
  /** The target shows the task. */
  | { kind: 'target-seen' }
  /** The target is surely without the task that was started there. */
  | { kind: 'target-gone' }
  /** The target can take nothing any more: it is gone, leaves, is about to be taken away, or is at fault. */
  | { kind: 'target-lost' }
  /** The room is not there when the task is to be started. */
  | { kind: 'target-full' }
  | { kind: 'timeout' };

/** What the partition must do when a move goes on. */
export type MoveEffect = 'stop-source' | 'hold-task' | 'free-task' | 'release-room';

/** The next state, and what is to be done on the way there. */
export interface MoveStep {
  state: MoveState;
  effects: MoveEffect[];
  /** Why it was given up. */
  reason?: string;
}

/** Whether nothing more happens to a move. */
export function isTerminal(state: MoveState): boolean {
  return state === 'completed' || state === 'abandoned';
}

/**
 * The protocol of a move, one event at a time. An event that does not fit the state changes nothing, so each may come any
 * number of times and in any order. Room at the target is released on every way out, and a task that is held for its target is
 * freed on every way out that does not start it there.
 */
export function nextStep(state: MoveState, event: MoveEvent): MoveStep {
  const stays: MoveStep = { state, effects: [] };
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
      // The start itself takes the room now.
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

function abandonFor(state: MoveState, ending: AbandonCause): MoveStep {
  // A task that was started at its target is the target's: what becomes of it is no part of the move.
  if (state === 'starting' && ending !== 'timeout') return { state: 'completed', effects: [] };
  return abandon(state, ABANDON_REASONS[ending]);
}

function abandon(state: MoveState, reason: string): MoveStep {
  const effects: MoveEffect[] = [];
  if (state !== 'starting') effects.push('release-room');
  if (state === 'restarting') effects.push('free-task');
  return { state: 'abandoned', effects, reason };
}
