import assert from 'node:assert/strict';
import { test } from 'node:test';
import { VirtualCluster } from './virtual-cluster';
import { faults, type ControllerStatus, type Fault } from './faults';
import { DAY_MS } from './directed-days';

const FAULTS_END_MS = 150_000;

async function faultDay(seed: number, perDay: number): Promise<VirtualCluster> {
  const cluster = new VirtualCluster(seed);
  cluster.users.faultsEndAt = FAULTS_END_MS + 20_000;
  const names = Object.keys(faults);
  for (let n = 0; n < 26; n++) {
    cluster.time.at(2500 + cluster.randomInt(FAULTS_END_MS - 10_000), () => cluster.users.submitRandomJob(n));
  }
  for (let n = 0; n < perDay; n++) {
    const fault = faults[names[cluster.randomInt(names.length)] as string] as Fault;
    cluster.time.at(8000 + cluster.randomInt(FAULTS_END_MS - 30_000), () => fault(cluster));
  }
  await cluster.runUntil(DAY_MS);
  return cluster;
}

test('no rule is broken, and all work is done, whatever fails', async (t) => {
  for (const [seed, perDay] of [
    [1, 0],
    [2, 3],
    [3, 5],
    [4, 8],
    [5, 8],
    [6, 12],
    [7, 12],
    [8, 16],
  ] as const) {
    await t.test(`seed ${seed}, ${perDay} faults`, async () => {
      const cluster = await faultDay(seed, perDay);
      assert.deepEqual(cluster.rules.violations, []);
      const open = cluster.jobs.unfinished();
      assert.deepEqual(open, [], 'unfinished jobs');
      assert.ok(cluster.rules.startedTasks >= cluster.jobs.list.length);
    });
  }
});

// What a fleet of hundreds costs is bounded by counts: no wall clock says the same twice.
test('five controllers and two hundred machines: rules kept, work bounded', async () => {
  const cluster = new VirtualCluster(11, { controllers: 5, maxMachines: 200, teamLimitFactor: 20 });
  const jobs = 120;
  cluster.users.faultsEndAt = 50_000;
  for (let n = 0; n < jobs; n++)
    cluster.time.at(2500 + cluster.randomInt(n < 60 ? 1000 : 40_000), () => cluster.users.submitRandomJob(n));
  for (const [at, name] of [
    [15_000, 'machine taken'],
    [20_000, 'crash'],
    [25_000, 'machine hears nothing'],
    [30_000, 'crash and back at once'],
  ] as const) {
    cluster.time.at(at, () => (faults[name] as Fault)(cluster));
  }
  const day = 110_000;
  await cluster.runUntil(day);
  assert.deepEqual(cluster.rules.violations, []);
  assert.deepEqual(cluster.jobs.unfinished(), []);
  assert.ok(cluster.cloud.workers.size + cluster.cloud.terminatedCount > 60, 'a fleet came together');
  const status = cluster.nodes.map((n) => n.controller?.status() as ControllerStatus);
  const sum = (of: (s: ControllerStatus) => number): number => status.reduce((total, s) => total + of(s), 0);
  const seconds = day / 1000;
  assert.ok(sum((s) => s.store.requests) < 90 * seconds, 'requests');
  // One change for each job and machine would be several times as many.
  const changes = sum((s) => s.store.writes);
  assert.ok(changes < 6.5 * seconds, `${changes} changes`);
  for (const { partitions } of status)
    for (const partition of partitions)
      assert.ok(partition.placementPasses <= partition.reports, 'at most one look for work a report');
});
