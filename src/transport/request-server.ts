import { createServer as createNetServer, type Server as NetServer, type Socket } from 'node:net';
import type { Server } from 'node:http';
import { NewestFirstQueue } from './fair-queue';
import { PlainHeads, type PlainRequest } from './plain-request';

export interface PlainAnswer {
  status: number;
  /** JSON. */
  body: string;
  /** Seconds after which the sender may come back. */
  retryAfter?: number | undefined;
}

/** Takes the body of a request and answers once, at once or later. */
export type PlainHandler = (body: string, answer: (answer: PlainAnswer) => void) => void;

/** Who answers a plain request. */
export type PlainRoute =
  /** Answered in turn, the newest first (see NewestFirstQueue). */
  | { kind: 'queued'; handle: PlainHandler }
  /** Answered as soon as it is read. */
  | { kind: 'direct'; handle: PlainHandler };

export interface PlainServerOptions {
  /** Null: a general server is to answer it. */
  route: (request: PlainRequest) => PlainRoute | null;
  /** Serves whatever is not plain. Asked for only then: to load it takes longer than most starts have. */
  general: () => Promise<Server>;
  maxBody: number;
}

const HEAD_END = Buffer.from('\r\n\r\n');
const MAX_HEAD = 8 * 1024;
const REASONS = new Map([
  [200, 'OK'],
  [201, 'Created'],
  [400, 'Bad Request'],
  [404, 'Not Found'],
  [421, 'Misdirected Request'],
  [422, 'Unprocessable Entity'],
  [429, 'Too Many Requests'],
  [503, 'Service Unavailable'],
]);

/**
 * Connections that may wait to be taken. They are taken in their order, so with more of them than a second's work each
 * would be given up by the time it is its turn; one that finds no place costs nothing and comes again.
 */
export const BACKLOG = 128;

/**
 * One port for all callers. What comes all the time, machines' reports and users' submissions and questions, is plain and
 * read here, straight from the socket, at a tenth of what a general HTTP server costs. A connection whose next request is
 * anything else, or not as plain, is handed to the general server with what was read of it.
 */
export function servePlainRequests(options: PlainServerOptions): NetServer {
  const turns = new NewestFirstQueue(() => performance.now(), setImmediate);
  const heads = new PlainHeads();
  return createNetServer((socket) => {
    turns.arrived();
    new PlainConnection(socket, options, turns, heads);
  });
}

/** One caller's connection, with at most one request being answered. */
class PlainConnection {
  private rest: Buffer = Buffer.alloc(0);
  private answering = false;
  private first = true;

  constructor(
    private readonly socket: Socket,
    private readonly options: PlainServerOptions,
    private readonly turns: NewestFirstQueue,
    private readonly heads: PlainHeads,
  ) {
    socket.setNoDelay(true);
    socket.on('data', this.onData);
    socket.on('error', this.onError);
  }

  private readonly onData = (chunk: Buffer): void => {
    this.rest = this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
    if (!this.answering) this.next();
  };

  private readonly onError = (): void => void this.socket.destroy();

  private next(): void {
    if (this.rest.length === 0) return;
    const end = this.rest.indexOf(HEAD_END);
    if (end < 0) return this.rest.length > MAX_HEAD ? this.giveAway() : undefined;
    const request = this.heads.parse(this.rest.toString('latin1', 0, end));
    const route = request && this.options.route(request);
    if (!request || !route || request.length > this.options.maxBody) return this.giveAway();
    const start = end + HEAD_END.length;
    // Bodies mostly come with their heads; else the head is read again once the rest is here.
    if (this.rest.length < start + request.length) return;
    const body = this.rest.toString('utf8', start, start + request.length);
    // A general server says in its own words what is wrong with it.
    if (route.kind === 'direct' && request.length > 0 && !isJson(body)) return this.giveAway();
    this.rest = this.rest.subarray(start + request.length);
    this.answering = true;
    const run = (): void => route.handle(body, (answer) => this.answer(answer, request.close));
    if (route.kind === 'direct') return run();
    this.turns.add(() => !this.socket.destroyed && !this.socket.readableEnded, run, this.first);
    this.first = false;
  }

  private answer(answer: PlainAnswer, close: boolean): void {
    this.answering = false;
    if (this.socket.destroyed) return;
    this.socket.write(responseText(answer, close));
    if (close) this.socket.end();
    else this.next();
  }

  private giveAway(): void {
    const { socket } = this;
    // Nothing more is read meanwhile.
    this.answering = true;
    socket.off('data', this.onData);
    socket.pause();
    void this.options.general().then((general) => {
      socket.off('error', this.onError);
      if (socket.destroyed) return;
      if (this.rest.length > 0) socket.unshift(this.rest);
      general.emit('connection', socket);
      socket.resume();
    });
  }
}

function isJson(text: string): boolean {
  try {
    JSON.parse(text);
    return true;
  } catch {
    return false;
  }
}

function responseText({ status, body, retryAfter }: PlainAnswer, close: boolean): string {
  const pause = retryAfter === undefined ? '' : `Retry-After: ${retryAfter}\r\n`;
  return (
    `HTTP/1.1 ${status} ${REASONS.get(status) ?? ''}\r\nContent-Type: application/json\r\n${pause}` +
    `Content-Length: ${Buffer.byteLength(body)}\r\n${close ? 'Connection: close\r\n' : ''}\r\n${body}`
  );
}
