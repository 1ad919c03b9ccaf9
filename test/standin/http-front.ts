import { createServer, request, type Agent, type IncomingMessage, type Server } from 'node:http';
import { type HttpResponse } from '../../src/transport/http-client';

/** Handles a request to a fake and returns the response. */
export type RequestHandler = (method: string, path: string, body: unknown) => Promise<HttpResponse>;

async function readBody(incomingRequest: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  for await (const chunk of incomingRequest) chunks.push(chunk as Buffer);
  return chunks.length === 0 ? undefined : (JSON.parse(Buffer.concat(chunks).toString('utf8')) as unknown);
}

/** Serves a fake over HTTP on the loopback interface. */
export function serveFake(port: number, handle: RequestHandler): Server {
  const server = createServer((incomingRequest, response) => {
    void readBody(incomingRequest)
      .then((body) => handle(incomingRequest.method ?? 'GET', incomingRequest.url ?? '/', body))
      .then(({ status, body }) => {
        const text = JSON.stringify(body);
        const headers = { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) };
        response.writeHead(status, headers).end(text);
      });
  });
  server.keepAliveTimeout = 120_000;
  return server.listen(port, '127.0.0.1');
}

/** Sends an HTTP request through the agent; the response is null on a timeout or connection error. */
export function sendRequest(
  agent: Agent,
  port: number,
  path: string,
  body: object,
  method: string,
  timeoutMs: number,
): Promise<HttpResponse | null> {
  return new Promise((resolve) => {
    const payload = method === 'POST' ? JSON.stringify(body) : '';
    const headers = method === 'POST' ? { 'content-length': Buffer.byteLength(payload) } : {};
    const outgoing = request({
      agent,
      host: '127.0.0.1',
      port,
      method,
      path,
      headers,
      timeout: timeoutMs,
    });
    outgoing.on('response', (incoming) => {
      const chunks: Buffer[] = [];
      incoming.on('data', (chunk: Buffer) => chunks.push(chunk));
      incoming.on('end', () => {
        const text = Buffer.concat(chunks).toString('utf8');
        resolve({ status: incoming.statusCode ?? 0, body: JSON.parse(text || '{}') as unknown });
      });
    });
    outgoing.on('timeout', () => outgoing.destroy());
    outgoing.on('error', () => resolve(null));
    outgoing.on('close', () => resolve(null));
    outgoing.end(payload);
  });
}
