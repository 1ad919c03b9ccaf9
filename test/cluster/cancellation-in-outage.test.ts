import assert from 'node:assert/strict';
import { test } from 'node:test';
import { later, crashNonOwner, type Fault } from './faults';
import { outageAfterRefusalDay } from './directed-days';

const faultsBeforeOutage: Record<string, Fault> = {
  'nothing else': () => undefined,
  'a peer ends and is back within a second': (cluster) => crashNonOwner(cluster, 300),
  'a peer ends and is back within the outage': (cluster) => crashNonOwner(cluster, 3000),
  'answers to the cancelling writes are lost': (cluster) => {
    cluster.network.delayOneWriteIn = 2;
    later(cluster, 800, () => (cluster.network.delayOneWriteIn = 0));
  },
};

test('what is cancelled while the owner cannot see it is gone in time, also in an outage', async (t) => {
  for (const [name, between] of Object.entries(faultsBeforeOutage)) {
    for (const seed of [1, 2, 3]) {
      await t.test(`${name}, seed ${seed}`, async () => {
        const cluster = await outageAfterRefusalDay(seed, between);
        assert.deepEqual(cluster.rules.violations, []);
        assert.ok(
          cluster.jobs.list.some((j) => j.cancelledAt !== null && j.cancelledAt < 42_000),
          'something was cancelled before the outage',
        );
      });
    }
  }
});
