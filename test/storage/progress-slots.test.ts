import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type JobProgress } from '../../src/protocol/records';
import { ProgressSlots } from '../../src/storage/progress-slots';

test('progress keeps its place, fits, and is written only where it differs', () => {
  const at = (doneRanges: string, startWatermark: number): JobProgress => ({
    doneRanges,
    doneCount: 0,
    runningCount: 0,
    startWatermark,
  });
  const slots = new ProgressSlots(512);
  const three = new Map(['job-1', 'job-2', 'job-3'].map((ref) => [ref, at('0-3', 8)]));
  const first = slots.changedValues(three);
  assert.deepEqual(
    first.map((v) => [v.slot, ...v.jobs.keys()]),
    [
      [0, 'job-1', 'job-2'],
      [1, 'job-3'],
    ],
  );
  for (const value of first) slots.markWritten(value);
  slots.release('job-1');
  three.delete('job-1');
  assert.deepEqual(
    slots.changedValues(three).map((v) => [v.slot, ...v.jobs.keys()]),
    [[0, 'job-2']],
    'job-3 stays where it is',
  );
  const long = Array.from({ length: 200 }, (_, i) => `${2 * i}`).join(',');
  const [cut] = slots.changedValues(new Map([['job-2', at(long, 399)]]));
  assert.ok((cut?.text.length ?? 0) <= 512);
  assert.equal(cut?.jobs.get('job-2')?.startWatermark, 399);
  assert.match(cut?.jobs.get('job-2')?.doneRanges ?? '', /^0,2,4(,[0-9]+)*$/);
});
