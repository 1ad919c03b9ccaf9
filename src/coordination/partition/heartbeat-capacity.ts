import { MAX_HEARTBEAT_TASKS_BYTES, maxTaskBytesInHeartbeat } from '../../protocol/message-limits';

/**
 * The bytes that are left for tasks in the heartbeats of a worker. A heartbeat lists every task on the machine, exited ones included until
 * the worker may forget them, in one request of limited size. If more tasks were started on the machine than such a request can hold, no controller
 * would accept its heartbeats, and its lease would expire with all tasks. Each task counts with the most bytes that it can ever take.
 */
export class HeartbeatCapacity {
  private usedBytes = 0;

  /** Bytes that further tasks may take. Negative if an earlier owner started more tasks than this one would. */
  get freeBytes(): number {
    return MAX_HEARTBEAT_TASKS_BYTES - this.usedBytes;
  }

  add({ ref, index }: { ref: string; index: number }): void {
    this.usedBytes += maxTaskBytesInHeartbeat(ref, index);
  }

  /** Removes a task that was added. */
  remove({ ref, index }: { ref: string; index: number }): void {
    this.usedBytes -= maxTaskBytesInHeartbeat(ref, index);
  }
}

/** Number of tasks, each of at most this size in a heartbeat, that fit into the free bytes of one. */
export function countFittingInHeartbeat(freeBytes: number, heartbeatBytes: number): number {
  return Math.max(0, Math.floor(freeBytes / heartbeatBytes));
}
