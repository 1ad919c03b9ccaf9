import assert from 'node:assert/strict';
import { test } from 'node:test';
import pino from 'pino';
import { ReplicaView } from '../src/storage/replica-view';
import { editFleet } from '../src/storage/fleets';
import { recordAssigned } from '../src/storage/assigned-machines';
import { Ledger } from '../src/storage/ledger';
import { type JobSpec } from '../src/protocol/jobs';
import { encodeAccepted, encodeFleet, keys, type MachineRecord } from '../src/protocol/records';
import { VirtualTime } from './standin/clock';

const spec: JobSpec = {
  ...{ ref: 'job-1', workload: 'w', team: 't', rank: 2, tasks: 4, cpus: 1, accelerators: 0, memoryGb: 2 },
  ...{ image: 'i', imageGb: 1, types: ['small'], zone: 'a', together: true, apart: false, spot: true },
  ...{ expectedS: 30, checkpointS: 5, saveS: 1, deadlineS: 90, pipeline: null },
};
const kind: MachineRecord = { partition: 'p0', phase: 'kept', type: 'small', zone: 'a', spot: true };

/** A replica that is told changes as the watch would. */
class Told {
  readonly replica: ReplicaView;
  readonly events: string[] = [];
  readonly complaints: string[] = [];
  private revision = 0;
  private whole = true;

  constructor() {
    const never = { call: () => new Promise<never>(() => undefined) };
    const log = pino(
      { level: 'error' },
      { write: (line: string) => void this.complaints.push((JSON.parse(line) as { key: string }).key) },
    );
    const clock = new VirtualTime().clock(() => true);
    const ledger = new Ledger(never, never, clock, log, { requestRate: 1, writeRate: 1, controllers: 1 });
    this.replica = new ReplicaView(ledger, log);
    this.replica.events.subscribe((e) => {
      if (e.kind === 'machine' || e.kind === 'gone') this.events.push(`${e.kind} ${e.id}`);
      else if (e.kind !== 'members') this.events.push(`${e.kind} ${e.job.spec.ref} ${e.job.state}`);
    });
  }

  /** Changes that come together, as those of one transaction do. */
  together(...changes: (() => void)[]): this {
    this.whole = false;
    for (const change of changes) change();
    this.whole = true;
    this.replica.ledger.batches.next();
    return this;
  }

  private settle(): this {
    if (this.whole) this.replica.ledger.batches.next();
    return this;
  }

  change(key: string, value: unknown, version = ++this.revision): this {
    this.revision = Math.max(this.revision, version);
    // The wire gives back what JSON keeps.
    const v = JSON.parse(JSON.stringify(value)) as unknown;
    this.replica.ledger.entries.set(key, { key, value: v, version, lease: null });
    this.replica.ledger.changes.next({ key, value: v, version });
    return this.settle();
  }

  gone(key: string): this {
    this.replica.ledger.entries.delete(key);
    this.replica.ledger.changes.next({ key, deleted: true, version: ++this.revision });
    return this.settle();
  }

  accept(name: string, jobs: JobSpec[], version?: number): this {
    const value = jobs.map((s) => encodeAccepted({ spec: s, accepted: '2026-01-01T00:00:00.000Z' }));
    return this.change(keys.batch(name), value, version ?? ++this.revision);
  }

  fleet(partition: string, name: string, ids: string[], change: Partial<MachineRecord> = {}): this {
    const machines = ids.map(
      (id) => [id, { record: { ...kind, partition, ...change }, version: null }] as const,
    );
    return this.change(keys.fleet(partition, name), encodeFleet(machines));
  }
}

test('what the store says, by name', async (t) => {
  const cases: [string, (t: Told) => void][] = [
    [
      'a job is kept as it was asked for',
      (w) => assert.deepEqual(w.accept('a', [spec]).replica.jobs.get('job-1')?.spec, spec),
    ],
    [
      'of two batches that hold a job the earlier one counts, in whatever order they are read',
      (w) => {
        w.accept('late', [{ ...spec, tasks: 9 }], 20).accept('early', [spec], 10);
        assert.deepEqual(
          [w.replica.jobs.get('job-1')?.version, w.replica.jobs.get('job-1')?.spec.tasks],
          [10, 4],
        );
      },
    ],
    [
      'an end that is read before the job is not lost',
      (w) => {
        w.change(keys.final('p0', 0), { 'job-1': 'done' }).accept('a', [spec]);
        assert.equal(w.replica.jobs.get('job-1')?.state, 'done');
        assert.deepEqual(w.events, []);
      },
    ],
    [
      'done stays done, and a failed job may still be cancelled, for good',
      (w) => {
        w.accept('a', [spec, { ...spec, ref: 'job-2' }]);
        w.change(keys.final('p0', 0), { 'job-1': 'done', 'job-2': 'failed' });
        w.change(keys.cancel('job-2'), 1).change(keys.final('p0', 0), { 'job-1': 'done', 'job-2': 'failed' });
        assert.deepEqual(
          [...w.replica.jobs.values()].map((j) => j.state),
          ['done', 'cancelled'],
        );
      },
    ],
    [
      'a machine moves, whichever of the two values is read first',
      (w) => {
        for (const order of [0, 1]) {
          const m = `i-${order}`;
          w.fleet('p0', 'x', [m]);
          if (order === 0) w.fleet('p1', m, [m]).gone(keys.fleet('p0', 'x'));
          else w.gone(keys.fleet('p0', 'x')).fleet('p1', m, [m]);
          assert.equal(w.replica.machines.get(m)?.record.partition, 'p1');
        }
      },
    ],
    [
      'a value that is written anew is no news of the machines that stay as they are',
      (w) => {
        w.fleet('p0', 'x', ['i-1', 'i-2']).fleet('p0', 'y', ['i-3']);
        w.events.length = 0;
        const returned = new Map([['i-2', { ...kind, phase: 'returning' as const }]]);
        const edit = editFleet(w.replica, 'p0', returned, 'n', { valueBytes: 4096, txnOps: 12 });
        assert.deepEqual(edit.conditions, [{ key: keys.fleet('p0', 'x'), version: 1 }]);
        for (const write of edit.writes) if ('put' in write) w.change(write.put, write.value);
        assert.deepEqual(w.events, ['machine i-2']);
        assert.deepEqual(
          [w.replica.machines.get('i-1')?.version, w.replica.machines.get('i-2')?.version],
          [1, 3],
        );
      },
    ],
    [
      'values that become one: nobody is gone, in whatever order they are read',
      (w) => {
        w.fleet('p0', 'x', ['i-1', 'i-2']).fleet('p0', 'y', ['i-3', 'i-4']);
        w.events.length = 0;
        const both = [...w.replica.machines].map(
          ([id, { record, version }]) => [id, { record, version }] as const,
        );
        w.together(
          () => w.gone(keys.fleet('p0', 'y')),
          () => w.change(keys.fleet('p0', 'x'), encodeFleet(both)),
        );
        assert.deepEqual(w.events, []);
        assert.equal(w.replica.machines.size, 4);
        w.gone(keys.fleet('p0', 'x'));
        assert.deepEqual(w.events, ['gone i-1', 'gone i-2', 'gone i-3', 'gone i-4']);
      },
    ],
    [
      'many machines move with two changes, and their values become one',
      (w) => {
        w.fleet('p0', 'x', ['i-1', 'i-2']).fleet('p0', 'y', ['i-3', 'i-4']);
        const moved = new Map(['i-1', 'i-3'].map((id) => [id, { ...kind, partition: 'p1' }]));
        const { ids, writes } = editFleet(w.replica, 'p0', moved, 'n', { valueBytes: 4096, txnOps: 12 });
        assert.deepEqual(ids, ['i-1', 'i-3']);
        assert.deepEqual(
          writes.map((x) => ('put' in x ? `put ${x.put}` : `remove ${x.remove}`)),
          ['put hb/fleet/p0/x', 'remove hb/fleet/p0/y', 'put hb/fleet/p1/n'],
        );
      },
    ],
    [
      // Removed, it was written once more by a try of the leader's that came late: machines stood in two partitions.
      'a value that the present leader first wrote stays when it is empty, that of an earlier one goes',
      (w) => {
        w.change(keys.leader, { member: 'a' });
        const leader = w.replica.leader?.version ?? 0;
        const [present, earlier] = [`${leader}-1`, `${leader - 1}-1`];
        w.fleet('p0', present, ['i-1']).fleet('p0', earlier, ['i-2']);
        const gone = new Map([...w.replica.machines.keys()].map((id) => [id, null]));
        const { writes } = editFleet(w.replica, 'p0', gone, 'n', { valueBytes: 4096, txnOps: 12 });
        assert.deepEqual(writes, [
          { put: keys.fleet('p0', present), value: [] },
          { remove: keys.fleet('p0', earlier) },
        ]);
        w.change(keys.fleet('p0', present), []);
        assert.deepEqual([...w.replica.emptyFleetKeys], [keys.fleet('p0', present)]);
        w.gone(keys.fleet('p0', present));
        assert.equal(w.replica.emptyFleetKeys.size, 0);
      },
    ],
    [
      'what does not fit into one transaction is left for the next',
      (w) => {
        for (let i = 0; i < 5; i++) w.fleet('p0', `x${i}`, [`i-${i}`]);
        const gone = new Map(Array.from({ length: 5 }, (_, i) => [`i-${i}`, null]));
        const { ids, writes } = editFleet(w.replica, 'p0', gone, 'n', { valueBytes: 4096, txnOps: 3 });
        assert.deepEqual([ids.length, writes.length], [3, 3]);
      },
    ],
    [
      'malformed values are named and left out, the rest goes on',
      (w) => {
        const bad: [string, unknown][] = [
          [keys.batch('b'), [['job-9', {}, 'now']]],
          [keys.final('p0', 1), { 'job-9': 'perhaps' }],
          [keys.progress('p0', 0), { 'job-9': 'half' }],
          [keys.fleet('p0', 'z'), { ids: 'i-9' }],
        ];
        for (const [key, value] of bad) w.change(key, value);
        assert.deepEqual(
          w.complaints,
          bad.map(([key]) => key),
        );
        w.accept('a', [spec]);
        assert.equal(w.replica.jobs.size, 1);
      },
    ],
  ];
  for (const [name, run] of cases) await t.test(name, () => run(new Told()));
});

test('opened machines are listed with one change, in the room that those gone leave', async (t) => {
  const cases: {
    name: string;
    listed: string[][];
    gone?: string[];
    open: string[];
    bytes: number;
    expect: { n: number; ids: string[]; value: string[] };
  }[] = [
    {
      name: 'the first',
      listed: [],
      open: ['a', 'b'],
      bytes: 100,
      expect: { n: 0, ids: ['a', 'b'], value: ['a', 'b'] },
    },
    {
      name: 'beside others, none twice',
      listed: [['a']],
      open: ['a', 'b'],
      bytes: 100,
      expect: { n: 0, ids: ['a', 'b'], value: ['a', 'b'] },
    },
    // A list that only grew would not fit into a value after a few hundred rentals.
    {
      name: 'in the place of those that are gone',
      listed: [['a', 'b']],
      gone: ['a'],
      open: ['c'],
      bytes: 12,
      expect: { n: 0, ids: ['c'], value: ['b', 'c'] },
    },
    {
      name: 'in the next value if one is full, and only as many as fit',
      listed: [['a', 'b']],
      open: ['c', 'd', 'e'],
      bytes: 10,
      expect: { n: 1, ids: ['c', 'd'], value: ['c', 'd'] },
    },
  ];
  for (const { name, listed, gone, open, bytes, expect } of cases) {
    await t.test(name, () => {
      const told = new Told();
      for (const [n, ids] of listed.entries()) told.change(keys.assigned('p0', n), ids);
      const { ids, condition, write } = recordAssigned(
        told.replica,
        'p0',
        open,
        (id) => !gone?.includes(id),
        bytes,
      );
      const key = keys.assigned('p0', expect.n);
      assert.deepEqual(ids, expect.ids);
      assert.deepEqual(write, { put: key, value: expect.value });
      assert.deepEqual(condition, { key, version: told.replica.ledger.version(key) });
      assert.deepEqual([...told.replica.assignedBy('p0')], listed.flat());
      assert.equal(told.replica.assignedBy('p1').size, 0);
    });
  }
});
