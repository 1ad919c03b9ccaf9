import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type Membership } from '../../src/coordination/membership/membership';
import { VirtualCluster } from './virtual-cluster';
import { later, leaderNode, ownerNode, type Fault } from './faults';
import { type ControllerNode } from './controller-node';

const DAY_MS = 340_000;

const SILENCE_MS = 70_000;

const FAULT_AT_MS = 30_000;

/** Users cancel what runs, through whatever controller answers, during a silence and just after it. */
function cancelDuringSilence(cluster: VirtualCluster): void {
  for (const afterMs of [500, 6000, 20_000, SILENCE_MS + 200])
    later(cluster, afterMs, () => cluster.users.cancelRunningJobs(2));
}

function pauseProcess(cluster: VirtualCluster, node: ControllerNode): void {
  node.pausedUntil = cluster.time.now + SILENCE_MS;
}

function setForSilence(
  cluster: VirtualCluster,
  node: ControllerNode,
  what: 'cutFromWorkers' | 'isolated' | 'storeRefuses',
): void {
  node[what] = true;
  later(cluster, SILENCE_MS, () => (node[what] = false));
}

/** Ways in which a controller goes silent for over a minute. */
const controllerSilences: Record<string, Fault> = {
  'the leader stands still while its clocks run on': (cluster) => pauseProcess(cluster, leaderNode(cluster)),
  'an owner stands still while its clocks run on': (cluster) => pauseProcess(cluster, ownerNode(cluster)),
  'an owner stands still, and all others are started anew before it goes on': (cluster) => {
    const still = ownerNode(cluster);
    pauseProcess(cluster, still);
    later(cluster, SILENCE_MS - 3000, () =>
      cluster.nodes.forEach((node, i) => (node === still ? undefined : cluster.crash(i, 400))),
    );
  },
  'the leader is cut from everything': (cluster) => {
    const node = leaderNode(cluster);
    setForSilence(cluster, node, 'cutFromWorkers');
    setForSilence(cluster, node, 'isolated');
  },
  'an owner is refused by the state service alone': (cluster) =>
    setForSilence(cluster, ownerNode(cluster), 'storeRefuses'),
  'an owner loses its workers alone': (cluster) =>
    setForSilence(cluster, ownerNode(cluster), 'cutFromWorkers'),
};

async function silentDay(seed: number, silence: Fault): Promise<VirtualCluster> {
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
  await cluster.runUntil(DAY_MS);
  return cluster;
}

test('a controller is silent for over a minute: rules kept, all work done', async (t) => {
  for (const [name, silence] of Object.entries(controllerSilences)) {
    for (const seed of [1, 2]) {
      await t.test(`${name}, seed ${seed}`, async () => {
        const cluster = await silentDay(seed, silence);
        assert.deepEqual(cluster.rules.violations, []);
        assert.deepEqual(cluster.jobs.unfinished(), [], 'unfinished jobs');
      });
    }
  }
});

test('the queue moves and users are answered while the leader stands still', async () => {
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
    `${cluster.jobs.completedTasks.size - before} tasks done in the silence`,
  );
  const open = cluster.jobs.list.filter((job) => job.accepted && job.terminalStatus === null);
  const oldest = Math.min(end, ...open.map((job) => job.lastAnsweredAt));
  assert.ok(end - oldest < 20_000, `a job was last answered ${end - oldest} ms ago`);
  assert.deepEqual(cluster.rules.violations, []);
});

// Before it has heard or read anything anew: what it knew when it stopped entitles it to nothing.
test('a controller that goes on after a minute may neither act nor keep tasks alive', async () => {
  const cluster = new VirtualCluster(4, {
    controllers: 3,
    maxMachines: 12,
    teamLimitFactor: 2,
    extraRunMs: 6000,
  });
  for (let n = 0; n < 12; n++) cluster.time.at(2500 + 1500 * n, () => cluster.users.submitRandomJob(n));
  await cluster.runUntil(FAULT_AT_MS);
  const node = ownerNode(cluster);
  const { membership: member } = node.controller as unknown as { membership: Membership };
  assert.deepEqual([member.alive(), member.mayRenewLeases()], [true, true]);
  pauseProcess(cluster, node);
  await cluster.runUntil(FAULT_AT_MS + SILENCE_MS - 1);
  assert.deepEqual([member.alive(), member.mayRenewLeases()], [false, false]);
  await cluster.runUntil(FAULT_AT_MS + SILENCE_MS + 20_000);
  assert.deepEqual([member.alive(), member.mayRenewLeases()], [true, true], 'it has joined anew');
  assert.deepEqual(cluster.rules.violations, []);
});
