import assert from 'node:assert/strict';
import { test } from 'node:test';
import { PartitionCore } from '../src/coordination/partition';
import { type MachineType } from '../src/protocol/cloud';
import { type JobSpec } from '../src/protocol/jobs';
import { type JobProgress, type JobState, type MachineRecord } from '../src/protocol/records';
import { ProgressSlots } from '../src/storage/progress';
import { type Command, type Report, type ReportedTask } from '../src/protocol/workers';

const VERSION = 100;
const OLD = 50;
const FRESH = 150;
/** A token that shows that the machine heard us, whatever we asked for. */
const HEARD = 1000 * 1024 * 1024;

const type: MachineType = {
  ...{ name: 'small', cpus: 4, accelerators: 0, memoryGb: 16, cacheGb: 50, fetchGbPerS: 1 },
  ...{ price: 0.2, spotPrice: 0.08, bootS: 20, zones: ['a', 'b'] },
};

function spec(ref: string, change: Partial<JobSpec> = {}): JobSpec {
  return {
    ...{ ref, workload: 'w', team: 't', rank: 2, tasks: 2, cpus: 1, accelerators: 0, memoryGb: 2 },
    ...{ image: 'i', imageGb: 1, types: null, zone: null, together: false, apart: false, spot: true },
    ...{ expectedS: 30, checkpointS: 0, saveS: 0, deadlineS: null, pipeline: null, ...change },
  };
}

/** A partition with the worker's side of the conversation. */
class Bench {
  readonly core: PartitionCore;
  private seq = 0;
  readonly known = new Map<string, JobSpec>();
  /** Every machine that is named here was opened before. */
  private readonly assigned = new Set<string>();

  constructor(limit = 8) {
    const team = {
      name: 't',
      guaranteed: { cpus: 4, accelerators: 0 },
      limit: { cpus: limit, accelerators: 0 },
    };
    const options = { reportMs: 2000, leaseMs: 12_000, valueBytes: 4096, objectives: [] };
    this.core = new PartitionCore(
      'p0',
      VERSION,
      [team, { ...team, name: 'u' }],
      () => new Map([['small', type]]),
      (r) => this.known.get(r),
      options,
      this.assigned,
    );
  }

  machine(id: string, version: number, change: Partial<MachineRecord> = {}): void {
    const row: MachineRecord = {
      partition: 'p0',
      phase: 'kept',
      type: 'small',
      zone: 'a',
      spot: true,
      ...change,
    };
    this.assigned.add(id);
    this.core.putMachine(id, row, version, 0);
  }

  /** Opened by an earlier owner, and not here now. */
  assignedBefore(id: string): void {
    this.assigned.add(id);
  }

  /** One that no owner of this partition has opened. */
  unassigned(id: string, version: number): void {
    const row: MachineRecord = { partition: 'p0', phase: 'kept', type: 'small', zone: 'a', spot: true };
    this.core.putMachine(id, row, version, 0);
  }

  job(job: JobSpec, version = FRESH, done = '', startWatermark = job.tasks): void {
    this.known.set(job.ref, job);
    this.core.putJob(job, 0, version, { done, doneCount: 0, running: 0, startWatermark }, 0);
  }

  over(job: JobSpec, state: JobState = 'cancelled'): void {
    this.core.putOver(job, state, OLD);
  }

  close(ref: string, state: JobState): void {
    this.core.closeJob(ref, state, 0);
  }

  report(id: string, now: number, tasks: ReportedTask[] = [], change: Partial<Report> = {}): Command[] {
    const report: Report = {
      ...{ machine: id, address: 'x', type: 'small', zone: 'a', spot: true, session: 1, seq: ++this.seq },
      ...{ token: HEARD, noticeS: null, tasks, ...change },
    };
    return this.core.report(report, now)?.commands ?? [];
  }
}

function starts(commands: Command[]): string[] {
  return commands.filter((c) => c.op === 'start').map((c) => `${c.ref}/${c.index}`);
}

function shown(
  command: Command,
  phase: ReportedTask['phase'],
  exit: ReportedTask['exit'] = null,
): ReportedTask {
  return { ref: command.ref, index: command.index, attempt: command.attempt, phase, exit };
}

const cases: [string, (b: Bench) => void, limit?: number][] = [
  [
    // Its reports kept coming, each was answered, and each answer counted as a new lease: it never came to an end.
    'a machine that hears nothing of a new owner holds up others for one lease at most',
    (b) => {
      b.machine('deaf', OLD);
      b.machine('m', OLD);
      b.job(spec('job-1'), OLD);
      for (let now = 0; now <= 12_000; now += 2000) {
        b.report('deaf', now, [], { token: 0 });
        assert.deepEqual(starts(b.report('m', now + 100)), []);
      }
      assert.deepEqual(starts(b.report('deaf', 13_000, [], { token: 0 })), [], 'it gets nothing itself');
      assert.equal(starts(b.report('m', 13_100)).length, 2);
    },
  ],
  [
    'one that took an answer meanwhile is waited for',
    (b) => {
      b.machine('m', OLD);
      b.machine('late', OLD);
      b.job(spec('job-1'), OLD);
      b.report('late', 8000, [], { token: 0 });
      b.core.tick(13_000, 0);
      assert.deepEqual(starts(b.report('m', 13_100)), [], 'it may have taken the answer of 8 s');
      b.core.tick(21_000, 0);
      assert.equal(starts(b.report('m', 21_100)).length, 2);
    },
  ],
  [
    'tasks start in arrival order up to what fits',
    (b) => {
      b.machine('m', FRESH);
      b.job(spec('job-1', { tasks: 6 }));
      assert.equal(starts(b.report('m', 0)).length, 4);
    },
  ],
  [
    'the more urgent go first, whenever they came',
    (b) => {
      b.machine('m', FRESH);
      b.job(spec('job-1', { tasks: 4 }));
      b.job(spec('job-2', { tasks: 3, rank: 1 }));
      assert.deepEqual(starts(b.report('m', 0)).sort(), ['job-1/0', 'job-2/0', 'job-2/1', 'job-2/2']);
    },
  ],
  [
    'room goes first to a job whose image the machine holds, not past one more urgent',
    (b) => {
      b.machine('m', FRESH);
      b.job(spec('job-1', { tasks: 1, image: 'held', cpus: 2 }));
      const [start] = b.report('m', 0);
      assert.ok(start);
      b.job(spec('job-2', { tasks: 1, image: 'new', cpus: 2 }));
      b.job(spec('job-3', { tasks: 2, image: 'held', cpus: 1 }));
      const held = b.report('m', 2000, [shown(start, 'running')]);
      assert.deepEqual(starts(held), ['job-3/0', 'job-3/1']);
      b.job(spec('job-4', { tasks: 1, image: 'new', cpus: 2, rank: 1 }));
      const over = [...held, start].map((c) => shown(c, 'exited', 'done'));
      assert.deepEqual(starts(b.report('m', 4000, over)), ['job-4/0', 'job-2/0']);
    },
  ],
  [
    'tasks that can save leave a machine that is to go back to the cloud; others may finish',
    (b) => {
      b.machine('m', FRESH);
      b.job(spec('job-1', { tasks: 1, checkpointS: 30, saveS: 3 }));
      b.job(spec('job-2', { tasks: 1 }));
      const live = b.report('m', 0).map((c) => shown(c, 'running'));
      b.report('m', 2000, live);
      b.core.drainTo('m', '', 3000);
      const commands = b.report('m', 4000, live);
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
  ).map(([name, now, roomElsewhere, expected]): [string, (b: Bench) => void] => [
    name,
    (b) => {
      b.machine('m', FRESH);
      b.job(spec('job-1', { tasks: 1, checkpointS: 30, saveS: 3 }));
      b.job(spec('job-2', { tasks: 1 }));
      const live = b.report('m', 0).map((c) => shown(c, 'running'));
      b.report('m', 1000, live);
      if (roomElsewhere) b.machine('n', FRESH);
      b.report('n', now - 500);
      b.core.drainTo('m', 'p1', now);
      assert.deepEqual(
        b.report('m', now, live).map((c) => `${c.op} ${c.ref}`),
        expected,
      );
    },
  ]),
  [
    "a team's limit holds over all machines",
    (b) => {
      for (const id of ['m', 'n', 'o']) b.machine(id, FRESH);
      b.job(spec('job-1', { tasks: 20 }));
      const n = ['m', 'n', 'o'].map((id) => starts(b.report(id, 0)).length);
      assert.equal(n[0]! + n[1]! + n[2]!, 8);
    },
  ],
  [
    'a start is given again only after a newer report without it',
    (b) => {
      b.machine('m', FRESH);
      b.job(spec('job-1', { tasks: 1 }));
      assert.equal(starts(b.report('m', 0)).length, 1);
      const late = b.report('m', 100, [], { seq: 1 });
      assert.deepEqual(late, [], 'a late copy of the report answered says nothing');
      assert.equal(
        starts(b.report('m', 2000)).length,
        0,
        'it did not hear us: first it is to show that it does',
      );
      assert.equal(starts(b.report('m', 4000)).length, 1);
    },
  ],
  [
    'a machine taken over is given nothing before it has seen the new token',
    (b) => {
      b.machine('m', OLD);
      b.job(spec('job-1'));
      assert.deepEqual(starts(b.report('m', 0, [], { token: OLD * 1024 })), []);
      assert.equal(starts(b.report('m', 500, [], { token: VERSION * 1024 })).length, 2);
    },
  ],
  [
    'while one machine is silent, earlier jobs wait and new ones run',
    (b) => {
      b.machine('m', FRESH);
      b.machine('silent', OLD);
      b.job(spec('job-1'), OLD);
      b.job(spec('job-2'));
      assert.deepEqual(starts(b.report('m', 0)), ['job-2/0', 'job-2/1']);
      b.core.tick(12_000, 0);
      const early = starts(b.report('m', 12_100));
      assert.ok(!early.some((s) => s.startsWith('job-1/')), 'the lease may not have run out yet');
      b.core.tick(13_000, 0);
      assert.ok(starts(b.report('m', 13_100)).includes('job-1/0'));
    },
  ],
  ...(
    [
      // What an owner before us may have started counts, wherever it is; else a limit would be exceeded unseen.
      ['tasks of the team that nobody has seen since', (b) => b.job(spec('job-1'), OLD), 2],
      ['a job cancelled before, whose tasks may run on', (b) => b.over(spec('job-1', { tasks: 3 })), 3],
      ['more than the machine holds', (b) => b.over(spec('job-1', { tasks: 30 })), 4],
      // Counted as full for everybody, one silent machine held teams back that had nothing on it.
      ['nothing', () => undefined, 0],
      ['a job that was done', (b) => b.over(spec('job-1', { tasks: 3 }), 'done'), 0],
      [
        'a job cancelled while it is silent',
        (b) => (b.job(spec('job-1'), OLD), b.close('job-1', 'cancelled')),
        2,
      ],
    ] as [string, (b: Bench) => void, number][]
  ).map(([what, before, hidden]): [string, (b: Bench) => void] => [
    `a silent machine may hide of a team: ${what}`,
    (b) => {
      b.machine('m', FRESH);
      b.machine('n', FRESH);
      b.machine('silent', OLD);
      before(b);
      b.job(spec('job-2', { tasks: 20 }));
      assert.equal(starts(b.report('m', 0)).length + starts(b.report('n', 0)).length, 8 - hidden);
      b.core.tick(13_000, 0);
      assert.equal(b.core.room('t').cpus, 8, 'all leases over, nothing is hidden');
    },
  ]),
  [
    'a machine that nobody opened holds nothing up, and gets nothing before it is',
    (b) => {
      b.machine('m', FRESH);
      b.unassigned('booting', OLD);
      b.job(spec('job-1', { tasks: 6 }), OLD);
      assert.equal(starts(b.report('m', 0)).length, 4, 'begun before, but surely not there');
      assert.deepEqual(starts(b.report('booting', 100)), []);
      assert.deepEqual(b.core.unassigned(), ['booting']);
      b.core.markAssigned(['booting']);
      assert.equal(starts(b.report('booting', 200)).length, 2);
    },
  ],
  [
    // A single task of a large job had begun, so it was passed over for four minutes.
    'a large job goes first after a while unless half of what its team may run has begun',
    (b) => {
      b.machine('m', FRESH);
      b.job(spec('job-0', { tasks: 3, rank: 1 }));
      b.job(spec('job-1', { tasks: 40, rank: 3 }));
      const [large, others] = [(c: Command) => c.ref === 'job-1', (c: Command) => c.ref !== 'job-1'];
      const first = b.report('m', 0);
      const live = first.filter(large).map((c) => shown(c, 'running'));
      assert.equal(live.length, 1);
      const over = (commands: Command[]): ReportedTask[] =>
        commands.filter(others).map((c) => shown(c, 'exited', 'done'));
      b.job(spec('job-2', { tasks: 20 }));
      b.core.tick(2000, 200_000);
      const early = b.report('m', 2000, [...live, ...over(first)]).filter((c) => c.op === 'start');
      assert.equal(early.filter(others).length, 3, 'not yet');
      b.core.tick(4000, 211_000);
      const late = b.report('m', 4000, [...live, ...over(early)]).filter((c) => c.op === 'start');
      assert.equal(late.filter(large).length, 3);
    },
  ],
  [
    'a machine of an earlier owner that comes back from another partition is opened anew',
    (b) => {
      b.assignedBefore('m');
      b.unassigned('n', FRESH);
      b.report('n', 0);
      assert.deepEqual(b.core.unassigned(), ['n'], 'the list is written anew, without m');
      b.unassigned('m', FRESH + 1);
      b.job(spec('job-1'));
      assert.deepEqual(starts(b.report('m', 1000)), []);
      assert.deepEqual(b.core.unassigned(), ['n', 'm']);
      b.core.markAssigned(['m']);
      assert.equal(starts(b.report('m', 2000)).length, 2);
    },
  ],
  [
    // The store's list forgets machines that are gone: trusted after its return, it would hide tasks from a next owner.
    'a machine that left and came back is opened anew',
    (b) => {
      b.machine('m', FRESH);
      b.job(spec('job-1'));
      b.core.dropMachine('m', 0);
      b.unassigned('m', FRESH);
      assert.deepEqual(starts(b.report('m', 0)), []);
      assert.deepEqual(b.core.unassigned(), ['m']);
    },
  ],
  [
    'live tasks are adopted, not started again',
    (b) => {
      b.machine('m', OLD);
      b.machine('n', FRESH);
      b.job(spec('job-1'), OLD);
      const live: ReportedTask = { ref: 'job-1', index: 0, attempt: 7, phase: 'running', exit: null };
      b.report('m', 0, [live], { token: OLD * 1024 });
      assert.deepEqual(starts(b.report('m', 500, [live])), ['job-1/1']);
      assert.deepEqual(starts(b.report('n', 600)), []);
    },
  ],
  [
    'a refused start beside the live attempt leaves the task where it is',
    (b) => {
      b.machine('m', FRESH);
      b.machine('n', FRESH);
      b.job(spec('job-1', { tasks: 1 }));
      const [start] = b.report('m', 0);
      assert.ok(start);
      const live: ReportedTask = { ...shown(start, 'running'), attempt: 3 };
      b.report('m', 2000, [live, shown(start, 'exited', 'busy')]);
      assert.deepEqual(starts(b.report('n', 2100)), []);
    },
  ],
  [
    'a new session ends what was there',
    (b) => {
      b.machine('m', FRESH);
      b.job(spec('job-1', { tasks: 1 }));
      const [start] = b.report('m', 0);
      assert.ok(start);
      b.report('m', 2000, [shown(start, 'running')]);
      assert.equal(starts(b.report('m', 20_000, [], { session: 2, seq: 1 })).length, 1);
    },
  ],
  [
    'an exit is forgotten only once its outcome is durable, and done is told once all are',
    (b) => {
      b.machine('m', FRESH);
      b.job(spec('job-1', { tasks: 1 }));
      const [start] = b.report('m', 0);
      assert.ok(start);
      assert.deepEqual(b.report('m', 2000, [shown(start, 'exited', 'done')]), []);
      assert.deepEqual([...b.core.finals], [['job-1', 'done']]);
      b.close('job-1', 'done');
      assert.equal(b.report('m', 4000, [shown(start, 'exited', 'done')])[0]?.op, 'forget');
    },
  ],
  [
    'a cancelled job: nothing starts, what runs is stopped and counts until it is gone',
    (b) => {
      b.machine('m', FRESH);
      b.machine('n', FRESH);
      b.job(spec('job-1', { tasks: 4 }));
      const commands = b.report('m', 0);
      b.report(
        'm',
        1000,
        commands.map((c) => shown(c, 'running')),
      );
      b.close('job-1', 'cancelled');
      b.job(spec('job-2', { tasks: 8 }));
      assert.equal(starts(b.report('n', 1500)).length, 4, 'limit 8, 4 still out');
      const stops = b.report(
        'm',
        2000,
        commands.map((c) => shown(c, 'running')),
      );
      assert.deepEqual(new Set(stops.map((c) => c.op)), new Set(['stop']));
    },
  ],
  [
    'a task that fails is tried again after a pause, and a machine where all fail gets no more',
    (b) => {
      b.machine('m', FRESH);
      b.job(spec('job-1', { tasks: 8 }));
      let now = 0;
      let commands = b.report('m', now);
      assert.equal(commands.length, 4);
      commands = b.report(
        'm',
        (now += 2000),
        commands.map((c) => shown(c, 'exited', 'error')),
      );
      assert.deepEqual(starts(commands), []);
      assert.equal(b.core.load(now).machines[0]?.faulty, true);
      b.machine('n', FRESH);
      assert.equal(starts(b.report('n', (now += 2000))).length, 4);
    },
  ],
  [
    // Jobs with a mistake fail on every machine. Machines on which other work was done were sent back for it.
    'a job that succeeds nowhere does not put a machine to blame where others succeed',
    (b) => {
      b.machine('m', FRESH);
      b.job(spec('job-1', { tasks: 1 }));
      const [good] = b.report('m', 0);
      b.report('m', 2000, [shown(good as Command, 'exited', 'done')]);
      b.job(spec('job-2', { tasks: 8 }));
      const failed = b.report('m', 4000).filter((c) => c.op === 'start');
      assert.equal(failed.length, 4);
      const next = b.report(
        'm',
        6000,
        failed.map((c) => shown(c, 'exited', 'error')),
      );
      assert.deepEqual(starts(next), [], 'nor is it tried there again at once');
      assert.equal(b.core.load(6000).machines[0]?.faulty, false);
      b.job(spec('job-3', { tasks: 2 }));
      assert.equal(starts(b.report('m', 8000)).length, 2);
    },
  ],
  [
    'a machine where several jobs fail that succeed elsewhere is to blame',
    (b) => {
      b.machine('good', FRESH);
      b.machine('bad', FRESH);
      b.job(spec('job-1', { tasks: 8 }), FRESH);
      const first = b.report('good', 0).filter((c) => c.op === 'start');
      const second = b.report('bad', 0).filter((c) => c.op === 'start');
      b.report(
        'bad',
        2000,
        second.map((c) => shown(c, 'exited', 'error')),
      );
      b.report(
        'good',
        2000,
        first.map((c) => shown(c, 'exited', 'done')),
      );
      assert.deepEqual(
        b.core.load(2000).machines.map((m) => m.faulty),
        [false, true],
      );
    },
  ],
  [
    'a job that failed on three machines is tried with one task now and then, and nothing is rented for it',
    (b) => {
      b.job(spec('job-1', { tasks: 30 }));
      let now = 0;
      for (const id of ['m', 'n', 'o']) {
        b.machine(id, FRESH);
        const failed = b.report(id, now).filter((c) => c.op === 'start');
        b.report(
          id,
          (now += 1000),
          failed.map((c) => shown(c, 'exited', 'error')),
        );
      }
      assert.equal(b.core.load(now).machines.filter((m) => m.faulty).length, 0);
      assert.deepEqual(b.core.load(now).demands, [], 'it pauses');
      b.job(spec('job-2', { tasks: 3 }));
      b.machine('p', FRESH);
      assert.equal(starts(b.report('p', now)).length, 3, 'others have the room');
      let tries = 0;
      for (const until = now + 60_000; now < until; now += 1000) {
        const tried = b.report('p', now).filter((c) => c.op === 'start' && c.ref === 'job-1');
        assert.ok(tried.length <= 1);
        tries += tried.length;
        if (tried[0]) b.report('p', now + 500, [shown(tried[0], 'exited', 'error')]);
      }
      assert.ok(tries >= 2 && tries < 10, `${tries} tries in a minute`);
    },
  ],
  [
    // Long tasks of a job that ran everywhere else waited one by one behind three machines that failed.
    'a job that fails on a few machines and runs on most is not at fault',
    (b) => {
      b.job(spec('job-1', { tasks: 40 }));
      const all = ['m', 'n', 'o', 'p', 'q', 'r', 's'];
      for (const id of all) b.machine(id, FRESH);
      const begun = new Map(all.map((id) => [id, b.report(id, 0).filter((c) => c.op === 'start')]));
      for (const id of ['m', 'n', 'o'])
        b.report(
          id,
          1000,
          (begun.get(id) ?? []).map((c) => shown(c, 'exited', 'error')),
        );
      b.machine('t', FRESH);
      assert.equal(starts(b.report('t', 1500)).length, 4);
    },
    100,
  ],
  [
    'a guest team without a limit borrows what is free, also while machines are silent',
    (b) => {
      b.machine('silent', OLD);
      b.machine('m', FRESH);
      b.job(spec('job-1', { tasks: 9 }));
      assert.equal(starts(b.report('m', 0)).length, 4);
      assert.equal(b.core.load(0).demands[0]?.tasks, 5);
    },
    Infinity,
  ],
  [
    // Its tasks counted for nobody once the job was done, while one was still being stopped on a machine.
    'a job is done once no other attempt of its tasks is left anywhere',
    (b) => {
      b.machine('m', FRESH);
      b.machine('n', FRESH);
      b.job(spec('job-1', { tasks: 1 }));
      const [first] = b.report('m', 0).filter((c) => c.op === 'start');
      b.core.tick(13_000, 0);
      const [second] = b.report('n', 13_000).filter((c) => c.op === 'start');
      b.report('m', 13_100, [shown(first as Command, 'exited', 'done')]);
      assert.equal(b.core.finals.size, 0);
      const [stop] = b.report('n', 14_000, [shown(second as Command, 'running')]);
      assert.equal(stop?.op, 'stop');
      b.report('n', 16_000, [shown(second as Command, 'exited', 'stopped')]);
      assert.deepEqual([...b.core.finals.keys()], ['job-1']);
    },
  ],
  [
    // Two tasks of a team with room waited for two minutes beside a free machine.
    'marks are raised past a job that its team limit holds back',
    (b) => {
      b.machine('m', FRESH);
      b.machine('n', FRESH);
      b.job(spec('job-1', { tasks: 40 }), FRESH, '', 8);
      b.report('m', 0);
      b.job(spec('job-2', { tasks: 10, team: 'u' }), FRESH, '0-7', 8);
      assert.equal(b.core.progress(0).jobs.get('job-2')?.startWatermark, 10);
    },
    4,
  ],
  [
    'a machine that is gone gives its tasks back',
    (b) => {
      b.machine('m', FRESH);
      b.machine('n', FRESH);
      b.job(spec('job-1', { tasks: 2 }));
      b.report('m', 0);
      assert.deepEqual(starts(b.report('n', 0)), []);
      b.core.dropMachine('m', 0);
      assert.equal(starts(b.report('n', 2000)).length, 2);
    },
  ],
  [
    'together: all in the zone of the first',
    (b) => {
      b.machine('m', FRESH);
      b.machine('n', FRESH, { zone: 'b' });
      b.job(spec('job-1', { tasks: 6, together: true }));
      assert.equal(starts(b.report('m', 0)).length, 4);
      assert.deepEqual(starts(b.report('n', 10)), []);
    },
  ],
  [
    'a notice: nothing new, and what can save is told to in time',
    (b) => {
      b.machine('m', FRESH);
      b.job(spec('job-1', { tasks: 1, checkpointS: 30, saveS: 3 }));
      const [start] = b.report('m', 0);
      assert.ok(start);
      b.job(spec('job-2', { tasks: 1 }));
      const far = b.report('m', 2000, [shown(start, 'running')], { noticeS: 60 });
      assert.deepEqual(far, []);
      const near = b.report('m', 4000, [shown(start, 'running')], { noticeS: 14 });
      assert.deepEqual(near, [{ op: 'stop', ref: 'job-1', index: 0, attempt: start.attempt, graceS: 4 }]);
      assert.deepEqual(b.report('m', 5000, [shown(start, 'saving')], { noticeS: 13 }), [], 'not cut short');
    },
  ],
  [
    'recorded progress is not run again',
    (b) => {
      b.machine('m', FRESH);
      b.job(spec('job-1', { tasks: 4 }), OLD, '0-1,3');
      assert.deepEqual(starts(b.report('m', 0)), ['job-1/2']);
    },
  ],
  [
    // Its value was rewritten for another machine's sake, which unlocked it: tasks were started on a machine that
    // was on its way to another partition.
    'a machine that is on its way elsewhere gets nothing, whatever is told of its record',
    (b) => {
      b.machine('m', FRESH);
      assert.equal(b.core.lock('m'), true);
      b.machine('m', FRESH + 1);
      b.job(spec('job-1'));
      assert.deepEqual(starts(b.report('m', 0)), []);
      b.core.unlock('m');
      assert.equal(starts(b.report('m', 2000)).length, 2);
    },
  ],
  [
    // Its answers were lost: each start waited there until it was proved absent, again and again.
    'a machine whose reports arrive but that does not hear us gets nothing until it shows a new token',
    (b) => {
      b.machine('m', FRESH);
      b.job(spec('job-1', { tasks: 1 }));
      const silent = FRESH * 1024;
      assert.equal(starts(b.report('m', 0, [], { token: silent })).length, 1);
      for (const now of [2000, 4000, 6000])
        assert.deepEqual(starts(b.report('m', now, [], { token: silent })), []);
      assert.deepEqual(starts(b.report('m', 20_000, [], { session: 2, seq: 1, token: silent })), []);
      b.machine('n', FRESH);
      assert.equal(starts(b.report('n', 20_100)).length, 1, 'it runs elsewhere');
      b.job(spec('job-2', { tasks: 1 }));
      const heard = b.report('m', 22_000, [], { session: 2, seq: 2, token: silent + 2 });
      assert.equal(starts(heard).length, 1, 'it heals');
    },
  ],
  [
    'tasks beyond the start watermark wait until the store has it; after a take-over they are known to be nowhere',
    (b) => {
      b.machine('m', FRESH);
      b.machine('silent', OLD);
      b.job(spec('job-1', { tasks: 4, cpus: 0.5 }), OLD, '', 2);
      assert.deepEqual(starts(b.report('m', 0)), []);
      const { jobs, watermarksRaised } = b.core.progress(100);
      assert.equal(watermarksRaised, true);
      b.core.recorded(jobs);
      assert.deepEqual(starts(b.report('m', 2000)), ['job-1/2', 'job-1/3']);
      b.core.tick(13_000, 0);
      assert.deepEqual(
        starts(b.report('m', 13_100, [])),
        [],
        'what was sent did not show: no proof that it hears',
      );
    },
  ],
  [
    // Start watermarks were raised for tasks that had to wait anyway: a whole lease long nothing new began.
    'after a take-over marks are raised for tasks that were never begun, while others wait for a silent machine',
    (b) => {
      b.machine('m', FRESH);
      b.machine('silent', OLD);
      b.job(spec('job-1', { tasks: 40, cpus: 0.1, memoryGb: 0 }), OLD, '', 20);
      b.core.recorded(b.core.progress(0).jobs);
      assert.equal(starts(b.report('m', 0))[0], 'job-1/20');
    },
  ],
  [
    // Hundreds of machines were given back within seconds of being up: they counted as idle since their rental.
    'a machine is idle from its first report on, not from its rental',
    (b) => {
      b.machine('m', FRESH);
      b.report('m', 30_000);
      assert.equal(b.core.load(31_000).machines[0]?.idleMs, 1000);
    },
  ],
  [
    // Never begun, they went to one zone while others of the job ran in another, on a machine that had not spoken yet.
    'tasks that must be together wait for all machines to speak, also if they were never begun',
    (b) => {
      b.machine('m', FRESH);
      b.machine('silent', OLD, { zone: 'b' });
      b.job(spec('job-1', { tasks: 4, cpus: 0.1, together: true }), OLD, '', 1);
      b.core.recorded(b.core.progress(0).jobs);
      assert.deepEqual(starts(b.report('m', 0)), []);
    },
  ],
  [
    'the largest job begins within four minutes, however many smaller and more urgent ones keep coming',
    (b) => {
      b.machine('m', FRESH);
      b.job(spec('job-0', { tasks: 500, expectedS: 900, rank: 3 }));
      let live: ReportedTask[] = [];
      let begun: number | null = null;
      for (let t = 0; t < 240_000 && begun === null; t += 2000) {
        b.job(spec(`job-${t + 1}`, { tasks: 8, rank: 1 }));
        b.core.tick(t, t);
        const over = live.map((x) => ({ ...x, phase: 'exited' as const, exit: 'done' as const }));
        const next = b.report('m', t, over).filter((c) => c.op === 'start');
        if (next.some((c) => c.ref === 'job-0')) begun = t;
        live = next.map((c) => shown(c, 'running'));
      }
      assert.ok(begun !== null && begun < 200_000, `begun at ${begun}`);
    },
  ],
  [
    "work within its team's guarantee does not wait for ever behind what others flood it with",
    (b) => {
      b.machine('m', FRESH);
      b.core.tick(0, 0);
      b.job(spec('job-1', { tasks: 2, rank: 3 }));
      for (let n = 2; n < 9; n++) b.job(spec(`job-${n}`, { tasks: 8, rank: 2 }));
      assert.ok(!starts(b.report('m', 0)).includes('job-1/0'));
      b.core.tick(30_000, 30_000);
      b.machine('n', FRESH);
      assert.deepEqual(starts(b.report('n', 30_000)).slice(0, 2), ['job-1/0', 'job-1/1']);
    },
  ],
  [
    'a job that may not be run again: nothing before its start watermark, and a lost task ends it; then its fallback begins',
    (b) => {
      const link = { ref: 'p', after: [], reExecutable: false, alternateFor: null };
      const instead = { ...link, reExecutable: true, alternateFor: 'job-1' };
      b.machine('m', FRESH);
      b.job(spec('job-1', { tasks: 2, pipeline: link }), FRESH, '', 0);
      b.job(spec('job-2', { tasks: 1, pipeline: instead }), FRESH + 1);
      assert.deepEqual(starts(b.report('m', 0)), [], 'not begun before that is on record');
      b.core.recorded(b.core.progress(0).jobs);
      const begun = b.report('m', 2000);
      assert.deepEqual(starts(begun), ['job-1/0', 'job-1/1']);
      b.report(
        'm',
        4000,
        begun.map((c) => shown(c, 'running')),
      );
      b.report('m', 20_000, [], { session: 2, seq: 1 });
      assert.deepEqual([...b.core.finals], [['job-1', 'failed']]);
      assert.deepEqual(starts(b.report('m', 22_000, [], { session: 2, seq: 2 })), [], 'not on record yet');
      b.close('job-1', 'failed');
      assert.deepEqual(starts(b.report('m', 24_000, [], { session: 2, seq: 3 })), ['job-2/0']);
    },
  ],
  [
    'after a take-over such a job goes on if all that was begun is there, and fails if not',
    (b) => {
      const link = { ref: 'p', after: [], reExecutable: false, alternateFor: null };
      b.machine('m', OLD);
      b.job(spec('job-1', { tasks: 2, pipeline: link }), OLD, '', 1);
      b.job(spec('job-2', { tasks: 2, pipeline: { ...link, ref: 'q' } }), OLD, '', 1);
      const live: ReportedTask = { ref: 'job-1', index: 0, attempt: 7, phase: 'running', exit: null };
      b.report('m', 0, [live], { token: OLD * 1024 });
      b.report('m', 500, [live]);
      assert.deepEqual([...b.core.finals], [['job-2', 'failed']]);
    },
  ],
  [
    // Left out while none of its tasks was out, it lost its start watermark: the next owner took tasks for never begun.
    'a job whose start watermark was raised stays on record though nothing of it runs',
    (b) => {
      b.machine('m', FRESH);
      b.job(spec('job-1', { tasks: 20, cpus: 0.1 }), FRESH, '', 8);
      b.core.recorded(b.core.progress(0).jobs);
      assert.ok((b.core.progress(0).jobs.get('job-1')?.startWatermark ?? 0) > 8);
    },
  ],
  [
    'an emptied machine is given to the partition that waits for it, unless that is taken back',
    (b) => {
      b.machine('m', FRESH);
      b.core.drainTo('m', 'p1', 0);
      assert.deepEqual(b.core.emptied(), [{ id: 'm', toPartition: 'p1' }]);
      b.job(spec('job-1'));
      assert.deepEqual(starts(b.report('m', 0)), []);
      b.core.drainTo('m', 'p0', 1000);
      assert.equal(starts(b.report('m', 2000)).length, 2);
    },
  ],
];

test('a partition', async (t) => {
  for (const [name, run, limit] of cases) await t.test(name, () => run(new Bench(limit)));
});

test('progress keeps its place, fits, and is written only where it differs', () => {
  const at = (done: string, startWatermark: number): JobProgress => ({
    done,
    doneCount: 0,
    running: 0,
    startWatermark,
  });
  const slots = new ProgressSlots(512);
  const three = new Map(['job-1', 'job-2', 'job-3'].map((ref) => [ref, at('0-3', 8)]));
  const first = slots.changed(three);
  assert.deepEqual(
    first.map((v) => [v.slot, ...v.jobs.keys()]),
    [
      [0, 'job-1', 'job-2'],
      [1, 'job-3'],
    ],
  );
  for (const value of first) slots.written(value);
  slots.drop('job-1');
  three.delete('job-1');
  assert.deepEqual(
    slots.changed(three).map((v) => [v.slot, ...v.jobs.keys()]),
    [[0, 'job-2']],
    'job-3 stays where it is',
  );
  const long = Array.from({ length: 200 }, (_, i) => `${2 * i}`).join(',');
  const [cut] = slots.changed(new Map([['job-2', at(long, 399)]]));
  assert.ok((cut?.text.length ?? 0) <= 512);
  assert.equal(cut?.jobs.get('job-2')?.startWatermark, 399);
  assert.match(cut?.jobs.get('job-2')?.done ?? '', /^0,2,4(,[0-9]+)*$/);
});
