import assert from 'node:assert/strict';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createServer, type Server } from 'node:http';
import { type AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, before, test } from 'node:test';
import { cancel, EXIT_CODES, status, submit } from '../../src/cli/client';

/** A controller that answers each request with what is in line for it, the last one for ever. */
const answers: [number, object][] = [];
const asked: string[] = [];
let server: Server;
let address = '';
let folder = '';

before(async () => {
  folder = mkdtempSync(join(tmpdir(), 'heathbridge-'));
  server = createServer((req, res) => {
    asked.push(`${req.method} ${req.url}`);
    const [code, body] = (answers.length > 1 ? answers.shift() : answers[0]) ?? [500, {}];
    req.resume();
    req.on('end', () =>
      res.writeHead(code, { 'content-type': 'application/json' }).end(JSON.stringify(body)),
    );
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
});

after(() => {
  server.close();
  rmSync(folder, { recursive: true });
});

test('commands for people', async (t) => {
  const file = (text: string): string => {
    const path = join(folder, 'job.json');
    writeFileSync(path, text);
    return path;
  };
  type Said = { code: number; out: string; err: string };
  const run = async (
    act: (o: { out: (l: string) => void; err: (l: string) => void }) => Promise<number>,
  ): Promise<Said> => {
    const output = { code: -1, out: '', err: '' };
    output.code = await act({ out: (l) => (output.out += `${l}\n`), err: (l) => (output.err += `${l}\n`) });
    return output;
  };
  const options = (json = false): { server: string; json: boolean } => ({ server: address, json });
  const running = { ref: 'job-1', status: 'running', done: 3, running: 13 };
  const held = { ref: 'p', state: 'waiting', because: 'job-0', failed: false };
  const cases: [string, [number, object][], () => Promise<Said>, number, RegExp][] = [
    [
      'a status',
      [[200, running]],
      () => run((o) => status('job-1', options(), o)),
      EXIT_CODES.ok,
      /^job-1: running, 3 tasks done, 13 running\n$/,
    ],
    [
      'in a pipeline',
      [[200, { ref: 'job-1', status: 'queued', done: 0, running: 0, pipeline: held }]],
      () => run((o) => status('job-1', options(), o)),
      EXIT_CODES.ok,
      /in p: waiting \(job-0\)/,
    ],
    [
      'as JSON',
      [[200, running]],
      () => run((o) => status('job-1', options(true), o)),
      EXIT_CODES.ok,
      /^\{"ref":"job-1",/,
    ],
    [
      'a job nobody knows',
      [[404, { error: 'no such job' }]],
      () => run((o) => status('job-1', options(), o)),
      EXIT_CODES.refused,
      /no such job/,
    ],
    [
      'no job at all',
      [],
      () => run((o) => status('job', options(), o)),
      EXIT_CODES.usage,
      /looks like job-000412/,
    ],
    [
      'a bad address',
      [],
      () => run((o) => status('job-1', { server: 'here', json: false }, o)),
      EXIT_CODES.usage,
      /--server here: /,
    ],
    [
      'nobody there',
      [],
      () => run((o) => status('job-1', { server: '127.0.0.1:9', json: false }, o)),
      EXIT_CODES.unreachable,
      /no answer; try again later/,
    ],
    [
      'an answer after a busy one',
      [
        [503, { error: 'no answer yet' }],
        [201, { ref: 'job-1', status: 'queued' }],
      ],
      () => run((o) => submit(file('{"ref":"job-1"}'), options(), o)),
      EXIT_CODES.ok,
      /^job-1: queued\n$/,
    ],
    [
      'a refused job',
      [[422, { error: 'unknown team x' }]],
      () => run((o) => submit(file('{}'), options(), o)),
      EXIT_CODES.refused,
      /unknown team x/,
    ],
    [
      'a file that is no JSON',
      [],
      () => run((o) => submit(file('{'), options(), o)),
      EXIT_CODES.usage,
      /job\.json: /,
    ],
    [
      'no file',
      [],
      () => run((o) => submit(join(folder, 'none'), options(), o)),
      EXIT_CODES.usage,
      /none: ENOENT/,
    ],
    [
      'a cancellation',
      [[200, { ref: 'job-1', status: 'aborted' }]],
      () => run((o) => cancel('job-1', options(), o)),
      EXIT_CODES.ok,
      /^job-1: aborted\n$/,
    ],
  ];
  for (const [name, line, act, code, output] of cases) {
    await t.test(name, async () => {
      answers.splice(0, answers.length, ...line);
      const got = await act();
      assert.equal(got.code, code, got.err);
      assert.match(code === EXIT_CODES.ok ? got.out : got.err, output);
    });
  }
  assert.deepEqual([...new Set(asked)].sort(), [
    'GET /v2/runs/job-1',
    'POST /v2/runs',
    'POST /v2/runs/job-1/cancel',
  ]);
});
