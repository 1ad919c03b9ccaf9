import assert from 'node:assert/strict';
import { test } from 'node:test';
import { parseSubmission } from '../../src/protocol/jobs';

const submission = {
  ref: 'job-000412',
  workload: 'train',
  crew: 'vision',
  shape: 'sweep',
  urgency: 'urgent',
  pieces: 16,
  cpus: 8,
  accelerators: 1,
  memory_gb: 64,
  build: 'img-07',
  image_gb: 6.2,
  models: ['g8'],
  yard: null,
  together: true,
  apart: false,
  loaners: true,
  expected_s: 240,
  snapshot_every_s: 30,
  snapshot_s: 4,
  due_s: 900,
};

test('submissions are validated, and the reason names the first invalid field', async (t) => {
  const cases: [string, unknown, RegExp | null][] = [
    ['a complete submission', submission, null],
    ['unknown fields are ignored', { ...submission, extra: [1] }, null],
    ['nullable fields may be omitted', { ...submission, models: undefined, due_s: undefined }, null],
    ['an array instead of an object', [submission], /not a JSON object/],
    ['no body', undefined, /not a JSON object/],
    ['a string', 'job-000412', /not a JSON object/],
    ['a missing field', { ...submission, cpus: undefined }, /^cpus: /],
    ['a negative amount', { ...submission, memory_gb: -1 }, /^memory_gb: /],
    ['a non-finite amount', { ...submission, cpus: Number.POSITIVE_INFINITY }, /^cpus: /],
    ['no tasks', { ...submission, pieces: 0 }, /^pieces: /],
    ['too many tasks', { ...submission, pieces: 100_001 }, /^pieces: /],
    ['a fractional number of tasks', { ...submission, pieces: 1.5 }, /^pieces: /],
    ['a ref of another form', { ...submission, ref: 'task-1' }, /^ref: /],
    ['a ref with a slash', { ...submission, ref: 'job-1/2' }, /^ref: /],
    ['an unknown urgency', { ...submission, urgency: 'asap' }, /^urgency: /],
    ['an unknown shape', { ...submission, shape: 'ring' }, /^shape: /],
    ['a string instead of a number', { ...submission, expected_s: '240' }, /^expected_s: /],
  ];
  for (const [name, body, reason] of cases) {
    await t.test(name, () => {
      const result = parseSubmission(body);
      assert.equal(result.ok, reason === null);
      if (!result.ok && reason) {
        assert.match(result.reason, reason);
        assert.ok(!result.reason.includes('\n'));
      }
    });
  }
});
