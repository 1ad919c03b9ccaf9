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

// A faster answer must not be another one: whatever is asked, the plain routes and express say the same.
test('plain routes answer as the general gateway does', async () => {
  const generalPort = await api.serveExpressApp();
  const known = { ...SUBMISSION, ref: 'job-777' };
  assert.equal((await api.request('POST', '/v2/runs', JSON.stringify(known))).status, 201);
  // From now on nothing that is asked changes anything.
  assert.equal((await api.request('POST', '/v2/runs/job-777/cancel')).status, 200);
  const field = fc.constantFrom(...Object.keys(SUBMISSION));
  const changed = fc
    .tuple(field, fc.oneof(fc.jsonValue(), fc.constantFrom(1e300, -1, 2 ** 63, 'x'.repeat(300))))
    .map(([name, value]) => JSON.stringify({ ...known, [name]: value }));
  const reordered = fc
    .shuffledSubarray(Object.entries(known), { minLength: Object.keys(known).length })
    .map((entries) => JSON.stringify(Object.fromEntries(entries)));
  const doubled = field.map((name) => `{"${name}":null,${JSON.stringify(known).slice(1)}`);
  const cut = fc.nat(JSON.stringify(known).length).map((n) => JSON.stringify(known).slice(0, n));
  const body = fc.oneof(changed, reordered, doubled, cut, fc.json(), fc.constantFrom('', '\ufeff{}', ' {} '));
  const paths = [
    '/v2/runs',
    '/v2/runs/job-777',
    '/v2/runs/job-888',
    '/v2/runs/job-777/cancel/',
    '/v2/runs/x',
  ];
  const odd = [
    '/v2/runs/',
    '/V2/runs/job-777',
    '/v2/runs/job%2d777',
    '/v2/runs/job-777?a=b',
    '/v2/runs/job-888/cancel',
  ];
  const path = fc.constantFrom(...paths, ...odd, '/ready', '/hello', '/hello/', '/nothing');
  await fc.assert(
    fc.asyncProperty(fc.constantFrom('GET', 'POST'), path, body, async (method, to, text) => {
      const content = method === 'POST' ? text : undefined;
      const plain = await api.request(method, to, content);
      assert.deepEqual(plain, await api.request(method, to, content, generalPort));
    }),
    { numRuns: 150 },
  );
});
