import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RuntimeEstimator } from '../src/index';

test('estimates learn from the job first, then from its class, and state their error', () => {
  const estimator = new RuntimeEstimator();
  const of = { job: 'a', workload: 'w', expectedS: 100 };
  const before = estimator.total(of);
  assert.deepEqual(before, { meanS: 100, errorS: 50 });
  for (let i = 0; i < 40; i++) estimator.learn({ ...of, job: `other-${i}` }, 50);
  const ofClass = estimator.total(of);
  assert.ok(ofClass.meanS < 60 && ofClass.errorS < before.errorS);
  for (let i = 0; i < 40; i++) estimator.learn(of, 80 + (i % 2));
  const own = estimator.total(of);
  assert.ok(own.meanS > 72 && own.meanS < 81 && own.errorS < ofClass.errorS + 1);
  assert.ok(estimator.remainingS(of, 70, 0.5) < estimator.remainingS(of, 10, 0.5));
  assert.ok(estimator.remainingS(of, 500, 0.5) > 0, 'what has outlived its estimate is not over');
  estimator.learn(of, Number.NaN);
  estimator.learn(of, -5);
  assert.equal(estimator.total(of).meanS, own.meanS);
});
