import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RuntimeEstimator } from '../src/index';

test('estimates learn from the job first, then from its class, and state their error', () => {
  const estimator = new RuntimeEstimator();
  const of = { job: 'a', workload: 'w', expectedS: 100 };
  const before = estimator.estimateRuntime(of);
  assert.deepEqual(before, { meanS: 100, stdDevS: 50 });
  for (let i = 0; i < 40; i++) estimator.learn({ ...of, job: `other-${i}` }, 50);
  const ofClass = estimator.estimateRuntime(of);
  assert.ok(ofClass.meanS < 60 && ofClass.stdDevS < before.stdDevS);
  for (let i = 0; i < 40; i++) estimator.learn(of, 80 + (i % 2));
  const own = estimator.estimateRuntime(of);
  assert.ok(own.meanS > 72 && own.meanS < 81 && own.stdDevS < ofClass.stdDevS + 1);
  assert.ok(estimator.remainingS(of, 70, 0.5) < estimator.remainingS(of, 10, 0.5));
  assert.ok(estimator.remainingS(of, 500, 0.5) > 0, 'what has outlived its estimate is not over');
  estimator.learn(of, Number.NaN);
  estimator.learn(of, -5);
  assert.equal(estimator.estimateRuntime(of).meanS, own.meanS);
});
