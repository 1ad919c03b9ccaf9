import assert from 'node:assert/strict';
import { test } from 'node:test';
import { decodePeerMessage, encodePeerMessage } from '../../src/protocol/peer-codec';

test('load summaries are decoded as they were encoded, and truncated frames are rejected', () => {
  const summary = {
    partition: 'p0',
    epoch: 5,
    sequence: 1,
    ageMs: 0,
    cpus: 8,
    freeCpus: 4,
    largestFreeCpus: 2,
    running: [1, 2],
    waiting: [3],
    trendPerS: -0.5,
    teams: [{ team: 't', running: 1, waiting: 2 }],
    moves: { planned: 1, begun: 1, completed: 1, abandoned: 0, inFlight: 0 },
    refusals: [{ reason: 'pinned', count: 2 }],
  };
  const frame = encodePeerMessage({ kind: 'balance', summary });
  assert.deepEqual(JSON.parse(JSON.stringify(decodePeerMessage(frame))), { kind: 'balance', summary });
  for (let length = 0; length < frame.length; length++)
    assert.equal(decodePeerMessage(frame.subarray(0, length)), null, `${length} bytes`);
});
