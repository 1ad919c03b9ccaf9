import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  balancerSettingsSchema,
  coefficientOfVariation,
  evenAllowance,
  evenLevel,
  partitionWorkload,
  MachineTransferGuard,
  capacityFor,
  RuntimeEstimator,
  SummaryStore,
  totalWork,
  Trend,
  type LoadSummary,
  type SummaryFault,
} from '../src/index';
import { job, ModelPartition, needs, task } from './model';

function summary(change: Partial<LoadSummary> = {}): LoadSummary {
  return {
    ...{ partition: 'p0', epoch: 5, sequence: 10, ageMs: 100, cpus: 100, freeCpus: 10, largestFreeCpus: 4 },
    ...{ running: [0, 0, 0, 500], waiting: [0, 0, 0, 100], trendPerS: 0, teams: [], refusals: [] },
    moves: { planned: 0, begun: 0, completed: 0, abandoned: 0, inFlight: 0 },
    ...change,
  };
}

const faults: [string, Partial<LoadSummary>, SummaryFault | null][] = [
  ['a newer one is taken', { sequence: 11 }, null],
  ['a repeated one is dropped', { sequence: 10 }, 'repeated'],
  ['an older one of the same owner is dropped', { sequence: 9 }, 'repeated'],
  ['one of an earlier owner is dropped', { epoch: 4, sequence: 99 }, 'old epoch'],
  ['a later owner begins anew', { epoch: 6, sequence: 1 }, null],
  ['negative work', { sequence: 11, running: [-1] }, 'absurd'],
  ['more free than there is', { sequence: 11, freeCpus: 101 }, 'absurd'],
  ['absurd work', { sequence: 11, waiting: [1e30] }, 'absurd'],
  ['a negative age', { sequence: 11, ageMs: -1 }, 'absurd'],
  ['no number', { sequence: 11, trendPerS: Number.NaN }, 'malformed'],
  ['no partition', { sequence: 11, partition: '' }, 'malformed'],
  ['a broken sequence', { sequence: 11.5 }, 'malformed'],
];

for (const [name, change, fault] of faults)
  test(`summaries: ${name}`, () => {
    const board = new SummaryStore(6000);
    assert.equal(board.record(summary(), 0), null);
    assert.equal(board.record(summary(change), 1000), fault);
    const counted = board.droppedByFault().map((d) => [d.fault, d.count]);
    assert.deepEqual(counted, fault === null ? [] : [[fault, 1]]);
    if (fault !== null) assert.equal(board.fresh('p0', 1000)?.sequence, 10, 'what is wrong changes nothing');
  });

test('summaries: one past its age decides nothing, its own age included', () => {
  const board = new SummaryStore(6000);
  board.record(summary({ ageMs: 2000 }), 0);
  assert.ok(board.fresh('p0', 4000));
  assert.equal(board.fresh('p0', 4001), null);
  assert.equal(board.fresh('p1', 0), null);
});

const move = { machine: 'm', fromPartition: 'p0', toPartition: 'p1', drain: true };
const busy = summary({ partition: 'p1', waiting: [0, 0, 0, 5000] });
const guards: [string, (guard: MachineTransferGuard, board: SummaryStore) => void][] = [
  [
    'a machine goes where work would take much longer, and not back at once',
    (guard, board) => {
      board.record(summary(), 0);
      board.record(busy, 0);
      assert.equal(guard.review(move, 0, 100, 0).allowed, true);
      const back = { ...move, fromPartition: 'p1', toPartition: 'p0', drain: false };
      assert.equal(guard.review(back, 10_000, 100, 0).reason, 'moved back too soon');
      assert.equal(guard.review(back, 31_000, 100, 0).allowed, true);
    },
  ],
  [
    'a small difference moves nothing',
    (guard, board) => {
      board.record(summary(), 0);
      board.record(summary({ partition: 'p1', waiting: [0, 0, 0, 300] }), 0);
      assert.equal(guard.review(move, 0, 100, 0).reason, 'the difference is too small');
    },
  ],
  [
    'a donor whose load grows keeps its machines',
    (guard, board) => {
      board.record(summary({ trendPerS: 200 }), 0);
      board.record(busy, 0);
      assert.equal(guard.review(move, 0, 100, 0).allowed, false);
    },
  ],
  [
    'without a fresh summary of both nothing is emptied',
    (guard, board) => {
      board.record(summary(), 0);
      assert.equal(guard.review(move, 0, 100, 0).reason, 'no fresh summary');
      board.record(busy, 0);
      assert.equal(guard.review(move, 7000, 100, 0).reason, 'no fresh summary');
    },
  ],
  [
    'no more are emptied at once, and in a minute, than the settings allow',
    (guard, board) => {
      const at = (now: number, i: number, draining: number): boolean => {
        board.record(summary({ sequence: 10 + now + i }), now);
        board.record(summary({ partition: 'p1', waiting: [0, 0, 0, 5000], sequence: 10 + now + i }), now);
        return guard.review({ ...move, machine: `m${now}-${i}` }, now, 20, draining).allowed;
      };
      assert.equal(at(0, 0, 4), false, 'four are under way');
      const allowed = Array.from({ length: 20 }, (_, i) => at(1, i, 0)).filter(Boolean).length;
      assert.equal(allowed, 8);
      assert.equal(at(62_000, 0, 0), true, 'a minute later');
    },
  ],
];

for (const [name, act] of guards)
  test(`machine moves: ${name}`, () => {
    const settings = balancerSettingsSchema.parse({});
    const board = new SummaryStore(settings.summary_max_age_s * 1000);
    act(new MachineTransferGuard(settings, board), board);
  });

test('estimates learn from the job first, then from its class, and state their error', () => {
  const estimator = new RuntimeEstimator();
  const of = { job: 'a', workload: 'w', expectedS: 100 };
  const before = estimator.total(of);
  assert.deepEqual(before, { meanS: 100, errorS: 50 });
  for (let i = 0; i < 40; i++) estimator.learn({ ...of, job: `other-${i}` }, 50);
  const ofClass = estimator.total(of);
  assert.ok(ofClass.meanS < 60 && ofClass.errorS < before.errorS);
  for (let i = 0; i < 40; i++) estimator.learn(of, 80 + (i % 2));
  const own = estimator.total(of);
  assert.ok(own.meanS > 72 && own.meanS < 81 && own.errorS < ofClass.errorS + 1);
  assert.ok(estimator.remainingS(of, 70, 0.5) < estimator.remainingS(of, 10, 0.5));
  assert.ok(estimator.remainingS(of, 500, 0.5) > 0, 'what has outlived its estimate is not over');
  estimator.learn(of, Number.NaN);
  estimator.learn(of, -5);
  assert.equal(estimator.total(of).meanS, own.meanS);
});

test('the load of a partition is told by machine, team and priority, and what room is lost to fragments', () => {
  const a = job('a', { priority: 1, expectedS: 100 });
  const b = job('b', { team: 'south', priority: 3 });
  const partition = new ModelPartition([
    {
      id: 'm0',
      cpus: 4,
      images: [],
      tasks: [task(a, 0, { elapsedS: 0 }), task(b, 0, { phase: 'fetching' })],
    },
    { id: 'm1', cpus: 4, images: [], tasks: [task(b, 1)] },
  ]);
  partition.waits.push({ spec: b, tasks: 3, pendingS: 1, withinGuarantee: false });
  const picture = partitionWorkload(partition, new RuntimeEstimator(), 4);
  assert.equal(picture.freeCpus, 5);
  assert.ok((picture.total.running[1] ?? 0) > 50);
  assert.ok(totalWork(picture.byTeam.get('south')?.queued ?? []) > 600);
  assert.equal(totalWork(picture.byMachine.get('m1')?.queued ?? []), 0);
  assert.deepEqual(capacityFor(needs(4), partition.machines()), { taskCount: 0, defragmentedTaskCount: 1 });
});

test('a trend follows a load that doubles and then halves', () => {
  const trend = new Trend();
  for (let s = 0; s <= 60; s++) trend.observe(1000 + 50 * s, s * 1000);
  assert.ok(trend.changePerS > 40 && trend.changePerS <= 50);
  for (let s = 61; s <= 120; s++) trend.observe(4000 - 50 * (s - 60), s * 1000);
  assert.ok(trend.changePerS < -30);
});

const levels: [string, { cpus: number; used: number }[], number, number][] = [
  [
    'all machines are filled to the same share',
    [
      { cpus: 4, used: 0 },
      { cpus: 4, used: 2 },
    ],
    4,
    0.75,
  ],
  [
    'a full one takes no part',
    [
      { cpus: 4, used: 4 },
      { cpus: 4, used: 0 },
    ],
    2,
    0.5,
  ],
  ['more waits than there is room for', [{ cpus: 4, used: 0 }], 10, 1],
  ['nothing waits', [{ cpus: 4, used: 2 }], 0, 0],
];

for (const [name, machines, waiting, level] of levels)
  test(`even placement: ${name}`, () => {
    assert.ok(Math.abs(evenLevel(machines, waiting) - level) < 1e-3);
  });

test('even placement: an image that need not be fetched counts against evenness by the weight', () => {
  const machine = { capacity: needs(10), free: needs(5) };
  assert.equal(evenAllowance(machine, 0.5, 0, 100, 1), 0);
  assert.equal(evenAllowance(machine, 0.5, 20, 100, 1), 2);
  assert.equal(evenAllowance(machine, 0.5, 20, 100, 0), 0);
  assert.equal(evenAllowance(machine, 0.5, 1000, 100, 1), 5);
});

test('spread is nothing where all are alike, and grows with the difference', () => {
  assert.equal(coefficientOfVariation([3, 3, 3]), 0);
  assert.equal(coefficientOfVariation([]), 0);
  assert.ok(coefficientOfVariation([1, 5]) > coefficientOfVariation([2, 4]));
});

const settings: [object, string | null][] = [
  [{}, null],
  [{ in_flight_share: 0.5, per_minute_share: 0.1 }, 'in_flight_share'],
  [{ plan_interval_s: 30, summary_max_age_s: 10 }, 'summary_max_age_s'],
  [{ task_moves: false, machine_moves: false }, 'enabled'],
  [{ task_moves: false, machine_moves: false, placement: 'even' }, null],
  [{ enabled: false, task_moves: false, machine_moves: false }, null],
  [{ hysteresis: 0.5 }, 'hysteresis'],
  [{ min_gain_s: 'much' }, 'min_gain_s'],
];

for (const [content, field] of settings)
  test(`settings: ${JSON.stringify(content)} ${field === null ? 'are fine' : `are refused for ${field}`}`, () => {
    const result = balancerSettingsSchema.safeParse(content);
    assert.equal(result.success ? null : result.error.issues[0]?.path.join('.'), field);
  });
