import assert from 'node:assert/strict';
import { test } from 'node:test';
import { VirtualCluster } from './virtual-cluster';
import { leaderIndex } from './faults';

const SIMULATION_MS = 340_000;

/** The boot time factor of the `n`th machine provisioned during the fault, from 0; `Infinity` if it never boots. */
const bootFactors: Record<string, (n: number) => number> = {
  'every second machine never boots': (n) => (n % 2 === 0 ? Infinity : 1),
  'machines take eight times as long to boot': () => 8,
  'some machines never boot, the others boot at once or late': (n) => [Infinity, 0.05, 6][n % 3] as number,
};

test('machines that boot late or never are given up in time, and all jobs finish', async (t) => {
  for (const [name, factor] of Object.entries(bootFactors)) {
    for (const seed of [1, 2]) {
      await t.test(`${name}, seed ${seed}`, async () => {
        const cluster = new VirtualCluster(seed, {
          controllers: 3,
          maxMachines: 14,
          teamLimitFactor: 2,
          extraRunMs: 3000,
        });
        cluster.users.faultsEndAt = 140_000;
        let provisioned = 0;
        cluster.cloud.bootFactor = (): number => factor(provisioned++);
        cluster.time.at(100_000, () => (cluster.cloud.bootFactor = (): number => 1));
        for (let n = 0; n < 24; n++)
          cluster.time.at(2500 + cluster.randomInt(90_000), () => cluster.users.submitRandomJob(n));
        cluster.time.at(45_000, () => cluster.crash(leaderIndex(cluster), 3000));
        await cluster.runUntil(SIMULATION_MS);
        assert.deepEqual(cluster.rules.violations, []);
        assert.deepEqual(cluster.jobs.unfinished(), [], 'unfinished jobs');
        assert.ok(provisioned > 2, 'machines were provisioned');
        assert.equal(cluster.cloud.bootingCount, 0, 'no machine is still booting');
      });
    }
  }
});

// Guards against a new owner that does not notice the silence of a machine from which it has never received a heartbeat. Two
// such machines were kept for ten minutes.
test('machines that hang forever, also while they change partitions, are deprovisioned', async (t) => {
  for (const seed of [1, 2, 3]) {
    await t.test(`seed ${seed}`, async () => {
      const cluster = new VirtualCluster(seed, {
        controllers: 3,
        maxMachines: 14,
        teamLimitFactor: 2,
        extraRunMs: 3000,
      });
      cluster.users.faultsEndAt = 140_000;
      for (let n = 0; n < 24; n++)
        cluster.time.at(2500 + cluster.randomInt(90_000), () => cluster.users.submitRandomJob(n));
      const hung = new Set<string>();
      for (const at of [20_000, 40_000, 60_000, 80_000])
        cluster.time.at(at, () => {
          for (const worker of [...cluster.cloud.workers.values()].filter(() => cluster.randomInt(3) === 0)) {
            worker.hung = true;
            hung.add(worker.name);
          }
        });
      cluster.time.at(41_000, () => cluster.nodes.forEach((_, i) => cluster.crash(i, 1000)));
      await cluster.runUntil(SIMULATION_MS);
      assert.deepEqual(cluster.rules.violations, []);
      assert.deepEqual(cluster.jobs.unfinished(), [], 'unfinished jobs');
      assert.ok(hung.size > 0);
      assert.deepEqual(
        [...hung].filter((name) => cluster.cloud.workers.has(name)),
        [],
        'still provisioned',
      );
    });
  }
});
