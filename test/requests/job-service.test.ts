import assert from 'node:assert/strict';
import { test } from 'node:test';
import { StateStoreClient } from '../../src/storage/state-store-client';
import { VirtualTime } from '../standin/clock';
import { createJobService, ONE_ZONE_TYPE, SILENT_LOG, SUBMISSION } from '../support/api-fixture';

test('submissions and questions beyond what can wait for the store are shed at once', async () => {
  const never = { call: () => new Promise<never>(() => undefined) };
  const clock = new VirtualTime().clock(() => true);
  const stateStore = new StateStoreClient(
    { transport: never, watchTransport: never, clock, log: SILENT_LOG },
    { requestRate: 1e6, writeRate: 1e6, controllers: 1 },
  );
  const jobService = createJobService(stateStore, clock, () => [ONE_ZONE_TYPE]);
  for (let n = 0; n < 300; n++) void jobService.submit({ ...SUBMISSION, ref: `job-${n}` });
  const answer = await jobService.submit({ ...SUBMISSION, ref: 'job-1000' });
  assert.equal(answer.status, 429);
  assert.ok((answer.retryAfterS ?? 0) >= 1);
  // Users ask many times as often on some days; what waits too long is answered after they have given up.
  for (let n = 0; n < 400; n++) void jobService.status(`job-${n}`);
  const asked = await jobService.status('job-1000');
  assert.equal(asked.status, 429);
  assert.ok((asked.retryAfterS ?? 0) >= 1);
  assert.equal(jobService.counters.shed, 2);
});
