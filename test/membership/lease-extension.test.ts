import assert from 'node:assert/strict';
import { test } from 'node:test';
import { LEASE_EXTENSION_MS, LeaseExtensions } from '../../src/coordination/membership/lease-extension';

test('lease extensions are granted during a store outage, block takeovers, and are valid only from all peers', async (t) => {
  const grantedAt = 10_000;
  const extensions = new LeaseExtensions(['b', 'c'], 0);
  const cases: [string, () => unknown, unknown][] = [
    [
      'none is granted while the store is reachable',
      () => extensions.grant('b', true, true, grantedAt),
      false,
    ],
    [
      'none is granted to a member whose session lease is known to have ended',
      () => extensions.grant('b', false, false, grantedAt),
      false,
    ],
    [
      'one is granted to a live member while the store is unreachable',
      () => extensions.grant('b', true, false, grantedAt),
      true,
    ],
    [
      'a takeover is not permitted before the extension has expired',
      () => extensions.permitsTakeover('b', grantedAt + LEASE_EXTENSION_MS),
      false,
    ],
    [
      'a takeover is permitted once the extension has expired',
      () => extensions.permitsTakeover('b', grantedAt + LEASE_EXTENSION_MS + 10),
      true,
    ],
    [
      'a takeover is permitted from a member without an extension',
      () => extensions.permitsTakeover('c', grantedAt),
      true,
    ],
    [
      'a process that has just started permits no takeover while an earlier extension may be valid',
      () => new LeaseExtensions(['b'], 50_000).permitsTakeover('b', 50_000 + LEASE_EXTENSION_MS),
      false,
    ],
    [
      'an extension from one of two peers is not sufficient',
      () => {
        extensions.recordResponse('b', extensions.recordRequest(20_000), true);
        return extensions.extendedByAllPeers(20_001);
      },
      false,
    ],
    [
      'extensions from all peers are sufficient, and their duration counts from the request',
      () => {
        const sequence = extensions.recordRequest(20_000);
        extensions.recordResponse('b', sequence, true);
        extensions.recordResponse('c', sequence, true);
        return [extensions.extendedByAllPeers(22_600), extensions.extendedByAllPeers(22_800)];
      },
      [true, false],
    ],
    [
      'a response to a request that is no longer stored is ignored',
      () => {
        const oldSequence = extensions.recordRequest(30_000);
        for (let i = 0; i < 20; i++) extensions.recordRequest(31_000);
        extensions.recordResponse('b', oldSequence, true);
        extensions.recordResponse('c', oldSequence, true);
        return extensions.extendedByAllPeers(30_001);
      },
      false,
    ],
  ];
  for (const [name, act, expected] of cases) await t.test(name, () => assert.deepEqual(act(), expected));
});

test('an extension is valid only with all cancellations that its granter knows', async (t) => {
  type Response = [peer: string, requestedAt: number, page: number, pages: number];
  const cases: [string, Response[], number][] = [
    [
      'cancellations are known up to the earliest of the requests that the peers answered last',
      [
        ['b', 1000, 0, 1],
        ['c', 1500, 0, 1],
      ],
      1000,
    ],
    [
      'without a response from every peer, no cancellations count as known',
      [['b', 1000, 0, 1]],
      Number.NEGATIVE_INFINITY,
    ],
    [
      'a response with a missing page is not valid',
      [
        ['b', 1000, 0, 2],
        ['c', 1000, 0, 1],
      ],
      Number.NEGATIVE_INFINITY,
    ],
    [
      'a response with all pages is valid, in whatever order they arrive',
      [
        ['b', 1000, 1, 2],
        ['c', 1000, 0, 1],
        ['b', 1000, 0, 2],
      ],
      1000,
    ],
    [
      'a page that arrives twice counts once',
      [
        ['b', 1000, 0, 2],
        ['b', 1000, 0, 2],
        ['c', 1000, 0, 1],
      ],
      -Infinity,
    ],
    [
      'pages of two responses do not make one valid response',
      [
        ['b', 1000, 0, 2],
        ['b', 1500, 1, 2],
        ['c', 1500, 0, 1],
      ],
      -Infinity,
    ],
    [
      'a page out of range is ignored',
      [
        ['b', 1000, 3, 2],
        ['c', 1000, 0, 1],
      ],
      -Infinity,
    ],
    [
      'a late response to an earlier request changes nothing',
      [
        ['b', 1500, 0, 1],
        ['c', 1500, 0, 1],
        ['b', 1000, 0, 1],
      ],
      1500,
    ],
  ];
  for (const [name, responses, expected] of cases) {
    await t.test(name, () => {
      const extensions = new LeaseExtensions(['b', 'c'], 0);
      const sequences = new Map([1000, 1500].map((at) => [at, extensions.recordRequest(at)]));
      for (const [peer, at, page, pages] of responses)
        extensions.recordResponse(peer, sequences.get(at) ?? 0, true, page, pages);
      assert.equal(extensions.freshAsOf, expected);
      assert.equal(extensions.extendedByAllPeers(2000), expected > 0);
    });
  }
  await t.test('a response to a request that was never sent is ignored', () => {
    const extensions = new LeaseExtensions(['b'], 0);
    extensions.recordResponse('b', extensions.recordRequest(1000) + 1, true);
    assert.equal(extensions.extendedByAllPeers(1001), false);
  });
});
