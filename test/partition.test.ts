import assert from 'node:assert/strict';
import { test } from 'node:test';
import { PartitionCore } from '../src/coordination/partition/partition-core';
import { type MachineType } from '../src/protocol/cloud';
import { type JobSpec } from '../src/protocol/jobs';
import { type JobProgress, type JobState, type MachineRecord } from '../src/protocol/records';
import { ProgressSlots } from '../src/storage/progress';
import { type Command, type Heartbeat, type HeartbeatTask } from '../src/protocol/workers';

const OWNER_EPOCH = 100;
const BEFORE_OWNER = 50;
const AFTER_OWNER = 150;
/** A token that shows that the machine heard us, whatever we asked for. */
const ACKNOWLEDGED_TOKEN = 1000 * 1024 * 1024;

const SMALL_TYPE: MachineType = {
  ...{ name: 'small', cpus: 4, accelerators: 0, memoryGb: 16, cacheGb: 50, fetchGbPerS: 1 },
  ...{ price: 0.2, spotPrice: 0.08, bootS: 20, zones: ['a', 'b'] },
};

function spec(ref: string, change: Partial<JobSpec> = {}): JobSpec {
  return {
    ...{ ref, workload: 'w', team: 't', priority: 2, tasks: 2, cpus: 1, accelerators: 0, memoryGb: 2 },
    ...{
      image: 'i',
      imageGb: 1,
      machineTypes: null,
      zone: null,
      singleZone: false,
      spreadZones: false,
      spot: true,
    },
    ...{
      expectedS: 30,
      checkpointIntervalS: 0,
      checkpointDurationS: 0,
      deadlineS: null,
      pipeline: null,
      ...change,
    },
  };
}

/** A partition with the worker's side of the conversation. */
class PartitionHarness {
  readonly core: PartitionCore;
  private sequence = 0;
  readonly specs = new Map<string, JobSpec>();
  /** Every machine that is named here was opened before. */
  private readonly assigned = new Set<string>();

  constructor(limit = 8) {
    const team = {
      name: 't',
      guaranteed: { cpus: 4, accelerators: 0 },
      limit: { cpus: limit, accelerators: 0 },
    };
    const options = { heartbeatIntervalMs: 2000, leaseMs: 12_000, valueBytes: 4096, objectives: [] };
    this.core = new PartitionCore({
      id: 'p0',
      epoch: OWNER_EPOCH,
      teams: [team, { ...team, name: 'u' }],
      types: () => new Map([['small', SMALL_TYPE]]),
      specOfClosedJob: (r) => this.specs.get(r),
      options,
      assignedMachines: this.assigned,
    });
  }

  addMachine(id: string, version: number, change: Partial<MachineRecord> = {}): void {
    const row: MachineRecord = {
      partition: 'p0',
      phase: 'active',
      type: 'small',
      zone: 'a',
      spot: true,
      ...change,
    };
    this.assigned.add(id);
    this.core.upsertMachine(id, row, version, 0);
  }

  /** Opened by an earlier owner, and not here now. */
  assignedByEarlierOwner(id: string): void {
    this.assigned.add(id);
  }

  /** One that no owner of this partition has opened. */
  addUnassignedMachine(id: string, version: number): void {
    const row: MachineRecord = { partition: 'p0', phase: 'active', type: 'small', zone: 'a', spot: true };
    this.core.upsertMachine(id, row, version, 0);
  }

  addJob(job: JobSpec, version = AFTER_OWNER, doneRanges = '', startWatermark = job.tasks): void {
    this.specs.set(job.ref, job);
    const progress = { doneRanges, doneCount: 0, runningCount: 0, startWatermark };
    this.core.openJob({ spec: job, acceptedAt: 0, revision: version, progress }, 0);
  }

  addTerminatedJob(job: JobSpec, state: JobState = 'cancelled'): void {
    this.core.addCancelled({ spec: job, revision: BEFORE_OWNER }, state);
  }

  closeJob(ref: string, state: JobState): void {
    this.core.closeJob(ref, state, 0);
  }

  heartbeat(
    id: string,
    now: number,
    tasks: HeartbeatTask[] = [],
    change: Partial<Heartbeat> = {},
  ): Command[] {
    const heartbeat: Heartbeat = {
      ...{
        machine: id,
        address: 'x',
        type: 'small',
        zone: 'a',
        spot: true,
        agentEpoch: 1,
        sequence: ++this.sequence,
      },
      ...{ token: ACKNOWLEDGED_TOKEN, preemptionNoticeS: null, tasks, ...change },
    };
    return this.core.handleHeartbeat(heartbeat, now)?.commands ?? [];
  }
}

function startedTasks(commands: Command[]): string[] {
  return commands.filter((c) => c.op === 'start').map((c) => `${c.ref}/${c.index}`);
}

function taskInPhase(
  command: Command,
  phase: HeartbeatTask['phase'],
  exit: HeartbeatTask['exit'] = null,
): HeartbeatTask {
  return { ref: command.ref, index: command.index, attempt: command.attempt, phase, exit };
}

const cases: [string, (partition: PartitionHarness) => void, limit?: number][] = [
  [
    // Its reports kept coming, each was answered, and each answer counted as a new lease: it never came to an end.
    'a machine that hears nothing of a new owner holds up others for one lease at most',
    (partition) => {
      partition.addMachine('deaf', BEFORE_OWNER);
      partition.addMachine('m', BEFORE_OWNER);
      partition.addJob(spec('job-1'), BEFORE_OWNER);
      for (let now = 0; now <= 12_000; now += 2000) {
        partition.heartbeat('deaf', now, [], { token: 0 });
        assert.deepEqual(startedTasks(partition.heartbeat('m', now + 100)), []);
      }
      assert.deepEqual(
        startedTasks(partition.heartbeat('deaf', 13_000, [], { token: 0 })),
        [],
        'it gets nothing itself',
      );
      assert.equal(startedTasks(partition.heartbeat('m', 13_100)).length, 2);
    },
  ],
  [
    'one that took an answer meanwhile is waited for',
    (partition) => {
      partition.addMachine('m', BEFORE_OWNER);
      partition.addMachine('late', BEFORE_OWNER);
      partition.addJob(spec('job-1'), BEFORE_OWNER);
      partition.heartbeat('late', 8000, [], { token: 0 });
      partition.core.tick(13_000, 0);
      assert.deepEqual(
        startedTasks(partition.heartbeat('m', 13_100)),
        [],
        'it may have taken the answer of 8 s',
      );
      partition.core.tick(21_000, 0);
      assert.equal(startedTasks(partition.heartbeat('m', 21_100)).length, 2);
    },
  ],
  [
    'tasks start in arrival order up to what fits',
    (partition) => {
      partition.addMachine('m', AFTER_OWNER);
      partition.addJob(spec('job-1', { tasks: 6 }));
      assert.equal(startedTasks(partition.heartbeat('m', 0)).length, 4);
    },
  ],
  [
    'the more urgent go first, whenever they came',
    (partition) => {
      partition.addMachine('m', AFTER_OWNER);
      partition.addJob(spec('job-1', { tasks: 4 }));
      partition.addJob(spec('job-2', { tasks: 3, priority: 1 }));
      assert.deepEqual(startedTasks(partition.heartbeat('m', 0)).sort(), [
        'job-1/0',
        'job-2/0',
        'job-2/1',
        'job-2/2',
      ]);
    },
  ],
  [
    'room goes first to a job whose image the machine holds, not past one more urgent',
    (partition) => {
      partition.addMachine('m', AFTER_OWNER);
      partition.addJob(spec('job-1', { tasks: 1, image: 'held', cpus: 2 }));
      const [start] = partition.heartbeat('m', 0);
      assert.ok(start);
      partition.addJob(spec('job-2', { tasks: 1, image: 'new', cpus: 2 }));
      partition.addJob(spec('job-3', { tasks: 2, image: 'held', cpus: 1 }));
      const held = partition.heartbeat('m', 2000, [taskInPhase(start, 'running')]);
      assert.deepEqual(startedTasks(held), ['job-3/0', 'job-3/1']);
      partition.addJob(spec('job-4', { tasks: 1, image: 'new', cpus: 2, priority: 1 }));
      const over = [...held, start].map((c) => taskInPhase(c, 'exited', 'done'));
      assert.deepEqual(startedTasks(partition.heartbeat('m', 4000, over)), ['job-4/0', 'job-2/0']);
    },
  ],
  [
    'tasks that can save leave a machine that is to go back to the cloud; others may finish',
    (partition) => {
      partition.addMachine('m', AFTER_OWNER);
      partition.addJob(spec('job-1', { tasks: 1, checkpointIntervalS: 30, checkpointDurationS: 3 }));
      partition.addJob(spec('job-2', { tasks: 1 }));
      const live = partition.heartbeat('m', 0).map((c) => taskInPhase(c, 'running'));
      partition.heartbeat('m', 2000, live);
      partition.core.drainForTransfer('m', '', 3000);
      const commands = partition.heartbeat('m', 4000, live);
      assert.deepEqual(
        commands.map((c) => `${c.op} ${c.ref}`),
        ['stop job-1'],
      );
    },
  ],
  ...(
    [
      ['a task that can save leaves a machine that another partition gets', 40_000, true, ['stop job-1']],
      ['not if nothing else here has room for it', 40_000, false, []],
      ['nor if it has only just begun', 20_000, true, []],
    ] as const
  ).map(([name, now, roomElsewhere, expected]): [string, (partition: PartitionHarness) => void] => [
    name,
    (partition) => {
      partition.addMachine('m', AFTER_OWNER);
      partition.addJob(spec('job-1', { tasks: 1, checkpointIntervalS: 30, checkpointDurationS: 3 }));
      partition.addJob(spec('job-2', { tasks: 1 }));
      const live = partition.heartbeat('m', 0).map((c) => taskInPhase(c, 'running'));
      partition.heartbeat('m', 1000, live);
      if (roomElsewhere) partition.addMachine('n', AFTER_OWNER);
      partition.heartbeat('n', now - 500);
      partition.core.drainForTransfer('m', 'p1', now);
      assert.deepEqual(
        partition.heartbeat('m', now, live).map((c) => `${c.op} ${c.ref}`),
        expected,
      );
    },
  ]),
  [
    "a team's limit holds over all machines",
    (partition) => {
      for (const id of ['m', 'n', 'o']) partition.addMachine(id, AFTER_OWNER);
      partition.addJob(spec('job-1', { tasks: 20 }));
      const n = ['m', 'n', 'o'].map((id) => startedTasks(partition.heartbeat(id, 0)).length);
      assert.equal(n[0]! + n[1]! + n[2]!, 8);
    },
  ],
  [
    'a start is given again only after a newer report without it',
    (partition) => {
      partition.addMachine('m', AFTER_OWNER);
      partition.addJob(spec('job-1', { tasks: 1 }));
      assert.equal(startedTasks(partition.heartbeat('m', 0)).length, 1);
      const late = partition.heartbeat('m', 100, [], { sequence: 1 });
      assert.deepEqual(late, [], 'a late copy of the report answered says nothing');
      assert.equal(
        startedTasks(partition.heartbeat('m', 2000)).length,
        0,
        'it did not hear us: first it is to show that it does',
      );
      assert.equal(startedTasks(partition.heartbeat('m', 4000)).length, 1);
    },
  ],
  [
    'a machine taken over is given nothing before it has seen the new token',
    (partition) => {
      partition.addMachine('m', BEFORE_OWNER);
      partition.addJob(spec('job-1'));
      assert.deepEqual(startedTasks(partition.heartbeat('m', 0, [], { token: BEFORE_OWNER * 1024 })), []);
      assert.equal(startedTasks(partition.heartbeat('m', 500, [], { token: OWNER_EPOCH * 1024 })).length, 2);
    },
  ],
  [
    'while one machine is silent, earlier jobs wait and new ones run',
    (partition) => {
      partition.addMachine('m', AFTER_OWNER);
      partition.addMachine('silent', BEFORE_OWNER);
      partition.addJob(spec('job-1'), BEFORE_OWNER);
      partition.addJob(spec('job-2'));
      assert.deepEqual(startedTasks(partition.heartbeat('m', 0)), ['job-2/0', 'job-2/1']);
      partition.core.tick(12_000, 0);
      const early = startedTasks(partition.heartbeat('m', 12_100));
      assert.ok(!early.some((s) => s.startsWith('job-1/')), 'the lease may not have run out yet');
      partition.core.tick(13_000, 0);
      assert.ok(startedTasks(partition.heartbeat('m', 13_100)).includes('job-1/0'));
    },
  ],
  ...(
    [
      // What an owner before us may have started counts, wherever it is; else a limit would be exceeded unseen.
      [
        'tasks of the team that nobody has seen since',
        (partition) => partition.addJob(spec('job-1'), BEFORE_OWNER),
        2,
      ],
      [
        'a job cancelled before, whose tasks may run on',
        (partition) => partition.addTerminatedJob(spec('job-1', { tasks: 3 })),
        3,
      ],
      [
        'more than the machine holds',
        (partition) => partition.addTerminatedJob(spec('job-1', { tasks: 30 })),
        4,
      ],
      // Counted as full for everybody, one silent machine held teams back that had nothing on it.
      ['nothing', () => undefined, 0],
      [
        'a job that was done',
        (partition) => partition.addTerminatedJob(spec('job-1', { tasks: 3 }), 'done'),
        0,
      ],
      [
        'a job cancelled while it is silent',
        (partition) => (
          partition.addJob(spec('job-1'), BEFORE_OWNER),
          partition.closeJob('job-1', 'cancelled')
        ),
        2,
      ],
    ] as [string, (partition: PartitionHarness) => void, number][]
  ).map(([what, before, hidden]): [string, (partition: PartitionHarness) => void] => [
    `a silent machine may hide of a team: ${what}`,
    (partition) => {
      partition.addMachine('m', AFTER_OWNER);
      partition.addMachine('n', AFTER_OWNER);
      partition.addMachine('silent', BEFORE_OWNER);
      before(partition);
      partition.addJob(spec('job-2', { tasks: 20 }));
      assert.equal(
        startedTasks(partition.heartbeat('m', 0)).length + startedTasks(partition.heartbeat('n', 0)).length,
        8 - hidden,
      );
      partition.core.tick(13_000, 0);
      assert.equal(partition.core.quota.remaining('t').cpus, 8, 'all leases over, nothing is hidden');
    },
  ]),
  [
    'a machine that nobody opened holds nothing up, and gets nothing before it is',
    (partition) => {
      partition.addMachine('m', AFTER_OWNER);
      partition.addUnassignedMachine('booting', BEFORE_OWNER);
      partition.addJob(spec('job-1', { tasks: 6 }), BEFORE_OWNER);
      assert.equal(startedTasks(partition.heartbeat('m', 0)).length, 4, 'begun before, but surely not there');
      assert.deepEqual(startedTasks(partition.heartbeat('booting', 100)), []);
      assert.deepEqual(partition.core.unassignedMachines(), ['booting']);
      partition.core.markAssigned(['booting']);
      assert.equal(startedTasks(partition.heartbeat('booting', 200)).length, 2);
    },
  ],
  [
    // A single task of a large job had begun, so it was passed over for four minutes.
    'a large job goes first after a while unless half of what its team may run has begun',
    (partition) => {
      partition.addMachine('m', AFTER_OWNER);
      partition.addJob(spec('job-0', { tasks: 3, priority: 1 }));
      partition.addJob(spec('job-1', { tasks: 40, priority: 3 }));
      const [large, others] = [(c: Command) => c.ref === 'job-1', (c: Command) => c.ref !== 'job-1'];
      const first = partition.heartbeat('m', 0);
      const live = first.filter(large).map((c) => taskInPhase(c, 'running'));
      assert.equal(live.length, 1);
      const over = (commands: Command[]): HeartbeatTask[] =>
        commands.filter(others).map((c) => taskInPhase(c, 'exited', 'done'));
      partition.addJob(spec('job-2', { tasks: 20 }));
      partition.core.tick(2000, 200_000);
      const early = partition.heartbeat('m', 2000, [...live, ...over(first)]).filter((c) => c.op === 'start');
      assert.equal(early.filter(others).length, 3, 'not yet');
      partition.core.tick(4000, 211_000);
      const late = partition.heartbeat('m', 4000, [...live, ...over(early)]).filter((c) => c.op === 'start');
      assert.equal(late.filter(large).length, 3);
    },
  ],
  [
    'a machine of an earlier owner that comes back from another partition is opened anew',
    (partition) => {
      partition.assignedByEarlierOwner('m');
      partition.addUnassignedMachine('n', AFTER_OWNER);
      partition.heartbeat('n', 0);
      assert.deepEqual(partition.core.unassignedMachines(), ['n'], 'the list is written anew, without m');
      partition.addUnassignedMachine('m', AFTER_OWNER + 1);
      partition.addJob(spec('job-1'));
      assert.deepEqual(startedTasks(partition.heartbeat('m', 1000)), []);
      assert.deepEqual(partition.core.unassignedMachines(), ['n', 'm']);
      partition.core.markAssigned(['m']);
      assert.equal(startedTasks(partition.heartbeat('m', 2000)).length, 2);
    },
  ],
  [
    // The store's list forgets machines that are gone: trusted after its return, it would hide tasks from a next owner.
    'a machine that left and came back is opened anew',
    (partition) => {
      partition.addMachine('m', AFTER_OWNER);
      partition.addJob(spec('job-1'));
      partition.core.removeMachine('m', 0);
      partition.addUnassignedMachine('m', AFTER_OWNER);
      assert.deepEqual(startedTasks(partition.heartbeat('m', 0)), []);
      assert.deepEqual(partition.core.unassignedMachines(), ['m']);
    },
  ],
  [
    'live tasks are adopted, not started again',
    (partition) => {
      partition.addMachine('m', BEFORE_OWNER);
      partition.addMachine('n', AFTER_OWNER);
      partition.addJob(spec('job-1'), BEFORE_OWNER);
      const live: HeartbeatTask = { ref: 'job-1', index: 0, attempt: 7, phase: 'running', exit: null };
      partition.heartbeat('m', 0, [live], { token: BEFORE_OWNER * 1024 });
      assert.deepEqual(startedTasks(partition.heartbeat('m', 500, [live])), ['job-1/1']);
      assert.deepEqual(startedTasks(partition.heartbeat('n', 600)), []);
    },
  ],
  [
    'a refused start beside the live attempt leaves the task where it is',
    (partition) => {
      partition.addMachine('m', AFTER_OWNER);
      partition.addMachine('n', AFTER_OWNER);
      partition.addJob(spec('job-1', { tasks: 1 }));
      const [start] = partition.heartbeat('m', 0);
      assert.ok(start);
      const live: HeartbeatTask = { ...taskInPhase(start, 'running'), attempt: 3 };
      partition.heartbeat('m', 2000, [live, taskInPhase(start, 'exited', 'busy')]);
      assert.deepEqual(startedTasks(partition.heartbeat('n', 2100)), []);
    },
  ],
  [
    'a new session ends what was there',
    (partition) => {
      partition.addMachine('m', AFTER_OWNER);
      partition.addJob(spec('job-1', { tasks: 1 }));
      const [start] = partition.heartbeat('m', 0);
      assert.ok(start);
      partition.heartbeat('m', 2000, [taskInPhase(start, 'running')]);
      assert.equal(
        startedTasks(partition.heartbeat('m', 20_000, [], { agentEpoch: 2, sequence: 1 })).length,
        1,
      );
    },
  ],
  [
    'an exit is forgotten only once its outcome is durable, and done is told once all are',
    (partition) => {
      partition.addMachine('m', AFTER_OWNER);
      partition.addJob(spec('job-1', { tasks: 1 }));
      const [start] = partition.heartbeat('m', 0);
      assert.ok(start);
      assert.deepEqual(partition.heartbeat('m', 2000, [taskInPhase(start, 'exited', 'done')]), []);
      assert.deepEqual([...partition.core.terminalStates], [['job-1', 'done']]);
      partition.closeJob('job-1', 'done');
      assert.equal(partition.heartbeat('m', 4000, [taskInPhase(start, 'exited', 'done')])[0]?.op, 'forget');
    },
  ],
  [
    'a cancelled job: nothing starts, what runs is stopped and counts until it is gone',
    (partition) => {
      partition.addMachine('m', AFTER_OWNER);
      partition.addMachine('n', AFTER_OWNER);
      partition.addJob(spec('job-1', { tasks: 4 }));
      const commands = partition.heartbeat('m', 0);
      partition.heartbeat(
        'm',
        1000,
        commands.map((c) => taskInPhase(c, 'running')),
      );
      partition.closeJob('job-1', 'cancelled');
      partition.addJob(spec('job-2', { tasks: 8 }));
      assert.equal(startedTasks(partition.heartbeat('n', 1500)).length, 4, 'limit 8, 4 still out');
      const stops = partition.heartbeat(
        'm',
        2000,
        commands.map((c) => taskInPhase(c, 'running')),
      );
      assert.deepEqual(new Set(stops.map((c) => c.op)), new Set(['stop']));
    },
  ],
  [
    'a task that fails is tried again after a pause, and a machine where all fail gets no more',
    (partition) => {
      partition.addMachine('m', AFTER_OWNER);
      partition.addJob(spec('job-1', { tasks: 8 }));
      let now = 0;
      let commands = partition.heartbeat('m', now);
      assert.equal(commands.length, 4);
      commands = partition.heartbeat(
        'm',
        (now += 2000),
        commands.map((c) => taskInPhase(c, 'exited', 'error')),
      );
      assert.deepEqual(startedTasks(commands), []);
      assert.equal(partition.core.load(now).machines[0]?.quarantined, true);
      partition.addMachine('n', AFTER_OWNER);
      assert.equal(startedTasks(partition.heartbeat('n', (now += 2000))).length, 4);
    },
  ],
  [
    // Jobs with a mistake fail on every machine. Machines on which other work was done were sent back for it.
    'a job that succeeds nowhere does not put a machine to blame where others succeed',
    (partition) => {
      partition.addMachine('m', AFTER_OWNER);
      partition.addJob(spec('job-1', { tasks: 1 }));
      const [good] = partition.heartbeat('m', 0);
      partition.heartbeat('m', 2000, [taskInPhase(good as Command, 'exited', 'done')]);
      partition.addJob(spec('job-2', { tasks: 8 }));
      const failed = partition.heartbeat('m', 4000).filter((c) => c.op === 'start');
      assert.equal(failed.length, 4);
      const next = partition.heartbeat(
        'm',
        6000,
        failed.map((c) => taskInPhase(c, 'exited', 'error')),
      );
      assert.deepEqual(startedTasks(next), [], 'nor is it tried there again at once');
      assert.equal(partition.core.load(6000).machines[0]?.quarantined, false);
      partition.addJob(spec('job-3', { tasks: 2 }));
      assert.equal(startedTasks(partition.heartbeat('m', 8000)).length, 2);
    },
  ],
  [
    'a machine where several jobs fail that succeed elsewhere is to blame',
    (partition) => {
      partition.addMachine('good', AFTER_OWNER);
      partition.addMachine('bad', AFTER_OWNER);
      partition.addJob(spec('job-1', { tasks: 8 }), AFTER_OWNER);
      const first = partition.heartbeat('good', 0).filter((c) => c.op === 'start');
      const second = partition.heartbeat('bad', 0).filter((c) => c.op === 'start');
      partition.heartbeat(
        'bad',
        2000,
        second.map((c) => taskInPhase(c, 'exited', 'error')),
      );
      partition.heartbeat(
        'good',
        2000,
        first.map((c) => taskInPhase(c, 'exited', 'done')),
      );
      assert.deepEqual(
        partition.core.load(2000).machines.map((m) => m.quarantined),
        [false, true],
      );
    },
  ],
  [
    'a job that failed on three machines is tried with one task now and then, and nothing is rented for it',
    (partition) => {
      partition.addJob(spec('job-1', { tasks: 30 }));
      let now = 0;
      for (const id of ['m', 'n', 'o']) {
        partition.addMachine(id, AFTER_OWNER);
        const failed = partition.heartbeat(id, now).filter((c) => c.op === 'start');
        partition.heartbeat(
          id,
          (now += 1000),
          failed.map((c) => taskInPhase(c, 'exited', 'error')),
        );
      }
      assert.equal(partition.core.load(now).machines.filter((m) => m.quarantined).length, 0);
      assert.deepEqual(partition.core.load(now).demands, [], 'it pauses');
      partition.addJob(spec('job-2', { tasks: 3 }));
      partition.addMachine('p', AFTER_OWNER);
      assert.equal(startedTasks(partition.heartbeat('p', now)).length, 3, 'others have the room');
      let tries = 0;
      for (const until = now + 60_000; now < until; now += 1000) {
        const tried = partition.heartbeat('p', now).filter((c) => c.op === 'start' && c.ref === 'job-1');
        assert.ok(tried.length <= 1);
        tries += tried.length;
        if (tried[0]) partition.heartbeat('p', now + 500, [taskInPhase(tried[0], 'exited', 'error')]);
      }
      assert.ok(tries >= 2 && tries < 10, `${tries} tries in a minute`);
    },
  ],
  [
    // Long tasks of a job that ran everywhere else waited one by one behind three machines that failed.
    'a job that fails on a few machines and runs on most is not at fault',
    (partition) => {
      partition.addJob(spec('job-1', { tasks: 40 }));
      const all = ['m', 'n', 'o', 'p', 'q', 'r', 's'];
      for (const id of all) partition.addMachine(id, AFTER_OWNER);
      const begun = new Map(
        all.map((id) => [id, partition.heartbeat(id, 0).filter((c) => c.op === 'start')]),
      );
      for (const id of ['m', 'n', 'o'])
        partition.heartbeat(
          id,
          1000,
          (begun.get(id) ?? []).map((c) => taskInPhase(c, 'exited', 'error')),
        );
      partition.addMachine('t', AFTER_OWNER);
      assert.equal(startedTasks(partition.heartbeat('t', 1500)).length, 4);
    },
    100,
  ],
  [
    'a guest team without a limit borrows what is free, also while machines are silent',
    (partition) => {
      partition.addMachine('silent', BEFORE_OWNER);
      partition.addMachine('m', AFTER_OWNER);
      partition.addJob(spec('job-1', { tasks: 9 }));
      assert.equal(startedTasks(partition.heartbeat('m', 0)).length, 4);
      assert.equal(partition.core.load(0).demands[0]?.tasks, 5);
    },
    Infinity,
  ],
  [
    // Its tasks counted for nobody once the job was done, while one was still being stopped on a machine.
    'a job is done once no other attempt of its tasks is left anywhere',
    (partition) => {
      partition.addMachine('m', AFTER_OWNER);
      partition.addMachine('n', AFTER_OWNER);
      partition.addJob(spec('job-1', { tasks: 1 }));
      const [first] = partition.heartbeat('m', 0).filter((c) => c.op === 'start');
      partition.core.tick(13_000, 0);
      const [second] = partition.heartbeat('n', 13_000).filter((c) => c.op === 'start');
      partition.heartbeat('m', 13_100, [taskInPhase(first as Command, 'exited', 'done')]);
      assert.equal(partition.core.terminalStates.size, 0);
      const [stop] = partition.heartbeat('n', 14_000, [taskInPhase(second as Command, 'running')]);
      assert.equal(stop?.op, 'stop');
      partition.heartbeat('n', 16_000, [taskInPhase(second as Command, 'exited', 'stopped')]);
      assert.deepEqual([...partition.core.terminalStates.keys()], ['job-1']);
    },
  ],
  [
    // Two tasks of a team with room waited for two minutes beside a free machine.
    'marks are raised past a job that its team limit holds back',
    (partition) => {
      partition.addMachine('m', AFTER_OWNER);
      partition.addMachine('n', AFTER_OWNER);
      partition.addJob(spec('job-1', { tasks: 40 }), AFTER_OWNER, '', 8);
      partition.heartbeat('m', 0);
      partition.addJob(spec('job-2', { tasks: 10, team: 'u' }), AFTER_OWNER, '0-7', 8);
      assert.equal(partition.core.progress(0).jobs.get('job-2')?.startWatermark, 10);
    },
    4,
  ],
  [
    'a machine that is gone gives its tasks back',
    (partition) => {
      partition.addMachine('m', AFTER_OWNER);
      partition.addMachine('n', AFTER_OWNER);
      partition.addJob(spec('job-1', { tasks: 2 }));
      partition.heartbeat('m', 0);
      assert.deepEqual(startedTasks(partition.heartbeat('n', 0)), []);
      partition.core.removeMachine('m', 0);
      assert.equal(startedTasks(partition.heartbeat('n', 2000)).length, 2);
    },
  ],
  [
    'together: all in the zone of the first',
    (partition) => {
      partition.addMachine('m', AFTER_OWNER);
      partition.addMachine('n', AFTER_OWNER, { zone: 'b' });
      partition.addJob(spec('job-1', { tasks: 6, singleZone: true }));
      assert.equal(startedTasks(partition.heartbeat('m', 0)).length, 4);
      assert.deepEqual(startedTasks(partition.heartbeat('n', 10)), []);
    },
  ],
  [
    'a notice: nothing new, and what can save is told to in time',
    (partition) => {
      partition.addMachine('m', AFTER_OWNER);
      partition.addJob(spec('job-1', { tasks: 1, checkpointIntervalS: 30, checkpointDurationS: 3 }));
      const [start] = partition.heartbeat('m', 0);
      assert.ok(start);
      partition.addJob(spec('job-2', { tasks: 1 }));
      const far = partition.heartbeat('m', 2000, [taskInPhase(start, 'running')], { preemptionNoticeS: 60 });
      assert.deepEqual(far, []);
      const near = partition.heartbeat('m', 4000, [taskInPhase(start, 'running')], { preemptionNoticeS: 14 });
      assert.deepEqual(near, [
        { op: 'stop', ref: 'job-1', index: 0, attempt: start.attempt, gracePeriodS: 4 },
      ]);
      assert.deepEqual(
        partition.heartbeat('m', 5000, [taskInPhase(start, 'checkpointing')], { preemptionNoticeS: 13 }),
        [],
        'not cut short',
      );
    },
  ],
  [
    'recorded progress is not run again',
    (partition) => {
      partition.addMachine('m', AFTER_OWNER);
      partition.addJob(spec('job-1', { tasks: 4 }), BEFORE_OWNER, '0-1,3');
      assert.deepEqual(startedTasks(partition.heartbeat('m', 0)), ['job-1/2']);
    },
  ],
  [
    // Its value was rewritten for another machine's sake, which unlocked it: tasks were started on a machine that
    // was on its way to another partition.
    'a machine that is on its way elsewhere gets nothing, whatever is told of its record',
    (partition) => {
      partition.addMachine('m', AFTER_OWNER);
      assert.equal(partition.core.cordon('m'), true);
      partition.addMachine('m', AFTER_OWNER + 1);
      partition.addJob(spec('job-1'));
      assert.deepEqual(startedTasks(partition.heartbeat('m', 0)), []);
      partition.core.uncordon('m');
      assert.equal(startedTasks(partition.heartbeat('m', 2000)).length, 2);
    },
  ],
  [
    // Its answers were lost: each start waited there until it was proved absent, again and again.
    'a machine whose reports arrive but that does not hear us gets nothing until it shows a new token',
    (partition) => {
      partition.addMachine('m', AFTER_OWNER);
      partition.addJob(spec('job-1', { tasks: 1 }));
      const silent = AFTER_OWNER * 1024;
      assert.equal(startedTasks(partition.heartbeat('m', 0, [], { token: silent })).length, 1);
      for (const now of [2000, 4000, 6000])
        assert.deepEqual(startedTasks(partition.heartbeat('m', now, [], { token: silent })), []);
      assert.deepEqual(
        startedTasks(partition.heartbeat('m', 20_000, [], { agentEpoch: 2, sequence: 1, token: silent })),
        [],
      );
      partition.addMachine('n', AFTER_OWNER);
      assert.equal(startedTasks(partition.heartbeat('n', 20_100)).length, 1, 'it runs elsewhere');
      partition.addJob(spec('job-2', { tasks: 1 }));
      const heard = partition.heartbeat('m', 22_000, [], { agentEpoch: 2, sequence: 2, token: silent + 2 });
      assert.equal(startedTasks(heard).length, 1, 'it heals');
    },
  ],
  [
    'tasks beyond the start watermark wait until the store has it; after a take-over they are known to be nowhere',
    (partition) => {
      partition.addMachine('m', AFTER_OWNER);
      partition.addMachine('silent', BEFORE_OWNER);
      partition.addJob(spec('job-1', { tasks: 4, cpus: 0.5 }), BEFORE_OWNER, '', 2);
      assert.deepEqual(startedTasks(partition.heartbeat('m', 0)), []);
      const { jobs, watermarksRaised } = partition.core.progress(100);
      assert.equal(watermarksRaised, true);
      partition.core.markProgressWritten(jobs);
      assert.deepEqual(startedTasks(partition.heartbeat('m', 2000)), ['job-1/2', 'job-1/3']);
      partition.core.tick(13_000, 0);
      assert.deepEqual(
        startedTasks(partition.heartbeat('m', 13_100, [])),
        [],
        'what was sent did not show: no proof that it hears',
      );
    },
  ],
  [
    // Start watermarks were raised for tasks that had to wait anyway: a whole lease long nothing new began.
    'after a take-over marks are raised for tasks that were never begun, while others wait for a silent machine',
    (partition) => {
      partition.addMachine('m', AFTER_OWNER);
      partition.addMachine('silent', BEFORE_OWNER);
      partition.addJob(spec('job-1', { tasks: 40, cpus: 0.1, memoryGb: 0 }), BEFORE_OWNER, '', 20);
      partition.core.markProgressWritten(partition.core.progress(0).jobs);
      assert.equal(startedTasks(partition.heartbeat('m', 0))[0], 'job-1/20');
    },
  ],
  [
    // Hundreds of machines were given back within seconds of being up: they counted as idle since their rental.
    'a machine is idle from its first report on, not from its rental',
    (partition) => {
      partition.addMachine('m', AFTER_OWNER);
      partition.heartbeat('m', 30_000);
      assert.equal(partition.core.load(31_000).machines[0]?.idleMs, 1000);
    },
  ],
  [
    // Never begun, they went to one zone while others of the job ran in another, on a machine that had not spoken yet.
    'tasks that must be together wait for all machines to speak, also if they were never begun',
    (partition) => {
      partition.addMachine('m', AFTER_OWNER);
      partition.addMachine('silent', BEFORE_OWNER, { zone: 'b' });
      partition.addJob(spec('job-1', { tasks: 4, cpus: 0.1, singleZone: true }), BEFORE_OWNER, '', 1);
      partition.core.markProgressWritten(partition.core.progress(0).jobs);
      assert.deepEqual(startedTasks(partition.heartbeat('m', 0)), []);
    },
  ],
  [
    'the largest job begins within four minutes, however many smaller and more urgent ones keep coming',
    (partition) => {
      partition.addMachine('m', AFTER_OWNER);
      partition.addJob(spec('job-0', { tasks: 500, expectedS: 900, priority: 3 }));
      let live: HeartbeatTask[] = [];
      let begun: number | null = null;
      for (let t = 0; t < 240_000 && begun === null; t += 2000) {
        partition.addJob(spec(`job-${t + 1}`, { tasks: 8, priority: 1 }));
        partition.core.tick(t, t);
        const over = live.map((x) => ({ ...x, phase: 'exited' as const, exit: 'done' as const }));
        const next = partition.heartbeat('m', t, over).filter((c) => c.op === 'start');
        if (next.some((c) => c.ref === 'job-0')) begun = t;
        live = next.map((c) => taskInPhase(c, 'running'));
      }
      assert.ok(begun !== null && begun < 200_000, `begun at ${begun}`);
    },
  ],
  [
    "work within its team's guarantee does not wait for ever behind what others flood it with",
    (partition) => {
      partition.addMachine('m', AFTER_OWNER);
      partition.core.tick(0, 0);
      partition.addJob(spec('job-1', { tasks: 2, priority: 3 }));
      for (let n = 2; n < 9; n++) partition.addJob(spec(`job-${n}`, { tasks: 8, priority: 2 }));
      assert.ok(!startedTasks(partition.heartbeat('m', 0)).includes('job-1/0'));
      partition.core.tick(30_000, 30_000);
      partition.addMachine('n', AFTER_OWNER);
      assert.deepEqual(startedTasks(partition.heartbeat('n', 30_000)).slice(0, 2), ['job-1/0', 'job-1/1']);
    },
  ],
  [
    'a job that may not be run again: nothing before its start watermark, and a lost task ends it; then its fallback begins',
    (partition) => {
      const link = { ref: 'p', after: [], reExecutable: false, alternateFor: null };
      const instead = { ...link, reExecutable: true, alternateFor: 'job-1' };
      partition.addMachine('m', AFTER_OWNER);
      partition.addJob(spec('job-1', { tasks: 2, pipeline: link }), AFTER_OWNER, '', 0);
      partition.addJob(spec('job-2', { tasks: 1, pipeline: instead }), AFTER_OWNER + 1);
      assert.deepEqual(startedTasks(partition.heartbeat('m', 0)), [], 'not begun before that is on record');
      partition.core.markProgressWritten(partition.core.progress(0).jobs);
      const begun = partition.heartbeat('m', 2000);
      assert.deepEqual(startedTasks(begun), ['job-1/0', 'job-1/1']);
      partition.heartbeat(
        'm',
        4000,
        begun.map((c) => taskInPhase(c, 'running')),
      );
      partition.heartbeat('m', 20_000, [], { agentEpoch: 2, sequence: 1 });
      assert.deepEqual([...partition.core.terminalStates], [['job-1', 'failed']]);
      assert.deepEqual(
        startedTasks(partition.heartbeat('m', 22_000, [], { agentEpoch: 2, sequence: 2 })),
        [],
        'not on record yet',
      );
      partition.closeJob('job-1', 'failed');
      assert.deepEqual(startedTasks(partition.heartbeat('m', 24_000, [], { agentEpoch: 2, sequence: 3 })), [
        'job-2/0',
      ]);
    },
  ],
  [
    'after a take-over such a job goes on if all that was begun is there, and fails if not',
    (partition) => {
      const link = { ref: 'p', after: [], reExecutable: false, alternateFor: null };
      partition.addMachine('m', BEFORE_OWNER);
      partition.addJob(spec('job-1', { tasks: 2, pipeline: link }), BEFORE_OWNER, '', 1);
      partition.addJob(spec('job-2', { tasks: 2, pipeline: { ...link, ref: 'q' } }), BEFORE_OWNER, '', 1);
      const live: HeartbeatTask = { ref: 'job-1', index: 0, attempt: 7, phase: 'running', exit: null };
      partition.heartbeat('m', 0, [live], { token: BEFORE_OWNER * 1024 });
      partition.heartbeat('m', 500, [live]);
      assert.deepEqual([...partition.core.terminalStates], [['job-2', 'failed']]);
    },
  ],
  [
    // Left out while none of its tasks was out, it lost its start watermark: the next owner took tasks for never begun.
    'a job whose start watermark was raised stays on record though nothing of it runs',
    (partition) => {
      partition.addMachine('m', AFTER_OWNER);
      partition.addJob(spec('job-1', { tasks: 20, cpus: 0.1 }), AFTER_OWNER, '', 8);
      partition.core.markProgressWritten(partition.core.progress(0).jobs);
      assert.ok((partition.core.progress(0).jobs.get('job-1')?.startWatermark ?? 0) > 8);
    },
  ],
  [
    'an emptied machine is given to the partition that waits for it, unless that is taken back',
    (partition) => {
      partition.addMachine('m', AFTER_OWNER);
      partition.core.drainForTransfer('m', 'p1', 0);
      assert.deepEqual(partition.core.drainedMachines(), [{ id: 'm', toPartition: 'p1' }]);
      partition.addJob(spec('job-1'));
      assert.deepEqual(startedTasks(partition.heartbeat('m', 0)), []);
      partition.core.drainForTransfer('m', 'p0', 1000);
      assert.equal(startedTasks(partition.heartbeat('m', 2000)).length, 2);
    },
  ],
];

test('a partition', async (t) => {
  for (const [name, run, limit] of cases) await t.test(name, () => run(new PartitionHarness(limit)));
});

test('progress keeps its place, fits, and is written only where it differs', () => {
  const at = (doneRanges: string, startWatermark: number): JobProgress => ({
    doneRanges,
    doneCount: 0,
    runningCount: 0,
    startWatermark,
  });
  const slots = new ProgressSlots(512);
  const three = new Map(['job-1', 'job-2', 'job-3'].map((ref) => [ref, at('0-3', 8)]));
  const first = slots.changedValues(three);
  assert.deepEqual(
    first.map((v) => [v.slot, ...v.jobs.keys()]),
    [
      [0, 'job-1', 'job-2'],
      [1, 'job-3'],
    ],
  );
  for (const value of first) slots.markWritten(value);
  slots.release('job-1');
  three.delete('job-1');
  assert.deepEqual(
    slots.changedValues(three).map((v) => [v.slot, ...v.jobs.keys()]),
    [[0, 'job-2']],
    'job-3 stays where it is',
  );
  const long = Array.from({ length: 200 }, (_, i) => `${2 * i}`).join(',');
  const [cut] = slots.changedValues(new Map([['job-2', at(long, 399)]]));
  assert.ok((cut?.text.length ?? 0) <= 512);
  assert.equal(cut?.jobs.get('job-2')?.startWatermark, 399);
  assert.match(cut?.jobs.get('job-2')?.doneRanges ?? '', /^0,2,4(,[0-9]+)*$/);
});
