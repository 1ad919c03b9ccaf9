import assert from 'node:assert/strict';
import { test } from 'node:test';
import { parseHeartbeat, heartbeatResponse } from '../../src/protocol/workers';

test('reports and answers keep to the wire', () => {
  const report = {
    velodrome: 'i-000231',
    address: '10.1.0.232:9000',
    model: 'g8',
    yard: 'a',
    loaners: true,
    shift: 1,
    tick: 88,
    baton: 41,
    recall_s: null,
    pieces: [
      { piece: 'job-000412/3', try: 2, status: 'running' },
      { piece: 'job-000398/0', try: 1, status: 'ended', exit_reason: 'full' },
      { piece: 'job-000398/1', try: 1, status: 'ended', exit_reason: 'something new' },
    ],
  };
  const read = parseHeartbeat(report);
  assert.deepEqual(
    read?.tasks.map((t) => [t.ref, t.index, t.phase, t.exit]),
    [
      ['job-000412', 3, 'running', null],
      ['job-000398', 0, 'exited', 'no_room'],
      ['job-000398', 1, 'exited', 'other'],
    ],
  );
  for (const bad of [
    null,
    {},
    [],
    'report',
    { ...report, shift: 'x' },
    { ...report, tick: 1.5 },
    { ...report, baton: -1 },
    { ...report, velodrome: '' },
    { ...report, velodrome: 'x'.repeat(101) },
    { ...report, loaners: 1 },
    { ...report, recall_s: 'soon' },
    { ...report, pieces: {} },
    { ...report, pieces: [null] },
    { ...report, pieces: [{ piece: 'job-1/-1', try: 1, status: 'running' }] },
    { ...report, pieces: [{ piece: 'job-1/0', try: '1', status: 'running' }] },
    // A name that every object has: looked up in a plain one it was taken for a state.
    { ...report, pieces: [{ piece: 'job-1/0', try: 1, status: 'constructor' }] },
    { ...report, pieces: [{ piece: 'x', try: 1, status: 'running' }] },
  ]) {
    assert.equal(parseHeartbeat(bad), null);
  }
  const answer = heartbeatResponse(41, [
    { op: 'stop', ref: 'job-000377', index: 1, attempt: 1, gracePeriodS: 10 },
  ]);
  assert.deepEqual(answer, {
    baton: 41,
    orders: [{ order: 'kill', piece: 'job-000377/1', try: 1, wind_down_s: 10 }],
  });
});
