/** The two clocks of a process, injected so that tests can run them. They are never mixed. */
export interface Clock {
  /** Steady milliseconds, for waits and leases. */
  steady(): number;
  /** Time of day, for what people read and what outlives the process. */
  wallClock(): Date;
  /** Runs `action` once, after `ms` steady milliseconds; the result takes it back. */
  schedule(ms: number, action: () => void): () => void;
}

export const systemClock: Clock = {
  steady: () => performance.now(),
  wallClock: () => new Date(),
  schedule: (ms, action) => {
    const timer = setTimeout(action, ms);
    return () => clearTimeout(timer);
  },
};

/** Runs `action` every `ms` for as long as the process lives. */
export function schedulePeriodic(clock: Clock, ms: number, action: () => void): void {
  const runAndReschedule = (): void => {
    clock.schedule(ms, runAndReschedule);
    action();
  };
  clock.schedule(ms, runAndReschedule);
}

/** Resolves after `ms` steady milliseconds. */
export function pause(clock: Clock, ms: number): Promise<void> {
  return new Promise((resolve) => clock.schedule(ms, resolve));
}

/** Steady clocks of two machines drift apart by up to this share (PROTOCOL, "The protocols"). */
export const MAX_CLOCK_DRIFT_RATIO = 0.0005;
