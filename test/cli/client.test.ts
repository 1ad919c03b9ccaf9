import assert from 'node:assert/strict';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createServer, type Server } from 'node:http';
import { type AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, before, test } from 'node:test';
import { cancel, EXIT_CODES, status, submit } from '../../src/cli/client';

/** Status codes and bodies that the fake controller answers with, in order; it repeats the last one. */
const answers: [number, object][] = [];
const requests: string[] = [];
let server: Server;
let address = '';
let folder = '';

before(async () => {
  folder = mkdtempSync(join(tmpdir(), 'heathbridge-'));
  server = createServer((req, res) => {
    requests.push(`${req.method} ${req.url}`);
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

test('user commands print the result and return its exit code', async (t) => {
  const writeJobFile = (text: string): string => {
    const path = join(folder, 'job.json');
    writeFileSync(path, text);
    return path;
  };
  type CommandResult = { code: number; out: string; err: string };
  const run = async (
    command: (o: { out: (l: string) => void; err: (l: string) => void }) => Promise<number>,
  ): Promise<CommandResult> => {
    const output = { code: -1, out: '', err: '' };
    output.code = await command({
      out: (l) => (output.out += `${l}\n`),
      err: (l) => (output.err += `${l}\n`),
    });
    return output;
  };
  const options = (json = false): { server: string; json: boolean } => ({ server: address, json });
  const running = { ref: 'job-1', status: 'running', done: 3, running: 13 };
  const waitingPipeline = { ref: 'p', state: 'waiting', because: 'job-0', failed: false };
  const cases: [string, [number, object][], () => Promise<CommandResult>, number, RegExp][] = [
    [
      'status of a job',
      [[200, running]],
      () => run((o) => status('job-1', options(), o)),
      EXIT_CODES.ok,
      /^job-1: running, 3 tasks done, 13 running\n$/,
    ],
    [
      'status of a job in a pipeline',
      [[200, { ref: 'job-1', status: 'queued', done: 0, running: 0, pipeline: waitingPipeline }]],
      () => run((o) => status('job-1', options(), o)),
      EXIT_CODES.ok,
      /in p: waiting \(job-0\)/,
    ],
    [
      'status as JSON',
      [[200, running]],
      () => run((o) => status('job-1', options(true), o)),
      EXIT_CODES.ok,
      /^\{"ref":"job-1",/,
    ],
    [
      'status of an unknown job',
      [[404, { error: 'no such job' }]],
      () => run((o) => status('job-1', options(), o)),
      EXIT_CODES.refused,
      /no such job/,
    ],
    [
      'invalid job ref',
      [],
      () => run((o) => status('job', options(), o)),
      EXIT_CODES.usage,
      /looks like job-000412/,
    ],
    [
      'invalid server address',
      [],
      () => run((o) => status('job-1', { server: 'here', json: false }, o)),
      EXIT_CODES.usage,
      /--server here: /,
    ],
    [
      'unreachable server',
      [],
      () => run((o) => status('job-1', { server: '127.0.0.1:9', json: false }, o)),
      EXIT_CODES.unreachable,
      /no answer; try again later/,
    ],
    [
      'retry after a 503 answer',
      [
        [503, { error: 'no answer yet' }],
        [201, { ref: 'job-1', status: 'queued' }],
      ],
      () => run((o) => submit(writeJobFile('{"ref":"job-1"}'), options(), o)),
      EXIT_CODES.ok,
      /^job-1: queued\n$/,
    ],
    [
      'refused job',
      [[422, { error: 'unknown team x' }]],
      () => run((o) => submit(writeJobFile('{}'), options(), o)),
      EXIT_CODES.refused,
      /unknown team x/,
    ],
    [
      'job file that is not JSON',
      [],
      () => run((o) => submit(writeJobFile('{'), options(), o)),
      EXIT_CODES.usage,
      /job\.json: /,
    ],
    [
      'missing job file',
      [],
      () => run((o) => submit(join(folder, 'none'), options(), o)),
      EXIT_CODES.usage,
      /none: ENOENT/,
    ],
    [
      'cancellation',
      [[200, { ref: 'job-1', status: 'aborted' }]],
      () => run((o) => cancel('job-1', options(), o)),
      EXIT_CODES.ok,
      /^job-1: aborted\n$/,
    ],
  ];
  for (const [name, queuedAnswers, command, code, expectedOutput] of cases) {
    await t.test(name, async () => {
      answers.splice(0, answers.length, ...queuedAnswers);
      const got = await command();
      assert.equal(got.code, code, got.err);
      assert.match(code === EXIT_CODES.ok ? got.out : got.err, expectedOutput);
    });
  }
  assert.deepEqual([...new Set(requests)].sort(), [
    'GET /v2/runs/job-1',
    'POST /v2/runs',
    'POST /v2/runs/job-1/cancel',
  ]);
});
