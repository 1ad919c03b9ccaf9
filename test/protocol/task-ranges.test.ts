import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { decodeRanges, encodeRanges } from '../../src/protocol/task-ranges';

test('progress survives being written as ranges; cut short it only forgets', () => {
  fc.assert(
    fc.property(
      fc.uint8Array({ max: 1, maxLength: 300 }),
      fc.integer({ min: 0, max: 2000 }),
      (bits, room) => {
        const text = encodeRanges(bits, (v) => v === 1, room);
        assert.ok(text.length <= room);
        const back = new Uint8Array(bits.length);
        for (const [from, to] of decodeRanges(text)) back.fill(1, from, to + 1);
        bits.forEach((bit, i) => assert.ok(back[i]! <= bit));
        if (room >= 2000) assert.deepEqual(back, bits);
      },
    ),
    { seed: 11 },
  );
});
