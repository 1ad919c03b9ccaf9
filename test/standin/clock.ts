import type { Clock } from '../../src/transport/clock';

interface Timer {
  at: number;
  order: number;
  action: () => void;
}

/** The clock and timers that fakes use, in virtual or real time. */
export interface TimeSource {
  /** Milliseconds since the start. */
  readonly now: number;
  /** Schedules `action` for the time `ms` since the start, or for now if that has passed; returns the timer for `cancel`. */
  at(ms: number, action: () => void): unknown;
  cancel(timer: unknown): void;
}

/**
 * Virtual time, which advances from one timer to the next without waiting. Timers run in the order of their times; those of
 * one time, in the order in which they were scheduled.
 */
export class VirtualTime implements TimeSource {
  now = 0;
  private order = 0;
  private timers: Timer[] = [];

  at(ms: number, action: () => void): Timer {
    const timer = { at: Math.max(ms, this.now), order: this.order++, action };
    let low = 0;
    let high = this.timers.length;
    while (low < high) {
      const mid = (low + high) >> 1;
      if ((this.timers[mid] as Timer).at <= timer.at) low = mid + 1;
      else high = mid;
    }
    this.timers.splice(low, 0, timer);
    return timer;
  }

  cancel(timer: unknown): void {
    const i = this.timers.indexOf(timer as Timer);
    if (i >= 0) this.timers.splice(i, 1);
  }

  /** Runs all timers up to and including `end`; pending promise chains run before the time changes. */
  async run(end: number): Promise<void> {
    for (;;) {
      const next = this.timers[0];
      if (!next || next.at > end) break;
      this.timers.shift();
      this.now = next.at;
      next.action();
      if (this.timers[0]?.at !== this.now) await flushPromises();
    }
    this.now = end;
  }

  /**
   * The clock of a process, whose steady clock runs at `rate` times virtual time. Its timers do not fire once the process has
   * ended, and are deferred while it is paused.
   */
  clock(isUp: () => boolean, rate = 1, pausedUntil: () => number = () => 0): Clock {
    const origin = this.now;
    return {
      steady: () => origin + (this.now - origin) * rate,
      wallClock: () => new Date(1_790_000_000_000 + this.now),
      schedule: (ms, action) => {
        const fire = (): void => {
          if (this.now < pausedUntil()) timer = this.at(pausedUntil(), fire);
          else if (isUp()) action();
        };
        let timer = this.at(this.now + ms / rate, fire);
        return () => this.cancel(timer);
      },
    };
  }
}

/** Lets pending promise chains run until they wait for virtual time again. */
export async function flushPromises(): Promise<void> {
  for (let i = 0; i < 3; i++) await new Promise((resolve) => setImmediate(resolve));
}
