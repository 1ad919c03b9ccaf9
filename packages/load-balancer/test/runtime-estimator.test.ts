import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RuntimeEstimator } from '../src/index';

test('estimates follow the completed tasks of the workload, then of the job, with a standard deviation', () => {
  const estimator = new RuntimeEstimator();
  const observedJob = { job: 'a', workload: 'w', expectedS: 100 };
  const before = estimator.estimateRuntime(observedJob);
  assert.deepEqual(before, { meanS: 100, stdDevS: 50 });
  for (let i = 0; i < 40; i++) estimator.learn({ ...observedJob, job: `other-${i}` }, 50);
  const afterWorkload = estimator.estimateRuntime(observedJob);
  assert.ok(afterWorkload.meanS < 60 && afterWorkload.stdDevS < before.stdDevS);
  for (let i = 0; i < 40; i++) estimator.learn(observedJob, 80 + (i % 2));
  const afterJob = estimator.estimateRuntime(observedJob);
  assert.ok(afterJob.meanS > 72 && afterJob.meanS < 81 && afterJob.stdDevS < afterWorkload.stdDevS + 1);
  assert.ok(estimator.remainingS(observedJob, 70, 0.5) < estimator.remainingS(observedJob, 10, 0.5));
  assert.ok(
    estimator.remainingS(observedJob, 500, 0.5) > 0,
    'a task that has run longer than its estimate has time remaining',
  );
  estimator.learn(observedJob, Number.NaN);
  estimator.learn(observedJob, -5);
  assert.equal(estimator.estimateRuntime(observedJob).meanS, afterJob.meanS);
});
