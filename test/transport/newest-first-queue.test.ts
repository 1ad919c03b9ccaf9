import assert from 'node:assert/strict';
import { test } from 'node:test';
import { NewestFirstQueue } from '../../src/transport/newest-first-queue';

test('pending requests are answered newest first, after waiting connections are accepted', async (t) => {
  type Step = (
    queue: NewestFirstQueue,
    log: string[],
    state: { now: number; abandoned: Set<string> },
  ) => void;
  const add =
    (name: string, costMs = 1, first = false): Step =>
    (queue, log, state) =>
      queue.add(
        () => !state.abandoned.has(name),
        () => {
          log.push(name);
          state.now += costMs;
        },
        first,
      );
  const abandon =
    (name: string): Step =>
    (_queue, _log, state) =>
      void state.abandoned.add(name);
  const acceptConnection: Step = (queue) => queue.onConnectionAccepted();
  // The rounds of each case: what happens before the sockets are read, and which requests are answered after that.
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
    // Workers not answered yet have the leases that expire first. A worker that has just received the new token sends its next
    // heartbeat after half a second.
    [
      'a request on a connection without an answer yet goes before the others',
      [
        [
          [add('a', 1, true), add('b'), add('c', 1, true)],
          ['c', 'a', 'b'],
        ],
      ],
    ],
    // With a whole fleet waiting, answers in order of arrival came too late for every sender, for half a minute.
    ['an abandoned request costs nothing', [[[add('a'), add('b'), abandon('a')], ['b']]]],
    [
      'the sockets are read between two slices: newer requests go first, abandoned ones are dropped',
      [
        [[add('a'), add('b', 5), add('c', 5)], ['c']],
        [[add('d', 5), abandon('b')], ['d']],
        [[], ['a']],
      ],
    ],
    // Node accepts one connection per poll: with answers in between, machines waited to be accepted for longer than they wait
    // for an answer.
    [
      'waiting connections are accepted before the next request is answered',
      [
        [[add('a'), acceptConnection], []],
        [[acceptConnection], []],
        [[], ['a']],
      ],
    ],
    [
      'an endless stream of connections does not hold back answers forever',
      Array.from({ length: 16 }, (_, i) => [
        i === 0 ? [add('a'), acceptConnection] : [acceptConnection],
        i === 15 ? ['a'] : [],
      ]),
    ],
  ];
  for (const [name, rounds] of cases) {
    await t.test(name, () => {
      const state = { now: 0, abandoned: new Set<string>() };
      let deferred: (() => void) | null = null;
      const queue = new NewestFirstQueue(
        () => state.now,
        (action) => (deferred = action),
      );
      const log: string[] = [];
      for (const [steps, answered] of rounds) {
        const before = log.length;
        for (const step of steps) step(queue, log, state);
        const action: (() => void) | null = deferred;
        deferred = null;
        (action as (() => void) | null)?.();
        assert.deepEqual(log.slice(before), answered);
      }
      assert.equal(deferred, null, 'nothing left to do');
    });
  }
});
