import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { WorkPacer } from '../../src/transport/work-pacer';

const OPTIONS = { minIntervalMs: 500, maxIntervalMs: 2500, maxTimeShare: 0.1 };

test('repeated work waits longer the more it cost, within its bounds', async (t) => {
  const cases: { name: string; costMs: number; dueAfterMs: number }[] = [
    { name: 'nothing', costMs: 0, dueAfterMs: 500 },
    { name: 'little', costMs: 20, dueAfterMs: 500 },
    { name: 'its share', costMs: 50, dueAfterMs: 500 },
    { name: 'more than its share', costMs: 120, dueAfterMs: 1200 },
    { name: 'far more', costMs: 900, dueAfterMs: 2500 },
    { name: 'a clock that went back', costMs: -10, dueAfterMs: 500 },
  ];
  for (const { name, costMs, dueAfterMs } of cases) {
    await t.test(name, () => {
      const pacer = new WorkPacer(OPTIONS);
      assert.equal(pacer.isDue(0), true, 'at first');
      pacer.record(1000, 1000 + costMs);
      assert.equal(pacer.isDue(1000 + dueAfterMs - 1), false);
      assert.equal(pacer.isDue(1000 + dueAfterMs), true);
    });
  }
});

test('whatever it costs, work takes its share of the time at most, unless the longest pause is over', () => {
  fc.assert(
    fc.property(fc.array(fc.double({ min: 0, max: 250, noNaN: true }), { minLength: 1 }), (costs) => {
      const pacer = new WorkPacer(OPTIONS);
      let now = 0;
      let worked = 0;
      for (const cost of costs) {
        while (!pacer.isDue(now)) now += 1;
        pacer.record(now, now + cost);
        worked += cost;
        now += cost;
      }
      while (!pacer.isDue(now)) now += 1;
      assert.ok(worked <= OPTIONS.maxTimeShare * now + 1e-6, `${worked} of ${now} ms`);
    }),
  );
});
