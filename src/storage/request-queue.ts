import { type Clock } from '../transport/clock';
import { RateLimiter } from '../transport/rate-limiter';

/** Which requests go first when the limits of the state store are near; a smaller value goes first. */
export enum RequestPriority {
  /** Session leases: never held back by the rate limits. */
  Lease,
  /** What decides who may act, or what tasks wait for. */
  Decision,
  /** Reads that a user's request or a safety check waits for. */
  Read,
  /** What may be written later without harm. */
  Progress,
}

/** Rates that the state store allows to all controllers together. */
export interface RequestLimits {
  /** Requests a second. */
  requestRate: number;
  /** Written keys a second. */
  writeRate: number;
  /** How many controllers share the rates. */
  controllers: number;
}

interface QueuedRequest {
  priority: RequestPriority;
  /** Keys that it writes. */
  writes: number;
  /** Steady time after which it is not sent any more. */
  deadline: number;
  queuedAt: number;
  /** Called once: true if it may be sent, false if its deadline has passed. */
  resolve: (maySend: boolean) => void;
}

/**
 * What one controller may use beyond an even share of the rates. Load is uneven between controllers; a 429 empties the
 * buckets (see `backOff`), which brings the sum back under the limit.
 */
const UNEVEN_SHARE_RATIO = 1.8;
/** A write of many keys is overtaken by smaller ones for this long at most. */
const MAX_OVERTAKEN_MS = 300;
const RETRY_INTERVAL_MS = 25;
/** The share of the request bucket that requests of a priority leave to more urgent ones. */
const REQUEST_RESERVE_RATIO: Readonly<Record<RequestPriority, number>> = {
  [RequestPriority.Lease]: -1,
  [RequestPriority.Decision]: 0.1,
  [RequestPriority.Read]: 0.2,
  [RequestPriority.Progress]: 0.5,
};
/** The share of the write bucket that writes of progress leave to more urgent ones. */
const PROGRESS_WRITE_RESERVE_RATIO = 0.4;

/**
 * Orders the requests of one controller to the state store and holds them back so that all controllers together stay
 * within the store's rates, without communication between them. Requests of one priority keep their order as far as the
 * rates allow.
 */
export class RequestQueue {
  private readonly requestLimiter: RateLimiter;
  private readonly writeLimiter: RateLimiter;
  private readonly queue: QueuedRequest[] = [];
  private cancelRetry: (() => void) | null = null;
  private closed = false;

  constructor(
    private readonly clock: Clock,
    limits: RequestLimits,
  ) {
    const share = Math.min(1, UNEVEN_SHARE_RATIO / limits.controllers);
    this.requestLimiter = new RateLimiter(limits.requestRate * share, limits.requestRate * share);
    this.writeLimiter = new RateLimiter(limits.writeRate * share, limits.writeRate * share);
  }

  /** Resolves to true once a request may be sent, or to false if `deadline` (steady time) passes or the queue is closed before. */
  awaitTurn(priority: RequestPriority, writes: number, deadline: number): Promise<boolean> {
    if (this.closed) return Promise.resolve(false);
    return new Promise((resolve) => {
      const request: QueuedRequest = {
        priority,
        writes,
        deadline,
        queuedAt: this.clock.steady(),
        resolve,
      };
      const firstLessUrgent = this.queue.findIndex((queued) => queued.priority > priority);
      if (firstLessUrgent < 0) this.queue.push(request);
      else this.queue.splice(firstLessUrgent, 0, request);
      this.admitQueued();
    });
  }

  /** The store has said that requests come too fast: the buckets fill anew from empty. */
  backOff(writes: number): void {
    const now = this.clock.steady();
    this.requestLimiter.drain(now);
    if (writes > 0) this.writeLimiter.drain(now);
  }

  /** Refuses everything that still waits, and all later requests, and ends the timer. */
  close(): void {
    this.closed = true;
    this.cancelRetry?.();
    this.cancelRetry = null;
    for (const request of this.queue.splice(0)) request.resolve(false);
  }

  private admitQueued(): void {
    const now = this.clock.steady();
    // A write of many keys needs a nearly full bucket: smaller writes that overtook it without end would starve it.
    let writesHeldBack = false;
    for (let i = 0; i < this.queue.length;) {
      const request = this.queue[i] as QueuedRequest;
      if (now > request.deadline) {
        this.queue.splice(i, 1);
        request.resolve(false);
        continue;
      }
      const mustWait = writesHeldBack && request.writes > 0 && request.priority !== RequestPriority.Lease;
      if (!mustWait && this.admit(request, now)) {
        this.queue.splice(i, 1);
        request.resolve(true);
        continue;
      }
      writesHeldBack ||= isOvertakenTooLong(request, now);
      i++;
    }
    if (this.queue.length > 0) this.scheduleRetry();
  }

  private scheduleRetry(): void {
    this.cancelRetry ??= this.clock.schedule(RETRY_INTERVAL_MS, () => {
      this.cancelRetry = null;
      this.admitQueued();
    });
  }

  private admit({ priority, writes }: QueuedRequest, now: number): boolean {
    const reserve = this.requestLimiter.burst * REQUEST_RESERVE_RATIO[priority];
    if (!this.requestLimiter.tryTake(now, 1, reserve)) return false;
    // Session leases are never held back: losing one costs more than a request too many.
    if (writes === 0 || priority === RequestPriority.Lease) return true;
    const writeReserve =
      priority === RequestPriority.Progress ? this.writeLimiter.burst * PROGRESS_WRITE_RESERVE_RATIO : 0;
    return this.writeLimiter.tryTake(now, writes, writeReserve);
  }
}

function isOvertakenTooLong({ priority, writes, queuedAt }: QueuedRequest, now: number): boolean {
  return priority === RequestPriority.Decision && writes > 0 && now - queuedAt > MAX_OVERTAKEN_MS;
}
