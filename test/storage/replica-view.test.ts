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

/** A replica view over a replica to which changes are applied as a watch would apply them. */
class ReplicaHarness {
  readonly replica: ReplicaView;
  readonly events: string[] = [];
  readonly malformedKeys: string[] = [];
  private revision = 0;
  private publishesEachChange = true;

  constructor() {
    const silentTransport = { call: () => new Promise<never>(() => undefined) };
    const log = pino(
      { level: 'error' },
      { write: (line: string) => void this.malformedKeys.push((JSON.parse(line) as { key: string }).key) },
    );
    const clock = new VirtualTime().clock(() => true);
    const stateStore = new StateStoreClient(
      { transport: silentTransport, watchTransport: silentTransport, clock, log },
      {
        requestRate: 1,
        writeRate: 1,
        controllers: 1,
      },
    );
    this.replica = new ReplicaView(stateStore.replica, log);
    this.replica.events.subscribe((e) => {
      if (e.kind === 'machine' || e.kind === 'machine-removed') this.events.push(`${e.kind} ${e.id}`);
      else if (e.kind !== 'members') this.events.push(`${e.kind} ${e.job.spec.ref} ${e.job.state}`);
    });
  }

  /** Applies changes that arrive together, like those of one transaction. */
  inOneTransaction(...changes: (() => void)[]): this {
    this.publishesEachChange = false;
    for (const change of changes) change();
    this.publishesEachChange = true;
    this.replica.storeReplica.snapshots.next();
    return this;
  }

  private publishSnapshot(): this {
    if (this.publishesEachChange) this.replica.storeReplica.snapshots.next();
    return this;
  }

  change(key: string, value: unknown, revision = ++this.revision): this {
    this.revision = Math.max(this.revision, revision);
    // Values pass through JSON on the wire.
    const v = JSON.parse(JSON.stringify(value)) as unknown;
    this.replica.storeReplica.entries.set(key, { key, value: v, revision, leaseId: null });
    this.replica.storeReplica.changes.next({ key, value: v, revision });
    return this.publishSnapshot();
  }

  remove(key: string): this {
    this.replica.storeReplica.entries.delete(key);
    this.replica.storeReplica.changes.next({ key, deleted: true, revision: ++this.revision });
    return this.publishSnapshot();
  }

  acceptJobs(name: string, jobs: JobSpec[], revision?: number): this {
    const value = jobs.map((s) => encodeAcceptedJob({ spec: s, acceptedAt: '2026-01-01T00:00:00.000Z' }));
    return this.change(keys.batch(name), value, revision ?? ++this.revision);
  }

  putFleet(partition: string, name: string, ids: string[], change: Partial<MachineRecord> = {}): this {
    const machines = ids.map(
      (id) => [id, { record: { ...MACHINE_RECORD, partition, ...change }, revision: null }] as const,
    );
    return this.change(keys.fleet(partition, name), encodeFleet(machines));
  }
}

test('changes in the store are applied to the replica view', async (t) => {
  const cases: [string, (harness: ReplicaHarness) => void][] = [
    [
      'a job keeps the spec that was submitted',
      (harness) => assert.deepEqual(harness.acceptJobs('a', [spec]).replica.jobs.get('job-1')?.spec, spec),
    ],
    [
      'if two batches hold a job, the one with the lower revision counts, in whatever order they are read',
      (harness) => {
        harness.acceptJobs('late', [{ ...spec, tasks: 9 }], 20).acceptJobs('early', [spec], 10);
        assert.deepEqual(
          [harness.replica.jobs.get('job-1')?.revision, harness.replica.jobs.get('job-1')?.spec.tasks],
          [10, 4],
        );
      },
    ],
    [
      'a terminal state that is read before its job is not lost',
      (harness) => {
        harness.change(keys.terminalStates('p0', 0), { 'job-1': 'done' }).acceptJobs('a', [spec]);
        assert.equal(harness.replica.jobs.get('job-1')?.state, 'done');
        assert.deepEqual(harness.events, []);
      },
    ],
    [
      'a done job stays done, and a failed job may still be cancelled, which is final',
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
      'a machine moves to another partition, whichever of the two values is read first',
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
      'rewriting a value publishes no event for its unchanged machines',
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
      'merging values reports no machine as removed, even if the removed key is read first',
      (harness) => {
        harness.putFleet('p0', 'x', ['i-1', 'i-2']).putFleet('p0', 'y', ['i-3', 'i-4']);
        harness.events.length = 0;
        const allMachines = [...harness.replica.machines].map(
          ([id, { record, revision }]) => [id, { record, revision }] as const,
        );
        harness.inOneTransaction(
          () => harness.remove(keys.fleet('p0', 'y')),
          () => harness.change(keys.fleet('p0', 'x'), encodeFleet(allMachines)),
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
      'many machines move to another partition with few writes, and their old values are merged',
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
      // Guards against removing such a key: a late attempt of the leader's transaction wrote the value again, and machines were
      // in two partitions.
      'an empty value that the current leader first wrote is kept, and that of an earlier leader is removed',
      (harness) => {
        harness.change(keys.leader, { member: 'a' });
        const leaderTerm = harness.replica.leader?.term ?? 0;
        const [present, earlier] = [`${leaderTerm}-1`, `${leaderTerm - 1}-1`];
        harness.putFleet('p0', present, ['i-1']).putFleet('p0', earlier, ['i-2']);
        const removed = new Map([...harness.replica.machines.keys()].map((id) => [id, null]));
        const { writes } = planFleetEdit(harness.replica, 'p0', removed, 'n', {
          valueBytes: 4096,
          txnOps: 12,
        });
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
      'changes that do not fit into one transaction are left for the next',
      (harness) => {
        for (let i = 0; i < 5; i++) harness.putFleet('p0', `x${i}`, [`i-${i}`]);
        const removed = new Map(Array.from({ length: 5 }, (_, i) => [`i-${i}`, null]));
        const { ids, writes } = planFleetEdit(harness.replica, 'p0', removed, 'n', {
          valueBytes: 4096,
          txnOps: 3,
        });
        assert.deepEqual([ids.length, writes.length], [3, 3]);
      },
    ],
    [
      'malformed values are logged by key and ignored, and later changes are applied',
      (harness) => {
        const malformed: [string, unknown][] = [
          [keys.batch('b'), [['job-9', {}, 'now']]],
          [keys.terminalStates('p0', 1), { 'job-9': 'perhaps' }],
          [keys.progress('p0', 0), { 'job-9': 'half' }],
          [keys.fleet('p0', 'z'), { ids: 'i-9' }],
        ];
        for (const [key, value] of malformed) harness.change(key, value);
        assert.deepEqual(
          harness.malformedKeys,
          malformed.map(([key]) => key),
        );
        harness.acceptJobs('a', [spec]);
        assert.equal(harness.replica.jobs.size, 1);
      },
    ],
  ];
  for (const [name, run] of cases) await t.test(name, () => run(new ReplicaHarness()));
});

test('assigned machines are recorded with one write, in the space that removed machines leave', async (t) => {
  const cases: {
    name: string;
    recorded: string[][];
    removed?: string[];
    assigned: string[];
    valueBytes: number;
    expect: { index: number; ids: string[]; value: string[] };
  }[] = [
    {
      name: 'the first machines',
      recorded: [],
      assigned: ['a', 'b'],
      valueBytes: 100,
      expect: { index: 0, ids: ['a', 'b'], value: ['a', 'b'] },
    },
    {
      name: 'next to other machines, without duplicates',
      recorded: [['a']],
      assigned: ['a', 'b'],
      valueBytes: 100,
      expect: { index: 0, ids: ['a', 'b'], value: ['a', 'b'] },
    },
    // A list that only grew would not fit into a value after a few hundred provisioned machines.
    {
      name: 'in the place of removed machines',
      recorded: [['a', 'b']],
      removed: ['a'],
      assigned: ['c'],
      valueBytes: 12,
      expect: { index: 0, ids: ['c'], value: ['b', 'c'] },
    },
    // The state store counts bytes: two of these ids have 9 characters and 11 bytes as JSON.
    {
      name: 'as many as fit in bytes',
      recorded: [],
      assigned: ['é', 'ü'],
      valueBytes: 10,
      expect: { index: 0, ids: ['é'], value: ['é'] },
    },
    {
      name: 'in the next value if one is full, and only as many as fit',
      recorded: [['a', 'b']],
      assigned: ['c', 'd', 'e'],
      valueBytes: 10,
      expect: { index: 1, ids: ['c', 'd'], value: ['c', 'd'] },
    },
  ];
  for (const { name, recorded, removed, assigned, valueBytes, expect } of cases) {
    await t.test(name, () => {
      const harness = new ReplicaHarness();
      for (const [index, ids] of recorded.entries()) harness.change(keys.assignedMachines('p0', index), ids);
      const { ids, condition, write } = planAssignedMachinesEdit(harness.replica, {
        partition: 'p0',
        machines: assigned,
        exists: (id) => !removed?.includes(id),
        valueBytes,
      });
      const key = keys.assignedMachines('p0', expect.index);
      assert.deepEqual(ids, expect.ids);
      assert.deepEqual(write, { put: key, value: expect.value });
      assert.deepEqual(condition, { key, revision: harness.replica.storeReplica.revisionOf(key) });
      assert.deepEqual([...harness.replica.assignedMachinesInPartition('p0')], recorded.flat());
      assert.equal(harness.replica.assignedMachinesInPartition('p1').size, 0);
    });
  }
});
