import { type StandinTime } from './clock';

/** The stand-ins' time as it really passes. */
export class RealTime implements StandinTime {
  private readonly startedAt = performance.now();

  get now(): number {
    return performance.now() - this.startedAt;
  }

  at(ms: number, action: () => void): NodeJS.Timeout {
    return setTimeout(action, Math.max(0, ms - this.now));
  }

  cancel(timer: unknown): void {
    clearTimeout(timer as NodeJS.Timeout);
  }
}
