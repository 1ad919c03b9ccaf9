import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MACHINE_TYPES } from './cluster-options';
import { leaderIndex, type Fault } from './faults';
import { jobParameters } from './job-parameters';
import { VirtualCluster } from './virtual-cluster';

const TYPE_ADDED_AT = 20_000;
/** The leader reads the cloud's machine types every 20 s. */
const SUBMITTED_AT = 50_000;
const SIMULATION_MS = 180_000;
const JOBS = 12;

/** What happens between the time at which the type is added and the submissions. */
const faultsBefore: Record<string, Fault> = {
  'no fault': () => undefined,
  'the leader ends': (cluster) => cluster.crash(leaderIndex(cluster), 4000),
  'all controllers restart': (cluster) => cluster.nodes.forEach((_, i) => cluster.crash(i, 1000)),
};

/** Users submit jobs for a machine type that the cloud has added while the controllers run, each to a random controller. */
async function runWithNewType(seed: number, fault: Fault): Promise<VirtualCluster> {
  const [small, large] = MACHINE_TYPES as [(typeof MACHINE_TYPES)[0], (typeof MACHINE_TYPES)[0]];
  const machineTypes = [small];
  const cluster = new VirtualCluster(seed, {
    controllers: 3,
    maxMachines: 8,
    teamLimitFactor: 4,
    machineTypes,
  });
  cluster.time.at(TYPE_ADDED_AT, () => machineTypes.push(large));
  cluster.time.at(TYPE_ADDED_AT + 5000, () => fault(cluster));
  cluster.users.faultsEndAt = SUBMITTED_AT;
  const job = jobParameters({ tasks: 1, machineTypes: [large.label] });
  for (let n = 0; n < JOBS; n++)
    cluster.time.at(SUBMITTED_AT + 500 * n, () => cluster.users.submitJob(n, job));
  await cluster.runUntil(SIMULATION_MS);
  return cluster;
}

// Guards against a machine type that only the leader knows: the other controllers refused jobs for it with 422, and as owners they
// started nothing on its machines.
test('a machine type that the cloud adds while the controllers run is known to all of them', async (t) => {
  for (const [name, fault] of Object.entries(faultsBefore)) {
    for (const seed of [1, 2]) {
      await t.test(`${name}, seed ${seed}`, async () => {
        const cluster = await runWithNewType(seed, fault);
        assert.deepEqual(cluster.rules.violations, []);
        assert.deepEqual(cluster.jobs.unfinished(), [], 'unfinished jobs');
      });
    }
  }
});
