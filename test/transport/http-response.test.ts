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
  read: [number, string, boolean] | null;
}[] = [
  { name: 'length', bytes: 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}', read: [200, '{}', true] },
  {
    name: 'field names in any case',
    bytes: 'HTTP/1.1 200 OK\r\ncOnTent-LENGTH:2\r\n\r\n{}',
    read: [200, '{}', true],
  },
  { name: 'no reason phrase', bytes: 'HTTP/1.1 404\r\nContent-Length: 0\r\n\r\n', read: [404, '', true] },
  {
    name: 'told to close',
    bytes: 'HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\n1',
    read: [200, '1', false],
  },
  { name: 'HTTP/1.0', bytes: 'HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\n1', read: [200, '1', false] },
  {
    name: 'HTTP/1.0 kept',
    bytes: 'HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 1\r\n\r\n1',
    read: [200, '1', true],
  },
  {
    name: 'chunks',
    bytes:
      'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\n[1\r\nA\r\n,234567890\r\n1\r\n]\r\n0\r\n\r\n',
    read: [200, '[1,234567890]', true],
  },
  {
    name: 'chunks with a trailer',
    bytes: 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n7\r\n0\r\nX-Sum: 1\r\n\r\n',
    read: [200, '7', true],
  },
  {
    name: 'up to the end',
    bytes: 'HTTP/1.1 503 X\r\n\r\n{"error":1}',
    ended: true,
    read: [503, '{"error":1}', false],
  },
  {
    name: 'an interim response first',
    bytes: 'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1',
    read: [200, '1', true],
  },
  { name: 'no content', bytes: 'HTTP/1.1 204 No Content\r\n\r\n', read: [204, '', true] },
  { name: 'cut short', bytes: 'HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{}', ended: true, read: null },
  {
    name: 'a chunk cut short',
    bytes: 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12',
    ended: true,
    read: null,
  },
  {
    name: 'a chunk without its end',
    bytes: 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n123\r\n0\r\n\r\n',
    read: null,
  },
  {
    name: 'a chunk size that is none',
    bytes: 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n',
    read: null,
  },
  {
    name: 'two lengths',
    bytes: 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n{}',
    read: null,
  },
  { name: 'a length that is none', bytes: 'HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\n{}', read: null },
  {
    name: 'a length beyond all bounds',
    bytes: 'HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n',
    read: null,
  },
  { name: 'another encoding', bytes: 'HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n', read: null },
  { name: 'not HTTP', bytes: 'hello\r\n\r\n', read: null },
  { name: 'a line that is no field', bytes: 'HTTP/1.1 200 OK\r\nnonsense\r\n\r\n', read: null },
  { name: 'an endless head', bytes: `HTTP/1.1 200 OK\r\n${'X: y\r\n'.repeat(5000)}`, read: null },
];

test('responses are read however their bytes are split', async (t) => {
  for (const { name, bytes, ended, read } of responseCases) {
    await t.test(name, () => {
      const whole = Buffer.from(bytes);
      const every = Array.from({ length: Math.min(whole.length, 400) }, (_, i) => i);
      for (const cuts of [[], every, ...every.map((i) => [i])]) {
        const reader = readAll(whole, cuts, ended === true);
        const got = reader && [reader.status, reader.body.toString('utf8'), reader.keepAlive];
        assert.deepEqual(got, read, `cut at ${cuts.join(',').slice(0, 40)}`);
      }
    });
  }
});
