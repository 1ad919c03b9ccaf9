import { createServer as createNetServer, type Server as NetServer, type Socket } from 'node:net';
import type { Server } from 'node:http';
import { NewestFirstQueue } from './newest-first-queue';
import { PlainHeadCache, type PlainRequest } from './plain-request';

/** A response to a plain request (see PlainRequest). */
export interface PlainResponse {
  status: number;
  /** JSON text. */
  body: string;
  /** Seconds after which the sender may retry. */
  retryAfterS?: number | undefined;
}

/** Handles the body of a plain request, '' if it has none, and calls `respond` exactly once, immediately or later. */
export type PlainHandler = (body: string, respond: (response: PlainResponse) => void) => void;

/** How a plain request is handled. */
export type PlainRoute =
  /** Queued, newest request first (see NewestFirstQueue). */
  | { kind: 'queued'; handle: PlainHandler }
  /** Handled as soon as it is read. A request whose body is not JSON goes to the fallback server instead. */
  | { kind: 'direct'; handle: PlainHandler };

/** Handlers and limits of a request server. */
export interface RequestServerOptions {
  /** Returns the route of a plain request, or null if the fallback server handles it. */
  route: (request: PlainRequest) => PlainRoute | null;
  /** Returns the general HTTP server for all other requests; called when one comes, as loading it would delay the start. */
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
 * Size of the listen backlog. Connections are accepted in order of arrival, so with a backlog of more than a second's work
 * every sender would have given up before its connection is accepted. A connection that finds the backlog full costs nothing
 * and is tried again.
 */
export const MAX_PENDING_CONNECTIONS = 128;

/**
 * Creates the server for one port and all callers. The frequent requests (heartbeats of workers, submissions and status
 * queries of users) are plain and are parsed here directly from the socket, at a small part of the cost of a general HTTP
 * server. A connection whose next request is not plain, or has no route, is handed to the fallback server, with the bytes read
 * so far.
 */
export function createRequestServer(options: RequestServerOptions): NetServer {
  const queue = new NewestFirstQueue(() => performance.now(), setImmediate);
  const shared: SharedState = { options, queue, headCache: new PlainHeadCache() };
  return createNetServer((socket) => {
    queue.onConnectionAccepted();
    new PlainConnection(socket, shared);
  });
}

/** State shared by the connections of one server. */
interface SharedState {
  options: RequestServerOptions;
  queue: NewestFirstQueue;
  headCache: PlainHeadCache;
}

/** A connection of one caller, with at most one request being handled. */
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
    const { options, headCache } = this.shared;
    const headEnd = this.buffered.indexOf(HEAD_END);
    if (headEnd < 0) {
      if (this.buffered.length > MAX_HEAD_BYTES) this.handToFallbackServer();
      return;
    }
    const request = headCache.parse(this.buffered.toString('latin1', 0, headEnd));
    const route = request && options.route(request);
    if (!request || !route || request.contentLength > options.maxBodyBytes)
      return this.handToFallbackServer();
    const bodyStart = headEnd + HEAD_END.length;
    const bodyEnd = bodyStart + request.contentLength;
    // Most bodies arrive together with their heads; otherwise the head is parsed again when more bytes arrive.
    if (this.buffered.length < bodyEnd) return;
    const body = this.buffered.toString('utf8', bodyStart, bodyEnd);
    // The fallback server answers a malformed body with its own error message.
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
    // Keeps this class from reading another request until the fallback server has the connection.
    this.handling = true;
    socket.off('data', this.onData);
    socket.pause();
    void this.shared.options.fallbackServer().then((server) => {
      socket.off('error', this.onError);
      if (socket.destroyed) return;
      if (this.buffered.length > 0) socket.unshift(this.buffered);
      server.emit('connection', socket);
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
