import { createServer, type IncomingMessage, type Server } from 'node:http';
import { type HttpAnswer } from '../../src/transport/http-client';

/** How a stand-in answers one request. */
export type RequestHandler = (method: string, path: string, body: unknown) => Promise<HttpAnswer>;

async function readBody(request: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return chunks.length === 0 ? undefined : (JSON.parse(Buffer.concat(chunks).toString('utf8')) as unknown);
}

/** Serves a stand-in over HTTP on the loopback interface. */
export function serveStandin(port: number, handle: RequestHandler): Server {
  const server = createServer((request, response) => {
    void readBody(request)
      .then((body) => handle(request.method ?? 'GET', request.url ?? '/', body))
      .then(({ status, body }) => {
        const text = JSON.stringify(body);
        const headers = { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) };
        response.writeHead(status, headers).end(text);
      });
  });
  server.keepAliveTimeout = 120_000;
  return server.listen(port, '127.0.0.1');
}
