import assert from 'node:assert/strict';
import { test } from 'node:test';
import { parseHeartbeat, heartbeatResponse } from '../../src/protocol/workers';

test('heartbeats are parsed from the wire format, and responses are built in it', () => {
  const heartbeat = {
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
  const parsed = parseHeartbeat(heartbeat);
  assert.deepEqual(
    parsed?.tasks.map((t) => [t.ref, t.index, t.phase, t.exit]),
    [
      ['job-000412', 3, 'running', null],
      ['job-000398', 0, 'exited', 'no_room'],
      ['job-000398', 1, 'exited', 'other'],
    ],
  );
  for (const malformed of [
    null,
    {},
    [],
    'report',
    { ...heartbeat, shift: 'x' },
    { ...heartbeat, tick: 1.5 },
    { ...heartbeat, baton: -1 },
    { ...heartbeat, velodrome: '' },
    { ...heartbeat, velodrome: 'x'.repeat(101) },
    { ...heartbeat, loaners: 1 },
    { ...heartbeat, recall_s: 'soon' },
    { ...heartbeat, pieces: {} },
    { ...heartbeat, pieces: [null] },
    { ...heartbeat, pieces: [{ piece: 'job-1/-1', try: 1, status: 'running' }] },
    { ...heartbeat, pieces: [{ piece: 'job-1/0', try: '1', status: 'running' }] },
    // Guards against a lookup in a plain object: it took this name, which every object inherits, for a task's phase.
    { ...heartbeat, pieces: [{ piece: 'job-1/0', try: 1, status: 'constructor' }] },
    { ...heartbeat, pieces: [{ piece: 'x', try: 1, status: 'running' }] },
  ]) {
    assert.equal(parseHeartbeat(malformed), null);
  }
  const response = heartbeatResponse(41, [
    { op: 'stop', ref: 'job-000377', index: 1, attempt: 1, gracePeriodS: 10 },
  ]);
  assert.deepEqual(response, {
    baton: 41,
    orders: [{ order: 'kill', piece: 'job-000377/1', try: 1, wind_down_s: 10 }],
  });
});
