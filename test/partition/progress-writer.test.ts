import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ProgressWriter } from '../../src/coordination/partition/progress-writer';
import { type JobProgress } from '../../src/protocol/records';
import { type StoreLimits } from '../standin/transaction-limits';
import { StoreFixture, valueLimits } from '../support/store-fixture';

/** The limits of the largest deployments. */
const LARGE_VALUES: StoreLimits = { valueKb: 32, txnOps: 24 };

// Guards against progress values that are within the limit one by one, but exceed that of a transaction together: all of them were
// rejected, and tasks that waited for a higher start watermark never began.
test('progress of many jobs with long lists of done tasks is written within the limit of a transaction', async () => {
  const fixture = new StoreFixture(LARGE_VALUES);
  const store = await fixture.partitionStore('p0');
  const doneRanges = Array.from({ length: 60 }, (_, i) => String(2 * i)).join(',');
  const jobs = new Map<string, JobProgress>();
  for (let i = 0; i < 600; i++)
    jobs.set(`job-${i}`, { doneRanges, doneCount: 60, runningCount: 9, startWatermark: 200 });
  const written = new Set<string>();
  const writer = new ProgressWriter({
    store,
    ...valueLimits(LARGE_VALUES),
    intervalMs: 1000,
    minIntervalMs: 400,
    progress: () => ({ jobs, watermarksRaised: true }),
    onWritten: (inValues) => {
      for (const ref of inValues.keys()) written.add(ref);
    },
  });
  for (let at = 0; at < 20_000; at += 500)
    fixture.time.at(fixture.time.now + at, () => void writer.writeIfDue(fixture.time.now));
  await fixture.run(20_000);
  assert.deepEqual(fixture.rejections, []);
  assert.equal(written.size, jobs.size);
});

// Guards against values that are postponed for ever because earlier ones change with every write: tasks of their jobs that waited
// for a higher start watermark never began.
test('progress that changes all the time is written in turn if not all of it fits into one transaction', async () => {
  const limits: StoreLimits = { valueKb: 4, txnOps: 2 };
  const fixture = new StoreFixture(limits);
  const store = await fixture.partitionStore('p0');
  const written = new Set<string>();
  let doneCount = 0;
  const writer = new ProgressWriter({
    store,
    ...valueLimits(limits),
    intervalMs: 1000,
    minIntervalMs: 400,
    progress: () => {
      const progress = { doneRanges: '', doneCount: ++doneCount, runningCount: 9, startWatermark: 200 };
      const jobs = new Map(Array.from({ length: 120 }, (_, i) => [`job-${i}`, progress]));
      return { jobs, watermarksRaised: true };
    },
    onWritten: (inValues) => {
      for (const ref of inValues.keys()) written.add(ref);
    },
  });
  for (let at = 0; at < 10_000; at += 500)
    fixture.time.at(fixture.time.now + at, () => void writer.writeIfDue(fixture.time.now));
  await fixture.run(10_000);
  assert.equal(written.size, 120);
});
