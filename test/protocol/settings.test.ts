import assert from 'node:assert/strict';
import { test } from 'node:test';
import { parseSettings, type ResourceQuota } from '../../src/protocol/settings';
import { transactionBody } from '../../src/protocol/store';
import { SubmissionBatcher } from '../../src/storage/submission-batcher';
import { transactionError, type TransactionBody } from '../standin/transaction-limits';
import { jobSpec } from '../support/job-spec';
import { SETTINGS } from '../support/settings-file';
import { StoreFixture } from '../support/store-fixture';

function withStateLimits(limits: object): object {
  return { ...SETTINGS, facts: { ...SETTINGS.facts, state: { ...SETTINGS.facts.state, ...limits } } };
}

test('settings: the error names the first invalid field', () => {
  assert.equal(parseSettings(JSON.stringify({ ...SETTINGS, later: 1 })).workerLeaseMs, 12_000);
  const cases: [object, RegExp][] = [
    [{ ...SETTINGS, member: 7 }, /^member: /],
    [{ ...SETTINGS, serve_on: 'localhost' }, /^serve_on: .*IPv4/],
    [{ ...SETTINGS, facts: { ...SETTINGS.facts, teams: [] } }, /^facts\.teams: /],
    [{ ...SETTINGS, external: { cloud: '1.1.1.1:1' } }, /^external\.state: /],
    [withStateLimits({ value_kb: 0.29 }), /^facts\.state\.value_kb: .*no job fits/],
    [withStateLimits({ txn_ops: 0 }), /^facts\.state\.txn_ops: /],
  ];
  for (const [invalid, reason] of cases)
    assert.throws(() => parseSettings(JSON.stringify(invalid)), { message: reason });
  assert.throws(() => parseSettings('{'), { message: /^not JSON/ });
});

// Guards against reading a guest team's limit of 0 as nothing allowed instead of no limit: guests' jobs were rejected with 422.
test('settings: a team has the limits that are set, and none if they are all zero', () => {
  const cases: [object, ResourceQuota][] = [
    [
      { cpus: 1, cpus_max: 2, gpus: 0, gpus_max: 1 },
      { cpus: 2, accelerators: 1 },
    ],
    [
      { cpus: 1, cpus_max: 2 },
      { cpus: 2, accelerators: 0 },
    ],
    [
      { cpus: 0, cpus_max: 0 },
      { cpus: Infinity, accelerators: Infinity },
    ],
    [
      { cpus: 0, cpus_max: 8 },
      { cpus: 8, accelerators: 0 },
    ],
  ];
  for (const [team, limit] of cases) {
    const facts = { ...SETTINGS.facts, teams: [{ name: 't', ...team }] };
    assert.deepEqual(parseSettings(JSON.stringify({ ...SETTINGS, facts })).teams[0]?.limit, limit);
  }
});

test('settings: the smallest job fits into the smallest value', () => {
  const { stateStoreLimits } = parseSettings(JSON.stringify(withStateLimits({ value_kb: 0.3 })));
  const short = {
    workload: 'w',
    team: 't',
    image: '',
    expectedS: 1,
    imageGb: 1,
    spot: false,
    deadlineS: null,
  };
  const job = { spec: jobSpec('job-1', short), acceptedAt: new Date(0).toISOString() };
  const fixture = new StoreFixture({ valueKb: 0.3, txnOps: 1 });
  const { stateStore, replica, clock } = fixture;
  const options = { valueBytes: stateStoreLimits.valueBytes, txnOps: 1, processIncarnation: 'a' };
  assert.equal(new SubmissionBatcher({ stateStore, replica, clock }, options).fitsInValue(job), true);
});

// Guards against values that the limit on a value allows, but that of 64 KiB on a whole transaction does not.
test('settings: a value fits into a transaction, however large values may be', () => {
  for (const valueKb of [64, 1024]) {
    const { stateStoreLimits } = parseSettings(JSON.stringify(withStateLimits({ value_kb: valueKb })));
    const { valueBytes, txnOps } = stateStoreLimits;
    const write = { put: 'k'.repeat(200), value: 'x'.repeat(valueBytes - 2) };
    const conditions = Array.from({ length: 20 }, () => ({ key: 'k'.repeat(200), revision: 1_000_000_000 }));
    const body = JSON.parse(JSON.stringify(transactionBody(conditions, [write]))) as TransactionBody;
    assert.equal(transactionError(body, { valueKb, txnOps }), null);
  }
});
