import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Reachability } from '../../src/coordination/membership/reachability';
import { cutOwnerFromWorkers } from './faults';
import { directedDay } from './directed-days';
import { patchProperty } from '../support/patch-property';

test('machines whose owner is cut from them alone keep their leases', async () => {
  const leases = async (): Promise<number> => {
    const cluster = await directedDay(3, (cluster) => cutOwnerFromWorkers(cluster, 30_000));
    assert.deepEqual(cluster.rules.violations, []);
    return cluster.expiredLeases;
  };
  const whole = await leases();
  const restore = patchProperty(Reachability.prototype, 'selectReplacementOwner', { value: () => null });
  try {
    const without = await leases();
    assert.ok(whole < without / 2, `${whole} leases lost, ${without} without the hand-over`);
  } finally {
    restore();
  }
});
