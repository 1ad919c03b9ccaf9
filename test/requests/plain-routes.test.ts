import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import fc from 'fast-check';
import { ApiFixture, SUBMISSION } from '../support/api-fixture';

const api = new ApiFixture();
before(() => api.start());
after(() => api.close());
api.heartbeatReply = {
  kind: 'answer',
  token: 7,
  commands: [{ op: 'start', ref: 'job-1', index: 2, attempt: 3 }],
};

// Guards against plain routes that are faster but send other responses than the Express routes to the same request.
test('plain routes send the same responses as the Express routes', async () => {
  const expressPort = await api.serveExpressApp();
  const knownSubmission = { ...SUBMISSION, ref: 'job-777' };
  assert.equal((await api.request('POST', '/v2/runs', JSON.stringify(knownSubmission))).status, 201);
  // After this cancellation, no request changes any state.
  assert.equal((await api.request('POST', '/v2/runs/job-777/cancel')).status, 200);
  const field = fc.constantFrom(...Object.keys(SUBMISSION));
  const changed = fc
    .tuple(field, fc.oneof(fc.jsonValue(), fc.constantFrom(1e300, -1, 2 ** 63, 'x'.repeat(300))))
    .map(([name, value]) => JSON.stringify({ ...knownSubmission, [name]: value }));
  const reordered = fc
    .shuffledSubarray(Object.entries(knownSubmission), { minLength: Object.keys(knownSubmission).length })
    .map((entries) => JSON.stringify(Object.fromEntries(entries)));
  const duplicated = field.map((name) => `{"${name}":null,${JSON.stringify(knownSubmission).slice(1)}`);
  const truncated = fc
    .nat(JSON.stringify(knownSubmission).length)
    .map((n) => JSON.stringify(knownSubmission).slice(0, n));
  const body = fc.oneof(
    changed,
    reordered,
    duplicated,
    truncated,
    fc.json(),
    fc.constantFrom('', '\ufeff{}', ' {} '),
  );
  const paths = [
    '/v2/runs',
    '/v2/runs/job-777',
    '/v2/runs/job-888',
    '/v2/runs/job-777/cancel/',
    '/v2/runs/x',
  ];
  const unusualPaths = [
    '/v2/runs/',
    '/V2/runs/job-777',
    '/v2/runs/job%2d777',
    '/v2/runs/job-777?a=b',
    '/v2/runs/job-888/cancel',
  ];
  const path = fc.constantFrom(...paths, ...unusualPaths, '/ready', '/hello', '/hello/', '/nothing');
  await fc.assert(
    fc.asyncProperty(fc.constantFrom('GET', 'POST'), path, body, async (method, target, text) => {
      const content = method === 'POST' ? text : undefined;
      const plain = await api.request(method, target, content);
      assert.deepEqual(plain, await api.request(method, target, content, expressPort));
    }),
    { numRuns: 150 },
  );
});
