import assert from 'node:assert/strict';
import { test } from 'node:test';
import { planCapacity } from '../src/coordination/fleet/autoscaler';
import { FleetHistory } from '../src/coordination/fleet/fleet-history';
import { PartitionCore } from '../src/coordination/partition/partition-core';
import { type MachineType } from '../src/protocol/cloud';
import { type JobSpec } from '../src/protocol/jobs';
import { decodePeerMessage, encodePeerMessage } from '../src/protocol/peer-codec';
import { type PartitionLoad, type PeerMessage } from '../src/protocol/peers';
import { DEFAULT_POLICY } from '../src/protocol/policy';
import { type MachineRecord } from '../src/protocol/records';
import { type Heartbeat, type HeartbeatTask } from '../src/protocol/workers';
import { planAssignedMachinesEdit } from '../src/storage/assigned-machines';
import { type ReplicaView } from '../src/storage/replica-view';
import { MAX_FRAME_BYTES } from '../src/transport/peer-link';
import { jobSpec } from './support/job-spec';

const MACHINE_COUNT = 4200;
const JOB_COUNT = 30;
const TASKS_PER_JOB = 700;
const CPUS_PER_MACHINE = 4;
const FIRST_OWNER_EPOCH = 100;
const SECOND_OWNER_EPOCH = 200;
/** The machines were recorded before either owner had the partition. */
const RECORD_REVISION = 50;
const VALUE_BYTES = 4096;

const type: MachineType = {
  ...{ name: 'small', cpus: CPUS_PER_MACHINE, accelerators: 0, memoryGb: 16, cacheGb: 50, fetchGbPerS: 1 },
  ...{ price: 0.2, spotPrice: 0.08, bootS: 20, zones: ['a'] },
};
const types = new Map([['small', type]]);
const record: MachineRecord = { partition: 'p0', phase: 'active', type: 'small', zone: 'a', spot: true };
const machineIds = Array.from({ length: MACHINE_COUNT }, (_, i) => `i-${String(i).padStart(6, '0')}`);

function job(n: number): JobSpec {
  return jobSpec(`job-${n}`, { tasks: TASKS_PER_JOB, memoryGb: 1 });
}

/** The part of a worker's state that its heartbeats contain. */
interface Worker {
  sequence: number;
  token: number;
  tasks: Map<string, HeartbeatTask>;
}

class Fleet {
  readonly workers = new Map<string, Worker>(
    machineIds.map((n) => [n, { sequence: 0, token: 0, tasks: new Map() }]),
  );

  /** Each machine sends one heartbeat and starts the tasks in its answer. */
  heartbeatAll(core: PartitionCore, now: number): void {
    for (const [machine, worker] of this.workers) {
      const heartbeat: Heartbeat = {
        ...{
          machine,
          address: '',
          type: 'small',
          zone: 'a',
          spot: true,
          agentEpoch: 1,
          sequence: ++worker.sequence,
        },
        ...{ token: worker.token, preemptionNoticeS: null, tasks: [...worker.tasks.values()] },
      };
      const answer = core.handleHeartbeat(heartbeat, now);
      assert.ok(answer, `${machine} got no answer`);
      worker.token = answer.token;
      for (const c of answer.commands) {
        assert.equal(c.op, 'start', `${c.op} of ${c.ref}/${c.index}`);
        const { ref, index, attempt } = c;
        worker.tasks.set(`${ref}/${index}`, { ref, index, attempt, phase: 'running', exit: null });
      }
    }
  }

  /** The tasks on all machines. A task on several machines occurs several times. */
  tasks(): string[] {
    return [...this.workers.values()].flatMap((w) => [...w.tasks.keys()]);
  }
}

function createOwner(epoch: number, now: number): PartitionCore {
  const cpus = MACHINE_COUNT * CPUS_PER_MACHINE;
  const team = { name: 't', guaranteed: { cpus, accelerators: 0 }, limit: { cpus, accelerators: 0 } };
  const options = { heartbeatIntervalMs: 3000, leaseMs: 19_000, valueBytes: 32_768, objectives: [] };
  const core = new PartitionCore({
    id: 'p0',
    epoch,
    teams: [team],
    machineTypes: () => types,
    specOfClosedJob: () => undefined,
    options,
    assignedMachines: new Set(machineIds),
  });
  for (const id of machineIds) core.upsertMachine(id, record, RECORD_REVISION, now);
  const progress = { doneRanges: '', doneCount: 0, runningCount: 0, startWatermark: TASKS_PER_JOB };
  for (let n = 0; n < JOB_COUNT; n++)
    core.openJob({ spec: job(n), acceptedAt: n, revision: RECORD_REVISION, progress }, now);
  core.tick(now, now);
  return core;
}

function fleetSnapshotOf(load: PartitionLoad, now: number): Parameters<typeof planCapacity>[0] {
  const history = new FleetHistory();
  history.recordLoad(load, now, now);
  const recorded = machineIds.map((id): [string, { record: MachineRecord }] => [id, { record }]);
  const machines = history.fleetMachines(recorded, now);
  return {
    types,
    loads: [load],
    machines,
    capacityExhausted: () => false,
    capacityRefused: () => false,
    leaseMs: 19_000,
    policy: DEFAULT_POLICY,
  };
}

test('more than four thousand machines are filled, reported in one frame, planned for and taken over without losing a task', () => {
  const fleet = new Fleet();
  const firstOwner = createOwner(FIRST_OWNER_EPOCH, 0);
  fleet.heartbeatAll(firstOwner, 1000);
  // In its second heartbeat, each machine shows the first owner's token, so no command of an earlier owner can be in effect.
  fleet.heartbeatAll(firstOwner, 4000);
  firstOwner.tick(4500, 4500);
  fleet.heartbeatAll(firstOwner, 7000);
  const started = fleet.tasks();
  assert.equal(started.length, MACHINE_COUNT * CPUS_PER_MACHINE, 'every machine is full');
  assert.equal(new Set(started).size, started.length, 'no task is on two machines');

  const load = firstOwner.currentLoad(8000);
  assert.equal(load.machines.length, MACHINE_COUNT);
  const frame: PeerMessage = {
    ...{
      kind: 'status',
      member: 'a',
      sequence: 1,
      storeReachable: true,
      memberIncarnation: 1,
      misrouted: [],
    },
    ...{ sinceHeartbeatMs: 0, revision: 1, partitions: [load] },
  };
  const bytes = encodePeerMessage(frame);
  assert.ok(bytes.length < MAX_FRAME_BYTES / 4, `${bytes.length} bytes`);
  assert.deepEqual(JSON.parse(JSON.stringify(decodePeerMessage(bytes))), JSON.parse(JSON.stringify(frame)));
  const pendingCount = JOB_COUNT * TASKS_PER_JOB - started.length;
  assert.equal(
    load.demands.reduce((sum, d) => sum + d.tasks, 0),
    0,
    `the team is at its limit, so none of the ${pendingCount} pending tasks counts as demand`,
  );
  assert.deepEqual(
    planCapacity(fleetSnapshotOf(load, 8000)),
    [],
    'no machine is provisioned, transferred or returned',
  );

  const secondOwner = createOwner(SECOND_OWNER_EPOCH, 9000);
  assert.equal(secondOwner.unconfirmedCount, MACHINE_COUNT);
  fleet.heartbeatAll(secondOwner, 10_000);
  fleet.heartbeatAll(secondOwner, 13_000);
  assert.equal(secondOwner.unconfirmedCount, 0, 'all machines have sent heartbeats to the new owner');
  assert.deepEqual(fleet.tasks().sort(), started.sort(), 'running tasks continue, and none is started twice');
  assert.equal(secondOwner.counters.lost, 0);
});

test('the list of assigned machines is split into several values, each within the size limit', () => {
  const values = new Map<string, string[]>();
  const replica = {
    assignedMachinesInKey: (key: string) => values.get(key) ?? [],
    storeReplica: { revisionOf: () => 0 },
  } as unknown as ReplicaView;
  let remaining = machineIds;
  while (remaining.length > 0) {
    const { ids, write } = planAssignedMachinesEdit(replica, {
      partition: 'p0',
      machines: remaining,
      exists: () => true,
      valueBytes: VALUE_BYTES,
    });
    assert.ok('put' in write && ids.length > 0);
    values.set(write.put, write.value as string[]);
    remaining = remaining.filter((id) => !ids.includes(id));
  }
  assert.deepEqual([...values.values()].flat().sort(), machineIds);
  for (const [key, value] of values)
    assert.ok(JSON.stringify(value).length <= VALUE_BYTES, `${key} is too large`);
});
