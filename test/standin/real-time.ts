import { type TimeSource } from './clock';

/** Real time for the fakes, in milliseconds since construction. */
export class RealTime implements TimeSource {
  private readonly startedAt = performance.now();
  private stopped = false;

  get now(): number {
    return performance.now() - this.startedAt;
  }

  /** Suppresses all further actions. Those that reschedule themselves would otherwise keep the process alive forever. */
  stop(): void {
    this.stopped = true;
  }

  at(ms: number, action: () => void): NodeJS.Timeout {
    const actUnlessStopped = (): void => {
      if (!this.stopped) action();
    };
    return setTimeout(actUnlessStopped, Math.max(0, ms - this.now));
  }

  cancel(timer: unknown): void {
    clearTimeout(timer as NodeJS.Timeout);
  }
}
