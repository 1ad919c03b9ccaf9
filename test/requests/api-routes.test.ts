import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { ApiFixture, HEARTBEAT, ONE_ZONE_TYPE, SUBMISSION } from '../support/api-fixture';

const api = new ApiFixture();
before(() => api.start());
after(() => api.close());

const post = (change: object): [string, string, string] => [
  'POST',
  '/v2/runs',
  JSON.stringify({ ...SUBMISSION, ...change }),
];

const linked = (
  ref: string,
  pipeline: string,
  job: string,
  type = 'begin_on_commit',
): [string, string, string] => post({ ref, pipeline: { ref: pipeline, after: [{ job, type }] } });
const many = ['small', ...Array.from({ length: 500 }, (_, i) => `type-${i}`)];

test('what users and workers are answered', async (t) => {
  const cases: [string, [string, string, string?], number, RegExp | null, (() => void)?][] = [
    ['not JSON', ['POST', '/v2/runs', '{'], 400, /error/],
    ['no body', ['POST', '/v2/runs', ''], 400, /error/],
    ['not an object', ['POST', '/v2/runs', '"job"'], 400, /not a JSON object/],
    ['over 64 KiB', post({ build: 'x'.repeat(70_000) }), 400, /large/],
    ['a negative amount', post({ cpus: -1 }), 400, /cpus/],
    ['an unknown team', post({ crew: 'nobody' }), 422, /unknown team nobody/],
    ['a task that fits nowhere', post({ memory_gb: 64 }), 422, /no allowed machine type/],
    ["a task over its team's limit", post({ cpus: 9 }), 422, /limit/],
    ['machine types not known yet', post({}), 503, /machine types/, () => (api.machineTypes = [])],
    [
      'a job nobody submitted',
      ['GET', '/v2/runs/job-000412'],
      404,
      /no such job/,
      () => (api.machineTypes = [ONE_ZONE_TYPE]),
    ],
    ['a job of no form', ['GET', '/v2/runs/x'], 404, /no such job/],
    ['the store is closed', post({}), 503, /durable/, () => (api.storeRefuses = true)],
    ['asked while it is', ['GET', '/v2/runs/job-000412'], 503, /no answer yet/],
    ['accepted', post({}), 201, /queued/, () => (api.storeRefuses = false)],
    ['submitted again', post({}), 200, /queued/],
    ['known for ever, whatever its team looks like by now', post({ crew: 'gone' }), 200, /queued/],
    ['asked', ['GET', '/v2/runs/job-000412'], 200, /queued/],
    ['cancelled', ['POST', '/v2/runs/job-000412/cancel'], 200, /aborted/],
    ['cancelled again', ['POST', '/v2/runs/job-000412/cancel'], 200, /aborted/],
    ['submitted after that', post({}), 200, /aborted/],
    ['an edge of an unknown type', linked('job-5', 'p', 'job-10', 'maybe'), 400, /type/],
    ['an edge to a job nobody knows', linked('job-5', 'p', 'job-10'), 422, /job-10 is not known/],
    ['an edge to itself', linked('job-5', 'p', 'job-5'), 422, /hangs on itself/],
    ['the first of a pipeline', post({ ref: 'job-10', pipeline: { ref: 'p' } }), 201, /queued/],
    ['one that waits for it', linked('job-11', 'p', 'job-10'), 201, /queued/],
    ['that submitted again', linked('job-11', 'p', 'job-10'), 200, /"state":"waiting"/],
    ['that asked', ['GET', '/v2/runs/job-11'], 200, /"ref":"p","state":"waiting","because":"job-10"/],
    ['an edge into another pipeline', linked('job-12', 'q', 'job-10'), 422, /not of this pipeline/],
    ['what it waits for cancelled', ['POST', '/v2/runs/job-10/cancel'], 200, /"aborted"/],
    [
      'then it waits for ever, and its pipeline has failed',
      ['GET', '/v2/runs/job-11'],
      200,
      /queued.*"failed":true/,
    ],
    ['a description too large to be kept', post({ ref: 'job-6', models: many }), 400, /too large/],
    ['cancelling a job nobody submitted', ['POST', '/v2/runs/job-9/cancel'], 404, /no such job/],
    ['a malformed report', ['POST', '/hello', '{}'], 400, /report/],
    ['a report when nothing can be said', ['POST', '/hello', JSON.stringify(HEARTBEAT)], 503, null],
    [
      'a report of a machine of another controller',
      ['POST', '/hello', JSON.stringify(HEARTBEAT)],
      421,
      /"dispatcher":"velodrome-2"/,
      () => (api.heartbeatReply = { kind: 'redirect', owner: 'velodrome-2' }),
    ],
    [
      'a report of our machine',
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
    ['health', ['GET', '/ready'], 200, null],
    ['an unknown path', ['GET', '/other'], 404, /no such path/],
  ];
  for (const [name, [method, path, body], status, shown, prepare] of cases) {
    await t.test(name, async () => {
      prepare?.();
      const got = await api.request(method, path, body);
      assert.equal(got.status, status, JSON.stringify(got.body));
      if (shown) assert.match(JSON.stringify(got.body), shown);
      if (status === 503 && path.startsWith('/v2')) assert.equal(got.retryAfter, '1');
    });
  }
});
