import { type Clock } from '../transport/clock';
import { RateLimiter } from '../transport/rate-limiter';

/** The order in which requests are sent when the limits of the state store are near; a smaller value goes first. */
export enum RequestPriority {
  /** Session leases: not held back by the rate limits until the request bucket is overdrawn by as much as it holds. */
  Lease,
  /** Requests that decide which controller may act, or that tasks wait for. */
  Decision,
  /** Reads that a user's request or a safety check waits for. */
  Read,
  /** Writes that can be delayed without harm. */
  Progress,
}

/** The state store's rate limits, which all controllers share. */
export interface RequestLimits {
  /** Requests per second. */
  requestRate: number;
  /** Written keys per second. */
  writeRate: number;
  /** Number of controllers that share the rates. */
  controllers: number;
}

interface QueuedRequest {
  priority: RequestPriority;
  /** Number of keys that it writes. */
  writes: number;
  /** Steady time in milliseconds after which it is no longer sent. */
  deadline: number;
  queuedAt: number;
  /** Called once, with true if the request may be sent, or false if its deadline has passed or the queue is closed. */
  resolve: (maySend: boolean) => void;
}

/**
 * Multiple of an even share of the rates that one controller may use, since load is uneven between controllers. A 429 empties
 * the buckets (see `backOff`), which brings the sum back under the limit.
 */
const UNEVEN_SHARE_RATIO = 1.8;
/** Maximum time for which writes of fewer keys overtake a write with the priority `Decision`. */
const MAX_OVERTAKEN_MS = 300;
const RETRY_INTERVAL_MS = 25;
/**
 * Share of the request bucket that requests of a priority leave for more urgent ones. A negative share is the share by which the
 * bucket may be overdrawn.
 */
const REQUEST_RESERVE_RATIO: Readonly<Record<RequestPriority, number>> = {
  [RequestPriority.Lease]: -1,
  [RequestPriority.Decision]: 0.1,
  [RequestPriority.Read]: 0.2,
  [RequestPriority.Progress]: 0.5,
};
/** Share of the write bucket that writes of progress leave for more urgent ones. */
const PROGRESS_WRITE_RESERVE_RATIO = 0.4;

/**
 * Orders the requests of one controller to the state store and delays them so that all controllers together stay within the
 * store's rates, without communication between them. Requests of one priority keep their order as far as the rates allow.
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

  /**
   * Resolves to true once a request may be sent, or to false if `deadline` (steady time) passes or the queue is closed first.
   */
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

  /** Empties the request bucket, and the write bucket if the request writes keys, after the store throttled a request. */
  backOff(writes: number): void {
    const now = this.clock.steady();
    this.requestLimiter.drain(now);
    if (writes > 0) this.writeLimiter.drain(now);
  }

  /** Resolves all waiting and later requests to false. */
  close(): void {
    this.closed = true;
    this.cancelRetry?.();
    this.cancelRetry = null;
    for (const request of this.queue.splice(0)) request.resolve(false);
  }

  private admitQueued(): void {
    const now = this.clock.steady();
    // A write of many keys needs a nearly full bucket: smaller writes that overtook it indefinitely would starve it.
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
    // The write limit does not hold session leases back: losing one costs more than one request over the limit.
    if (writes === 0 || priority === RequestPriority.Lease) return true;
    const writeReserve =
      priority === RequestPriority.Progress ? this.writeLimiter.burst * PROGRESS_WRITE_RESERVE_RATIO : 0;
    return this.writeLimiter.tryTake(now, writes, writeReserve);
  }
}

function isOvertakenTooLong({ priority, writes, queuedAt }: QueuedRequest, now: number): boolean {
  return priority === RequestPriority.Decision && writes > 0 && now - queuedAt > MAX_OVERTAKEN_MS;
}
