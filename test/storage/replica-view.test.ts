import assert from 'node:assert/strict';
import { test } from 'node:test';
import pino from 'pino';
import { ReplicaView } from '../../src/storage/replica-view';
import { planFleetEdit } from '../../src/storage/fleet-edit';
import { planAssignedMachinesEdit } from '../../src/storage/assigned-machines';
import { StateStoreClient } from '../../src/storage/state-store-client';
import { type JobSpec } from '../../src/protocol/jobs';
import { encodeAcceptedJob, encodeFleet, type MachineRecord } from '../../src/protocol/records';
import { keys } from '../../src/protocol/keys';
import { VirtualTime } from '../standin/clock';

const spec: JobSpec = {
  ...{ ref: 'job-1', workload: 'w', team: 't', priority: 2, tasks: 4, cpus: 1, accelerators: 0, memoryGb: 2 },
  ...{
    image: 'i',
    imageGb: 1,
    machineTypes: ['small'],
    zone: 'a',
    singleZone: true,
    spreadZones: false,
    spot: true,
  },
  ...{ expectedS: 30, checkpointIntervalS: 5, checkpointDurationS: 1, deadlineS: 90, pipeline: null },
};
const MACHINE_RECORD: MachineRecord = {
  partition: 'p0',
  phase: 'active',
  type: 'small',
  zone: 'a',
  spot: true,
};

/** A replica that is told changes as the watch would. */
class ReplicaHarness {
  readonly replica: ReplicaView;
  readonly events: string[] = [];
  readonly malformedKeys: string[] = [];
  private revision = 0;
  private whole = true;

  constructor() {
    const never = { call: () => new Promise<never>(() => undefined) };
    const log = pino(
      { level: 'error' },
      { write: (line: string) => void this.malformedKeys.push((JSON.parse(line) as { key: string }).key) },
    );
    const clock = new VirtualTime().clock(() => true);
    const ledger = new StateStoreClient(
      { transport: never, watchTransport: never, clock, log },
      {
        requestRate: 1,
        writeRate: 1,
        controllers: 1,
      },
    );
    this.replica = new ReplicaView(ledger.replica, log);
    this.replica.events.subscribe((e) => {
      if (e.kind === 'machine' || e.kind === 'machine-removed') this.events.push(`${e.kind} ${e.id}`);
      else if (e.kind !== 'members') this.events.push(`${e.kind} ${e.job.spec.ref} ${e.job.state}`);
    });
  }

  /** Changes that come together, as those of one transaction do. */
  inOneTransaction(...changes: (() => void)[]): this {
    this.whole = false;
    for (const change of changes) change();
    this.whole = true;
    this.replica.storeReplica.snapshots.next();
    return this;
  }

  private endBatch(): this {
    if (this.whole) this.replica.storeReplica.snapshots.next();
    return this;
  }

  change(key: string, value: unknown, revision = ++this.revision): this {
    this.revision = Math.max(this.revision, revision);
    // The wire gives back what JSON keeps.
    const v = JSON.parse(JSON.stringify(value)) as unknown;
    this.replica.storeReplica.entries.set(key, { key, value: v, revision, leaseId: null });
    this.replica.storeReplica.changes.next({ key, value: v, revision });
    return this.endBatch();
  }

  remove(key: string): this {
    this.replica.storeReplica.entries.delete(key);
    this.replica.storeReplica.changes.next({ key, deleted: true, revision: ++this.revision });
    return this.endBatch();
  }

  acceptJobs(name: string, jobs: JobSpec[], version?: number): this {
    const value = jobs.map((s) => encodeAcceptedJob({ spec: s, acceptedAt: '2026-01-01T00:00:00.000Z' }));
    return this.change(keys.batch(name), value, version ?? ++this.revision);
  }

  putFleet(partition: string, name: string, ids: string[], change: Partial<MachineRecord> = {}): this {
    const machines = ids.map(
      (id) => [id, { record: { ...MACHINE_RECORD, partition, ...change }, revision: null }] as const,
    );
    return this.change(keys.fleet(partition, name), encodeFleet(machines));
  }
}

test('what the store says, by name', async (t) => {
  const cases: [string, (t: ReplicaHarness) => void][] = [
    [
      'a job is kept as it was asked for',
      (harness) => assert.deepEqual(harness.acceptJobs('a', [spec]).replica.jobs.get('job-1')?.spec, spec),
    ],
    [
      'of two batches that hold a job the earlier one counts, in whatever order they are read',
      (harness) => {
        harness.acceptJobs('late', [{ ...spec, tasks: 9 }], 20).acceptJobs('early', [spec], 10);
        assert.deepEqual(
          [harness.replica.jobs.get('job-1')?.revision, harness.replica.jobs.get('job-1')?.spec.tasks],
          [10, 4],
        );
      },
    ],
    [
      'an end that is read before the job is not lost',
      (harness) => {
        harness.change(keys.terminalStates('p0', 0), { 'job-1': 'done' }).acceptJobs('a', [spec]);
        assert.equal(harness.replica.jobs.get('job-1')?.state, 'done');
        assert.deepEqual(harness.events, []);
      },
    ],
    [
      'done stays done, and a failed job may still be cancelled, for good',
      (harness) => {
        harness.acceptJobs('a', [spec, { ...spec, ref: 'job-2' }]);
        harness.change(keys.terminalStates('p0', 0), { 'job-1': 'done', 'job-2': 'failed' });
        harness
          .change(keys.cancellation('job-2'), 1)
          .change(keys.terminalStates('p0', 0), { 'job-1': 'done', 'job-2': 'failed' });
        assert.deepEqual(
          [...harness.replica.jobs.values()].map((j) => j.state),
          ['done', 'cancelled'],
        );
      },
    ],
    [
      'a machine moves, whichever of the two values is read first',
      (harness) => {
        for (const order of [0, 1]) {
          const m = `i-${order}`;
          harness.putFleet('p0', 'x', [m]);
          if (order === 0) harness.putFleet('p1', m, [m]).remove(keys.fleet('p0', 'x'));
          else harness.remove(keys.fleet('p0', 'x')).putFleet('p1', m, [m]);
          assert.equal(harness.replica.machines.get(m)?.record.partition, 'p1');
        }
      },
    ],
    [
      'a value that is written anew is no news of the machines that stay as they are',
      (harness) => {
        harness.putFleet('p0', 'x', ['i-1', 'i-2']).putFleet('p0', 'y', ['i-3']);
        harness.events.length = 0;
        const returned = new Map([['i-2', { ...MACHINE_RECORD, phase: 'deprovisioning' as const }]]);
        const edit = planFleetEdit(harness.replica, 'p0', returned, 'n', { valueBytes: 4096, txnOps: 12 });
        assert.deepEqual(edit.conditions, [{ key: keys.fleet('p0', 'x'), revision: 1 }]);
        for (const write of edit.writes) if ('put' in write) harness.change(write.put, write.value);
        assert.deepEqual(harness.events, ['machine i-2']);
        assert.deepEqual(
          [harness.replica.machines.get('i-1')?.revision, harness.replica.machines.get('i-2')?.revision],
          [1, 3],
        );
      },
    ],
    [
      'values that become one: nobody is gone, in whatever order they are read',
      (harness) => {
        harness.putFleet('p0', 'x', ['i-1', 'i-2']).putFleet('p0', 'y', ['i-3', 'i-4']);
        harness.events.length = 0;
        const both = [...harness.replica.machines].map(
          ([id, { record, revision }]) => [id, { record, revision }] as const,
        );
        harness.inOneTransaction(
          () => harness.remove(keys.fleet('p0', 'y')),
          () => harness.change(keys.fleet('p0', 'x'), encodeFleet(both)),
        );
        assert.deepEqual(harness.events, []);
        assert.equal(harness.replica.machines.size, 4);
        harness.remove(keys.fleet('p0', 'x'));
        assert.deepEqual(harness.events, [
          'machine-removed i-1',
          'machine-removed i-2',
          'machine-removed i-3',
          'machine-removed i-4',
        ]);
      },
    ],
    [
      'many machines move with two changes, and their values become one',
      (harness) => {
        harness.putFleet('p0', 'x', ['i-1', 'i-2']).putFleet('p0', 'y', ['i-3', 'i-4']);
        const moved = new Map(['i-1', 'i-3'].map((id) => [id, { ...MACHINE_RECORD, partition: 'p1' }]));
        const { ids, writes } = planFleetEdit(harness.replica, 'p0', moved, 'n', {
          valueBytes: 4096,
          txnOps: 12,
        });
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
      (harness) => {
        harness.change(keys.leader, { member: 'a' });
        const leader = harness.replica.leader?.term ?? 0;
        const [present, earlier] = [`${leader}-1`, `${leader - 1}-1`];
        harness.putFleet('p0', present, ['i-1']).putFleet('p0', earlier, ['i-2']);
        const gone = new Map([...harness.replica.machines.keys()].map((id) => [id, null]));
        const { writes } = planFleetEdit(harness.replica, 'p0', gone, 'n', { valueBytes: 4096, txnOps: 12 });
        assert.deepEqual(writes, [
          { put: keys.fleet('p0', present), value: [] },
          { remove: keys.fleet('p0', earlier) },
        ]);
        harness.change(keys.fleet('p0', present), []);
        assert.deepEqual([...harness.replica.emptyFleetKeys], [keys.fleet('p0', present)]);
        harness.remove(keys.fleet('p0', present));
        assert.equal(harness.replica.emptyFleetKeys.size, 0);
      },
    ],
    [
      'what does not fit into one transaction is left for the next',
      (harness) => {
        for (let i = 0; i < 5; i++) harness.putFleet('p0', `x${i}`, [`i-${i}`]);
        const gone = new Map(Array.from({ length: 5 }, (_, i) => [`i-${i}`, null]));
        const { ids, writes } = planFleetEdit(harness.replica, 'p0', gone, 'n', {
          valueBytes: 4096,
          txnOps: 3,
        });
        assert.deepEqual([ids.length, writes.length], [3, 3]);
      },
    ],
    [
      'malformed values are named and left out, the rest goes on',
      (harness) => {
        const bad: [string, unknown][] = [
          [keys.batch('b'), [['job-9', {}, 'now']]],
          [keys.terminalStates('p0', 1), { 'job-9': 'perhaps' }],
          [keys.progress('p0', 0), { 'job-9': 'half' }],
          [keys.fleet('p0', 'z'), { ids: 'i-9' }],
        ];
        for (const [key, value] of bad) harness.change(key, value);
        assert.deepEqual(
          harness.malformedKeys,
          bad.map(([key]) => key),
        );
        harness.acceptJobs('a', [spec]);
        assert.equal(harness.replica.jobs.size, 1);
      },
    ],
  ];
  for (const [name, run] of cases) await t.test(name, () => run(new ReplicaHarness()));
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
      const harness = new ReplicaHarness();
      for (const [n, ids] of listed.entries()) harness.change(keys.assignedMachines('p0', n), ids);
      const { ids, condition, write } = planAssignedMachinesEdit(harness.replica, {
        partition: 'p0',
        machines: open,
        exists: (id) => !gone?.includes(id),
        valueBytes: bytes,
      });
      const key = keys.assignedMachines('p0', expect.n);
      assert.deepEqual(ids, expect.ids);
      assert.deepEqual(write, { put: key, value: expect.value });
      assert.deepEqual(condition, { key, revision: harness.replica.storeReplica.revisionOf(key) });
      assert.deepEqual([...harness.replica.assignedMachinesInPartition('p0')], listed.flat());
      assert.equal(harness.replica.assignedMachinesInPartition('p1').size, 0);
    });
  }
});
