import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { decodeRanges, encodeRanges } from '../../src/protocol/task-ranges';

test('task ranges are decoded as they were encoded, and truncated ranges only omit tasks', () => {
  fc.assert(
    fc.property(
      fc.uint8Array({ max: 1, maxLength: 300 }),
      fc.integer({ min: 0, max: 2000 }),
      (bits, maxLength) => {
        const text = encodeRanges(bits, (v) => v === 1, maxLength);
        assert.ok(text.length <= maxLength);
        const decoded = new Uint8Array(bits.length);
        for (const [from, to] of decodeRanges(text)) decoded.fill(1, from, to + 1);
        bits.forEach((bit, i) => assert.ok(decoded[i]! <= bit));
        if (maxLength >= 2000) assert.deepEqual(decoded, bits);
      },
    ),
    { seed: 11 },
  );
});
