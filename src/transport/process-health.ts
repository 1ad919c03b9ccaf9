import { PerformanceObserver } from 'node:perf_hooks';
import { schedulePeriodic, type Clock } from './clock';

const EVENT_LOOP_CHECK_INTERVAL_MS = 1000;
/** A timer that fires later than this was held up by the process's own work or by a lack of processor time. */
const EVENT_LOOP_DELAY_LIMIT_MS = 100;
const BYTES_PER_MB = 1024 * 1024;

/** Resource use of the process, included unchanged in `GET /status`. */
export interface HealthSummary {
  memory: { residentMb: number; heapMb: number; externalMb: number };
  collections: { count: number; totalMs: number; longestMs: number };
  /** How late a timer that is due once a second has fired, and how often it was held up. */
  eventLoop: { lastDelayMs: number; longestDelayMs: number; heldUp: number };
}

/** Measures memory, garbage collection and event loop delay of this process, for the operators. */
export class ProcessHealth {
  private readonly collections = { count: 0, totalMs: 0, longestMs: 0 };
  private readonly eventLoop = { lastDelayMs: 0, longestDelayMs: 0, heldUp: 0 };

  /** Starts to measure. The returned function stops that. */
  startMonitoring(clock: Clock): () => void {
    const observer = new PerformanceObserver((list) => {
      for (const { duration } of list.getEntries()) this.recordCollection(duration);
    });
    observer.observe({ entryTypes: ['gc'] });
    let dueAt = clock.steady() + EVENT_LOOP_CHECK_INTERVAL_MS;
    const cancelChecks = schedulePeriodic(clock, EVENT_LOOP_CHECK_INTERVAL_MS, () => {
      const now = clock.steady();
      this.recordTimerDelay(now - dueAt);
      dueAt = now + EVENT_LOOP_CHECK_INTERVAL_MS;
    });
    return () => {
      observer.disconnect();
      cancelChecks();
    };
  }

  /** Records a garbage collection that took `ms`. */
  recordCollection(ms: number): void {
    this.collections.count++;
    this.collections.totalMs += ms;
    this.collections.longestMs = Math.max(this.collections.longestMs, ms);
  }

  /** Records that a timer fired `lateMs` after it was due; a negative value counts as 0. */
  recordTimerDelay(lateMs: number): void {
    const delayMs = Math.max(0, lateMs);
    this.eventLoop.lastDelayMs = delayMs;
    this.eventLoop.longestDelayMs = Math.max(this.eventLoop.longestDelayMs, delayMs);
    if (delayMs > EVENT_LOOP_DELAY_LIMIT_MS) this.eventLoop.heldUp++;
  }

  summary(): HealthSummary {
    const { rss, heapUsed, external } = process.memoryUsage();
    return {
      memory: { residentMb: toMb(rss), heapMb: toMb(heapUsed), externalMb: toMb(external) },
      collections: { ...this.collections },
      eventLoop: { ...this.eventLoop },
    };
  }
}

/** Converts bytes to megabytes, rounded to one decimal place. */
function toMb(bytes: number): number {
  return Math.round((10 * bytes) / BYTES_PER_MB) / 10;
}
