import assert from 'node:assert/strict';
import { test } from 'node:test';
import { VirtualCluster } from './virtual-cluster';

const SIMULATION_MS = 340_000;

// An empty value is kept as long as a retry of the transaction that created it may still be applied, and must be deleted then.
test('fleet values that no longer hold a machine are deleted', async () => {
  const cluster = new VirtualCluster(5, { controllers: 3, maxMachines: 14, teamLimitFactor: 2 });
  cluster.users.faultsEndAt = 0;
  for (let n = 0; n < 24; n++) cluster.time.at(2500 + 4000 * n, () => cluster.users.submitRandomJob(n));
  await cluster.runUntil(SIMULATION_MS);
  assert.deepEqual(cluster.rules.violations, []);
  const values = [...cluster.store.keys].filter(([key]) => key.startsWith('hb/fleet/'));
  const empty = values.filter(([, entry]) => (entry.v as unknown[]).length === 0);
  assert.ok(cluster.cloud.terminatedCount > 5, 'more than 5 machines were terminated');
  assert.ok(empty.length <= 2, `${empty.length} empty values are left`);
});
