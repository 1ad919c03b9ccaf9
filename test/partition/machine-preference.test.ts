import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type JobSpec } from '../../src/protocol/jobs';
import { type MachineRecord } from '../../src/protocol/records';
import { jobSpec } from '../support/job-spec';
import {
  PartitionHarness,
  REVISION_AFTER_EPOCH,
  startedTasks,
  taskInPhase,
} from '../support/partition-harness';

const CPU_LIMIT = 200;
const TICK_AT = 100;

/** Adds a machine that has sent a heartbeat, so that it is given tasks from its next one on. */
function addMachine(partition: PartitionHarness, id: string, record: Partial<MachineRecord> = {}): void {
  partition.addMachine(id, REVISION_AFTER_EPOCH, record);
  partition.heartbeat(id, 0);
}

/** Starts a task on a machine, so that it is fuller than others. */
function occupy(partition: PartitionHarness, id: string, size: Partial<JobSpec>): void {
  const filler = jobSpec(`job-on-${id}`, { tasks: 1, ...size });
  partition.addJob(filler);
  assert.deepEqual(startedTasks(partition.heartbeat(id, 0)), [`${filler.ref}/0`]);
}

interface RestrictionCase {
  restriction: string;
  job: Partial<JobSpec>;
  /** Adds `suitable`, where a pending task of the job may run, and machines before it in the order where it may not. */
  addMachines: (partition: PartitionHarness) => void;
  /** The machine on which the first task of the job is started before the machines are ordered. */
  firstOn?: string;
}

const RESTRICTIONS: RestrictionCase[] = [
  {
    restriction: 'zone',
    job: { zone: 'b' },
    addMachines: (partition) => {
      addMachine(partition, 'other');
      addMachine(partition, 'suitable', { zone: 'b' });
    },
  },
  {
    restriction: 'machine type',
    job: { machineTypes: ['large'] },
    addMachines: (partition) => {
      addMachine(partition, 'other');
      addMachine(partition, 'suitable', { type: 'large' });
    },
  },
  {
    restriction: 'no spot machine',
    job: { spot: false },
    addMachines: (partition) => {
      addMachine(partition, 'other');
      addMachine(partition, 'suitable', { spot: false });
    },
  },
  {
    restriction: 'memory',
    job: { memoryGb: 12 },
    addMachines: (partition) => {
      addMachine(partition, 'other');
      occupy(partition, 'other', { memoryGb: 8 });
      addMachine(partition, 'suitable');
    },
  },
  {
    restriction: 'CPUs of a single machine',
    job: { cpus: 4 },
    addMachines: (partition) => {
      for (const id of ['other', 'another']) {
        addMachine(partition, id);
        occupy(partition, id, { cpus: 2 });
      }
      addMachine(partition, 'suitable');
    },
  },
  {
    restriction: 'all tasks in one zone',
    job: { singleZone: true, cpus: 4, tasks: 2 },
    addMachines: (partition) => {
      addMachine(partition, 'first', { zone: 'b' });
      addMachine(partition, 'other');
      addMachine(partition, 'suitable', { zone: 'b' });
    },
    firstOn: 'first',
  },
  {
    restriction: 'half of the tasks in each zone',
    job: { spreadZones: true, cpus: 4, tasks: 2 },
    addMachines: (partition) => {
      addMachine(partition, 'first');
      addMachine(partition, 'other');
      addMachine(partition, 'suitable', { zone: 'b' });
    },
    firstOn: 'first',
  },
];

// Guards against a job that is left waiting beside a machine with room: free CPUs where it may not run deprioritized that machine.
test('free resources where a task may not run deprioritize no machine where it may', async (t) => {
  for (const { restriction, job, addMachines, firstOn } of RESTRICTIONS) {
    await t.test(restriction, () => {
      const partition = new PartitionHarness(CPU_LIMIT);
      addMachines(partition);
      partition.addJob(jobSpec('job-1', { tasks: 1, ...job }));
      if (firstOn) assert.deepEqual(startedTasks(partition.heartbeat(firstOn, 0)), ['job-1/0']);
      partition.core.tick(TICK_AT, TICK_AT);
      const expected = firstOn ? ['job-1/1'] : ['job-1/0'];
      assert.deepEqual(startedTasks(partition.heartbeat('suitable', TICK_AT)), expected);
    });
  }
});

test('machines are deprioritized only while others have room for all pending tasks', async (t) => {
  const cases: { name: string; tasks: number; cpus: number; expected: number }[] = [
    { name: 'the tasks fit on the fuller machine', tasks: 2, cpus: 1, expected: 0 },
    { name: 'one task too many', tasks: 3, cpus: 1, expected: 1 },
    { name: 'more tasks than all machines have room for', tasks: 20, cpus: 1, expected: 4 },
  ];
  for (const { name, tasks, cpus, expected } of cases) {
    await t.test(name, () => {
      const partition = new PartitionHarness(CPU_LIMIT);
      addMachine(partition, 'fuller');
      occupy(partition, 'fuller', { cpus: 2 });
      addMachine(partition, 'empty');
      partition.addJob(jobSpec('job-1', { tasks, cpus }));
      partition.core.tick(TICK_AT, TICK_AT);
      assert.equal(partition.core.machines.get('empty')?.deprioritized, expected === 0);
      assert.equal(startedTasks(partition.heartbeat('empty', TICK_AT)).length > 0, expected > 0);
    });
  }
  // Otherwise resources that are freed on it would be given to no task before its next heartbeat but one.
  await t.test('a full machine while tasks wait for room on any', () => {
    const partition = new PartitionHarness(CPU_LIMIT);
    addMachine(partition, 'full');
    occupy(partition, 'full', { cpus: 3 });
    partition.addJob(jobSpec('job-1', { tasks: 1, cpus: 2 }));
    partition.core.tick(TICK_AT, TICK_AT);
    assert.equal(partition.core.machines.get('full')?.deprioritized, false);
  });
  await t.test('tasks of more sizes than a plan can consider', () => {
    const partition = new PartitionHarness(CPU_LIMIT);
    for (let i = 0; i < 40; i++) {
      addMachine(partition, `m-${i}`);
      occupy(partition, `m-${i}`, { cpus: 0.5, memoryGb: 15 });
    }
    addMachine(partition, 'suitable');
    for (let i = 0; i < 40; i++)
      partition.addJob(jobSpec(`job-${i}`, { tasks: 1, cpus: 0.01, memoryGb: 2 + i / 100 }));
    partition.core.tick(TICK_AT, TICK_AT);
    assert.ok(startedTasks(partition.heartbeat('suitable', TICK_AT)).length > 0);
  });
});

// Guards against tasks that are stopped although no machine where they may run has room: free CPUs were added up over all machines.
test('a task is stopped for a transfer only if it can be resumed on a machine with room', async (t) => {
  const cases: { name: string; job: Partial<JobSpec>; other: Partial<MachineRecord>; stopped: boolean }[] = [
    { name: 'a machine with room', job: {}, other: {}, stopped: true },
    { name: 'room in another zone only', job: { zone: 'a' }, other: { zone: 'b' }, stopped: false },
    {
      name: 'room on another machine type only',
      job: { machineTypes: ['small'] },
      other: { type: 'large' },
      stopped: false,
    },
    { name: 'room on a spot machine only', job: { spot: false }, other: {}, stopped: false },
  ];
  const drainedAt = 40_000;
  for (const { name, job, other, stopped } of cases) {
    await t.test(name, () => {
      const partition = new PartitionHarness(CPU_LIMIT);
      addMachine(partition, 'drained', { spot: false });
      const spec = { tasks: 1, checkpointIntervalS: 30, checkpointDurationS: 3, ...job };
      partition.addJob(jobSpec('job-1', spec));
      const live = partition.heartbeat('drained', 0).map((command) => taskInPhase(command, 'running'));
      partition.heartbeat('drained', 1000, live);
      partition.addMachine('other', REVISION_AFTER_EPOCH, other);
      partition.heartbeat('other', drainedAt - 500);
      partition.core.drainForTransfer('drained', 'p1', drainedAt);
      const commands = partition.heartbeat('drained', drainedAt, live);
      assert.deepEqual(
        commands.map(({ op }) => op),
        stopped ? ['stop'] : [],
      );
    });
  }
});
