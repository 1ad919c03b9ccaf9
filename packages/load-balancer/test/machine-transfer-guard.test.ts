import assert from 'node:assert/strict';
import { test } from 'node:test';
import { balancerSettingsSchema, MachineTransferGuard, SummaryStore } from '../src/index';
import { summary } from './model';

const move = { machine: 'm', fromPartition: 'p0', toPartition: 'p1', drain: true };
const busy = summary({ partition: 'p1', waiting: [0, 0, 0, 5000] });
const guards: [string, (guard: MachineTransferGuard, summaries: SummaryStore) => void][] = [
  [
    'a machine goes where work would take much longer, and not back at once',
    (guard, summaries) => {
      summaries.record(summary(), 0);
      summaries.record(busy, 0);
      assert.equal(guard.review(move, 0, 100, 0).allowed, true);
      const back = { ...move, fromPartition: 'p1', toPartition: 'p0', drain: false };
      assert.equal(guard.review(back, 10_000, 100, 0).reason, 'moved back too soon');
      assert.equal(guard.review(back, 31_000, 100, 0).allowed, true);
    },
  ],
  [
    'a small difference moves nothing',
    (guard, summaries) => {
      summaries.record(summary(), 0);
      summaries.record(summary({ partition: 'p1', waiting: [0, 0, 0, 300] }), 0);
      assert.equal(guard.review(move, 0, 100, 0).reason, 'the difference is too small');
    },
  ],
  [
    'a donor whose load grows keeps its machines',
    (guard, summaries) => {
      summaries.record(summary({ trendPerS: 200 }), 0);
      summaries.record(busy, 0);
      assert.equal(guard.review(move, 0, 100, 0).allowed, false);
    },
  ],
  [
    'without a fresh summary of both nothing is emptied',
    (guard, summaries) => {
      summaries.record(summary(), 0);
      assert.equal(guard.review(move, 0, 100, 0).reason, 'no fresh summary');
      summaries.record(busy, 0);
      assert.equal(guard.review(move, 7000, 100, 0).reason, 'no fresh summary');
    },
  ],
  [
    'no more are emptied at once, and in a minute, than the settings allow',
    (guard, summaries) => {
      const at = (now: number, i: number, draining: number): boolean => {
        summaries.record(summary({ sequence: 10 + now + i }), now);
        summaries.record(summary({ partition: 'p1', waiting: [0, 0, 0, 5000], sequence: 10 + now + i }), now);
        return guard.review({ ...move, machine: `m${now}-${i}` }, now, 20, draining).allowed;
      };
      assert.equal(at(0, 0, 4), false, 'four are under way');
      const allowed = Array.from({ length: 20 }, (_, i) => at(1, i, 0)).filter(Boolean).length;
      assert.equal(allowed, 8);
      assert.equal(at(62_000, 0, 0), true, 'a minute later');
    },
  ],
];

for (const [name, act] of guards)
  test(`machine moves: ${name}`, () => {
    const settings = balancerSettingsSchema.parse({});
    const summaries = new SummaryStore(settings.summary_max_age_s * 1000);
    act(new MachineTransferGuard(settings, summaries), summaries);
  });
