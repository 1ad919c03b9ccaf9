import assert from 'node:assert/strict';
import { test } from 'node:test';
import { LEASE_EXTENSION_MS, LeaseExtensions } from '../../src/coordination/membership/lease-extension';

test('lease extensions', async (t) => {
  const extendedAt = 10_000;
  const extensions = new LeaseExtensions(['b', 'c'], 0);
  const cases: [string, () => unknown, unknown][] = [
    ['no extension while the store answers', () => extensions.grant('b', true, true, extendedAt), false],
    [
      'none to a member whose session lease has ended for us',
      () => extensions.grant('b', false, false, extendedAt),
      false,
    ],
    ['else it is given', () => extensions.grant('b', true, false, extendedAt), true],
    ['and kept', () => extensions.permitsTakeover('b', extendedAt + LEASE_EXTENSION_MS), false],
    [
      'until it has run out',
      () => extensions.permitsTakeover('b', extendedAt + LEASE_EXTENSION_MS + 10),
      true,
    ],
    ['others are not covered', () => extensions.permitsTakeover('c', extendedAt), true],
    [
      'a process that has just started sits out what it may have extended before',
      () => new LeaseExtensions(['b'], 50_000).permitsTakeover('b', 50_000 + LEASE_EXTENSION_MS),
      false,
    ],
    [
      "one peer's extension is not enough",
      () => {
        extensions.recordResponse('b', extensions.recordRequest(20_000), true);
        return extensions.extendedByAllPeers(20_001);
      },
      false,
    ],
    [
      'all of them are, counted from the asking',
      () => {
        const seq = extensions.recordRequest(20_000);
        extensions.recordResponse('b', seq, true);
        extensions.recordResponse('c', seq, true);
        return [extensions.extendedByAllPeers(22_600), extensions.extendedByAllPeers(22_800)];
      },
      [true, false],
    ],
    [
      'an answer to a question long forgotten counts nothing',
      () => {
        const old = extensions.recordRequest(30_000);
        for (let i = 0; i < 20; i++) extensions.recordRequest(31_000);
        extensions.recordResponse('b', old, true);
        extensions.recordResponse('c', old, true);
        return extensions.extendedByAllPeers(30_001);
      },
      false,
    ],
  ];
  for (const [name, act, expected] of cases) await t.test(name, () => assert.deepEqual(act(), expected));
});

test('an extension counts with all that its giver knows to be cancelled', async (t) => {
  type Answer = [peer: string, askedAt: number, page: number, pages: number];
  const cases: [string, Answer[], number][] = [
    [
      'known is what the last of the peers said',
      [
        ['b', 1000, 0, 1],
        ['c', 1500, 0, 1],
      ],
      1000,
    ],
    ['a peer that said nothing leaves nothing known', [['b', 1000, 0, 1]], Number.NEGATIVE_INFINITY],
    [
      'a page that is missing is no extension',
      [
        ['b', 1000, 0, 2],
        ['c', 1000, 0, 1],
      ],
      Number.NEGATIVE_INFINITY,
    ],
    [
      'all pages are, in any order',
      [
        ['b', 1000, 1, 2],
        ['c', 1000, 0, 1],
        ['b', 1000, 0, 2],
      ],
      1000,
    ],
    [
      'a page that comes twice is one',
      [
        ['b', 1000, 0, 2],
        ['b', 1000, 0, 2],
        ['c', 1000, 0, 1],
      ],
      -Infinity,
    ],
    [
      'pages of two answers do not make one',
      [
        ['b', 1000, 0, 2],
        ['b', 1500, 1, 2],
        ['c', 1500, 0, 1],
      ],
      -Infinity,
    ],
    [
      'a page out of range counts nothing',
      [
        ['b', 1000, 3, 2],
        ['c', 1000, 0, 1],
      ],
      -Infinity,
    ],
    [
      'an old answer that comes late takes nothing back',
      [
        ['b', 1500, 0, 1],
        ['c', 1500, 0, 1],
        ['b', 1000, 0, 1],
      ],
      1500,
    ],
  ];
  for (const [name, answers, expected] of cases) {
    await t.test(name, () => {
      const extensions = new LeaseExtensions(['b', 'c'], 0);
      const seqs = new Map([1000, 1500].map((at) => [at, extensions.recordRequest(at)]));
      for (const [peer, at, page, pages] of answers)
        extensions.recordResponse(peer, seqs.get(at) ?? 0, true, page, pages);
      assert.equal(extensions.freshAsOf, expected);
      assert.equal(extensions.extendedByAllPeers(2000), expected > 0);
    });
  }
  await t.test('an answer to what was never asked', () => {
    const extensions = new LeaseExtensions(['b'], 0);
    extensions.recordResponse('b', extensions.recordRequest(1000) + 1, true);
    assert.equal(extensions.extendedByAllPeers(1001), false);
  });
});
