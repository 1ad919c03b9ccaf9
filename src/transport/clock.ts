/**
 * The steady (monotonic) clock and the wall clock of a process, injected so that tests can control time. Values of the two
 * must not be mixed: the wall clock may be set, whereas the steady clock only goes forward.
 */
export interface Clock {
  /** Milliseconds of the steady clock since an arbitrary moment of this process, for timeouts and leases. */
  steady(): number;
  /** Time of day, for values that people read and values that outlive the process. */
  wallClock(): Date;
  /** Runs `action` once, after `ms` steady milliseconds. The returned function cancels it. */
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

/** Runs `action` every `ms` steady milliseconds, first after `ms`. The returned function stops the repetition. */
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

/** Largest drift between the steady clocks of two machines, as a share of the time elapsed (PROTOCOL, "The protocols"). */
export const MAX_CLOCK_DRIFT_RATIO = 0.0005;
