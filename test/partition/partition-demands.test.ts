import assert from 'node:assert/strict';
import { test } from 'node:test';
import { planCapacity } from '../../src/coordination/fleet/autoscaler';
import { PartitionCore } from '../../src/coordination/partition/partition-core';
import { type MachineType } from '../../src/protocol/cloud';
import { decodePeerMessage, encodePeerMessage } from '../../src/protocol/peer-codec';
import { type Demand, type PartitionLoad, type PeerMessage } from '../../src/protocol/peers';
import { type JobSpec } from '../../src/protocol/jobs';
import { MAX_FRAME_BYTES } from '../../src/transport/peer-link';
import { DEFAULT_POLICY } from '../../src/protocol/policy';
import { jobSpec } from '../support/job-spec';
import { SMALL_TYPE } from '../support/machine-types';

const OWNER_EPOCH = 100;
const URGENT = 1;
const IDLE = 3;
const ACCELERATED_TYPE: MachineType = { ...SMALL_TYPE, name: 'accelerated', accelerators: 2 };
const TYPES = new Map([SMALL_TYPE, ACCELERATED_TYPE].map((type) => [type.name, type]));

/** Age at which a job that has not started goes before urgent ones. */
const AGED_MS = 160_000;

/** The load of a partition without machines, at `AGED_MS`; the jobs arrive now unless they are listed as aged. */
function loadOf(jobs: readonly JobSpec[], agedJobs: readonly JobSpec[] = []): PartitionLoad {
  const unlimited = { cpus: 100, accelerators: 100 };
  const core = new PartitionCore({
    id: 'p0',
    epoch: OWNER_EPOCH,
    teams: [{ name: 't', guaranteed: unlimited, limit: unlimited }],
    machineTypes: () => TYPES,
    specOfClosedJob: () => undefined,
    options: { heartbeatIntervalMs: 2000, leaseMs: 12_000, valueBytes: 4032, objectives: [] },
  });
  const open = (spec: JobSpec, acceptedAt: number): void =>
    core.openJob({ spec, acceptedAt, revision: OWNER_EPOCH + 1, progress: null }, AGED_MS);
  for (const spec of agedJobs) open(spec, 0);
  for (const spec of jobs) open(spec, AGED_MS);
  core.tick(AGED_MS, AGED_MS);
  return core.currentLoad(AGED_MS);
}

/** The status message with which an owner sends this load to the leader. */
function statusWith(load: PartitionLoad): PeerMessage {
  return {
    ...{ kind: 'status' as const, member: 'a', sequence: 1, storeReachable: true, memberIncarnation: 1 },
    ...{ misrouted: [], sinceHeartbeatMs: 0, revision: 1, partitions: [load] },
  };
}

function shown({ accelerators, priority, tasks }: Demand): object {
  return { accelerators, priority, tasks };
}

// Guards against demands that are merged although their tasks need different machines: the leader rented machines on which the
// tasks of the second job cannot run.
test('jobs of one workload with different accelerators are separate demands, and get machines that fit', () => {
  const plain = jobSpec('job-1', { tasks: 2 });
  const accelerated = jobSpec('job-2', { tasks: 3, accelerators: 1 });
  const load = loadOf([plain, accelerated]);
  assert.deepEqual(load.demands.map(shown), [
    { accelerators: 0, priority: 2, tasks: 2 },
    { accelerators: 1, priority: 2, tasks: 3 },
  ]);
  const actions = planCapacity({
    ...{
      types: TYPES,
      loads: [load],
      machines: [],
      capacityExhausted: () => false,
      capacityRefused: () => false,
    },
    ...{ leaseMs: 12_000, policy: DEFAULT_POLICY },
  });
  const requested = actions.flatMap((action) => (action.kind === 'scale-out' ? [action.request.type] : []));
  assert.ok(requested.includes('accelerated'), `requested: ${requested.join()}`);
});

// Guards against urgent tasks that are hidden in the demand of an idle job that has waited long and goes first: machines were not
// transferred for them as for urgent work.
test('the demand of jobs of different priorities has the most urgent of them', () => {
  const idle = jobSpec('job-1', { tasks: 2, priority: IDLE });
  const urgent = jobSpec('job-2', { tasks: 3, priority: URGENT });
  const merged = [{ accelerators: 0, priority: URGENT, tasks: 5 }];
  assert.deepEqual(loadOf([urgent], [idle]).demands.map(shown), merged);
  assert.deepEqual(loadOf([urgent, idle]).demands.map(shown), merged);
});

test('peers of an earlier version read the demands as before', () => {
  const message = statusWith(loadOf([jobSpec('job-1'), jobSpec('job-2', { accelerators: 1 })]));
  const decoded: unknown = decodePeerMessage(encodePeerMessage(message));
  assert.deepEqual(JSON.parse(JSON.stringify(decoded)), JSON.parse(JSON.stringify(message)));
});

// Guards against a load that no leader receives: it was larger than a frame, so the leader closed the connection each time and planned
// no machine for the partition.
test('the demands of jobs that all differ fit into a frame between controllers, the first ones before others', () => {
  const otherTypes = Array.from({ length: 1000 }, (_, i) => `type-${i}`.padEnd(30, 'x'));
  const jobs = Array.from({ length: 150 }, (_, i) =>
    jobSpec(`job-${i}`, { tasks: 1, cpus: 0.1 + i / 1000, machineTypes: ['small', ...otherTypes] }),
  );
  const load = loadOf(jobs);
  const frameBytes = encodePeerMessage(statusWith(load)).length;
  assert.ok(frameBytes <= MAX_FRAME_BYTES, `${frameBytes} bytes`);
  assert.deepEqual(load.demands[0]?.cpus, 0.1);
  assert.ok(load.demands.length > 1);
});
