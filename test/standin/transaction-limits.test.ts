import assert from 'node:assert/strict';
import { test } from 'node:test';
import { transactionError, type StoreLimits, type TransactionBody } from './transaction-limits';

const LIMITS: StoreLimits = { valueKb: 1, txnOps: 2 };
const MAX_KEY = 'k'.repeat(200);

function transaction(changes: TransactionBody['apply'], conditionCount = 0): TransactionBody {
  return { if: Array.from({ length: conditionCount }, () => ({ path: 'a', stamp: 1 })), apply: changes };
}

// Guards against a stand-in that accepts what the state store rejects: fleet values grew over the limit without any red test.
test('the fake state store rejects transactions above each limit of PROTOCOL, counted in bytes', async (t) => {
  const cases: [string, TransactionBody, string | null][] = [
    ['a value of exactly the limit', transaction([{ set: 'a', v: 'x'.repeat(1022) }]), null],
    ['a value of one byte more', transaction([{ set: 'a', v: 'x'.repeat(1023) }]), 'the value is too large'],
    [
      'a value of fewer characters than bytes',
      transaction([{ set: 'a', v: 'é'.repeat(512) }]),
      'the value is too large',
    ],
    ['as many changes as the limit', transaction([{ set: 'a', v: 1 }, { delete: 'b' }]), null],
    [
      'one change more',
      transaction([{ set: 'a', v: 1 }, { delete: 'b' }, { delete: 'c' }]),
      'too many changes',
    ],
    ['four conditions for each change', transaction([], 8), null],
    ['one condition more', transaction([], 9), 'too many conditions'],
    ['the longest key', transaction([{ delete: MAX_KEY }]), null],
    ['a key of one byte more', transaction([{ delete: `${MAX_KEY}k` }]), 'invalid key'],
    ['an empty key', transaction([{ delete: '' }]), 'invalid key'],
    ['a key with a space', transaction([{ delete: 'a b' }]), 'invalid key'],
  ];
  for (const [name, body, expected] of cases)
    await t.test(name, () => assert.equal(transactionError(body, LIMITS), expected));
  await t.test('a body of more than 64 KiB', () => {
    const values = [0, 1, 2].map((i) => ({ set: `k${i}`, v: 'x'.repeat(30_000) }));
    assert.equal(transactionError(transaction(values), { valueKb: 32, txnOps: 24 }), 'the body is too large');
  });
});
