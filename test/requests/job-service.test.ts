import assert from 'node:assert/strict';
import { test } from 'node:test';
import { StateStoreClient } from '../../src/storage/state-store-client';
import { VirtualTime } from '../standin/clock';
import { createJobService, ONE_ZONE_TYPE, SILENT_LOG, SUBMISSION } from '../support/api-fixture';

test('submissions and status queries are shed at once while too many of them wait for the store', async () => {
  const unansweredTransport = { call: () => new Promise<never>(() => undefined) };
  const clock = new VirtualTime().clock(() => true);
  const stateStore = new StateStoreClient(
    { transport: unansweredTransport, watchTransport: unansweredTransport, clock, log: SILENT_LOG },
    { requestRate: 1e6, writeRate: 1e6, controllers: 1 },
  );
  const jobService = createJobService(stateStore, clock, () => [ONE_ZONE_TYPE]);
  for (let n = 0; n < 300; n++) void jobService.submit({ ...SUBMISSION, ref: `job-${n}` });
  const submitted = await jobService.submit({ ...SUBMISSION, ref: 'job-1000' });
  assert.equal(submitted.status, 429);
  assert.ok((submitted.retryAfterS ?? 0) >= 1);
  // On some days users send many times the usual number of queries. One that waits too long is answered after its user gave up.
  for (let n = 0; n < 400; n++) void jobService.status(`job-${n}`);
  const queried = await jobService.status('job-1000');
  assert.equal(queried.status, 429);
  assert.ok((queried.retryAfterS ?? 0) >= 1);
  assert.equal(jobService.counters.shed, 2);
});
