import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { WorkPacer } from '../../src/transport/work-pacer';

const OPTIONS = { minIntervalMs: 500, maxIntervalMs: 2500, maxTimeShare: 0.1 };

test('the interval grows with the time that the work took, within its bounds', async (t) => {
  const cases: { name: string; costMs: number; dueAfterMs: number }[] = [
    { name: 'no time', costMs: 0, dueAfterMs: 500 },
    { name: 'little time', costMs: 20, dueAfterMs: 500 },
    { name: 'its share', costMs: 50, dueAfterMs: 500 },
    { name: 'more than its share', costMs: 120, dueAfterMs: 1200 },
    { name: 'far more than its share', costMs: 900, dueAfterMs: 2500 },
    { name: 'a clock that went backwards', costMs: -10, dueAfterMs: 500 },
  ];
  for (const { name, costMs, dueAfterMs } of cases) {
    await t.test(name, () => {
      const pacer = new WorkPacer(OPTIONS);
      assert.equal(pacer.isDue(0), true, 'due before the first record');
      pacer.record(1000, 1000 + costMs);
      assert.equal(pacer.isDue(1000 + dueAfterMs - 1), false);
      assert.equal(pacer.isDue(1000 + dueAfterMs), true);
    });
  }
});

test('work takes at most its share of the time, unless the longest interval ends first', () => {
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
