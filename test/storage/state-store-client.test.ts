import assert from 'node:assert/strict';
import { test } from 'node:test';
import pino from 'pino';
import { type HttpResponse } from '../../src/transport/http-client';
import { StateStoreClient } from '../../src/storage/state-store-client';
import { flushPromises, VirtualTime } from '../standin/clock';

interface Row {
  key: string;
  stamp: number;
}

const pagePairs = (rows: Row[]): object[] => rows.map(({ key, stamp }) => ({ path: key, v: 1, stamp }));

/** A store that responds with the given pages and watch results, each after 100 ms. Later watches get no response. */
function scriptedStateStore(
  pages: [Row[], number][],
  watches: [Row[], number][],
): { stateStore: StateStoreClient; time: VirtualTime } {
  const time = new VirtualTime();
  const respondLater = (response: HttpResponse | null): Promise<HttpResponse | null> =>
    new Promise((resolve) => time.at(time.now + (response ? 100 : 1e6), () => resolve(response)));
  let page = 0;
  const call = (_method: string, path: string): Promise<HttpResponse | null> => {
    if (path.startsWith('/watch')) {
      const next = watches.shift();
      if (!next) return respondLater(null);
      const news = next[0].map(({ key, stamp }) => ({ set: key, v: 1, stamp }));
      return respondLater({ status: 200, body: { ledger_rev: next[1], news } });
    }
    const [rows, revision] = pages[page++] ?? [[], 0];
    return respondLater({
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

// Guards against publishing pages of different revisions as a snapshot. A partition that was handed over between two pages
// would begin without the machines assigned and start watermarks raised meanwhile, and its tasks would be started a second time.
test('the replica is published only once it is a snapshot at one revision', async (t) => {
  const assignedMachines = { key: 'hb/opened/p0/0', stamp: 9 };
  const partition = { key: 'hb/part/p0', stamp: 12 };
  const cases: [string, [Row[], number][], [Row[], number][], number[]][] = [
    ['one page', [[[assignedMachines, partition], 12]], [], [12]],
    [
      'two pages without a change in between',
      [
        [[assignedMachines], 12],
        [[partition], 12],
      ],
      [],
      [12],
    ],
    [
      'two pages with a change in between',
      [
        [[assignedMachines], 10],
        [[partition], 12],
      ],
      [[[{ ...assignedMachines, stamp: 11 }, partition], 12]],
      [12],
    ],
    [
      'the watch reaches the revision of the newest page in two steps',
      [
        [[assignedMachines], 10],
        [[partition], 12],
      ],
      [
        [[{ ...assignedMachines, stamp: 11 }], 11],
        [[partition], 12],
      ],
      [12],
    ],
    [
      'the watch does not reach the revision of the newest page',
      [
        [[assignedMachines], 10],
        [[partition], 12],
      ],
      [[[{ ...assignedMachines, stamp: 11 }], 11]],
      [],
    ],
  ];
  for (const [name, pages, watches, expected] of cases) {
    await t.test(name, async () => {
      const { stateStore, time } = scriptedStateStore(pages, watches);
      const publishedRevisions: number[] = [];
      stateStore.replica.snapshots.subscribe(() => publishedRevisions.push(stateStore.replica.revision));
      void stateStore.followChanges();
      await flushPromises();
      await time.run(3000);
      assert.deepEqual(publishedRevisions, expected);
      assert.equal(stateStore.replica.synced, expected.length > 0);
    });
  }
});
