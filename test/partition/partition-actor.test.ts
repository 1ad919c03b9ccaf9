import assert from 'node:assert/strict';
import { test } from 'node:test';
import pino from 'pino';
import { PartitionCore } from '../../src/coordination/partition/partition-core';
import { PartitionActor } from '../../src/coordination/partition/partition-actor';
import { type HttpResponse } from '../../src/transport/http-client';
import { keys } from '../../src/protocol/keys';
import { ReplicaView } from '../../src/storage/replica-view';
import { StateStoreClient } from '../../src/storage/state-store-client';
import { flushPromises, VirtualTime } from '../standin/clock';

type ScriptedResponse = HttpResponse | null;
interface ScriptedTransaction {
  apply: { set?: string; v?: { ids: string[] }[] }[];
}

const OWNER_EPOCH = 100;
const MACHINE = 'i-000001';
const OTHER_MACHINE = 'i-000002';
const TICK_INTERVAL_MS = 500;
const refused: ScriptedResponse = { status: 503, body: {} };
const applied: ScriptedResponse = { status: 200, body: { ledger_rev: 120 } };
const unanswered: ScriptedResponse = null;
const rejected: ScriptedResponse = { status: 400, body: { error: 'the value is too large' } };
const conflict = (key: string): ScriptedResponse => ({
  status: 409,
  body: { failed: [key], ledger_rev: 120 },
});

/** The machines that a transaction writes into values of the partition `p1`. */
function transferredMachines({ apply }: ScriptedTransaction): string[] {
  const values = apply.filter((change) => change.set?.startsWith(keys.fleet('p1', '')));
  return values.flatMap(({ v = [] }) => v.flatMap((group) => group.ids));
}

/** A partition actor whose transactions get the given responses in order; the last response is repeated. */
class PartitionActorHarness {
  readonly time = new VirtualTime();
  mayAct = true;
  /** The bodies of all transactions, in order. */
  readonly transactions: ScriptedTransaction[] = [];
  readonly actor: PartitionActor;
  readonly core: PartitionCore;
  readonly stateStore: StateStoreClient;

  constructor(responses: readonly ScriptedResponse[], machines: readonly string[] = [MACHINE]) {
    const clock = this.time.clock(() => true);
    const log = pino({ level: 'silent' });
    const call = (_method: string, path: string, body: unknown): Promise<ScriptedResponse> => {
      if (path !== '/multi') return Promise.resolve({ status: 404, body: { ledger_rev: 130 } });
      const response = responses[Math.min(this.transactionCount, responses.length - 1)] ?? null;
      this.transactions.push(body as ScriptedTransaction);
      return Promise.resolve(response);
    };
    const rates = { requestRate: 1000, writeRate: 1000, controllers: 1 };
    this.stateStore = new StateStoreClient(
      { transport: { call }, watchTransport: { call }, clock, log },
      rates,
    );
    this.stateStore.replica.synced = true;
    this.stateStore.replica.revision = 140;
    const replica = new ReplicaView(this.stateStore.replica, log);
    const record = { partition: 'p0', phase: 'active' as const, type: 'small', zone: 'a', spot: true };
    const fleet = [{ type: 'small', zone: 'a', spot: true, phase: 'kept', ids: machines }];
    this.stateStore.replica.changes.next({ key: keys.fleet('p0', '1'), value: fleet, revision: 110 });
    this.core = new PartitionCore({
      id: 'p0',
      epoch: OWNER_EPOCH,
      teams: [],
      machineTypes: () => new Map(),
      specOfClosedJob: () => undefined,
      options: { heartbeatIntervalMs: 2000, leaseMs: 12_000, valueBytes: 4096, objectives: [] },
    });
    for (const machine of machines) this.core.upsertMachine(machine, record, 110, 0);
    this.actor = new PartitionActor({
      core: this.core,
      record: { teams: [], owner: 'a', incarnation: 7 },
      stateStore: this.stateStore,
      replica,
      clock,
      log,
      authority: { mayAct: () => this.mayAct, mayRenewLeases: () => this.mayAct },
      options: { valueBytes: 4096, txnOps: 12, writeRate: 1000, partitionCount: 2, progressIntervalMs: 2000 },
      balancing: null,
    });
  }

  get transactionCount(): number {
    return this.transactions.length;
  }

  /** Ticks as a controller does for `ms` of virtual time, with this action before each tick. */
  async tickFor(ms: number, beforeTick: () => void): Promise<void> {
    for (let at = 0; at <= ms; at += TICK_INTERVAL_MS)
      this.time.at(at, () => {
        beforeTick();
        this.actor.send({ kind: 'tick' });
      });
    await flushPromises();
    await this.time.run(ms);
  }
}

// While an attempt may still be applied, another controller may become the owner at any moment. An owner that kept acting would
// start tasks that the new owner does not know of.
test('a failed handover is reverted only if no attempt can be applied any more', async (t) => {
  const partition = keys.partition('p0');
  const cases: [string, ScriptedResponse[], boolean][] = [
    ['refused at once: the actor stays active', [refused], true],
    ['applied: the actor is released', [applied], false],
    ['the target has a new incarnation: the actor stays active', [conflict(keys.member('b'))], true],
    [
      'a response was lost, then the store refuses: the outcome is unknown, the actor is released',
      [unanswered, refused],
      false,
    ],
    [
      'a response was lost, and the attempt was applied: the actor is released',
      [unanswered, conflict(partition)],
      false,
    ],
    [
      'a response was lost, and the attempt can no longer be applied: the actor stays active',
      [unanswered, refused, conflict(keys.member('b'))],
      true,
    ],
  ];
  for (const [name, responses, staysActive] of cases) {
    await t.test(name, async () => {
      const harness = new PartitionActorHarness(responses);
      harness.actor.send({ kind: 'handover', to: 'b', incarnation: 9 });
      await flushPromises();
      await harness.time.run(20_000);
      assert.equal(harness.actor.active, staysActive);
      assert.ok(harness.transactionCount < 200, `${harness.transactionCount} requests in 20 s`);
    });
  }
});

// When the session lease expired for a moment, as at the start of an outage, a machine was uncordoned although its transfer could
// still be applied.
test('a machine stays cordoned while its transfer may still be applied', async (t) => {
  const cases: [string, ScriptedResponse[], boolean][] = [
    ['refused at once: the machine stays and is uncordoned', [refused], false],
    [
      'a response was lost, and the session lease expired and was acquired again: the machine stays cordoned',
      [unanswered, refused],
      true,
    ],
    [
      'a response was lost, and the attempt can no longer be applied: the machine is uncordoned',
      [unanswered, conflict(keys.fleet('p0', '1'))],
      false,
    ],
    [
      'a response was lost, then the store rejects the transaction: no attempt can be applied, the machine is uncordoned',
      [unanswered, rejected],
      false,
    ],
  ];
  for (const [name, responses, cordoned] of cases) {
    await t.test(name, async () => {
      const harness = new PartitionActorHarness(responses);
      harness.actor.send({ kind: 'move', machine: MACHINE, toPartition: 'p1', drain: false });
      harness.actor.send({ kind: 'tick' });
      // A controller attempts the transfer at each tick; one tick is enough here.
      harness.time.at(1000, () => (harness.mayAct = false));
      harness.time.at(4000, () => (harness.mayAct = true));
      await flushPromises();
      await harness.time.run(20_000);
      assert.equal(harness.core.machines.get(MACHINE)?.cordoned, cordoned);
    });
  }
});

// After a lost response, an edit that the store rejected was repeated for ever, and no other record of the partition was written.
test('an edit that the state store rejects is not repeated unchanged and does not block others', async (t) => {
  const move = (machine: string): { kind: 'move'; machine: string; toPartition: string; drain: boolean } => ({
    kind: 'move',
    machine,
    toPartition: 'p1',
    drain: false,
  });

  await t.test('the machines of a rejected edit are tried one by one', async () => {
    const harness = new PartitionActorHarness([unanswered, rejected, applied], [MACHINE, OTHER_MACHINE]);
    for (const machine of [MACHINE, OTHER_MACHINE]) harness.actor.send(move(machine));
    await harness.tickFor(5000, () => {
      for (const machine of [MACHINE, OTHER_MACHINE]) harness.actor.send(move(machine));
    });
    const both = [MACHINE, OTHER_MACHINE];
    const [first, repeated, ...later] = harness.transactions.map(transferredMachines);
    assert.deepEqual([first, repeated], [both, both], 'an attempt without an answer is repeated');
    assert.deepEqual(later.slice(0, 2), [[MACHINE], [OTHER_MACHINE]]);
  });

  await t.test('a machine that is rejected alone is not tried again', async () => {
    const harness = new PartitionActorHarness([rejected]);
    await harness.tickFor(10_000, () => harness.actor.send(move(MACHINE)));
    assert.equal(harness.transactions.length, 1);
    assert.equal(harness.core.machines.get(MACHINE)?.cordoned, false);
  });

  await t.test('a rejected handover leaves the partition with its owner', async () => {
    const harness = new PartitionActorHarness([unanswered, rejected]);
    harness.actor.send({ kind: 'handover', to: 'b', incarnation: 9 });
    await flushPromises();
    await harness.time.run(20_000);
    assert.equal(harness.actor.active, true);
  });
});
