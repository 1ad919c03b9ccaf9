import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SubmissionBatcher } from '../../src/storage/submission-batcher';
import { type StoreLimits } from '../standin/transaction-limits';
import { jobSpec } from '../support/job-spec';
import { StoreFixture, valueLimits } from '../support/store-fixture';

/** The limits of the largest deployments. */
const LARGE_VALUES: StoreLimits = { valueKb: 32, txnOps: 24 };

// Guards against submissions that are collected while a write waits, and together exceed the limit of a transaction: all of them
// were answered 503.
test('hundreds of submissions at once are accepted within the limit of a transaction', async () => {
  const fixture = new StoreFixture(LARGE_VALUES);
  await fixture.run(1000);
  const { stateStore, replica, clock } = fixture;
  const batcher = new SubmissionBatcher(
    { stateStore, replica, clock },
    { ...valueLimits(LARGE_VALUES), processIncarnation: 'a-1' },
  );
  const results: string[] = [];
  const acceptedAt = new Date(0).toISOString();
  for (let i = 0; i < 800; i++)
    void batcher.submit({ spec: jobSpec(`job-${i}`), acceptedAt }).then((result) => results.push(result));
  await fixture.run(10_000);
  assert.deepEqual(fixture.rejections, []);
  assert.deepEqual(new Set(results), new Set(['accepted']));
  assert.equal(results.length, 800);
});
