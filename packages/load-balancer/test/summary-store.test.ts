import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SummaryStore, type LoadSummary, type SummaryFault } from '../src/index';
import { summary } from './model';

const faults: [string, Partial<LoadSummary>, SummaryFault | null][] = [
  ['a newer one is taken', { sequence: 11 }, null],
  ['a repeated one is dropped', { sequence: 10 }, 'repeated'],
  ['an older one of the same owner is dropped', { sequence: 9 }, 'repeated'],
  ['one of an earlier owner is dropped', { epoch: 4, sequence: 99 }, 'old epoch'],
  ['a later owner begins anew', { epoch: 6, sequence: 1 }, null],
  ['negative work', { sequence: 11, running: [-1] }, 'absurd'],
  ['more free than there is', { sequence: 11, freeCpus: 101 }, 'absurd'],
  ['absurd work', { sequence: 11, waiting: [1e30] }, 'absurd'],
  ['a negative age', { sequence: 11, ageMs: -1 }, 'absurd'],
  ['no number', { sequence: 11, trendPerS: Number.NaN }, 'malformed'],
  ['no partition', { sequence: 11, partition: '' }, 'malformed'],
  ['a broken sequence', { sequence: 11.5 }, 'malformed'],
];

for (const [name, change, fault] of faults)
  test(`summaries: ${name}`, () => {
    const summaries = new SummaryStore(6000);
    assert.equal(summaries.record(summary(), 0), null);
    assert.equal(summaries.record(summary(change), 1000), fault);
    const counted = summaries.droppedByFault().map((d) => [d.fault, d.count]);
    assert.deepEqual(counted, fault === null ? [] : [[fault, 1]]);
    if (fault !== null)
      assert.equal(summaries.fresh('p0', 1000)?.sequence, 10, 'what is wrong changes nothing');
  });

test('summaries: one past its age decides nothing, its own age included', () => {
  const summaries = new SummaryStore(6000);
  summaries.record(summary({ ageMs: 2000 }), 0);
  assert.ok(summaries.fresh('p0', 4000));
  assert.equal(summaries.fresh('p0', 4001), null);
  assert.equal(summaries.fresh('p1', 0), null);
});
