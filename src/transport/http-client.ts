import { parseAddress } from './address';
import { createConnection, type Socket } from 'node:net';
import { ResponseReader } from './http-response';

/** A complete HTTP response. */
export interface HttpResponse {
  status: number;
  /** The parsed body, or undefined if it was not JSON. */
  body: unknown;
}

/** Matches paths that need no escaping. A space would end the path early, and a line break the request line. */
const SAFE_PATH_PATTERN = /^[\x21-\x7e]+$/;

/** A request that waits for a connection or for its response. */
interface PendingCall {
  requestText: string;
  /** Resolves the caller's promise; calls after the first do nothing. */
  finish: (response: HttpResponse | null) => void;
  finished: boolean;
}

/**
 * Sends requests to one server over a small pool of keep-alive connections, one at a time on each. Uses plain sockets,
 * because a general HTTP client costs a small controller a large part of its processor time (see "Libraries" in
 * docs/design.md).
 */
export class HttpClient {
  private readonly host: string;
  private readonly port: number;
  /** The most recently used connection is reused first, so that connections no longer needed can time out. */
  private readonly idleConnections: Connection[] = [];
  private readonly openConnections = new Set<Connection>();
  private readonly pendingCalls: PendingCall[] = [];
  private closed = false;

  constructor(
    private readonly address: string,
    private readonly maxConnections: number,
  ) {
    const { host, port } = parseAddress(address);
    this.host = host;
    this.port = port;
  }

  /** Closes all connections, which would keep the process alive. Pending and later requests resolve to null. */
  close(): void {
    this.closed = true;
    for (const call of this.pendingCalls.splice(0)) call.finish(null);
    for (const connection of this.openConnections) connection.destroy();
  }

  /**
   * Sends a request, with `body` as JSON unless it is undefined. Resolves to null if no complete response arrives within
   * `timeoutMs`; the server may then have carried out the request, or may still do so.
   *
   * @throws (as a rejection) TypeError if the path holds characters that must be escaped.
   */
  call(method: string, path: string, body: unknown, timeoutMs: number): Promise<HttpResponse | null> {
    if (!SAFE_PATH_PATTERN.test(path)) {
      return Promise.reject(new TypeError(`path holds unescaped characters: ${path}`));
    }
    if (this.closed) return Promise.resolve(null);
    return new Promise((resolve) => {
      const call: PendingCall = {
        requestText: this.requestText(method, path, body),
        finished: false,
        finish: () => undefined,
      };
      const timeoutTimer = setTimeout(() => this.handleTimeout(call), timeoutMs);
      call.finish = (response): void => {
        if (call.finished) return;
        call.finished = true;
        clearTimeout(timeoutTimer);
        resolve(response);
      };
      this.pendingCalls.push(call);
      this.dispatchPending();
    });
  }

  private requestText(method: string, path: string, body: unknown): string {
    const head = `${method} ${path} HTTP/1.1\r\nHost: ${this.address}\r\nConnection: keep-alive\r\n`;
    if (body === undefined) return `${head}\r\n`;
    const payload = JSON.stringify(body);
    const length = Buffer.byteLength(payload);
    return `${head}Content-Type: application/json\r\nContent-Length: ${length}\r\n\r\n${payload}`;
  }

  /** Starts pending calls on idle connections, or on new ones up to `maxConnections`. */
  private dispatchPending(): void {
    while (this.pendingCalls.length > 0) {
      const connection = this.idleConnections.pop() ?? this.connect();
      if (!connection) return;
      connection.start(this.pendingCalls.shift() as PendingCall);
    }
  }

  private connect(): Connection | null {
    if (this.openConnections.size >= this.maxConnections) return null;
    const connection = new Connection(createConnection(this.port, this.host), {
      onIdle: () => {
        this.idleConnections.push(connection);
        this.dispatchPending();
      },
      onClosed: () => {
        this.openConnections.delete(connection);
        const i = this.idleConnections.indexOf(connection);
        if (i >= 0) this.idleConnections.splice(i, 1);
        this.dispatchPending();
      },
    });
    this.openConnections.add(connection);
    return connection;
  }

  /** Resolves a call to null and closes its connection, on which the late response would otherwise arrive. */
  private handleTimeout(call: PendingCall): void {
    const i = this.pendingCalls.indexOf(call);
    if (i >= 0) this.pendingCalls.splice(i, 1);
    call.finish(null);
    for (const connection of this.openConnections) connection.closeIfCarrying(call);
  }
}

/** Callbacks of a connection to its client. */
interface ConnectionListener {
  /** The connection can carry another request. */
  onIdle: () => void;
  onClosed: () => void;
}

/** A connection with at most one request in flight. */
class Connection {
  private call: PendingCall | null = null;
  private reader = new ResponseReader();

  constructor(
    private readonly socket: Socket,
    private readonly listener: ConnectionListener,
  ) {
    socket.setNoDelay(true);
    socket.on('data', (bytes: Buffer) => this.onData(bytes));
    socket.on('end', () => this.onEnd());
    socket.on('error', () => socket.destroy());
    socket.on('close', () => {
      this.call?.finish(null);
      this.call = null;
      listener.onClosed();
    });
  }

  start(call: PendingCall): void {
    this.call = call;
    this.reader = new ResponseReader();
    this.socket.write(call.requestText);
  }

  closeIfCarrying(call: PendingCall): void {
    if (this.call === call) this.socket.destroy();
  }

  destroy(): void {
    this.socket.destroy();
  }

  private onData(bytes: Buffer): void {
    // No request is in flight: the next response could not be told apart from these bytes.
    if (!this.call) return this.destroy();
    const progress = this.reader.push(bytes);
    if (progress === 'malformed') this.destroy();
    if (progress === 'complete') this.complete();
  }

  private onEnd(): void {
    if (this.call && this.reader.end() === 'complete') this.complete();
    this.destroy();
  }

  private complete(): void {
    const { status, body, keepAlive } = this.reader;
    const call = this.call;
    this.call = null;
    if (keepAlive) this.listener.onIdle();
    else this.destroy();
    call?.finish({ status, body: parseJson(body) });
  }
}

function parseJson(bytes: Buffer): unknown {
  try {
    return JSON.parse(bytes.toString('utf8')) as unknown;
  } catch {
    return undefined;
  }
}
