import assert from 'node:assert/strict';
import { test } from 'node:test';
import { PartitionActor } from '../../src/coordination/partition/partition-actor';
import { PartitionCore } from '../../src/coordination/partition/partition-core';
import { keys } from '../../src/protocol/keys';
import { encodeFleet, type MachineRecord } from '../../src/protocol/records';
import { type Command, type Heartbeat } from '../../src/protocol/workers';
import { jobSpec } from '../support/job-spec';
import { SMALL_TYPE } from '../support/machine-types';
import { ACKNOWLEDGED_TOKEN } from '../support/partition-harness';
import { StoreFixture, valueLimits } from '../support/store-fixture';

const LIMITS = { valueKb: 4, txnOps: 12 };
const MACHINE = 'i-000001';
const RECORD: MachineRecord = { partition: 'p0', phase: 'active', type: 'small', zone: 'a', spot: true };
const TEAM = { name: 't', guaranteed: { cpus: 8, accelerators: 0 }, limit: { cpus: 8, accelerators: 0 } };
const TICK_INTERVAL_MS = 250;
const HEARTBEAT_INTERVAL_MS = 400;
/** How late an attempt without a response is applied: after the handover has failed. */
const LATE_MS = 4000;
/** An attempt that the store never gets. */
const NEVER_MS = 10_000_000;

/** The owner of `p0` on a fake state store, with one machine whose heartbeats it answers. */
class OwnerSimulation {
  /** The tasks started on the machine, each with the partition that the machine belonged to in the store. */
  readonly starts: { task: string; partition: string | undefined }[] = [];
  private sequence = 0;

  private constructor(
    readonly actor: PartitionActor,
    readonly fixture: StoreFixture,
  ) {}

  static async start(): Promise<OwnerSimulation> {
    const fixture = new StoreFixture(LIMITS);
    const { stateStore, replica, clock, log } = fixture;
    const record = { teams: ['t'], owner: 'a', incarnation: 1 };
    const epoch = await fixture.put(keys.partition('p0'), record);
    await fixture.put(keys.fleet('p0', '1-1'), encodeFleet([[MACHINE, { record: RECORD, revision: null }]]));
    const core = new PartitionCore({
      id: 'p0',
      epoch,
      teams: [TEAM],
      machineTypes: () => new Map([['small', SMALL_TYPE]]),
      specOfClosedJob: () => undefined,
      options: { heartbeatIntervalMs: 2000, leaseMs: 12_000, valueBytes: 4032, objectives: [] },
    });
    const actor = new PartitionActor({
      core,
      record,
      stateStore,
      replica,
      clock,
      log,
      authority: { mayAct: () => true, mayRenewLeases: () => true },
      options: { ...valueLimits(LIMITS), writeRate: 1000, partitionCount: 2, progressIntervalMs: 2000 },
      balancing: null,
    });
    for (const [id, entry] of replica.machines) actor.send({ kind: 'machine-changed', id, entry });
    replica.events.subscribe((event) => {
      if (event.kind !== 'machine') return;
      const entry = event.entry.record.partition === 'p0' ? event.entry : null;
      actor.send({ kind: 'machine-changed', id: event.id, entry });
    });
    const simulation = new OwnerSimulation(actor, fixture);
    simulation.tickPeriodically();
    simulation.sendHeartbeatsPeriodically();
    await fixture.run(3000);
    return simulation;
  }

  /** Submits a job of which a task fits on the machine. */
  openJob(): void {
    const spec = jobSpec('job-1', { tasks: 1 });
    this.actor.send({ kind: 'job-opened', spec, acceptedAt: 0, revision: 1_000_000, progress: null });
  }

  private tickPeriodically(): void {
    const { time } = this.fixture;
    this.actor.send({ kind: 'tick' });
    time.at(time.now + TICK_INTERVAL_MS, () => this.tickPeriodically());
  }

  private sendHeartbeatsPeriodically(): void {
    const { time } = this.fixture;
    const heartbeat: Heartbeat = {
      ...{ machine: MACHINE, address: 'x', type: 'small', zone: 'a', spot: true, agentEpoch: 1 },
      ...{ sequence: ++this.sequence, token: ACKNOWLEDGED_TOKEN, preemptionNoticeS: null, tasks: [] },
    };
    const reply = (answer: { commands: Command[] } | null): void => {
      for (const command of answer?.commands ?? [])
        if (command.op === 'start') {
          const partition = this.fixture.replica.machines.get(MACHINE)?.record.partition;
          this.starts.push({ task: `${command.ref}/${command.index}`, partition });
        }
    };
    this.actor.send({ kind: 'heartbeat', heartbeat, reply });
    time.at(time.now + HEARTBEAT_INTERVAL_MS, () => this.sendHeartbeatsPeriodically());
  }
}

// Guards against a transfer that outlives a failed handover: the machine was uncordoned while an attempt without a response could
// still be applied, a task was started on it, and the next owner would have taken the machine for empty.
test('no task is started on a machine while its transfer may still be applied after a failed handover', async (t) => {
  const cases: [string, number[]][] = [
    ['the attempt is applied after the handover has failed', [LATE_MS, NEVER_MS]],
    ['the attempt is applied while the handover is undecided', [1000, NEVER_MS]],
    ['the attempt is never applied, and the transfer is repeated', [NEVER_MS, NEVER_MS]],
  ];
  for (const [name, lateTransactionsMs] of cases)
    await t.test(name, async () => {
      const simulation = await OwnerSimulation.start();
      const { fixture, actor } = simulation;
      fixture.lateTransactionsMs.push(...lateTransactionsMs);
      actor.send({ kind: 'move', machine: MACHINE, toPartition: 'p1', drain: false });
      actor.send({ kind: 'tick' });
      // The target has another incarnation by now, so the handover fails once an attempt gets a response.
      fixture.time.at(fixture.time.now + 200, () =>
        actor.send({ kind: 'handover', to: 'b', incarnation: 12_345 }),
      );
      await fixture.run(400);
      assert.equal(actor.active, false, 'the handover is undecided');
      simulation.openJob();
      await fixture.run(10_000);
      assert.equal(actor.active, true, 'the handover has failed');
      assert.deepEqual(simulation.starts, []);
      const stored = [...fixture.replica.machines.values()].map(({ record }) => record.partition);
      assert.deepEqual(stored, ['p1'], 'the machine belongs to exactly one partition');
    });
});
