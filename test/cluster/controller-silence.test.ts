import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type Membership } from '../../src/coordination/membership/membership';
import { VirtualCluster } from './virtual-cluster';
import { schedule, leaderNode, ownerNode, type Fault } from './faults';
import { type ControllerNode } from './controller-node';

const SIMULATION_MS = 340_000;

const SILENCE_MS = 70_000;

const FAULT_AT_MS = 30_000;

/** Cancels running jobs, through whichever controller responds, during the silence and 200 ms after it. */
function cancelDuringSilence(cluster: VirtualCluster): void {
  for (const afterMs of [500, 6000, 20_000, SILENCE_MS + 200])
    schedule(cluster, afterMs, () => cluster.users.cancelRunningJobs(2));
}

function pauseProcess(cluster: VirtualCluster, node: ControllerNode): void {
  node.pausedUntil = cluster.time.now + SILENCE_MS;
}

function setFaultDuringSilence(
  cluster: VirtualCluster,
  node: ControllerNode,
  fault: 'cutFromWorkers' | 'isolated' | 'storeRefuses',
): void {
  node[fault] = true;
  schedule(cluster, SILENCE_MS, () => (node[fault] = false));
}

/** Faults that pause a controller, or disconnect it from some or all others, for over a minute. */
const controllerSilences: Record<string, Fault> = {
  'the leader is paused while its clocks run on': (cluster) => pauseProcess(cluster, leaderNode(cluster)),
  'an owner is paused while its clocks run on': (cluster) => pauseProcess(cluster, ownerNode(cluster)),
  'an owner is paused, and all other controllers restart before it resumes': (cluster) => {
    const pausedNode = ownerNode(cluster);
    pauseProcess(cluster, pausedNode);
    schedule(cluster, SILENCE_MS - 3000, () =>
      cluster.nodes.forEach((node, i) => (node === pausedNode ? undefined : cluster.crash(i, 400))),
    );
  },
  'the leader is disconnected from workers, state store and peers': (cluster) => {
    const node = leaderNode(cluster);
    setFaultDuringSilence(cluster, node, 'cutFromWorkers');
    setFaultDuringSilence(cluster, node, 'isolated');
  },
  'an owner is refused by the state store only': (cluster) =>
    setFaultDuringSilence(cluster, ownerNode(cluster), 'storeRefuses'),
  'an owner loses the connection to its workers only': (cluster) =>
    setFaultDuringSilence(cluster, ownerNode(cluster), 'cutFromWorkers'),
};

async function runWithSilence(seed: number, silence: Fault): Promise<VirtualCluster> {
  const cluster = new VirtualCluster(seed, {
    controllers: 3,
    maxMachines: 12,
    teamLimitFactor: 2,
    extraRunMs: 6000,
    zoneConstraints: true,
  });
  cluster.users.faultsEndAt = FAULT_AT_MS + SILENCE_MS + 30_000;
  for (let n = 0; n < 28; n++)
    cluster.time.at(2500 + cluster.randomInt(100_000), () => cluster.users.submitRandomJob(n));
  cluster.time.at(FAULT_AT_MS, () => {
    silence(cluster);
    cancelDuringSilence(cluster);
  });
  await cluster.runUntil(SIMULATION_MS);
  return cluster;
}

test('with a controller silent for over a minute no rule is violated and all jobs finish', async (t) => {
  for (const [name, silence] of Object.entries(controllerSilences)) {
    for (const seed of [1, 2]) {
      await t.test(`${name}, seed ${seed}`, async () => {
        const cluster = await runWithSilence(seed, silence);
        assert.deepEqual(cluster.rules.violations, []);
        assert.deepEqual(cluster.jobs.unfinished(), [], 'unfinished jobs');
      });
    }
  }
});

test('tasks complete and users get responses while the leader is paused', async () => {
  const cluster = new VirtualCluster(3, { controllers: 3, maxMachines: 12, teamLimitFactor: 2 });
  for (let n = 0; n < 20; n++) cluster.time.at(2500 + 4000 * n, () => cluster.users.submitRandomJob(n));
  cluster.time.at(FAULT_AT_MS, () => pauseProcess(cluster, leaderNode(cluster)));
  const settledMs = FAULT_AT_MS + 15_000;
  await cluster.runUntil(settledMs);
  const before = cluster.jobs.completedTasks.size;
  const end = FAULT_AT_MS + SILENCE_MS - 1000;
  await cluster.runUntil(end);
  assert.ok(
    cluster.jobs.completedTasks.size > before + 10,
    `${cluster.jobs.completedTasks.size - before} tasks completed during the silence`,
  );
  const open = cluster.jobs.list.filter((job) => job.accepted && job.terminalStatus === null);
  const oldest = Math.min(end, ...open.map((job) => job.lastAnsweredAt));
  assert.ok(end - oldest < 20_000, `a job was last answered ${end - oldest} ms ago`);
  assert.deepEqual(cluster.rules.violations, []);
});

// Data from before the pause must not entitle a controller to act until it has received or read something newer.
test('a controller paused for over a minute may neither act nor renew leases until it has rejoined', async () => {
  const cluster = new VirtualCluster(4, {
    controllers: 3,
    maxMachines: 12,
    teamLimitFactor: 2,
    extraRunMs: 6000,
  });
  for (let n = 0; n < 12; n++) cluster.time.at(2500 + 1500 * n, () => cluster.users.submitRandomJob(n));
  await cluster.runUntil(FAULT_AT_MS);
  const node = ownerNode(cluster);
  const { membership } = node.controller as unknown as { membership: Membership };
  assert.deepEqual([membership.mayAct(), membership.mayRenewLeases()], [true, true]);
  pauseProcess(cluster, node);
  await cluster.runUntil(FAULT_AT_MS + SILENCE_MS - 1);
  assert.deepEqual([membership.mayAct(), membership.mayRenewLeases()], [false, false]);
  await cluster.runUntil(FAULT_AT_MS + SILENCE_MS + 20_000);
  assert.deepEqual([membership.mayAct(), membership.mayRenewLeases()], [true, true], 'it has rejoined');
  assert.deepEqual(cluster.rules.violations, []);
});
