import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type Member } from '../src/coordination/member';
import { World } from './standin/world';

type Node = World['nodes'][number];
type Trouble = (world: World) => void;

interface Status {
  leading: boolean;
  partitions: object[];
}

const DAY_MS = 340_000;
const SILENCE_MS = 70_000;
const TROUBLE_AT_MS = 30_000;

function statusOf(node: Node): Status | undefined {
  return node.up ? (node.controller?.status() as Status | undefined) : undefined;
}

function leaderOf(world: World): Node {
  return (world.nodes.find((n) => statusOf(n)?.leading) ?? world.nodes[0]) as Node;
}

function ownerOf(world: World): Node {
  return (world.nodes.find((n) => (statusOf(n)?.partitions.length ?? 0) > 0) ?? world.nodes[0]) as Node;
}

/** Users cancel what runs, through whatever controller answers, during a silence and just after it. */
function cancelMeanwhile(world: World): void {
  for (const afterMs of [500, 6000, 20_000, SILENCE_MS + 200])
    world.time.at(world.time.now + afterMs, () => world.cancelSome(2));
}

function standStill(world: World, node: Node): void {
  node.stillUntil = world.time.now + SILENCE_MS;
}

function forAWhile(world: World, node: Node, what: 'cut' | 'apart' | 'storeRefused'): void {
  node[what] = true;
  world.time.at(world.time.now + SILENCE_MS, () => (node[what] = false));
}

/** Ways in which a controller goes silent for over a minute. */
const silences: Record<string, Trouble> = {
  'the leader stands still while its clocks run on': (w) => standStill(w, leaderOf(w)),
  'an owner stands still while its clocks run on': (w) => standStill(w, ownerOf(w)),
  'an owner stands still, and all others are started anew before it goes on': (w) => {
    const still = ownerOf(w);
    standStill(w, still);
    w.time.at(w.time.now + SILENCE_MS - 3000, () =>
      w.nodes.forEach((node, i) => (node === still ? undefined : w.crash(i, 400))),
    );
  },
  'the leader is cut from everything': (w) => {
    const node = leaderOf(w);
    forAWhile(w, node, 'cut');
    forAWhile(w, node, 'apart');
  },
  'an owner is refused by the state service alone': (w) => forAWhile(w, ownerOf(w), 'storeRefused'),
  'an owner loses its workers alone': (w) => forAWhile(w, ownerOf(w), 'cut'),
};

async function silentDay(seed: number, silence: Trouble): Promise<World> {
  const world = new World(seed, { nodes: 3, capacity: 12, teams: 2, longerMs: 6000, bound: true });
  world.calmFrom = TROUBLE_AT_MS + SILENCE_MS + 30_000;
  for (let n = 0; n < 28; n++) world.time.at(2500 + world.pick(100_000), () => world.submit(n));
  world.time.at(TROUBLE_AT_MS, () => {
    silence(world);
    cancelMeanwhile(world);
  });
  await world.run(DAY_MS);
  return world;
}

function unfinished(world: World): string[] {
  return world.jobs.filter((job) => job.final === null).map((job) => job.ref);
}

test('a controller is silent for over a minute: rules kept, all work done', async (t) => {
  for (const [name, silence] of Object.entries(silences)) {
    for (const seed of [1, 2]) {
      await t.test(`${name}, seed ${seed}`, async () => {
        const world = await silentDay(seed, silence);
        assert.deepEqual(world.broken, []);
        assert.deepEqual(unfinished(world), [], 'unfinished jobs');
      });
    }
  }
});

test('the queue moves and users are answered while the leader stands still', async () => {
  const world = new World(3, { nodes: 3, capacity: 12, teams: 2 });
  for (let n = 0; n < 20; n++) world.time.at(2500 + 4000 * n, () => world.submit(n));
  world.time.at(TROUBLE_AT_MS, () => standStill(world, leaderOf(world)));
  const settledMs = TROUBLE_AT_MS + 15_000;
  await world.run(settledMs);
  const before = world.completed.size;
  const end = TROUBLE_AT_MS + SILENCE_MS - 1000;
  await world.run(end);
  assert.ok(world.completed.size > before + 10, `${world.completed.size - before} tasks done in the silence`);
  const open = world.jobs.filter((job) => job.accepted && job.final === null);
  const oldest = Math.min(end, ...open.map((job) => job.answeredAt));
  assert.ok(end - oldest < 20_000, `a job was last answered ${end - oldest} ms ago`);
  assert.deepEqual(world.broken, []);
});

// Before it has heard or read anything anew: what it knew when it stopped entitles it to nothing.
test('a controller that goes on after a minute may neither act nor keep tasks alive', async () => {
  const world = new World(4, { nodes: 3, capacity: 12, teams: 2, longerMs: 6000 });
  for (let n = 0; n < 12; n++) world.time.at(2500 + 1500 * n, () => world.submit(n));
  await world.run(TROUBLE_AT_MS);
  const node = ownerOf(world);
  const { member } = node.controller as unknown as { member: Member };
  assert.deepEqual([member.alive(), member.mayRenewLeases()], [true, true]);
  standStill(world, node);
  await world.run(TROUBLE_AT_MS + SILENCE_MS - 1);
  assert.deepEqual([member.alive(), member.mayRenewLeases()], [false, false]);
  await world.run(TROUBLE_AT_MS + SILENCE_MS + 20_000);
  assert.deepEqual([member.alive(), member.mayRenewLeases()], [true, true], 'it has joined anew');
  assert.deepEqual(world.broken, []);
});

/** How machines that are rented during the trouble come up, `n` counting them. */
const boots: Record<string, (n: number) => number> = {
  'every second machine never comes up': (n) => (n % 2 === 0 ? Infinity : 1),
  'machines take eight times as long': () => 8,
  'some never come up, the others are up at once or late': (n) => [Infinity, 0.05, 6][n % 3] as number,
};

test('machines come up late or never: written off in time, and no work waits for them', async (t) => {
  for (const [name, factor] of Object.entries(boots)) {
    for (const seed of [1, 2]) {
      await t.test(`${name}, seed ${seed}`, async () => {
        const world = new World(seed, { nodes: 3, capacity: 14, teams: 2, longerMs: 3000 });
        world.calmFrom = 140_000;
        let rented = 0;
        world.cloud.bootFactor = (): number => factor(rented++);
        world.time.at(100_000, () => (world.cloud.bootFactor = (): number => 1));
        for (let n = 0; n < 24; n++) world.time.at(2500 + world.pick(90_000), () => world.submit(n));
        world.time.at(45_000, () => world.crash(world.nodes.indexOf(leaderOf(world)), 3000));
        await world.run(DAY_MS);
        assert.deepEqual(world.broken, []);
        assert.deepEqual(unfinished(world), [], 'unfinished jobs');
        assert.ok(rented > 2, 'machines were rented');
        assert.equal(world.cloud.stillBooting, 0, 'none that never came up is still paid for');
      });
    }
  }
});

// Two such machines were kept for ten minutes, for their new owner had never heard them and so never missed them.
test('machines that hang for good, also while they change partitions, are given back', async (t) => {
  for (const seed of [1, 2, 3]) {
    await t.test(`seed ${seed}`, async () => {
      const world = new World(seed, { nodes: 3, capacity: 14, teams: 2, longerMs: 3000 });
      world.calmFrom = 140_000;
      for (let n = 0; n < 24; n++) world.time.at(2500 + world.pick(90_000), () => world.submit(n));
      const hung = new Set<string>();
      for (const at of [20_000, 40_000, 60_000, 80_000])
        world.time.at(at, () => {
          for (const worker of [...world.cloud.workers.values()].filter(() => world.pick(3) === 0)) {
            worker.hung = true;
            hung.add(worker.name);
          }
        });
      world.time.at(41_000, () => world.nodes.forEach((_, i) => world.crash(i, 1000)));
      await world.run(DAY_MS);
      assert.deepEqual(world.broken, []);
      assert.deepEqual(unfinished(world), [], 'unfinished jobs');
      assert.ok(hung.size > 0);
      assert.deepEqual(
        [...hung].filter((name) => world.cloud.workers.has(name)),
        [],
        'still rented',
      );
    });
  }
});

// An empty value stays while its first write may still be carried out once more; it must not stay for good.
test('values that hold no machine any more are swept away', async () => {
  const world = new World(5, { nodes: 3, capacity: 14, teams: 2 });
  for (let n = 0; n < 24; n++) world.time.at(2500 + 4000 * n, () => world.submit(n));
  await world.run(DAY_MS);
  assert.deepEqual(world.broken, []);
  const values = [...world.store.keys].filter(([key]) => key.startsWith('hb/fleet/'));
  const empty = values.filter(([, entry]) => (entry.v as unknown[]).length === 0);
  assert.ok(world.cloud.taken > 5, 'machines came and went');
  assert.ok(empty.length <= 2, `${empty.length} empty values are left`);
});

test('questions many times as often while controllers end and the state service is slow to come back', async (t) => {
  for (const seed of [1, 2]) {
    await t.test(`seed ${seed}`, async () => {
      const world = new World(seed, { nodes: 3, capacity: 12, teams: 2, longerMs: 3000 });
      world.calmFrom = 130_000;
      for (let n = 0; n < 24; n++) world.time.at(2500 + world.pick(90_000), () => world.submit(n));
      world.time.at(25_000, () => (world.askFactor = 8));
      world.time.at(100_000, () => (world.askFactor = 1));
      world.time.at(30_000, () => world.crash(world.nodes.indexOf(leaderOf(world)), 6000));
      world.time.at(45_000, () => world.nodes.forEach((_, i) => world.crash(i, 2000 + 300 * i)));
      world.time.at(60_000, () => world.store.outage(20_000));
      world.time.at(61_000, () => world.cancelSome(3));
      await world.run(DAY_MS);
      assert.deepEqual(world.broken, []);
      assert.deepEqual(unfinished(world), [], 'unfinished jobs');
    });
  }
});
