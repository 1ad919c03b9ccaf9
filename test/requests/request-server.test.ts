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

/** Sends these pieces one after the other and gives back all that comes. */
function sendRaw(pieces: string[]): Promise<string> {
  return new Promise((resolve, reject) => {
    const socket = createConnection(api.port, '127.0.0.1');
    let heard = '';
    socket.setNoDelay(true);
    socket.on('data', (chunk: Buffer) => (heard += chunk.toString()));
    socket.on('close', () => resolve(heard));
    socket.on('error', reject);
    const next = (): void => {
      const piece = pieces.shift();
      if (piece !== undefined) socket.write(piece, () => setImmediate(next));
    };
    next();
  });
}

test('reports are read straight from the socket, anything else by the general server', async (t) => {
  const body = JSON.stringify(HEARTBEAT);
  const head = (fields = '', path = '/hello', length = body.length): string =>
    `POST ${path} HTTP/1.1\r\nHost: a\r\nContent-Length: ${length}\r\n${fields}\r\n`;
  const close = 'Connection: close\r\n';
  const chunked = `POST /hello HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n${close}\r\n`;
  const asked = 'GET /ready HTTP/1.1\r\nHost: a\r\n';
  const cases: [string, string[], RegExp][] = [
    ['at once', [head(close) + body], /^HTTP\/1.1 200 OK[^]*"baton":7/],
    [
      'in pieces',
      [head(close).slice(0, 9), head(close).slice(9) + body.slice(0, 5), body.slice(5)],
      /"baton":7/,
    ],
    [
      'one after the other',
      [head() + body, head(close) + body],
      /"baton":7[^]*HTTP\/1.1 200 OK[^]*"baton":7/,
    ],
    ['not JSON', [head(close, '/hello', 3) + '{{{'], /^HTTP\/1.1 400 /],
    ['chunked', [`${chunked}${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`], /200 OK[^]*"baton":7/],
    ['another path after a report', [head() + body, `${asked}${close}\r\n`], /"baton":7[^]*200 OK[^]*\{\}/],
    ['another method first', [`${asked}${close}\r\n`], /^HTTP\/1.1 200 OK/],
    ['too large', [head(close, '/hello', 70_000) + 'x'.repeat(70_000)], /^HTTP\/1.1 400 [^]*large/],
    ['no HTTP at all', ['hello?\r\n\r\n'], /^HTTP\/1.1 400 /],
  ];
  for (const [name, pieces, expected] of cases) {
    await t.test(name, async () => assert.match(await sendRaw(pieces), expected));
  }
});
