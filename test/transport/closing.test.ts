import assert from 'node:assert/strict';
import { createServer, type AddressInfo, type Server } from 'node:net';
import { once } from 'node:events';
import { test } from 'node:test';
import { schedulePeriodic, systemClock } from '../../src/transport/clock';
import { HttpClient } from '../../src/transport/http-client';
import { listenForPeers, PeerLink } from '../../src/transport/peer-link';
import { VirtualTime } from '../standin/clock';

test('a periodic action stops when it is cancelled, also from within the action', async () => {
  const time = new VirtualTime();
  const ranAt: number[] = [];
  const cancel = schedulePeriodic(
    time.clock(() => true),
    100,
    () => {
      ranAt.push(time.now);
      if (ranAt.length === 3) cancel();
    },
  );
  await time.run(1000);
  assert.deepEqual(ranAt, [100, 200, 300]);
});

test('a closed client resolves its pending requests to null and sends no more', async () => {
  let requestCount = 0;
  const server = createServer((socket) => {
    socket.on('data', () => requestCount++);
    socket.on('error', () => socket.destroy());
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const client = new HttpClient(`127.0.0.1:${(server.address() as AddressInfo).port}`, 1);
  const inFlight = client.call('GET', '/a', undefined, 60_000);
  const pending = client.call('GET', '/b', undefined, 60_000);
  await once(server, 'connection');
  client.close();
  assert.deepEqual(await Promise.all([inFlight, pending]), [null, null]);
  assert.equal(await client.call('GET', '/c', undefined, 60_000), null);
  server.close();
  await once(server, 'close');
  assert.ok(requestCount <= 1, `${requestCount} requests`);
});

test('a closed peer link does not reconnect', async () => {
  let connectionCount = 0;
  const server: Server = createServer((socket) => {
    connectionCount++;
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
  assert.equal(connectionCount, 1);
  server.close();
});

test('a peer server replies on the connection on which a frame arrived, and can be closed', async () => {
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
  for (let attempt = 0; attempt < 100 && replies.length === 0; attempt++) {
    link.send(Buffer.from('frame'));
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
  assert.equal(replies[0], 'frame!');
  link.close();
  server.close();
  await once(server, 'close');
});
