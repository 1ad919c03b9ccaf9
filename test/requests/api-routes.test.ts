import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { MAX_LINE_BYTES } from '../../src/protocol/message-limits';
import { ApiFixture, HEARTBEAT, ONE_ZONE_TYPE, SUBMISSION } from '../support/api-fixture';

const api = new ApiFixture();
before(() => api.start());
after(() => api.close());

const submission = (change: object): [string, string, string] => [
  'POST',
  '/v2/runs',
  JSON.stringify({ ...SUBMISSION, ...change }),
];

const linkedSubmission = (
  ref: string,
  pipeline: string,
  job: string,
  type = 'begin_on_commit',
): [string, string, string] => submission({ ref, pipeline: { ref: pipeline, after: [{ job, type }] } });
const tooManyModels = ['small', ...Array.from({ length: 500 }, (_, i) => `type-${i}`)];

test('requests of users and workers get the status and body that the HTTP API specifies', async (t) => {
  const cases: [string, [string, string, string?], number, RegExp | null, (() => void)?][] = [
    ['a submission that is not JSON is rejected', ['POST', '/v2/runs', '{'], 400, /error/],
    ['a submission without a body is rejected', ['POST', '/v2/runs', ''], 400, /error/],
    [
      'a submission that is not an object is rejected',
      ['POST', '/v2/runs', '"job"'],
      400,
      /not a JSON object/,
    ],
    ['a submission of more than 64 KiB is rejected', submission({ build: 'x'.repeat(70_000) }), 400, /large/],
    ['a negative resource amount is rejected', submission({ cpus: -1 }), 400, /cpus/],
    [
      'a submission for an unknown team is rejected',
      submission({ crew: 'nobody' }),
      422,
      /unknown team nobody/,
    ],
    [
      'a task that fits no machine type is rejected',
      submission({ memory_gb: 64 }),
      422,
      /no allowed machine type/,
    ],
    ["a task over its team's limit is rejected", submission({ cpus: 9 }), 422, /limit/],
    [
      'a submission before machine types are known is to be retried',
      submission({}),
      503,
      /machine types/,
      () => (api.machineTypes = []),
    ],
    [
      'a status query for a job that was never submitted finds no job',
      ['GET', '/v2/runs/job-000412'],
      404,
      /no such job/,
      () => (api.machineTypes = [ONE_ZONE_TYPE]),
    ],
    ['a status query with a malformed job ref finds no job', ['GET', '/v2/runs/x'], 404, /no such job/],
    [
      'a submission while the store rejects all requests is to be retried',
      submission({}),
      503,
      /durable/,
      () => (api.storeRefuses = true),
    ],
    [
      'a status query while the store rejects all requests is to be retried',
      ['GET', '/v2/runs/job-000412'],
      503,
      /no answer yet/,
    ],
    ['a valid submission is accepted', submission({}), 201, /queued/, () => (api.storeRefuses = false)],
    ['a repeated submission returns the status of the job', submission({}), 200, /queued/],
    [
      'a repeated submission returns the status even if its team is unknown now',
      submission({ crew: 'gone' }),
      200,
      /queued/,
    ],
    ['a status query for an open job returns its status', ['GET', '/v2/runs/job-000412'], 200, /queued/],
    ['a cancellation aborts the job', ['POST', '/v2/runs/job-000412/cancel'], 200, /aborted/],
    [
      'a repeated cancellation returns the same status',
      ['POST', '/v2/runs/job-000412/cancel'],
      200,
      /aborted/,
    ],
    ['a submission of a cancelled job returns its status', submission({}), 200, /aborted/],
    [
      'an edge of an unknown type is rejected',
      linkedSubmission('job-5', 'p', 'job-10', 'maybe'),
      400,
      /type/,
    ],
    [
      'an edge to an unknown job is rejected',
      linkedSubmission('job-5', 'p', 'job-10'),
      422,
      /job-10 is not known/,
    ],
    [
      'an edge from a job to itself is rejected',
      linkedSubmission('job-5', 'p', 'job-5'),
      422,
      /hangs on itself/,
    ],
    [
      'the first job of a pipeline is accepted',
      submission({ ref: 'job-10', pipeline: { ref: 'p' } }),
      201,
      /queued/,
    ],
    ['a job that waits for the first is accepted', linkedSubmission('job-11', 'p', 'job-10'), 201, /queued/],
    [
      'a repeated submission of the waiting job returns its pipeline state',
      linkedSubmission('job-11', 'p', 'job-10'),
      200,
      /"state":"waiting"/,
    ],
    [
      'a status query for the waiting job names the job that it waits for',
      ['GET', '/v2/runs/job-11'],
      200,
      /"ref":"p","state":"waiting","because":"job-10"/,
    ],
    [
      'an edge into another pipeline is rejected',
      linkedSubmission('job-12', 'q', 'job-10'),
      422,
      /not of this pipeline/,
    ],
    ['a cancellation of the first job aborts it', ['POST', '/v2/runs/job-10/cancel'], 200, /"aborted"/],
    [
      'the waiting job then stays queued, and its pipeline has failed',
      ['GET', '/v2/runs/job-11'],
      200,
      /queued.*"failed":true/,
    ],
    [
      'a submission that does not fit into a stored value is rejected',
      submission({ ref: 'job-6', models: tooManyModels }),
      400,
      /too large/,
    ],
    [
      'a cancellation of a job that was never submitted finds no job',
      ['POST', '/v2/runs/job-9/cancel'],
      404,
      /no such job/,
    ],
    ['a malformed heartbeat is rejected', ['POST', '/hello', '{}'], 400, /report/],
    [
      'a heartbeat that cannot be answered now is to be retried',
      ['POST', '/hello', JSON.stringify(HEARTBEAT)],
      503,
      null,
    ],
    [
      'a heartbeat of a machine that another controller owns is redirected',
      ['POST', '/hello', JSON.stringify(HEARTBEAT)],
      421,
      /"dispatcher":"velodrome-2"/,
      () => (api.heartbeatReply = { kind: 'redirect', owner: 'velodrome-2' }),
    ],
    [
      'a heartbeat of a machine that this controller owns is answered with commands',
      ['POST', '/hello', JSON.stringify(HEARTBEAT)],
      200,
      /"baton":7,"orders":\[\{"order":"start","piece":"job-1\/2","try":3\}\]/,
      () =>
        (api.heartbeatReply = {
          kind: 'answer',
          token: 7,
          commands: [{ op: 'start', ref: 'job-1', index: 2, attempt: 3 }],
        }),
    ],
    ['a readiness check of a ready controller succeeds', ['GET', '/ready'], 200, null],
    ['an unknown path is not found', ['GET', '/other'], 404, /no such path/],
  ];
  for (const [name, [method, path, body], status, expectedBody, prepare] of cases) {
    await t.test(name, async () => {
      prepare?.();
      const response = await api.request(method, path, body);
      assert.equal(response.status, status, JSON.stringify(response.body));
      if (expectedBody) assert.match(JSON.stringify(response.body), expectedBody);
      if (status === 503 && path.startsWith('/v2')) assert.equal(response.retryAfter, '1');
    });
  }
});

// Guards against a line above 64 KiB in a response: GET /status has entries for each partition, each unserved team and each task move.
test('no line of the status is too long, however many partitions and teams there are', async () => {
  const partitions = Array.from({ length: 1000 }, (_, i) => ({
    partition: `p${i}`,
    machines: 1,
    unconfirmed: 0,
  }));
  api.statusBody = {
    unservedTeams: Array.from({ length: 1000 }, (_, i) => `${i}`.padEnd(200, 't')),
    partitions,
  };
  const response = await fetch(`http://127.0.0.1:${api.port}/status`);
  const text = await response.text();
  assert.match(response.headers.get('content-type') ?? '', /^application\/json/);
  assert.deepEqual(JSON.parse(text), api.statusBody);
  assert.ok(Math.max(...text.split('\n').map((line) => Buffer.byteLength(line))) <= MAX_LINE_BYTES);
});
