import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Membership } from '../../src/coordination/membership/membership';
import { decodePeerMessage, encodePeerMessage } from '../../src/protocol/peer-codec';
import { VirtualCluster } from './virtual-cluster';
import { type ControllerStatus } from './faults';

test('a lease extension is granted for a plausible peer status and refused for any other', async (t) => {
  const cluster = new VirtualCluster(1);
  for (let n = 0; n < 8; n++) cluster.time.at(2500 + 500 * n, () => cluster.users.submitRandomJob(n));
  cluster.time.at(20_000, () => cluster.store.startOutage(60_000));
  await cluster.runUntil(24_000);
  const [granter, requester] = cluster.nodes.map((n) => n.controller);
  const { revision } = requester?.status() as ControllerStatus;
  const incarnation = (requester as unknown as { membership: Membership }).membership.memberIncarnation;
  const status = {
    kind: 'status' as const,
    member: 'velodrome-1',
    sequence: 1,
    storeReachable: false,
    memberIncarnation: incarnation,
    partitions: [],
    misrouted: [],
    sinceHeartbeatMs: 0,
    revision,
  };
  const cases: [string, Buffer, boolean | null][] = [
    ['the current status of a peer', encodePeerMessage(status), true],
    ['the same status again', encodePeerMessage(status), true],
    [
      'a revision slightly ahead of the local one',
      encodePeerMessage({ ...status, revision: revision + 20 }),
      true,
    ],
    ['a peer that has read nothing yet, at revision 0', encodePeerMessage({ ...status, revision: 0 }), true],
    [
      'a revision far ahead of the local one',
      encodePeerMessage({ ...status, revision: revision + 1_000_000 }),
      false,
    ],
    [
      'an earlier incarnation of the peer',
      encodePeerMessage({ ...status, memberIncarnation: incarnation - 1 }),
      false,
    ],
    ['an unknown member', encodePeerMessage({ ...status, member: 'velodrome-9' }), false],
    ['a truncated frame', encodePeerMessage(status).subarray(0, 20), null],
  ];
  for (const [name, bytes, expected] of cases) {
    await t.test(name, () => {
      let granted: boolean | null = null;
      granter?.receiveFrame(bytes, (reply) => {
        const pong = decodePeerMessage(reply);
        granted = pong?.kind === 'pong' && pong.extended;
      });
      assert.equal(granted, expected);
    });
  }
});
