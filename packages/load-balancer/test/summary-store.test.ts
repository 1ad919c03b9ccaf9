import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SummaryStore, type LoadSummary, type SummaryFault } from '../src/index';
import { summary } from './model';

const cases: [string, Partial<LoadSummary>, SummaryFault | null][] = [
  ['a newer summary is stored', { sequence: 11 }, null],
  ['a repeated summary is dropped', { sequence: 10 }, 'repeated'],
  ['an older summary of the same owner is dropped', { sequence: 9 }, 'repeated'],
  ['a summary of an earlier owner is dropped', { epoch: 4, sequence: 99 }, 'old epoch'],
  ['a later owner may restart the sequence', { epoch: 6, sequence: 1 }, null],
  ['a summary with negative work is dropped', { sequence: 11, running: [-1] }, 'absurd'],
  ['a summary with more free CPUs than CPUs is dropped', { sequence: 11, freeCpus: 101 }, 'absurd'],
  ['a summary with an implausible amount of work is dropped', { sequence: 11, waiting: [1e30] }, 'absurd'],
  ['a summary with a negative age is dropped', { sequence: 11, ageMs: -1 }, 'absurd'],
  ['a summary whose trend is not a number is dropped', { sequence: 11, trendPerS: Number.NaN }, 'malformed'],
  ['a summary with an empty partition name is dropped', { sequence: 11, partition: '' }, 'malformed'],
  ['a summary with a fractional sequence number is dropped', { sequence: 11.5 }, 'malformed'],
];

for (const [name, overrides, fault] of cases)
  test(`summaries: ${name}`, () => {
    const summaries = new SummaryStore(6000);
    assert.equal(summaries.record(summary(), 0), null);
    assert.equal(summaries.record(summary(overrides), 1000), fault);
    const dropped = summaries.droppedByFault().map((d) => [d.fault, d.count]);
    assert.deepEqual(dropped, fault === null ? [] : [[fault, 1]]);
    if (fault !== null)
      assert.equal(
        summaries.fresh('p0', 1000)?.sequence,
        10,
        'a dropped summary leaves the stored one unchanged',
      );
  });

test('summaries: a summary is not fresh past the maximum age, which includes its age when sent', () => {
  const summaries = new SummaryStore(6000);
  summaries.record(summary({ ageMs: 2000 }), 0);
  assert.ok(summaries.fresh('p0', 4000));
  assert.equal(summaries.fresh('p0', 4001), null);
  assert.equal(summaries.fresh('p1', 0), null);
});
