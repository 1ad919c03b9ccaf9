import { PerformanceObserver } from 'node:perf_hooks';
import { schedulePeriodic, type Clock } from './clock';

const EVENT_LOOP_CHECK_INTERVAL_MS = 1000;
/** Later than this, a timer was held up: by our own work, or by a processor that we did not get. */
const EVENT_LOOP_DELAY_LIMIT_MS = 100;
const BYTES_PER_MB = 1024 * 1024;

export interface HealthSummary {
  memory: { residentMb: number; heapMb: number; externalMb: number };
  collections: { count: number; totalMs: number; longestMs: number };
  /** How late a timer fired, once a second. */
  eventLoop: { lastDelayMs: number; longestDelayMs: number; heldUp: number };
}

/** How the process itself fares, for the operators: memory, garbage collection, delay of the event loop. */
export class ProcessHealth {
  private readonly collections = { count: 0, totalMs: 0, longestMs: 0 };
  private readonly eventLoop = { lastDelayMs: 0, longestDelayMs: 0, heldUp: 0 };

  /** Begins to watch. Not at once at a start, which has better things to do. */
  watch(clock: Clock): void {
    new PerformanceObserver((list) => {
      for (const { duration } of list.getEntries()) this.recordCollection(duration);
    }).observe({ entryTypes: ['gc'] });
    let dueAt = clock.steady() + EVENT_LOOP_CHECK_INTERVAL_MS;
    schedulePeriodic(clock, EVENT_LOOP_CHECK_INTERVAL_MS, () => {
      const now = clock.steady();
      this.recordTimerDelay(now - dueAt);
      dueAt = now + EVENT_LOOP_CHECK_INTERVAL_MS;
    });
  }

  recordCollection(ms: number): void {
    this.collections.count++;
    this.collections.totalMs += ms;
    this.collections.longestMs = Math.max(this.collections.longestMs, ms);
  }

  recordTimerDelay(lateMs: number): void {
    const delayMs = Math.max(0, lateMs);
    this.eventLoop.lastDelayMs = delayMs;
    this.eventLoop.longestDelayMs = Math.max(this.eventLoop.longestDelayMs, delayMs);
    if (delayMs > EVENT_LOOP_DELAY_LIMIT_MS) this.eventLoop.heldUp++;
  }

  summary(): HealthSummary {
    const { rss, heapUsed, external } = process.memoryUsage();
    const mb = (bytes: number): number => Math.round((10 * bytes) / BYTES_PER_MB) / 10;
    return {
      memory: { residentMb: mb(rss), heapMb: mb(heapUsed), externalMb: mb(external) },
      collections: { ...this.collections },
      eventLoop: { ...this.eventLoop },
    };
  }
}
