import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ResponseReader } from '../../src/transport/http-response';

function readAll(bytes: Buffer, cuts: readonly number[], ended: boolean): ResponseReader | null {
  const reader = new ResponseReader();
  let from = 0;
  for (const to of [...cuts, bytes.length]) {
    const progress = reader.push(bytes.subarray(from, to));
    from = to;
    if (progress === 'complete') return reader;
    if (progress === 'malformed') return null;
  }
  return ended && reader.end() === 'complete' ? reader : null;
}

const responseCases: {
  name: string;
  bytes: string;
  ended?: boolean;
  expected: [number, string, boolean] | null;
}[] = [
  {
    name: 'body with a length',
    bytes: 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}',
    expected: [200, '{}', true],
  },
  {
    name: 'header names in any case',
    bytes: 'HTTP/1.1 200 OK\r\ncOnTent-LENGTH:2\r\n\r\n{}',
    expected: [200, '{}', true],
  },
  {
    name: 'status line without a reason phrase',
    bytes: 'HTTP/1.1 404\r\nContent-Length: 0\r\n\r\n',
    expected: [404, '', true],
  },
  {
    name: 'Connection: close',
    bytes: 'HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\n1',
    expected: [200, '1', false],
  },
  {
    name: 'HTTP/1.0 without keep-alive',
    bytes: 'HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\n1',
    expected: [200, '1', false],
  },
  {
    name: 'HTTP/1.0 with keep-alive',
    bytes: 'HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 1\r\n\r\n1',
    expected: [200, '1', true],
  },
  {
    name: 'chunked body',
    bytes:
      'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\n[1\r\nA\r\n,234567890\r\n1\r\n]\r\n0\r\n\r\n',
    expected: [200, '[1,234567890]', true],
  },
  {
    name: 'chunked body with a trailer',
    bytes: 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n7\r\n0\r\nX-Sum: 1\r\n\r\n',
    expected: [200, '7', true],
  },
  {
    name: 'body up to the end of the connection',
    bytes: 'HTTP/1.1 503 X\r\n\r\n{"error":1}',
    ended: true,
    expected: [503, '{"error":1}', false],
  },
  {
    name: 'interim response before the final one',
    bytes: 'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1',
    expected: [200, '1', true],
  },
  { name: 'status 204 without a body', bytes: 'HTTP/1.1 204 No Content\r\n\r\n', expected: [204, '', true] },
  {
    name: 'body shorter than its length',
    bytes: 'HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{}',
    ended: true,
    expected: null,
  },
  {
    name: 'truncated chunk',
    bytes: 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12',
    ended: true,
    expected: null,
  },
  {
    name: 'chunk without its line end',
    bytes: 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n123\r\n0\r\n\r\n',
    expected: null,
  },
  {
    name: 'invalid chunk size',
    bytes: 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n',
    expected: null,
  },
  {
    name: 'two different lengths',
    bytes: 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n{}',
    expected: null,
  },
  { name: 'invalid length', bytes: 'HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\n{}', expected: null },
  {
    name: 'length above the limit',
    bytes: 'HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n',
    expected: null,
  },
  {
    name: 'unsupported transfer encoding',
    bytes: 'HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n',
    expected: null,
  },
  { name: 'response that is not HTTP', bytes: 'hello\r\n\r\n', expected: null },
  { name: 'header line without a colon', bytes: 'HTTP/1.1 200 OK\r\nnonsense\r\n\r\n', expected: null },
  {
    name: 'head above the size limit',
    bytes: `HTTP/1.1 200 OK\r\n${'X: y\r\n'.repeat(5000)}`,
    expected: null,
  },
];

test('responses are parsed alike however their bytes are split', async (t) => {
  for (const { name, bytes, ended, expected } of responseCases) {
    await t.test(name, () => {
      const responseBytes = Buffer.from(bytes);
      const positions = Array.from({ length: Math.min(responseBytes.length, 400) }, (_, i) => i);
      for (const cuts of [[], positions, ...positions.map((i) => [i])]) {
        const reader = readAll(responseBytes, cuts, ended === true);
        const got = reader && [reader.status, reader.body.toString('utf8'), reader.keepAlive];
        assert.deepEqual(got, expected, `cut at ${cuts.join(',').slice(0, 40)}`);
      }
    });
  }
});
