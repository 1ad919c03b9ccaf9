import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type JobProgress } from '../../src/protocol/records';
import { ProgressSlots } from '../../src/storage/progress-slots';

test('progress keeps its slot, fits into a value, and is written only if it changed', () => {
  const progress = (doneRanges: string, startWatermark: number): JobProgress => ({
    doneRanges,
    doneCount: 0,
    runningCount: 0,
    startWatermark,
  });
  const slots = new ProgressSlots(512);
  const jobs = new Map(['job-1', 'job-2', 'job-3'].map((ref) => [ref, progress('0-3', 8)]));
  const changed = slots.changedValues(jobs);
  assert.deepEqual(
    changed.map((v) => [v.slot, ...v.jobs.keys()]),
    [
      [0, 'job-1', 'job-2'],
      [1, 'job-3'],
    ],
  );
  for (const value of changed) slots.markWritten(value);
  slots.release('job-1');
  jobs.delete('job-1');
  assert.deepEqual(
    slots.changedValues(jobs).map((v) => [v.slot, ...v.jobs.keys()]),
    [[0, 'job-2']],
    'job-3 keeps its slot',
  );
  const longRanges = Array.from({ length: 200 }, (_, i) => `${2 * i}`).join(',');
  const [truncated] = slots.changedValues(new Map([['job-2', progress(longRanges, 399)]]));
  assert.ok((truncated?.text.length ?? 0) <= 512);
  assert.equal(truncated?.jobs.get('job-2')?.startWatermark, 399);
  assert.match(truncated?.jobs.get('job-2')?.doneRanges ?? '', /^0,2,4(,[0-9]+)*$/);
});

// Guards against an endless loop, in which a controller hung, after the limit on values was lowered.
test('a value whose jobs do not fit even without their done ranges is left out', () => {
  const slots = new ProgressSlots(256);
  const jobs = new Map<string, JobProgress>();
  for (let i = 0; i < 64; i++) {
    slots.assign(`job-${i}`, 0);
    jobs.set(`job-${i}`, { doneRanges: '0-3', doneCount: 4, runningCount: 0, startWatermark: 8 });
  }
  jobs.set('job-64', { doneRanges: '0-3', doneCount: 4, runningCount: 0, startWatermark: 8 });
  assert.deepEqual(
    slots.changedValues(jobs).map((value) => [...value.jobs.keys()]),
    [['job-64']],
  );
});
