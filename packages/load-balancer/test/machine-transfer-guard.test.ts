import assert from 'node:assert/strict';
import { test } from 'node:test';
import { balancerSettingsSchema, MachineTransferGuard, SummaryStore } from '../src/index';
import { summary } from './model';

const transfer = { machine: 'm', fromPartition: 'p0', toPartition: 'p1', drain: true };
const busy = summary({ partition: 'p1', waiting: [0, 0, 0, 5000] });
const cases: [string, (guard: MachineTransferGuard, summaries: SummaryStore) => void][] = [
  [
    'a machine moves to the partition whose work would take much longer, and returns only after the residence time',
    (guard, summaries) => {
      summaries.record(summary(), 0);
      summaries.record(busy, 0);
      assert.equal(guard.review(transfer, 0, 100, 0).allowed, true);
      const back = { ...transfer, fromPartition: 'p1', toPartition: 'p0', drain: false };
      assert.equal(guard.review(back, 10_000, 100, 0).reason, 'moved back too soon');
      assert.equal(guard.review(back, 31_000, 100, 0).allowed, true);
    },
  ],
  [
    'a transfer is refused if the difference is small',
    (guard, summaries) => {
      summaries.record(summary(), 0);
      summaries.record(summary({ partition: 'p1', waiting: [0, 0, 0, 300] }), 0);
      assert.equal(guard.review(transfer, 0, 100, 0).reason, 'the difference is too small');
    },
  ],
  [
    'a transfer from a partition whose load grows is refused',
    (guard, summaries) => {
      summaries.record(summary({ trendPerS: 200 }), 0);
      summaries.record(busy, 0);
      assert.equal(guard.review(transfer, 0, 100, 0).allowed, false);
    },
  ],
  [
    'a drain is refused without fresh summaries of both partitions',
    (guard, summaries) => {
      summaries.record(summary(), 0);
      assert.equal(guard.review(transfer, 0, 100, 0).reason, 'no fresh summary');
      summaries.record(busy, 0);
      assert.equal(guard.review(transfer, 7000, 100, 0).reason, 'no fresh summary');
    },
  ],
  [
    'the settings limit how many drains are in progress and how many begin in a minute',
    (guard, summaries) => {
      const reviewDrain = (now: number, i: number, draining: number): boolean => {
        summaries.record(summary({ sequence: 10 + now + i }), now);
        summaries.record(summary({ partition: 'p1', waiting: [0, 0, 0, 5000], sequence: 10 + now + i }), now);
        return guard.review({ ...transfer, machine: `m${now}-${i}` }, now, 20, draining).allowed;
      };
      assert.equal(reviewDrain(0, 0, 4), false, 'four drains are in progress');
      const allowed = Array.from({ length: 20 }, (_, i) => reviewDrain(1, i, 0)).filter(Boolean).length;
      assert.equal(allowed, 8);
      assert.equal(reviewDrain(62_000, 0, 0), true, 'a drain is allowed again a minute later');
    },
  ],
];

for (const [name, run] of cases)
  test(`machine transfers: ${name}`, () => {
    const settings = balancerSettingsSchema.parse({});
    const summaries = new SummaryStore(settings.summary_max_age_s * 1000);
    run(new MachineTransferGuard(settings, summaries), summaries);
  });

// Guards against memory that grows with every machine that is transferred, for as long as the process runs.
test('only transfers within the residence time are remembered', () => {
  const settings = balancerSettingsSchema.parse({ min_residence_s: 30 });
  const guard = new MachineTransferGuard(settings, new SummaryStore(5000));
  let most = 0;
  for (let i = 0; i < 20_000; i++) {
    const now = i * 100;
    assert.equal(guard.review({ ...transfer, machine: `m${i}`, drain: false }, now, 100, 0).allowed, true);
    const back = { ...transfer, machine: `m${i}`, fromPartition: 'p1', toPartition: 'p0', drain: false };
    assert.equal(guard.review(back, now, 100, 0).reason, 'moved back too soon');
    most = Math.max(most, guard.rememberedTransfers);
  }
  assert.ok(most <= 300, `${most} transfers`);
});
