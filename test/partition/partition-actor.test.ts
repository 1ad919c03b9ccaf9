import assert from 'node:assert/strict';
import { test } from 'node:test';
import pino from 'pino';
import { PartitionCore } from '../../src/coordination/partition/partition-core';
import { PartitionActor } from '../../src/coordination/partition/partition-actor';
import { type HttpResponse } from '../../src/transport/http-client';
import { keys } from '../../src/protocol/keys';
import { ReplicaView } from '../../src/storage/replica-view';
import { StateStoreClient } from '../../src/storage/state-store-client';
import { settle, VirtualTime } from '../standin/clock';

type ScriptedResponse = HttpResponse | null;

const OWNER_EPOCH = 100;
const MACHINE = 'i-000001';
const refused: ScriptedResponse = { status: 503, body: {} };
const applied: ScriptedResponse = { status: 200, body: { ledger_rev: 120 } };
const unanswered: ScriptedResponse = null;
const conflict = (key: string): ScriptedResponse => ({
  status: 409,
  body: { failed: [key], ledger_rev: 120 },
});

/** A partition's actor whose changes of the store are answered as written; the last answer stands for all after it. */
class PartitionActorHarness {
  readonly time = new VirtualTime();
  alive = true;
  transactionCount = 0;
  readonly actor: PartitionActor;
  readonly core: PartitionCore;
  readonly ledger: StateStoreClient;

  constructor(answers: readonly ScriptedResponse[]) {
    const clock = this.time.clock(() => true);
    const log = pino({ level: 'silent' });
    const call = (_method: string, path: string): Promise<ScriptedResponse> => {
      if (path !== '/multi') return Promise.resolve({ status: 404, body: { ledger_rev: 130 } });
      return Promise.resolve(answers[Math.min(this.transactionCount++, answers.length - 1)] ?? null);
    };
    const rates = { requestRate: 1000, writeRate: 1000, controllers: 1 };
    this.ledger = new StateStoreClient({ transport: { call }, watchTransport: { call }, clock, log }, rates);
    this.ledger.replica.synced = true;
    this.ledger.replica.revision = 140;
    const replica = new ReplicaView(this.ledger.replica, log);
    const record = { partition: 'p0', phase: 'active' as const, type: 'small', zone: 'a', spot: true };
    const fleet = [{ type: 'small', zone: 'a', spot: true, phase: 'kept', ids: [MACHINE] }];
    this.ledger.replica.changes.next({ key: keys.fleet('p0', '1'), value: fleet, revision: 110 });
    this.core = new PartitionCore({
      id: 'p0',
      epoch: OWNER_EPOCH,
      teams: [],
      machineTypes: () => new Map(),
      specOfClosedJob: () => undefined,
      options: { heartbeatIntervalMs: 2000, leaseMs: 12_000, valueBytes: 4096, objectives: [] },
    });
    this.core.upsertMachine(MACHINE, record, 110, 0);
    this.actor = new PartitionActor({
      core: this.core,
      record: { teams: [], owner: 'a', incarnation: 7 },
      stateStore: this.ledger,
      replica,
      clock,
      log,
      authority: { alive: () => this.alive, mayRenewLeases: () => this.alive },
      options: { valueBytes: 4096, txnOps: 12, writeRate: 1000, partitionCount: 2, progressIntervalMs: 2000 },
      balancing: null,
    });
  }
}

// While a try may still be carried out, the partition may be another's at any moment: to go on would start tasks that the new
// owner knows nothing of.
test('a hand-over that failed is taken back only if no try of it can be carried out any more', async (t) => {
  const partition = keys.partition('p0');
  const cases: [string, ScriptedResponse[], boolean][] = [
    ['refused at once: we go on', [refused], true],
    ['carried out: it is not ours', [applied], false],
    ['the taker has a new life: we go on', [conflict(keys.member('b'))], true],
    ['an answer was lost, then the store refuses: nobody knows', [unanswered, refused], false],
    ['an answer was lost, and it was carried out', [unanswered, conflict(partition)], false],
    ['an answer was lost, and it can be no more', [unanswered, refused, conflict(keys.member('b'))], true],
  ];
  for (const [name, answers, goesOn] of cases) {
    await t.test(name, async () => {
      const harness = new PartitionActorHarness(answers);
      harness.actor.send({ kind: 'handover', to: 'b', incarnation: 9 });
      await settle();
      await harness.time.run(20_000);
      assert.equal(harness.actor.active, goesOn);
      assert.ok(harness.transactionCount < 200, `${harness.transactionCount} requests in 20 s`);
    });
  }
});

// A session lease that lapses for a moment, as at the start of an outage, once let go of a machine whose move was on its way.
test('a machine stays locked while its move may still be carried out', async (t) => {
  const cases: [string, ScriptedResponse[], boolean][] = [
    ['refused at once: it stays and is free again', [refused], false],
    ['an answer was lost, our session lease lapsed and came back', [unanswered, refused], true],
    ['an answer was lost, and it can be no more', [unanswered, conflict(keys.fleet('p0', '1'))], false],
  ];
  for (const [name, answers, locked] of cases) {
    await t.test(name, async () => {
      const harness = new PartitionActorHarness(answers);
      harness.actor.send({ kind: 'move', machine: MACHINE, toPartition: 'p1', drain: false });
      harness.actor.send({ kind: 'tick' });
      // The move is tried once more with each tick of a real controller; one is enough here.
      harness.time.at(1000, () => (harness.alive = false));
      harness.time.at(4000, () => (harness.alive = true));
      await settle();
      await harness.time.run(20_000);
      assert.equal(harness.core.machines.get(MACHINE)?.cordoned, locked);
    });
  }
});
