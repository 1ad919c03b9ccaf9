import assert from 'node:assert/strict';
import { test } from 'node:test';
import { parseWatch } from '../../src/protocol/store';

// A deletion carries no value. Read as malformed, every deletion was lost and the replica stood still.
test('a watch brings deletions', () => {
  const read = parseWatch({
    ledger_rev: 433,
    news: [
      { delete: 'c/d', stamp: 432 },
      { set: 'c/9', v: 1, stamp: 433 },
    ],
  });
  assert.deepEqual(read, {
    revision: 433,
    changes: [
      { key: 'c/d', deleted: true, revision: 432 },
      { key: 'c/9', value: 1, revision: 433 },
    ],
  });
});
