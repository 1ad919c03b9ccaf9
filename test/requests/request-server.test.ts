import assert from 'node:assert/strict';
import { createConnection } from 'node:net';
import { after, before, test } from 'node:test';
import { ApiFixture, HEARTBEAT } from '../support/api-fixture';

const api = new ApiFixture();
before(() => api.start());
after(() => api.close());
api.heartbeatReply = {
  kind: 'answer',
  token: 7,
  commands: [{ op: 'start', ref: 'job-1', index: 2, attempt: 3 }],
};

/** Sends these pieces one after the other, and returns all that is received until the connection closes. */
function sendRaw(pieces: string[]): Promise<string> {
  return new Promise((resolve, reject) => {
    const socket = createConnection(api.port, '127.0.0.1');
    let received = '';
    socket.setNoDelay(true);
    socket.on('data', (chunk: Buffer) => (received += chunk.toString()));
    socket.on('close', () => resolve(received));
    socket.on('error', reject);
    const next = (): void => {
      const piece = pieces.shift();
      if (piece !== undefined) socket.write(piece, () => setImmediate(next));
    };
    next();
  });
}

test('heartbeats are read directly from the socket, other requests by the fallback server', async (t) => {
  const body = JSON.stringify(HEARTBEAT);
  const head = (extraHeaders = '', path = '/hello', length = body.length): string =>
    `POST ${path} HTTP/1.1\r\nHost: a\r\nContent-Length: ${length}\r\n${extraHeaders}\r\n`;
  const close = 'Connection: close\r\n';
  const chunked = `POST /hello HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n${close}\r\n`;
  const readyRequest = 'GET /ready HTTP/1.1\r\nHost: a\r\n';
  const cases: [string, string[], RegExp][] = [
    ['a heartbeat in one piece is answered', [head(close) + body], /^HTTP\/1.1 200 OK[^]*"baton":7/],
    [
      'a heartbeat in several pieces is answered',
      [head(close).slice(0, 9), head(close).slice(9) + body.slice(0, 5), body.slice(5)],
      /"baton":7/,
    ],
    [
      'two heartbeats on one connection are both answered',
      [head() + body, head(close) + body],
      /"baton":7[^]*HTTP\/1.1 200 OK[^]*"baton":7/,
    ],
    ['a heartbeat that is not JSON is rejected', [head(close, '/hello', 3) + '{{{'], /^HTTP\/1.1 400 /],
    [
      'a chunked heartbeat is answered',
      [`${chunked}${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`],
      /200 OK[^]*"baton":7/,
    ],
    [
      'a request for another path after a heartbeat is answered',
      [head() + body, `${readyRequest}${close}\r\n`],
      /"baton":7[^]*200 OK[^]*\{\}/,
    ],
    ['a first request with another method is answered', [`${readyRequest}${close}\r\n`], /^HTTP\/1.1 200 OK/],
    [
      'a heartbeat that is too large is rejected',
      [head(close, '/hello', 70_000) + 'x'.repeat(70_000)],
      /^HTTP\/1.1 400 [^]*large/,
    ],
    ['data that is not HTTP is rejected', ['hello?\r\n\r\n'], /^HTTP\/1.1 400 /],
  ];
  for (const [name, pieces, expected] of cases) {
    await t.test(name, async () => assert.match(await sendRaw(pieces), expected));
  }
});
