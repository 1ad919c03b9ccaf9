import assert from 'node:assert/strict';
import { test } from 'node:test';
import pino from 'pino';
import { RequestPriority, RequestQueue } from '../../src/storage/request-queue';
import { StateStoreClient } from '../../src/storage/state-store-client';
import { flushPromises, VirtualTime } from '../standin/clock';

const limits = { requestRate: 10, writeRate: 10, controllers: 1 };

test('a closed request queue refuses waiting and later requests, and runs no timer', async () => {
  const time = new VirtualTime();
  const queue = new RequestQueue(
    time.clock(() => true),
    limits,
  );
  const turns = Array.from({ length: 20 }, () => queue.awaitTurn(RequestPriority.Decision, 0, Infinity));
  queue.close();
  const granted = (await Promise.all(turns)).filter(Boolean).length;
  assert.ok(
    granted > 0 && granted < turns.length,
    `${granted} of ${turns.length} had their turn before the close`,
  );
  assert.equal(
    await queue.awaitTurn(RequestPriority.Lease, 0, Infinity),
    false,
    'later requests are refused as well',
  );
  await time.run(10_000);
  assert.equal(time.now, 10_000);
});

test('the feed of a closed client ends and sends no more requests', async () => {
  const time = new VirtualTime();
  const paths: string[] = [];
  const call = (_method: string, path: string) => {
    paths.push(path);
    const body = path.startsWith('/watch')
      ? { ledger_rev: 3, news: [] }
      : { pairs: [], truncated: false, ledger_rev: 3 };
    return Promise.resolve({ status: 200, body });
  };
  const client = new StateStoreClient(
    {
      transport: { call },
      watchTransport: { call },
      clock: time.clock(() => true),
      log: pino({ level: 'silent' }),
    },
    limits,
  );
  let ended = false;
  void client.followChanges().then(() => (ended = true));
  await flushPromises();
  await time.run(2000);
  assert.ok(client.replica.synced && !ended);
  client.close();
  await time.run(4000);
  const requestCount = paths.length;
  assert.ok(ended);
  await time.run(10_000);
  assert.equal(paths.length, requestCount);
});
