import assert from 'node:assert/strict';
import { test } from 'node:test';
import { schedule, crashNonOwner, type Fault } from './faults';
import { runOutageAfterRefusal } from './directed-days';

const faultsBeforeOutage: Record<string, Fault> = {
  'no other fault': () => undefined,
  'a peer crashes and is back within a second': (cluster) => crashNonOwner(cluster, 300),
  'a peer crashes and is back within the outage': (cluster) => crashNonOwner(cluster, 3000),
  'responses to the cancelling writes are lost': (cluster) => {
    cluster.network.delayOneWriteIn = 2;
    schedule(cluster, 800, () => (cluster.network.delayOneWriteIn = 0));
  },
};

test('jobs whose cancellation their owner cannot read stop in time, also during an outage', async (t) => {
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
