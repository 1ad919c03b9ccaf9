import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MAX_CLOCK_DRIFT_RATIO } from '../../src/transport/clock';
import { refreshIntervalMs, maxStalenessMs } from '../../src/coordination/membership/staleness-bound';

test('the staleness bound lets tasks stop within the cancellation deadline of the settings', async (t) => {
  for (const [workerLeaseMs, cancellationDeadlineMs] of [
    [12_000, 37_000],
    [19_000, 49_000],
    [15_250, 40_250],
    [60_000, 70_000],
  ] as const) {
    await t.test(`lease ${workerLeaseMs} ms, cancellation deadline ${cancellationDeadlineMs} ms`, () => {
      const staleMs = maxStalenessMs(workerLeaseMs, cancellationDeadlineMs);
      assert.ok(staleMs > 0 && refreshIntervalMs(staleMs) < staleMs / 4);
      // The owner's clock and the worker's may both run slow compared with the user's.
      assert.ok((staleMs + workerLeaseMs) * (1 + 2 * MAX_CLOCK_DRIFT_RATIO) + 1000 < cancellationDeadlineMs);
    });
  }
  await t.test('settings that leave no time give the minimum bound of 1 s', () =>
    assert.equal(maxStalenessMs(30_000, 20_000), 1000),
  );
});
