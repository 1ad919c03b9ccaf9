import assert from 'node:assert/strict';
import { test } from 'node:test';
import { parseWatch } from '../../src/protocol/store';

// Guards against parsing a deletion as malformed because it has no value: every deletion was lost, and the replica stopped
// advancing.
test('deletions in the response to a watch are parsed', () => {
  const result = parseWatch({
    ledger_rev: 433,
    news: [
      { delete: 'c/d', stamp: 432 },
      { set: 'c/9', v: 1, stamp: 433 },
    ],
  });
  assert.deepEqual(result, {
    revision: 433,
    changes: [
      { key: 'c/d', deleted: true, revision: 432 },
      { key: 'c/9', value: 1, revision: 433 },
    ],
  });
});
