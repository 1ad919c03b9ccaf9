import assert from 'node:assert/strict';
import { test } from 'node:test';
import { World } from './standin/world';

type Trouble = (world: World) => void;

interface Status {
  leading: boolean;
  partitions: object[];
}

const DAY_MS = 340_000;

function statusOf(world: World, i: number): Status | undefined {
  const node = world.nodes[i];
  return node?.up ? (node.controller?.status() as Status | undefined) : undefined;
}

function leaderOf(world: World): number {
  return Math.max(
    0,
    world.nodes.findIndex((_, i) => statusOf(world, i)?.leading),
  );
}

function ownerOf(world: World): number {
  return Math.max(
    0,
    world.nodes.findIndex((_, i) => (statusOf(world, i)?.partitions.length ?? 0) > 0),
  );
}

function later(world: World, ms: number, action: () => void): void {
  world.time.at(world.time.now + ms, action);
}

/** Troubles that meet, as the operators listed them; each is played twice a day. */
const overlaps: Record<string, Trouble> = {
  'changes are made at once, their answers are lost, and others read them while users cancel': (w) => {
    w.lostAnswers = 3;
    w.asksEverywhere = true;
    for (const ms of [1000, 5000, 9000]) later(w, ms, () => w.cancelSome(3));
    later(w, 6000, () => w.crash(leaderOf(w), 500));
    later(w, 25_000, () => (w.lostAnswers = 0));
    later(w, 30_000, () => (w.asksEverywhere = false));
  },
  'new machines are up at once and get work while writes lag, and the leader ends': (w) => {
    w.cloud.bootFactor = (): number => 0.05;
    w.lateWrites = 3;
    for (const name of [...w.cloud.workers.keys()]) if (w.pick(2) === 0) w.cloud.take(name);
    for (const ms of [4000, 9000]) later(w, ms, () => w.crash(leaderOf(w), 300 + w.pick(3000)));
    later(w, 20_000, () => {
      w.lateWrites = 0;
      w.cloud.bootFactor = (): number => 1;
    });
  },
  'old reports reach every controller just as a new leader begins': (w) => {
    w.copiesForNextLeader = true;
    for (const ms of [6000, 14_000]) later(w, ms, () => w.crash(leaderOf(w), 1000));
    later(w, 20_000, () => w.nodes.forEach((_, i) => w.crash(i, 800 + 100 * i)));
    later(w, 30_000, () => (w.copiesForNextLeader = false));
  },
  'jobs are cancelled in the seconds in which work changes hands': (w) => {
    const node = w.nodes[ownerOf(w)] as World['nodes'][number];
    node.cut = true;
    for (let ms = 3000; ms < 13_000; ms += 500) later(w, ms, () => w.cancelSome(1));
    later(w, 13_000, () => (node.cut = false));
    later(w, 14_000, () => w.crash(ownerOf(w), 400));
    for (let ms = 14_000; ms < 20_000; ms += 500) later(w, ms, () => w.cancelSome(1));
  },
  'users ask at all controllers within milliseconds of each answer while leaders change': (w) => {
    w.asksEverywhere = true;
    w.meetEnds = true;
    for (const ms of [3000, 10_000, 17_000]) later(w, ms, () => w.crash(leaderOf(w), 300));
    for (const ms of [4000, 11_000, 18_000]) later(w, ms, () => w.cancelSome(2));
    later(w, 12_000, () => w.store.outage(5000));
    later(w, 30_000, () => (w.asksEverywhere = w.meetEnds = false));
  },
  'machines come up late while an owner stands still and answers are lost': (w) => {
    w.cloud.bootFactor = (): number => (w.pick(2) === 0 ? Infinity : 3);
    w.lostAnswers = 4;
    (w.nodes[ownerOf(w)] as World['nodes'][number]).stillUntil = w.time.now + 30_000;
    later(w, 1000, () => w.cancelSome(4));
    later(w, 31_000, () => w.crash(leaderOf(w), 400));
    later(w, 35_000, () => {
      w.lostAnswers = 0;
      w.cloud.bootFactor = (): number => 1;
    });
  },
};

function unfinished(world: World): string[] {
  return world.jobs.filter((job) => job.final === null).map((job) => job.ref);
}

test('troubles that overlap: no rule is broken, and all work is done', async (t) => {
  for (const [name, overlap] of Object.entries(overlaps)) {
    for (const seed of [1, 2, 3]) {
      await t.test(`${name}, seed ${seed}`, async () => {
        const world = new World(seed, { nodes: 3, capacity: 12, teams: 2, longerMs: 4000, bound: true });
        world.calmFrom = 135_000;
        for (let n = 0; n < 32; n++) world.time.at(2500 + world.pick(80_000), () => world.submit(n));
        for (const at of [25_000, 78_000]) world.time.at(at, () => overlap(world));
        await world.run(DAY_MS);
        assert.deepEqual(world.broken, []);
        assert.deepEqual(unfinished(world), [], 'unfinished jobs');
      });
    }
  }
});

test('jobs of one task come four a second for minutes, a quarter of them cancelled, and the leader ends', async () => {
  const world = new World(7, { nodes: 3, capacity: 16, teams: 4 });
  world.calmFrom = 150_000;
  for (let n = 0; n < 400; n++) {
    world.time.at(3000 + 250 * n, () => world.submit(n, 1));
    if (n % 4 === 0) world.time.at(3000 + 250 * n + world.pick(6000), () => world.cancelJob(n));
  }
  for (const at of [30_000, 60_000, 61_000]) world.time.at(at, () => world.crash(leaderOf(world), 500));
  await world.run(DAY_MS);
  assert.deepEqual(world.broken, []);
  assert.deepEqual(unfinished(world), [], 'unfinished jobs');
  assert.ok(world.jobs.filter((job) => job.final === 'aborted').length > 20, 'some were cancelled in time');
});
