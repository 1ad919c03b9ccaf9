import assert from 'node:assert/strict';
import { test } from 'node:test';
import { NewestFirstQueue } from '../../src/transport/fair-queue';

test('reports wait for their turn', async (t) => {
  type Step = (turns: NewestFirstQueue, log: string[], world: { now: number; gone: Set<string> }) => void;
  const add =
    (name: string, costs = 1, first = false): Step =>
    (turns, log, world) =>
      turns.add(
        () => !world.gone.has(name),
        () => {
          log.push(name);
          world.now += costs;
        },
        first,
      );
  const gone =
    (name: string): Step =>
    (_turns, _log, world) =>
      void world.gone.add(name);
  const arrived: Step = (turns) => turns.onConnectionAccepted();
  // Each row: what happens before each look at the sockets, and who is answered after it.
  const cases: [string, [Step[], string[]][]][] = [
    [
      'the newest is answered first',
      [
        [
          [add('a'), add('b'), add('c')],
          ['c', 'b', 'a'],
        ],
      ],
    ],
    // Their leases run out first: whoever was just told the new token asks again half a second later.
    [
      'whoever was not answered yet on its connection goes before the others',
      [
        [
          [add('a', 1, true), add('b'), add('c', 1, true)],
          ['c', 'a', 'b'],
        ],
      ],
    ],
    // A whole fleet behind: answers in order came when nobody listened any more, for half a minute.
    ['one that was given up costs nothing', [[[add('a'), add('b'), gone('a')], ['b']]]],
    [
      'between two stretches the sockets are looked at: newer ones go first, those given up meanwhile go',
      [
        [[add('a'), add('b', 5), add('c', 5)], ['c']],
        [[add('d', 5), gone('b')], ['d']],
        [[], ['a']],
      ],
    ],
    // Node takes one connection a look: with answers between them, waiting to be taken outlasted the machines' patience.
    [
      'connections that wait are taken before the next answer',
      [
        [[add('a'), arrived], []],
        [[arrived], []],
        [[], ['a']],
      ],
    ],
    [
      'an endless stream of connections does not keep answers back for ever',
      Array.from({ length: 16 }, (_, i) => [
        i === 0 ? [add('a'), arrived] : [arrived],
        i === 15 ? ['a'] : [],
      ]),
    ],
  ];
  for (const [name, looks] of cases) {
    await t.test(name, () => {
      const world = { now: 0, gone: new Set<string>() };
      let next: (() => void) | null = null;
      const turns = new NewestFirstQueue(
        () => world.now,
        (action) => (next = action),
      );
      const log: string[] = [];
      for (const [steps, told] of looks) {
        const before = log.length;
        for (const step of steps) step(turns, log, world);
        const action: (() => void) | null = next;
        next = null;
        (action as (() => void) | null)?.();
        assert.deepEqual(log.slice(before), told);
      }
      assert.equal(next, null, 'nothing left to do');
    });
  }
});
