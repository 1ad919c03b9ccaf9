/**
 * The two clocks of a process, passed in so that tests can run them. Values of the two are never mixed: the wall clock may
 * be set, the steady clock only goes forward.
 */
export interface Clock {
  /** Steady milliseconds since some moment of this process, for timeouts and leases. */
  steady(): number;
  /** Time of day, for what people read and what outlives the process. */
  wallClock(): Date;
  /** Runs `action` once, after `ms` steady milliseconds; the returned function cancels it. */
  schedule(ms: number, action: () => void): () => void;
}

/** The clocks of the operating system. */
export const systemClock: Clock = {
  steady: () => performance.now(),
  wallClock: () => new Date(),
  schedule: (ms, action) => {
    const timer = setTimeout(action, ms);
    return () => clearTimeout(timer);
  },
};

/** Runs `action` every `ms` steady milliseconds, first after `ms`; the returned function ends that. */
export function schedulePeriodic(clock: Clock, ms: number, action: () => void): () => void {
  const runAndReschedule = (): void => {
    cancel = clock.schedule(ms, runAndReschedule);
    action();
  };
  let cancel = clock.schedule(ms, runAndReschedule);
  return () => cancel();
}

/** Resolves after `ms` steady milliseconds. */
export function sleep(clock: Clock, ms: number): Promise<void> {
  return new Promise((resolve) => clock.schedule(ms, resolve));
}

/** Steady clocks of two machines drift apart by up to this share of the time (PROTOCOL, "The protocols"). */
export const MAX_CLOCK_DRIFT_RATIO = 0.0005;
