import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type VirtualClusterOptions } from './cluster-options';
import { runTinyTasks } from './directed-days';
import { leaderIndex, ownerIndex } from './faults';
import { type VirtualCluster } from './virtual-cluster';

const cases: {
  name: string;
  options?: Partial<VirtualClusterOptions>;
  disturb?: (cluster: VirtualCluster) => void;
}[] = [
  { name: 'without faults' },
  {
    name: 'the owner crashes while the machine is full',
    disturb: (cluster) => cluster.time.at(14_000, () => cluster.crash(ownerIndex(cluster), 1000)),
  },
  {
    name: 'all controllers are away for longer than the lease',
    disturb: (cluster) =>
      cluster.time.at(14_000, () => cluster.nodes.forEach((_, index) => cluster.crash(index, 14_000))),
  },
  {
    name: 'responses to the machine are lost for a while',
    disturb: (cluster) => {
      const setLost = (lost: boolean): void =>
        cluster.cloud.workers.forEach((worker) => (worker.responsesLost = lost));
      cluster.time.at(12_000, () => setLost(true));
      cluster.time.at(20_000, () => setLost(false));
    },
  },
  {
    name: 'the job is cancelled while its tasks run, and the leader crashes',
    disturb: (cluster) => {
      cluster.time.at(14_000, () => cluster.users.cancelJob(1));
      cluster.time.at(14_500, () => cluster.crash(leaderIndex(cluster), 500));
    },
  },
  {
    name: 'writes to the state store are slow, so that many exits are unrecorded',
    disturb: (cluster) => (cluster.network.delayOneWriteIn = 3),
  },
  { name: 'the machine takes many more', options: { teamLimitFactor: 40 } },
];

// Guards against more tasks on a machine than its worker can report in one request: every controller refused its heartbeats, its lease
// ended with all tasks, and the same began anew.
test('thousands of tiny tasks fit on one machine: no message is too large and all jobs end', async (t) => {
  for (const { name, options = {}, disturb = () => undefined } of cases)
    await t.test(name, async () => {
      const cluster = await runTinyTasks(5, disturb, options);
      assert.deepEqual(cluster.rules.violations, []);
      assert.deepEqual(cluster.jobs.unfinished(), [], 'unfinished jobs');
    });
});
