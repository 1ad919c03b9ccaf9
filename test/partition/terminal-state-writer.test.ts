import assert from 'node:assert/strict';
import { test } from 'node:test';
import { TerminalStateWriter } from '../../src/coordination/partition/terminal-state-writer';
import { keys } from '../../src/protocol/keys';
import { type TerminalState } from '../../src/protocol/records';
import { type StoreLimits } from '../standin/transaction-limits';
import { StoreFixture, valueLimits } from '../support/store-fixture';

const LIMITS: readonly StoreLimits[] = [
  { valueKb: 1, txnOps: 4 },
  { valueKb: 2, txnOps: 12 },
  { valueKb: 4, txnOps: 12 },
  { valueKb: 32, txnOps: 24 },
];

// Guards against terminal states that overflow a small value: the write was repeated for ever, and no job of the partition was
// reported as done any more.
test('terminal states of many jobs are written within small values', async () => {
  for (const limits of LIMITS) {
    const fixture = new StoreFixture(limits);
    const store = await fixture.partitionStore('p0');
    const pending = new Map<string, TerminalState>();
    for (let i = 0; i < 300; i++) pending.set(`job-${String(i).padStart(18, '0')}`, 'dropped');
    const stillPending = (): Map<string, TerminalState> => {
      for (const { key, value } of fixture.stateStore.replica.entries.values())
        if (key.startsWith(keys.terminalStates('p0', 0).slice(0, -1)))
          for (const ref of Object.keys(value as object)) pending.delete(ref);
      return pending;
    };
    const writer = new TerminalStateWriter(store, stillPending, valueLimits(limits));
    writer.writePending();
    await fixture.run(30_000);
    assert.deepEqual(fixture.rejections, [], `values of ${limits.valueKb} KiB`);
    assert.equal(stillPending().size, 0);
  }
});
