import { type TimeSource } from './clock';

/** The stand-ins' time as it really passes. */
export class RealTime implements TimeSource {
  private readonly startedAt = performance.now();
  private stopped = false;

  get now(): number {
    return performance.now() - this.startedAt;
  }

  /** From here on nothing happens any more: what would go on for ever keeps the process alive. */
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
