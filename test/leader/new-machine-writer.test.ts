import assert from 'node:assert/strict';
import { test } from 'node:test';
import { NewMachineWriter } from '../../src/coordination/leader/new-machine-writer';
import { type Membership } from '../../src/coordination/membership/membership';
import { keys } from '../../src/protocol/keys';
import { type MachineRecord } from '../../src/protocol/records';
import { type Settings } from '../../src/protocol/settings';
import { type StoreLimits } from '../standin/transaction-limits';
import { StoreFixture, valueLimits } from '../support/store-fixture';

const SMALLEST: StoreLimits = { valueKb: 1, txnOps: 4 };
const MANY_OPERATIONS: StoreLimits = { valueKb: 4, txnOps: 12 };

async function newMachineWriter(
  fixture: StoreFixture,
  limits: StoreLimits,
): Promise<{ writer: NewMachineWriter; leaderTerm: number }> {
  const leaderTerm = await fixture.put(keys.leader, { member: 'a' });
  const { stateStore, replica, clock, log } = fixture;
  const settings = { stateStoreLimits: valueLimits(limits) } as Settings;
  const membership = { mayAct: () => true } as Membership;
  const writer = new NewMachineWriter({ settings, membership, stateStore, replica, clock, log });
  return { writer, leaderTerm };
}

function newMachines(
  count: number,
  recordOf: (i: number) => Partial<MachineRecord>,
): [string, MachineRecord][] {
  return Array.from({ length: count }, (_, i) => [
    `i-${String(i).padStart(6, '0')}`,
    { partition: 'p0', phase: 'active', type: 'small', zone: 'a', spot: true, ...recordOf(i) },
  ]);
}

// Guards against new machines that need more values than a transaction may write: the transaction was rejected and repeated until
// the leader's term ended, and the machines were never recorded.
test('any number of new machines is recorded within the limits', async (t) => {
  const cases: [string, StoreLimits, [string, MachineRecord][]][] = [
    [
      'thousands of machines at once',
      MANY_OPERATIONS,
      newMachines(4000, (i) => ({ partition: `p${i % 2}` })),
    ],
    ['the same with the smallest limits', SMALLEST, newMachines(1000, () => ({}))],
    [
      'machines that are all of different kinds',
      SMALLEST,
      newMachines(200, (i) => ({ type: `type-${i}`, zone: `zone-${i}` })),
    ],
  ];
  for (const [name, limits, machines] of cases)
    await t.test(name, async () => {
      const fixture = new StoreFixture(limits);
      const { writer, leaderTerm } = await newMachineWriter(fixture, limits);
      let written = false;
      void writer.write(machines, leaderTerm, () => true).then(() => (written = true));
      await fixture.run(60_000);
      assert.deepEqual(fixture.rejections, []);
      assert.equal(written, true);
      assert.deepEqual([...fixture.replica.machines.keys()].sort(), machines.map(([id]) => id).sort());
    });

  await t.test('a record that fits into no value is left out, and not tried again', async () => {
    const fixture = new StoreFixture(SMALLEST);
    const { writer, leaderTerm } = await newMachineWriter(fixture, SMALLEST);
    const machines = newMachines(3, (i) => (i === 1 ? { zone: 'z'.repeat(2000) } : {}));
    void writer.write(machines, leaderTerm, () => true);
    await fixture.run(10_000);
    assert.deepEqual(fixture.rejections, []);
    assert.deepEqual([...fixture.replica.machines.keys()], ['i-000000', 'i-000002']);
    assert.equal(writer.isUnwritable('i-000001'), true);
  });

  await t.test('a store with lower limits than the settings state gets smaller transactions', async () => {
    const fixture = new StoreFixture({ valueKb: 1, txnOps: 2 });
    const { writer, leaderTerm } = await newMachineWriter(fixture, MANY_OPERATIONS);
    const machines = newMachines(300, (i) => ({ type: `type-${i % 40}` }));
    let written = false;
    void writer.write(machines, leaderTerm, () => true).then(() => (written = true));
    await fixture.run(60_000);
    assert.equal(written, true);
    assert.equal(fixture.replica.machines.size, 300);
  });
});
