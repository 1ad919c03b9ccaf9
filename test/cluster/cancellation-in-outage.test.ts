import assert from 'node:assert/strict';
import { test } from 'node:test';
import { schedule, crashNonOwner, type Fault } from './faults';
import { runOutageAfterRefusal } from './directed-days';

const faultsBeforeOutage: Record<string, Fault> = {
  'no other fault': () => undefined,
  'a peer crashes and restarts before the outage': (cluster) => crashNonOwner(cluster, 300),
  'a peer crashes and restarts during the outage': (cluster) => crashNonOwner(cluster, 3000),
  'half of the writes during the cancellations are applied late and get no response': (cluster) => {
    cluster.network.delayOneWriteIn = 2;
    schedule(cluster, 800, () => (cluster.network.delayOneWriteIn = 0));
  },
};

test('jobs that are cancelled while the state store refuses their owner stop in time, also during an outage', async (t) => {
  for (const [name, otherFault] of Object.entries(faultsBeforeOutage)) {
    for (const seed of [1, 2, 3]) {
      await t.test(`${name}, seed ${seed}`, async () => {
        const cluster = await runOutageAfterRefusal(seed, otherFault);
        assert.deepEqual(cluster.rules.violations, []);
        assert.ok(
          cluster.jobs.list.some((j) => j.cancelledAt !== null && j.cancelledAt < 42_000),
          'a job was cancelled before the outage',
        );
      });
    }
  }
});
