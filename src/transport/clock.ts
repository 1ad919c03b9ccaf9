/** The two clocks of a process, injected so that tests can run them. They are never mixed. */
export interface Clock {
  /** Steady milliseconds, for waits and leases. */
  steady(): number;
  /** Time of day, for what people read and what outlives the process. */
  today(): Date;
  /** Runs `action` once, after `ms` steady milliseconds; the result takes it back. */
  after(ms: number, action: () => void): () => void;
}

export const systemClock: Clock = {
  steady: () => performance.now(),
  today: () => new Date(),
  after: (ms, action) => {
    const timer = setTimeout(action, ms);
    return () => clearTimeout(timer);
  },
};

/** Runs `action` every `ms` for as long as the process lives. */
export function every(clock: Clock, ms: number, action: () => void): void {
  const again = (): void => {
    clock.after(ms, again);
    action();
  };
  clock.after(ms, again);
}

/** Steady clocks of two machines drift apart by up to this share (PROTOCOL, "The protocols"). */
export const DRIFT = 0.0005;
