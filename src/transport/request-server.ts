import { createServer as createNetServer, type Server as NetServer, type Socket } from 'node:net';
import type { Server } from 'node:http';
import { NewestFirstQueue } from './fair-queue';
import { PlainHeadCache, type PlainRequest } from './plain-request';

export interface PlainResponse {
  status: number;
  /** JSON. */
  body: string;
  /** Seconds after which the sender may come back. */
  retryAfterS?: number | undefined;
}

/** Takes the body of a request and answers once, at once or later. */
export type PlainHandler = (body: string, response: (response: PlainResponse) => void) => void;

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
  generalServer: () => Promise<Server>;
  maxBodyBytes: number;
}

const HEAD_END = Buffer.from('\r\n\r\n');
const MAX_HEAD_BYTES = 8 * 1024;
const REASON_PHRASES = new Map([
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
export const MAX_PENDING_CONNECTIONS = 128;

/**
 * One port for all callers. What comes all the time, machines' reports and users' submissions and questions, is plain and
 * read here, straight from the socket, at a tenth of what a general HTTP server costs. A connection whose next request is
 * anything else, or not as plain, is handed to the general server with what was read of it.
 */
export function servePlainRequests(options: PlainServerOptions): NetServer {
  const queue = new NewestFirstQueue(() => performance.now(), setImmediate);
  const heads = new PlainHeadCache();
  return createNetServer((socket) => {
    queue.onConnectionAccepted();
    new PlainConnection(socket, options, queue, heads);
  });
}

/** One caller's connection, with at most one request being answered. */
class PlainConnection {
  private buffered: Buffer = Buffer.alloc(0);
  private answering = false;
  private firstRequest = true;

  constructor(
    private readonly socket: Socket,
    private readonly options: PlainServerOptions,
    private readonly queue: NewestFirstQueue,
    private readonly heads: PlainHeadCache,
  ) {
    socket.setNoDelay(true);
    socket.on('data', this.onData);
    socket.on('error', this.onError);
  }

  private readonly onData = (chunk: Buffer): void => {
    this.buffered = this.buffered.length === 0 ? chunk : Buffer.concat([this.buffered, chunk]);
    if (!this.answering) this.readNext();
  };

  private readonly onError = (): void => void this.socket.destroy();

  private readNext(): void {
    if (this.buffered.length === 0) return;
    const end = this.buffered.indexOf(HEAD_END);
    if (end < 0) return this.buffered.length > MAX_HEAD_BYTES ? this.handToGeneralServer() : undefined;
    const request = this.heads.parse(this.buffered.toString('latin1', 0, end));
    const route = request && this.options.route(request);
    if (!request || !route || request.contentLength > this.options.maxBodyBytes)
      return this.handToGeneralServer();
    const start = end + HEAD_END.length;
    // Bodies mostly come with their heads; else the head is read again once the rest is here.
    if (this.buffered.length < start + request.contentLength) return;
    const body = this.buffered.toString('utf8', start, start + request.contentLength);
    // A general server says in its own words what is wrong with it.
    if (route.kind === 'direct' && request.contentLength > 0 && !isJson(body))
      return this.handToGeneralServer();
    this.buffered = this.buffered.subarray(start + request.contentLength);
    this.answering = true;
    const run = (): void => route.handle(body, (response) => this.respond(response, request.closeConnection));
    if (route.kind === 'direct') return run();
    this.queue.add(() => !this.socket.destroyed && !this.socket.readableEnded, run, this.firstRequest);
    this.firstRequest = false;
  }

  private respond(response: PlainResponse, close: boolean): void {
    this.answering = false;
    if (this.socket.destroyed) return;
    this.socket.write(responseText(response, close));
    if (close) this.socket.end();
    else this.readNext();
  }

  private handToGeneralServer(): void {
    const { socket } = this;
    // Nothing more is read meanwhile.
    this.answering = true;
    socket.off('data', this.onData);
    socket.pause();
    void this.options.generalServer().then((general) => {
      socket.off('error', this.onError);
      if (socket.destroyed) return;
      if (this.buffered.length > 0) socket.unshift(this.buffered);
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

function responseText({ status, body, retryAfterS }: PlainResponse, close: boolean): string {
  const pause = retryAfterS === undefined ? '' : `Retry-After: ${retryAfterS}\r\n`;
  return (
    `HTTP/1.1 ${status} ${REASON_PHRASES.get(status) ?? ''}\r\nContent-Type: application/json\r\n${pause}` +
    `Content-Length: ${Buffer.byteLength(body)}\r\n${close ? 'Connection: close\r\n' : ''}\r\n${body}`
  );
}
