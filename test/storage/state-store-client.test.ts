import assert from 'node:assert/strict';
import { test } from 'node:test';
import pino from 'pino';
import { type HttpResponse } from '../../src/transport/http-client';
import { StateStoreClient } from '../../src/storage/state-store-client';
import { settle, VirtualTime } from '../standin/clock';

interface Row {
  key: string;
  stamp: number;
}

const pagePairs = (rows: Row[]): object[] => rows.map(({ key, stamp }) => ({ path: key, v: 1, stamp }));

/** A store whose pages and watches are answered as written, one every 100 ms; after the last nothing comes. */
function scriptedStateStore(
  pages: [Row[], number][],
  watches: [Row[], number][],
): { stateStore: StateStoreClient; time: VirtualTime } {
  const time = new VirtualTime();
  const later = (answer: HttpResponse | null): Promise<HttpResponse | null> =>
    new Promise((resolve) => time.at(time.now + (answer ? 100 : 1e6), () => resolve(answer)));
  let page = 0;
  const call = (_method: string, path: string): Promise<HttpResponse | null> => {
    if (path.startsWith('/watch')) {
      const next = watches.shift();
      if (!next) return later(null);
      const news = next[0].map(({ key, stamp }) => ({ set: key, v: 1, stamp }));
      return later({ status: 200, body: { ledger_rev: next[1], news } });
    }
    const [rows, revision] = pages[page++] ?? [[], 0];
    return later({
      status: 200,
      body: { pairs: pagePairs(rows), truncated: page < pages.length, ledger_rev: revision },
    });
  };
  const rates = { requestRate: 1000, writeRate: 1000, controllers: 1 };
  const log = pino({ level: 'silent' });
  return {
    stateStore: new StateStoreClient(
      { transport: { call }, watchTransport: { call }, clock: time.clock(() => true), log },
      rates,
    ),
    time,
  };
}

// A partition that is handed over between two pages of the first snapshot must not begin without what was recorded meanwhile:
// machines assigned and start watermarks raised; its tasks would be started a second time.
test('the replica is told as whole only once it is a picture at one revision', async (t) => {
  const a = { key: 'hb/opened/p0/0', stamp: 9 };
  const b = { key: 'hb/part/p0', stamp: 12 };
  const cases: [string, [Row[], number][], [Row[], number][], number[]][] = [
    ['one page', [[[a, b], 12]], [], [12]],
    [
      'two pages, nothing between them',
      [
        [[a], 12],
        [[b], 12],
      ],
      [],
      [12],
    ],
    [
      'two pages, a change between them',
      [
        [[a], 10],
        [[b], 12],
      ],
      [[[{ ...a, stamp: 11 }, b], 12]],
      [12],
    ],
    [
      'the watch comes to it in two steps',
      [
        [[a], 10],
        [[b], 12],
      ],
      [
        [[{ ...a, stamp: 11 }], 11],
        [[b], 12],
      ],
      [12],
    ],
    [
      'the watch does not come to it',
      [
        [[a], 10],
        [[b], 12],
      ],
      [[[{ ...a, stamp: 11 }], 11]],
      [],
    ],
  ];
  for (const [name, pages, watches, expected] of cases) {
    await t.test(name, async () => {
      const { stateStore, time } = scriptedStateStore(pages, watches);
      const publishedRevisions: number[] = [];
      stateStore.replica.snapshots.subscribe(() => publishedRevisions.push(stateStore.replica.revision));
      void stateStore.followChanges();
      await settle();
      await time.run(3000);
      assert.deepEqual(publishedRevisions, expected);
      assert.equal(stateStore.replica.synced, expected.length > 0);
    });
  }
});
