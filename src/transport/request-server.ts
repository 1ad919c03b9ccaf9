import { createServer as createNetServer, type Server as NetServer, type Socket } from 'node:net';
import type { Server } from 'node:http';
import { NewestFirstQueue } from './newest-first-queue';
import { PlainHeadCache, type PlainRequest } from './plain-request';

/** A response to a plain request. */
export interface PlainResponse {
  status: number;
  /** JSON. */
  body: string;
  /** Seconds after which the sender may come back. */
  retryAfterS?: number | undefined;
}

/** Takes the body of a request and calls `respond` exactly once, at once or later. */
export type PlainHandler = (body: string, response: (response: PlainResponse) => void) => void;

/** How a plain request is handled. */
export type PlainRoute =
  /** In turn, the newest request first (see NewestFirstQueue). */
  | { kind: 'queued'; handle: PlainHandler }
  /** As soon as it is read. */
  | { kind: 'direct'; handle: PlainHandler };

/** Who handles the requests of a server. */
export interface RequestServerOptions {
  /** Null: the general server handles it. */
  route: (request: PlainRequest) => PlainRoute | null;
  /** Serves whatever is not plain. Called only when such a request comes, as loading it would delay the start. */
  fallbackServer: () => Promise<Server>;
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
 * Connections that may wait to be accepted. They are accepted in their order, so if there were more of them than a second's
 * work, each would be given up by the time it is its turn; one that finds no place costs nothing and comes again.
 */
export const MAX_PENDING_CONNECTIONS = 128;

/**
 * A server for one port and all callers. What comes all the time, heartbeats of workers, submissions and status queries of
 * users, is plain and read here, straight from the socket, at a small part of the cost of a general HTTP server. A connection
 * whose next request is anything else is handed to the general server with what was read of it.
 */
export function createRequestServer(options: RequestServerOptions): NetServer {
  const queue = new NewestFirstQueue(() => performance.now(), setImmediate);
  const shared: SharedState = { options, queue, heads: new PlainHeadCache() };
  return createNetServer((socket) => {
    queue.onConnectionAccepted();
    new PlainConnection(socket, shared);
  });
}

/** What the connections of one server share. */
interface SharedState {
  options: RequestServerOptions;
  queue: NewestFirstQueue;
  heads: PlainHeadCache;
}

/** One caller's connection, with at most one request being handled. */
class PlainConnection {
  private buffered: Buffer = Buffer.alloc(0);
  private handling = false;
  private firstRequest = true;

  constructor(
    private readonly socket: Socket,
    private readonly shared: SharedState,
  ) {
    socket.setNoDelay(true);
    socket.on('data', this.onData);
    socket.on('error', this.onError);
  }

  private readonly onData = (chunk: Buffer): void => {
    this.buffered = this.buffered.length === 0 ? chunk : Buffer.concat([this.buffered, chunk]);
    if (!this.handling) this.readNext();
  };

  private readonly onError = (): void => void this.socket.destroy();

  private readNext(): void {
    if (this.buffered.length === 0) return;
    const { options, heads } = this.shared;
    const headEnd = this.buffered.indexOf(HEAD_END);
    if (headEnd < 0) {
      if (this.buffered.length > MAX_HEAD_BYTES) this.handToFallbackServer();
      return;
    }
    const request = heads.parse(this.buffered.toString('latin1', 0, headEnd));
    const route = request && options.route(request);
    if (!request || !route || request.contentLength > options.maxBodyBytes)
      return this.handToFallbackServer();
    const bodyStart = headEnd + HEAD_END.length;
    const bodyEnd = bodyStart + request.contentLength;
    // Bodies mostly come with their heads; otherwise the head is read again once the rest is here.
    if (this.buffered.length < bodyEnd) return;
    const body = this.buffered.toString('utf8', bodyStart, bodyEnd);
    // The general server says in its own words what is wrong with the body.
    if (route.kind === 'direct' && request.contentLength > 0 && !isJson(body))
      return this.handToFallbackServer();
    this.buffered = this.buffered.subarray(bodyEnd);
    this.handle(route, body, request.closeConnection);
  }

  private handle(route: PlainRoute, body: string, close: boolean): void {
    this.handling = true;
    const run = (): void => route.handle(body, (response) => this.respond(response, close));
    if (route.kind === 'direct') return run();
    this.shared.queue.add(() => this.isAlive(), run, this.firstRequest);
    this.firstRequest = false;
  }

  private isAlive(): boolean {
    return !this.socket.destroyed && !this.socket.readableEnded;
  }

  private respond(response: PlainResponse, close: boolean): void {
    this.handling = false;
    if (this.socket.destroyed) return;
    this.socket.write(responseText(response, close));
    if (close) this.socket.end();
    else this.readNext();
  }

  private handToFallbackServer(): void {
    const { socket } = this;
    // Nothing more is read meanwhile.
    this.handling = true;
    socket.off('data', this.onData);
    socket.pause();
    void this.shared.options.fallbackServer().then((general) => {
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
  const retryAfter = retryAfterS === undefined ? '' : `Retry-After: ${retryAfterS}\r\n`;
  return (
    `HTTP/1.1 ${status} ${REASON_PHRASES.get(status) ?? ''}\r\nContent-Type: application/json\r\n${retryAfter}` +
    `Content-Length: ${Buffer.byteLength(body)}\r\n${close ? 'Connection: close\r\n' : ''}\r\n${body}`
  );
}
