import assert from 'node:assert/strict';
import { test } from 'node:test';
import { scale } from '../src/coordination/autoscale';
import { FleetHistory } from '../src/coordination/fleet-history';
import { PartitionCore } from '../src/coordination/partition';
import { type MachineType } from '../src/protocol/cloud';
import { type JobSpec } from '../src/protocol/jobs';
import { decodePeer, encodePeer, type PartitionLoad, type PeerMessage } from '../src/protocol/peers';
import { DEFAULT_POLICY } from '../src/protocol/policy';
import { type MachineRecord } from '../src/protocol/records';
import { type Report, type ReportedTask } from '../src/protocol/workers';
import { recordAssigned } from '../src/storage/assigned-machines';
import { type ReplicaView } from '../src/storage/replica-view';
import { MAX_FRAME } from '../src/transport/peer-link';

const MACHINES = 4200;
const JOBS = 30;
const TASKS_A_JOB = 700;
const CPUS = 4;
const FIRST_OWNER = 100;
const SECOND_OWNER = 200;
/** Machines were recorded before either owner had the partition. */
const RECORDED = 50;
const VALUE_BYTES = 4096;

const type: MachineType = {
  ...{ name: 'small', cpus: CPUS, accelerators: 0, memoryGb: 16, cacheGb: 50, fetchGbPerS: 1 },
  ...{ price: 0.2, spotPrice: 0.08, bootS: 20, zones: ['a'] },
};
const types = new Map([['small', type]]);
const record: MachineRecord = { partition: 'p0', phase: 'kept', type: 'small', zone: 'a', spot: true };
const names = Array.from({ length: MACHINES }, (_, i) => `i-${String(i).padStart(6, '0')}`);

function job(n: number): JobSpec {
  return {
    ...{ ref: `job-${n}`, workload: 'w', team: 't', rank: 2, tasks: TASKS_A_JOB, cpus: 1, accelerators: 0 },
    ...{ memoryGb: 1, image: 'i', imageGb: 1, types: null, zone: null, together: false, apart: false },
    ...{ spot: true, expectedS: 30, checkpointS: 0, saveS: 0, deadlineS: null, pipeline: null },
  };
}

/** A worker as far as its reports go. */
interface Worker {
  seq: number;
  token: number;
  tasks: Map<string, ReportedTask>;
}

class Fleet {
  readonly workers = new Map<string, Worker>(names.map((n) => [n, { seq: 0, token: 0, tasks: new Map() }]));

  /** Each machine reports once, and takes what it is answered. */
  reportAll(core: PartitionCore, now: number): void {
    for (const [machine, worker] of this.workers) {
      const report: Report = {
        ...{ machine, address: '', type: 'small', zone: 'a', spot: true, session: 1, seq: ++worker.seq },
        ...{ token: worker.token, noticeS: null, tasks: [...worker.tasks.values()] },
      };
      const answer = core.report(report, now);
      assert.ok(answer, `${machine} is not answered`);
      worker.token = answer.token;
      for (const c of answer.commands) {
        assert.equal(c.op, 'start', `${c.op} of ${c.ref}/${c.index}`);
        const { ref, index, attempt } = c;
        worker.tasks.set(`${ref}/${index}`, { ref, index, attempt, phase: 'running', exit: null });
      }
    }
  }

  /** Every task that is on some machine, as often as it is. */
  tasks(): string[] {
    return [...this.workers.values()].flatMap((w) => [...w.tasks.keys()]);
  }
}

function ownedBy(version: number, now: number): PartitionCore {
  const cpus = MACHINES * CPUS;
  const team = { name: 't', guaranteed: { cpus, accelerators: 0 }, limit: { cpus, accelerators: 0 } };
  const options = { reportMs: 3000, leaseMs: 19_000, valueBytes: 32_768, objectives: [] };
  const core = new PartitionCore(
    'p0',
    version,
    [team],
    () => types,
    () => undefined,
    options,
    new Set(names),
  );
  for (const id of names) core.putMachine(id, record, RECORDED, now);
  const progress = { done: '', doneCount: 0, running: 0, startWatermark: TASKS_A_JOB };
  for (let n = 0; n < JOBS; n++) core.putJob(job(n), n, RECORDED, progress, now);
  core.tick(now, now);
  return core;
}

function pictureOf(load: PartitionLoad, now: number): Parameters<typeof scale>[0] {
  const history = new FleetHistory();
  history.takeLoad(load, now, now);
  const recorded = names.map((id): [string, { record: MachineRecord }] => [id, { record }]);
  const machines = history.fleet(recorded, now);
  return { types, loads: [load], machines, soldOut: () => false, leaseMs: 19_000, policy: DEFAULT_POLICY };
}

test('more than four thousand machines: filled, told of, planned for, and taken over with nothing lost', () => {
  const fleet = new Fleet();
  const first = ownedBy(FIRST_OWNER, 0);
  fleet.reportAll(first, 1000);
  // They have shown its token by the next report; then nothing of an earlier owner can be anywhere.
  fleet.reportAll(first, 4000);
  first.tick(4500, 4500);
  fleet.reportAll(first, 7000);
  const started = fleet.tasks();
  assert.equal(started.length, MACHINES * CPUS, 'every machine is full');
  assert.equal(new Set(started).size, started.length, 'no task is on two machines');

  const load = first.load(8000);
  assert.equal(load.machines.length, MACHINES);
  const frame: PeerMessage = {
    ...{ kind: 'status', member: 'a', seq: 1, storeOk: true, incarnation: 1, misrouted: [] },
    ...{ heardMs: 0, revision: 1, partitions: [load] },
  };
  const bytes = encodePeer(frame);
  assert.ok(bytes.length < MAX_FRAME / 4, `${bytes.length} bytes`);
  assert.deepEqual(JSON.parse(JSON.stringify(decodePeer(bytes))), JSON.parse(JSON.stringify(frame)));
  const waiting = JOBS * TASKS_A_JOB - started.length;
  assert.equal(
    load.demands.reduce((sum, d) => sum + d.tasks, 0),
    0,
    `the team is at its limit, so none of the ${waiting} that wait is asked for`,
  );
  assert.deepEqual(scale(pictureOf(load, 8000)), [], 'nothing to rent, move or return');

  const second = ownedBy(SECOND_OWNER, 9000);
  assert.equal(second.unconfirmed, MACHINES);
  fleet.reportAll(second, 10_000);
  fleet.reportAll(second, 13_000);
  assert.equal(second.unconfirmed, 0, 'all machines have spoken');
  assert.deepEqual(fleet.tasks().sort(), started.sort(), 'what ran goes on, and nothing is started twice');
  assert.equal(second.counters.lost, 0);
});

test('the list of assigned machines goes on in more values, each within its limit', () => {
  const values = new Map<string, string[]>();
  const replica = {
    assignedIn: (key: string) => values.get(key) ?? [],
    ledger: { version: () => 0 },
  } as unknown as ReplicaView;
  let left = names;
  while (left.length > 0) {
    const { ids, write } = recordAssigned(replica, 'p0', left, () => true, VALUE_BYTES);
    assert.ok('put' in write && ids.length > 0);
    values.set(write.put, write.value as string[]);
    left = left.filter((id) => !ids.includes(id));
  }
  assert.deepEqual([...values.values()].flat().sort(), names);
  for (const [key, value] of values)
    assert.ok(JSON.stringify(value).length <= VALUE_BYTES, `${key} is too large`);
});
