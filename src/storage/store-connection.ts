import { sleep, type Clock } from '../transport/clock';
import { type HttpResponse } from '../transport/http-client';
import { type Log } from '../transport/log';
import { type Metrics } from '../transport/metrics';
import { type RequestPriority, type RequestQueue } from './request-queue';

/** Carries one HTTP request to the state store; resolves to null if no response came within `timeoutMs`. */
export interface StoreTransport {
  call(method: string, path: string, body: unknown, timeoutMs: number): Promise<HttpResponse | null>;
}

/** One request to the state store. */
export interface StoreRequest {
  method: 'GET' | 'POST' | 'DELETE';
  path: string;
  body?: unknown;
  priority: RequestPriority;
  /** How long it may take in all, queueing and repetitions included. */
  withinMs: number;
  /** How many keys it writes. */
  writes?: number;
}

/** `expired`: it was certainly not carried out. `unanswered`: it may have been carried out, or may yet be. */
export type StoreOutcome = HttpResponse | 'expired' | 'unanswered';

/** Counters for the operators, shown as they are in `GET /status`. */
export interface RequestCounters {
  requests: number;
  throttled: number;
  refused: number;
  unanswered: number;
  writes: number;
}

const CALL_TIMEOUT_MS = 1500;
const MIN_CALL_TIMEOUT_MS = 50;
/** A throttled request is repeated after this pause, unless it would expire within `MIN_REPEAT_MS`. */
const THROTTLED_PAUSE_MS = 60;
const MIN_REPEAT_MS = 100;
const STATUS_TOO_MANY_REQUESTS = 429;
const STATUS_UNAVAILABLE = 503;

/** Sends requests in the order and at the pace of a queue, repeats throttled ones, and notes whether the store responds. */
export class StoreConnection {
  readonly counters: RequestCounters = { requests: 0, throttled: 0, refused: 0, unanswered: 0, writes: 0 };
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

  /** Notes a response that came another way, such as that of a watch. */
  noteResponse(): void {
    this.lastOkAt = this.clock.steady();
  }

  /** Sends one request. Rejects only if the transport does: the HTTP client for a path that holds unescaped characters. */
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
        this.noteStatus(response.status, now);
        return response;
      }
      this.counters.throttled++;
      this.queue.backOff(writes);
      if (now + MIN_REPEAT_MS >= deadline) return 'expired';
      await sleep(this.clock, THROTTLED_PAUSE_MS);
    }
  }

  private noteStatus(status: number, now: number): void {
    if (status === STATUS_UNAVAILABLE) {
      this.counters.refused++;
      this.lastRefusedAt = now;
    } else {
      this.lastOkAt = now;
    }
  }
}

/** The response if the store sent one with this status, else null. */
export function responseWith(status: number, outcome: StoreOutcome): HttpResponse | null {
  return typeof outcome === 'object' && outcome.status === status ? outcome : null;
}

/** A malformed response counts as none, but the operators should know; `source` says what it was read from. */
export function logIfMalformed<T>(log: Log, parsed: T | null, source: string): T | null {
  if (parsed === null) log.info({ source }, 'malformed response from the state store');
  return parsed;
}
