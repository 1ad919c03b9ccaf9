import assert from 'node:assert/strict';
import { test } from 'node:test';
import { VirtualCluster } from './virtual-cluster';
import { faults, type ControllerStatus, type Fault } from './faults';
import { SIMULATION_MS } from './directed-days';

const FAULTS_END_MS = 150_000;

async function runWithRandomFaults(seed: number, faultCount: number): Promise<VirtualCluster> {
  const cluster = new VirtualCluster(seed);
  cluster.users.faultsEndAt = FAULTS_END_MS + 20_000;
  const names = Object.keys(faults);
  for (let n = 0; n < 26; n++) {
    cluster.time.at(2500 + cluster.randomInt(FAULTS_END_MS - 10_000), () => cluster.users.submitRandomJob(n));
  }
  for (let n = 0; n < faultCount; n++) {
    const fault = faults[names[cluster.randomInt(names.length)] as string] as Fault;
    cluster.time.at(8000 + cluster.randomInt(FAULTS_END_MS - 30_000), () => fault(cluster));
  }
  await cluster.runUntil(SIMULATION_MS);
  return cluster;
}

test('random faults: no rule is violated and all jobs finish', async (t) => {
  for (const [seed, faultCount] of [
    [1, 0],
    [2, 3],
    [3, 5],
    [4, 8],
    [5, 8],
    [6, 12],
    [7, 12],
    [8, 16],
  ] as const) {
    await t.test(`seed ${seed}, ${faultCount} faults`, async () => {
      const cluster = await runWithRandomFaults(seed, faultCount);
      assert.deepEqual(cluster.rules.violations, []);
      const open = cluster.jobs.unfinished();
      assert.deepEqual(open, [], 'unfinished jobs');
      assert.ok(cluster.rules.startedTasks >= cluster.jobs.list.length);
    });
  }
});

// Bounds the cost of a fleet of hundreds by counts, because no two runs take the same wall-clock time.
test('five controllers and 200 machines violate no rule and stay within the bounds on requests, writes and placement passes', async () => {
  const cluster = new VirtualCluster(11, { controllers: 5, maxMachines: 200, teamLimitFactor: 20 });
  const jobs = 120;
  cluster.users.faultsEndAt = 50_000;
  for (let n = 0; n < jobs; n++)
    cluster.time.at(2500 + cluster.randomInt(n < 60 ? 1000 : 40_000), () => cluster.users.submitRandomJob(n));
  for (const [at, name] of [
    [15_000, 'machine terminated'],
    [20_000, 'crash'],
    [25_000, 'responses to a machine are lost'],
    [30_000, 'crash with immediate restart'],
  ] as const) {
    cluster.time.at(at, () => (faults[name] as Fault)(cluster));
  }
  const endMs = 110_000;
  await cluster.runUntil(endMs);
  assert.deepEqual(cluster.rules.violations, []);
  assert.deepEqual(cluster.jobs.unfinished(), []);
  assert.ok(
    cluster.cloud.workers.size + cluster.cloud.terminatedCount > 60,
    'more than 60 machines were provisioned',
  );
  const statuses = cluster.nodes.map((n) => n.controller?.status() as ControllerStatus);
  const sum = (select: (s: ControllerStatus) => number): number =>
    statuses.reduce((total, s) => total + select(s), 0);
  const seconds = endMs / 1000;
  assert.ok(sum((s) => s.store.requests) < 90 * seconds, 'requests to the state store');
  // One write for each job and machine would be several times as many.
  const writes = sum((s) => s.store.writes);
  assert.ok(writes < 6.5 * seconds, `${writes} writes`);
  for (const { partitions } of statuses)
    for (const partition of partitions)
      assert.ok(partition.placementPasses <= partition.reports, 'at most one placement pass per heartbeat');
});
