import assert from 'node:assert/strict';
import { createServer, type AddressInfo, type Server } from 'node:net';
import { once } from 'node:events';
import { test } from 'node:test';
import pino from 'pino';
import { RequestPriority, RequestQueue } from '../src/storage/request-queue';
import { StateStoreClient } from '../src/storage/state-store-client';
import { schedulePeriodic, systemClock } from '../src/transport/clock';
import { listenForPeers, PeerLink } from '../src/transport/peer-link';
import { settle, VirtualTime } from './standin/clock';

const limits = { requestRate: 10, writeRate: 10, controllers: 1 };

test('a periodic action ends when it is cancelled, also by itself', async () => {
  const time = new VirtualTime();
  const ran: number[] = [];
  const cancel = schedulePeriodic(
    time.clock(() => true),
    100,
    () => {
      ran.push(time.now);
      if (ran.length === 3) cancel();
    },
  );
  await time.run(1000);
  assert.deepEqual(ran, [100, 200, 300]);
});

test('a closed request queue refuses what waits and runs no timer', async () => {
  const time = new VirtualTime();
  const queue = new RequestQueue(
    time.clock(() => true),
    limits,
  );
  const turns = Array.from({ length: 20 }, () => queue.awaitTurn(RequestPriority.Decision, 0, Infinity));
  queue.close();
  const granted = (await Promise.all(turns)).filter(Boolean).length;
  assert.ok(granted > 0 && granted < turns.length, `${granted} of ${turns.length} had their turn before`);
  await time.run(10_000);
  assert.equal(time.now, 10_000);
});

test('the feed of a closed client ends, and asks the store for nothing more', async () => {
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
  void client.follow().then(() => (ended = true));
  await settle();
  await time.run(2000);
  assert.ok(client.replica.synced && !ended);
  client.close();
  await time.run(4000);
  const asked = paths.length;
  assert.ok(ended);
  await time.run(10_000);
  assert.equal(paths.length, asked);
});

test('a closed link to a peer is not opened again', async () => {
  let connections = 0;
  const server: Server = createServer((socket) => {
    connections++;
    socket.on('error', () => socket.destroy());
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const connected = once(server, 'connection');
  const link = new PeerLink(`127.0.0.1:${port}`, systemClock, () => undefined);
  await connected;
  link.close();
  await new Promise((resolve) => setTimeout(resolve, 1200));
  assert.equal(connections, 1);
  server.close();
});

test('a server for peers replies on the connection of the frame, and can be closed', async () => {
  const server = listenForPeers({
    host: '127.0.0.1',
    port: 0,
    onFrame: (content, reply) => reply(Buffer.concat([content, Buffer.from('!')])),
    onError: (error) => assert.fail(error),
  });
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const replies: string[] = [];
  const link = new PeerLink(`127.0.0.1:${port}`, systemClock, (content) => replies.push(content.toString()));
  for (let tries = 0; tries < 100 && replies.length === 0; tries++) {
    link.send(Buffer.from('frame'));
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
  assert.equal(replies[0], 'frame!');
  link.close();
  server.close();
  await once(server, 'close');
});
