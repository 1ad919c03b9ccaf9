import { PerformanceObserver } from 'node:perf_hooks';
import { every, type Clock } from './clock';

const LOOK_MS = 1000;
/** Later than this, a timer was held up: by our own work, or by a processor that we did not get. */
const HELD_UP_MS = 100;
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
      for (const { duration } of list.getEntries()) this.collected(duration);
    }).observe({ entryTypes: ['gc'] });
    let dueAt = clock.steady() + LOOK_MS;
    every(clock, LOOK_MS, () => {
      const now = clock.steady();
      this.timerFired(now - dueAt);
      dueAt = now + LOOK_MS;
    });
  }

  collected(ms: number): void {
    this.collections.count++;
    this.collections.totalMs += ms;
    this.collections.longestMs = Math.max(this.collections.longestMs, ms);
  }

  timerFired(lateMs: number): void {
    const delayMs = Math.max(0, lateMs);
    this.eventLoop.lastDelayMs = delayMs;
    this.eventLoop.longestDelayMs = Math.max(this.eventLoop.longestDelayMs, delayMs);
    if (delayMs > HELD_UP_MS) this.eventLoop.heldUp++;
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
