import assert from 'node:assert/strict';
import { test } from 'node:test';
import { decodeFleet } from '../../src/protocol/records';
import { keyKind, KEY_KINDS, partitionOfKey } from '../../src/protocol/keys';
import { VirtualCluster } from './virtual-cluster';
import { leaderIndex, ownerIndex } from './faults';

const MACHINES = 4000;
const BURSTS = 4;
/** Large pages, as the real interfaces have them: reading thousands of machines takes too long otherwise. */
const ENTRIES_PER_PAGE = 500;
const FIRST_BURST_AT = 3000;
const BURST_INTERVAL_MS = 400;
/** Longer than the lag of the cloud's list, so that most machines are registered together, from the list. */
const BOOT_MS = 8000;
const LOSS_AT = 14_000;
const SIMULATION_MS = 60_000;

function recordedMachines({ store }: VirtualCluster): string[] {
  return [...store.keys]
    .filter(([key]) => keyKind(key) === KEY_KINDS.fleet)
    .flatMap(([key, { v, stamp }]) => [...(decodeFleet(partitionOfKey(key), v, stamp)?.keys() ?? [])]);
}

// Guards against a burst of new machines whose records exceed the operations of one transaction: it was rejected and repeated until
// the leader's term ended, and no task could run on the machines.
test('4,000 machines come in bursts, a zone is lost, leader and owner end: no transaction is rejected, no machine forgotten', async () => {
  const cluster = new VirtualCluster(3, {
    controllers: 3,
    maxMachines: MACHINES,
    teamLimitFactor: 400,
    initialMachines: [{ type: 'small', count: 4 }],
    entriesPerPage: ENTRIES_PER_PAGE,
  });
  for (let burst = 0; burst < BURSTS; burst++)
    cluster.time.at(FIRST_BURST_AT + BURST_INTERVAL_MS * burst, () => {
      for (let i = 0; i < MACHINES / BURSTS; i++)
        cluster.cloud.addMachine('small', i % 2 === 0 ? 'a' : 'b', true, BOOT_MS);
    });
  for (let n = 0; n < 20; n++)
    cluster.time.at(FIRST_BURST_AT + BURST_INTERVAL_MS * n, () => cluster.users.submitRandomJob(n));
  let recordedBeforeLoss = 0;
  cluster.time.at(LOSS_AT, () => {
    recordedBeforeLoss = recordedMachines(cluster).length;
    for (const [name, { zone }] of [...cluster.cloud.workers])
      if (zone === 'b') cluster.cloud.terminateMachine(name);
    cluster.crash(leaderIndex(cluster), 1000);
    cluster.time.at(LOSS_AT + 3000, () => cluster.crash(ownerIndex(cluster), 1000));
  });
  await cluster.runUntil(SIMULATION_MS);
  const recorded = recordedMachines(cluster);
  const running = [...cluster.cloud.workers.keys()];
  console.log(
    `# ${recordedBeforeLoss} machines recorded before the loss; at the end ${recorded.length} recorded, ${running.length} running,`,
    `${cluster.store.keys.size} keys, ${cluster.store.changeCount} changes of keys`,
  );
  assert.deepEqual(cluster.rules.violations, []);
  assert.ok(recordedBeforeLoss > 0.9 * MACHINES, 'nearly all machines are recorded before the loss');
  assert.equal(new Set(recorded).size, recorded.length, 'no machine is recorded twice');
  const known = new Set(recorded);
  assert.deepEqual(
    running.filter((name) => !known.has(name)),
    [],
    'running machines without a record',
  );
  const alive = new Set(running);
  const gone = recorded.filter((name) => !alive.has(name));
  assert.ok(gone.length < 0.02 * MACHINES, `${gone.length} records of machines that are gone`);
});
