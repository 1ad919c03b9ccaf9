import assert from 'node:assert/strict';
import { test } from 'node:test';
import { flushPromises, VirtualTime } from './clock';
import { FakeWorker, type FakeWorkerHooks } from './fake-worker';

const LEASE_MS = 12_000;
const TASK = 'job-000001/0';

/** A worker whose first heartbeat is answered with the start of a task. */
async function workerWithTask(time: VirtualTime): Promise<FakeWorker> {
  const start = { order: 'start', piece: TASK, try: 1 };
  const hooks: FakeWorkerHooks = {
    taskStarted: () => undefined,
    taskCompleted: () => undefined,
    leaseExpired: () => undefined,
    runMs: () => 10 * LEASE_MS,
    deliverHeartbeat: () => Promise.resolve({ status: 200, body: { baton: 1, orders: [start] } }),
    controllerIndex: () => 0,
    controllerCount: 1,
    heartbeatIntervalMs: 2000,
    leaseMs: LEASE_MS,
  };
  const worker = new FakeWorker(time, hooks, { name: 'i-0', type: 'small', zone: 'a', spot: false });
  await flushPromises();
  await time.run(5000);
  assert.equal(worker.executes(TASK), true);
  return worker;
}

// Guards against a check that is wrong: for up to 100 ms after a hang, tasks of an expired lease counted as executed.
test('a worker that hung for longer than its lease executes none of its tasks from the moment it resumes', async () => {
  const time = new VirtualTime();
  const worker = await workerWithTask(time);
  worker.hung = true;
  await time.run(5000 + 2 * LEASE_MS);
  assert.equal(worker.executes(TASK), false);
  worker.hung = false;
  assert.equal(worker.executes(TASK), false);
});

test('a worker that hung for less than its lease goes on with its tasks', async () => {
  const time = new VirtualTime();
  const worker = await workerWithTask(time);
  worker.hung = true;
  await time.run(5000 + LEASE_MS / 2);
  worker.hung = false;
  assert.equal(worker.executes(TASK), true);
});
