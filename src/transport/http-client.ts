import { Agent, request } from 'node:http';
import type { Socket } from 'node:net';

export interface HttpAnswer {
  status: number;
  /** The parsed body, or undefined if it was not JSON. */
  body: unknown;
}

/** Requests to one server over a few kept connections. No answer in time is `null`, never an exception. */
export class HttpClient {
  private readonly agent: Agent;
  private readonly host: string;
  private readonly port: number;

  constructor(address: string, connections: number) {
    const colon = address.lastIndexOf(':');
    this.host = address.slice(0, colon);
    this.port = Number(address.slice(colon + 1));
    this.agent = new Agent({ keepAlive: true, maxSockets: connections, scheduling: 'lifo' });
  }

  /** Lets the process end: kept connections would hold it. */
  close(): void {
    this.agent.destroy();
  }

  call(method: string, path: string, body: unknown, timeoutMs: number): Promise<HttpAnswer | null> {
    return new Promise((resolve) => {
      const payload = body === undefined ? undefined : Buffer.from(JSON.stringify(body));
      const outgoing = request(
        {
          agent: this.agent,
          host: this.host,
          port: this.port,
          method,
          path,
          headers: payload
            ? { 'content-type': 'application/json', 'content-length': payload.length }
            : undefined,
        },
        (incoming) => {
          const chunks: Buffer[] = [];
          incoming.on('data', (chunk: Buffer) => chunks.push(chunk));
          incoming.on('error', () => finish(null));
          incoming.on('close', () => finish(null));
          incoming.on('end', () =>
            finish({ status: incoming.statusCode ?? 0, body: parse(Buffer.concat(chunks)) }),
          );
        },
      );
      const deadline = setTimeout(() => {
        finish(null);
        outgoing.destroy();
      }, timeoutMs);
      let finished = false;
      const finish = (answer: HttpAnswer | null): void => {
        if (finished) return;
        finished = true;
        clearTimeout(deadline);
        resolve(answer);
      };
      outgoing.on('error', () => finish(null));
      outgoing.on('socket', (socket: Socket) => socket.setNoDelay(true));
      outgoing.end(payload);
    });
  }
}

function parse(bytes: Buffer): unknown {
  try {
    return JSON.parse(bytes.toString('utf8')) as unknown;
  } catch {
    return undefined;
  }
}
