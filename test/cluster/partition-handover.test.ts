import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Reachability } from '../../src/coordination/membership/reachability';
import { cutOwnerFromWorkers } from './faults';
import { runWithRepeatedFault } from './directed-days';
import { patchProperty } from '../support/patch-property';

test('a handover more than halves the leases that expire while an owner is disconnected from its machines', async () => {
  const countExpiredLeases = async (): Promise<number> => {
    const cluster = await runWithRepeatedFault(3, (cluster) => cutOwnerFromWorkers(cluster, 30_000));
    assert.deepEqual(cluster.rules.violations, []);
    return cluster.expiredLeases;
  };
  const withHandover = await countExpiredLeases();
  const restore = patchProperty(Reachability.prototype, 'selectReplacementOwner', { value: () => null });
  try {
    const withoutHandover = await countExpiredLeases();
    assert.ok(
      withHandover < withoutHandover / 2,
      `${withHandover} leases expired, ${withoutHandover} without the handover`,
    );
  } finally {
    restore();
  }
});
