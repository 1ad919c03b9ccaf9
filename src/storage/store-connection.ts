import { sleep, type Clock } from '../transport/clock';
import { type HttpResponse } from '../transport/http-client';
import { type Log } from '../transport/log';
import { type Metrics } from '../transport/metrics';
import { type RequestPriority, type RequestQueue } from './request-queue';

/** Sends HTTP requests to the state store. `call` resolves to null if no response arrives within `timeoutMs`. */
export interface StoreTransport {
  call(method: string, path: string, body: unknown, timeoutMs: number): Promise<HttpResponse | null>;
}

export interface StoreRequest {
  method: 'GET' | 'POST' | 'DELETE';
  path: string;
  body?: unknown;
  priority: RequestPriority;
  /** Total time limit, including queueing and retries. */
  withinMs: number;
  /** Number of keys that it writes; 0 if omitted. */
  writes?: number;
}

/** `expired`: the request was certainly not executed. `unanswered`: it may have been executed, or may still be. */
export type StoreOutcome = HttpResponse | 'expired' | 'unanswered';

/** Counters for operators, shown under these names in `GET /status`. */
export interface RequestCounters {
  requests: number;
  throttled: number;
  refused: number;
  unanswered: number;
  writes: number;
  /** Transactions that the store holds to be malformed or above its limits. */
  rejected: number;
}

const CALL_TIMEOUT_MS = 1500;
const MIN_CALL_TIMEOUT_MS = 50;
/** A throttled request is retried after this delay, unless it would expire within `MIN_RETRY_BUDGET_MS`. */
const THROTTLED_RETRY_DELAY_MS = 60;
const MIN_RETRY_BUDGET_MS = 100;
const STATUS_TOO_MANY_REQUESTS = 429;
const STATUS_UNAVAILABLE = 503;

/** Sends requests in the order and at the rate of a queue, retries throttled ones, and records whether the store responds. */
export class StoreConnection {
  readonly counters: RequestCounters = {
    requests: 0,
    throttled: 0,
    refused: 0,
    unanswered: 0,
    writes: 0,
    rejected: 0,
  };
  private lastOkAt = Number.NEGATIVE_INFINITY;
  private lastRefusedAt = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly transport: StoreTransport,
    private readonly queue: RequestQueue,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
  ) {}

  /** Whether the store responded within the last `ms` and has not refused a request since. */
  respondedWithin(ms: number): boolean {
    return this.clock.steady() - this.lastOkAt < ms && this.lastOkAt >= this.lastRefusedAt;
  }

  /** Records a response that did not come through `send`, such as that of a watch. */
  recordResponse(): void {
    this.lastOkAt = this.clock.steady();
  }

  /** Sends one request. Rejects only if the transport does, as the HTTP client does for a path with unescaped characters. */
  async send({ method, path, body, priority, withinMs, writes = 0 }: StoreRequest): Promise<StoreOutcome> {
    const deadline = this.clock.steady() + withinMs;
    for (;;) {
      if (!(await this.queue.awaitTurn(priority, writes, deadline))) return 'expired';
      this.counters.requests++;
      this.counters.writes += writes;
      const sentAt = this.clock.steady();
      const timeoutMs = Math.max(MIN_CALL_TIMEOUT_MS, Math.min(CALL_TIMEOUT_MS, deadline - sentAt));
      const response = await this.transport.call(method, path, body, timeoutMs);
      const now = this.clock.steady();
      this.metrics.record(writes > 0 ? 'store write' : 'store read', now - sentAt);
      if (response === null) {
        this.counters.unanswered++;
        return 'unanswered';
      }
      if (response.status !== STATUS_TOO_MANY_REQUESTS) {
        this.recordStatus(response.status, now);
        return response;
      }
      this.counters.throttled++;
      this.queue.backOff(writes);
      if (now + MIN_RETRY_BUDGET_MS >= deadline) return 'expired';
      await sleep(this.clock, THROTTLED_RETRY_DELAY_MS);
    }
  }

  private recordStatus(status: number, now: number): void {
    if (status === STATUS_UNAVAILABLE) {
      this.counters.refused++;
      this.lastRefusedAt = now;
    } else {
      this.lastOkAt = now;
    }
  }
}

/** The response if the store sent one with this status, otherwise null. */
export function responseWithStatus(status: number, outcome: StoreOutcome): HttpResponse | null {
  return typeof outcome === 'object' && outcome.status === status ? outcome : null;
}

/**
 * Returns `parsed`, and logs a malformed response if it is null. Callers treat such a response as none, but operators should
 * see it. `source` names what was read.
 */
export function logIfMalformed<T>(log: Log, parsed: T | null, source: string): T | null {
  if (parsed === null) log.info({ source }, 'malformed response from the state store');
  return parsed;
}
