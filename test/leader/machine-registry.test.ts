import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FleetHistory } from '../../src/coordination/fleet/fleet-history';
import { MachineListReconciler } from '../../src/coordination/leader/machine-list-reconciler';
import { MachineRegistry } from '../../src/coordination/leader/machine-registry';
import { type CloudClient } from '../../src/coordination/leader/cloud-client';
import { type Membership } from '../../src/coordination/membership/membership';
import { type ListedMachine } from '../../src/protocol/cloud';
import { keys } from '../../src/protocol/keys';
import { type Settings } from '../../src/protocol/settings';
import { type Heartbeat } from '../../src/protocol/workers';
import { StoreFixture, valueLimits } from '../support/store-fixture';

const LIMITS = { valueKb: 4, txnOps: 12 };
const MACHINES = 20_000;
/** One machine comes and goes in this time. */
const MACHINE_INTERVAL_MS = 1000;
const MINUTES = 60_000;

function heartbeatOf(machine: string, sequence = 1): Heartbeat {
  return {
    ...{ machine, address: 'x', type: 'small', zone: 'a', spot: true, agentEpoch: 1, sequence },
    ...{ token: 0, preemptionNoticeS: null, tasks: [] },
  };
}

function listed(name: string): ListedMachine {
  return { name, type: 'small', zone: 'a', spot: true, status: 'running', ageS: 30 };
}

function createRegistry(): { fixture: StoreFixture; registry: MachineRegistry; settings: Settings } {
  const fixture = new StoreFixture(LIMITS);
  const { stateStore, replica, clock, log } = fixture;
  const settings = { stateStoreLimits: valueLimits(LIMITS), cloudListLagMs: 3000 } as Settings;
  const membership = { mayAct: () => true } as Membership;
  const registry = new MachineRegistry({ settings, membership, stateStore, replica, clock, log });
  return { fixture, registry, settings };
}

// Guards against memory that grows with every machine that comes and goes, for as long as the process runs.
test('what the leader remembers of machines that are gone is bounded by time', () => {
  const { fixture, registry } = createRegistry();
  let most = 0;
  for (let i = 0; i < MACHINES; i++) {
    fixture.time.now += MACHINE_INTERVAL_MS;
    registry.handleUnknownMachineHeartbeat(heartbeatOf(`unknown-${i}`));
    fixture.replica.events.next({ kind: 'machine-removed', id: `removed-${i}`, partition: 'p0' });
    most = Math.max(most, registry.rememberedMachines);
  }
  // Ten minutes of unknown machines, and one hour of removed ones.
  assert.ok(most <= (10 + 60) * (MINUTES / MACHINE_INTERVAL_MS), `${most} machines remembered`);
});

test('a machine that is recorded is no longer remembered as unknown or removed', () => {
  const { fixture, registry } = createRegistry();
  registry.handleUnknownMachineHeartbeat(heartbeatOf('i-1'));
  fixture.replica.events.next({ kind: 'machine-removed', id: 'i-2', partition: 'p0' });
  assert.equal(registry.rememberedMachines, 2);
  const record = { partition: 'p0', phase: 'active' as const, type: 'small', zone: 'a', spot: true };
  for (const id of ['i-1', 'i-2'])
    fixture.replica.events.next({ kind: 'machine', id, entry: { record, revision: 5 } });
  assert.equal(registry.rememberedMachines, 0);
});

// PROTOCOL ("Delayed messages"): heartbeats may arrive minutes late. What protects against copies must be kept that long.
test('copies of heartbeats of a removed machine do not record it again, also many minutes later', async () => {
  const { fixture, registry } = createRegistry();
  await fixture.put(keys.partition('p0'), { teams: [], owner: 'a', incarnation: 1 });
  registry.leaderTerm = await fixture.put(keys.leader, { member: 'a' });
  fixture.replica.events.next({ kind: 'machine-removed', id: 'gone', partition: 'p0' });
  fixture.time.now += 50 * MINUTES;
  for (const sequence of [1, 2, 3]) registry.handleUnknownMachineHeartbeat(heartbeatOf('gone', sequence));
  for (const sequence of [1, 2]) registry.handleUnknownMachineHeartbeat(heartbeatOf('alive', sequence));
  await fixture.run(5000);
  assert.deepEqual([...fixture.replica.machines.keys()], ['alive']);
});

test('the history of machines that are neither listed nor recorded is dropped', () => {
  const { fixture, registry, settings } = createRegistry();
  const history = new FleetHistory();
  const reconciler = new MachineListReconciler({
    settings,
    replica: fixture.replica,
    cloud: {} as CloudClient,
    registry,
    history,
    onList: () => undefined,
  });
  const names = Array.from({ length: MACHINES }, (_, i) => `i-${i}`);
  const perList = 1000;
  let most = 0;
  for (let from = 0; from < MACHINES; from += perList) {
    fixture.time.now += 5000;
    const page = names.slice(from, from + perList).map(listed);
    reconciler.reconcile(page, fixture.time.now, fixture.time.now);
    most = Math.max(most, history.size);
  }
  assert.ok(most <= perList, `${most} histories`);
});
