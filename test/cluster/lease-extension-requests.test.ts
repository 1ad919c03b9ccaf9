import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Membership } from '../../src/coordination/membership/membership';
import { decodePeerMessage, encodePeerMessage } from '../../src/protocol/peer-codec';
import { VirtualCluster } from './virtual-cluster';
import { type ControllerStatus } from './faults';

test('an extension is given to what a peer can be, and to nothing else', async (t) => {
  const cluster = new VirtualCluster(1);
  for (let n = 0; n < 8; n++) cluster.time.at(2500 + 500 * n, () => cluster.users.submitRandomJob(n));
  cluster.time.at(20_000, () => cluster.store.startOutage(60_000));
  await cluster.runUntil(24_000);
  const [asked, asker] = cluster.nodes.map((n) => n.controller);
  const { revision } = asker?.status() as ControllerStatus;
  const incarnation = (asker as unknown as { membership: Membership }).membership.memberIncarnation;
  const status = {
    ...{
      kind: 'status' as const,
      member: 'velodrome-1',
      sequence: 1,
      storeOk: false,
      memberIncarnation: incarnation,
      partitions: [],
    },
    ...{ misrouted: [], sinceHeartbeatMs: 0, revision },
  };
  const cases: [string, Buffer, boolean | null][] = [
    ['a peer as it is', encodePeerMessage(status), true],
    ['the same once more', encodePeerMessage(status), true],
    ['a little ahead of us', encodePeerMessage({ ...status, revision: revision + 20 }), true],
    ['one that knows nothing yet', encodePeerMessage({ ...status, revision: 0 }), true],
    ['a revision from the future', encodePeerMessage({ ...status, revision: revision + 1_000_000 }), false],
    ['an earlier life of it', encodePeerMessage({ ...status, memberIncarnation: incarnation - 1 }), false],
    ['one that nobody knows', encodePeerMessage({ ...status, member: 'velodrome-9' }), false],
    ['a frame cut short', encodePeerMessage(status).subarray(0, 20), null],
  ];
  for (const [name, bytes, extended] of cases) {
    await t.test(name, () => {
      let answered: boolean | null = null;
      asked?.receiveFrame(bytes, (reply) => {
        const pong = decodePeerMessage(reply);
        answered = pong?.kind === 'pong' && pong.extended;
      });
      assert.equal(answered, extended);
    });
  }
});
