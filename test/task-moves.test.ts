import assert from 'node:assert/strict';
import { test } from 'node:test';
import { balancerSettingsSchema, type BalancerSettings } from '@heathbridge/load-balancer';
import { PartitionCore } from '../src/coordination/partition';
import { TaskMoves } from '../src/coordination/task-moves';
import { type MachineType } from '../src/protocol/cloud';
import { type JobSpec } from '../src/protocol/jobs';
import { type MachineRecord } from '../src/protocol/records';
import { type Report } from '../src/protocol/workers';
import { SimWorker } from './standin/sim-worker';

const type: MachineType = {
  ...{ name: 'small', cpus: 4, accelerators: 0, memoryGb: 16, cacheGb: 50, fetchGbPerS: 1 },
  ...{ price: 0.2, spotPrice: 0.08, bootS: 20, zones: ['a'] },
};
const STEP_MS = 250;
const REPORT_MS = 2000;
const LEASE_MS = 12_000;
const VERSION = 100;
const MACHINES = 4;
const LIMIT = 16;

function spec(ref: string, change: Partial<JobSpec>): JobSpec {
  return {
    ...{ ref, workload: ref, team: 't', rank: 3, tasks: 8, cpus: 1, accelerators: 0, memoryGb: 1 },
    ...{ image: 'i', imageGb: 0.5, types: null, zone: null, together: false, apart: false, spot: true },
    ...{ expectedS: 200, checkpointS: 10, saveS: 1, deadlineS: null, pipeline: null, ...change },
  };
}

/** Idle tasks lie in pieces on all machines; a large urgent one fits nowhere. */
const IDLE = spec('job-1', {});
const URGENT = spec('job-2', { rank: 1, cpus: 4, tasks: 1, team: 'u', expectedS: 20, checkpointS: 0 });
const RUN_MS: Record<string, number> = { 'job-1': 150_000, 'job-2': 20_000 };
/** All machines have been heard by then, so the tasks are spread evenly. */
const IDLE_SUBMITTED_MS = 10_000;
const SUBMITTED_MS = 60_000;
const START_OF_MOVES_MS = SUBMITTED_MS + 4000;

/** A partition with four workers, played in steps, and its rules checked after each. */
class MoveWorld {
  now = 0;
  core: PartitionCore;
  moves: TaskMoves | null = null;
  readonly workers: SimWorker[] = [];
  readonly kept: { core: PartitionCore; report: Report }[] = [];
  readonly closed = new Set<string>();
  private readonly saved = new Map<string, number>();
  private readonly assigned = new Set<string>();
  private version = VERSION;
  urgentBeganAt: number | null = null;

  constructor(private readonly settings: BalancerSettings | null) {
    this.core = this.newOwner();
    for (let i = 0; i < MACHINES; i++) this.addMachine(`m${i}`, this.version + 1);
  }

  private newOwner(): PartitionCore {
    const team = (name: string, limit: number): object => ({
      ...{ name, guaranteed: { cpus: 0, accelerators: 0 }, limit: { cpus: limit, accelerators: 0 } },
    });
    const core = new PartitionCore(
      ...(['p0', this.version, [team('t', LIMIT), team('u', 4)] as never] as const),
      () => new Map([['small', type]]),
      () => undefined,
      { reportMs: REPORT_MS, leaseMs: LEASE_MS, valueBytes: 4096, objectives: [] },
      new Set(this.assigned),
    );
    if (this.settings) core.observer = this.moves = new TaskMoves(core, this.settings, () => this.now);
    return core;
  }

  private addMachine(id: string, version: number): void {
    const runMs = (ref: string, index: number): number =>
      (RUN_MS[ref] ?? 0) - (this.saved.get(`${ref}/${index}`) ?? 0);
    const saved = (ref: string, index: number, ranMs: number): void => {
      const key = `${ref}/${index}`;
      this.saved.set(key, (this.saved.get(key) ?? 0) + ranMs);
    };
    this.workers.push(
      new SimWorker(id, { fetchMs: 500, saveMs: 1000, leaseMs: LEASE_MS, runMs, saved }, this.now),
    );
    this.assigned.add(id);
    this.put(id, version);
  }

  private put(id: string, version: number): void {
    const record: MachineRecord = { partition: 'p0', phase: 'kept', type: 'small', zone: 'a', spot: true };
    this.core.putMachine(id, record, version, this.now);
    this.core.markAssigned([id]);
  }

  submit(job: JobSpec, version: number): void {
    const progress = { done: '', doneCount: 0, running: 0, startWatermark: job.tasks };
    this.core.putJob(job, this.now, version, progress, this.now);
  }

  cancel(ref: string): void {
    this.closed.add(ref);
    this.core.closeJob(ref, 'cancelled', this.now);
  }

  /** Another controller owns the partition from now on: it knows what the store says, and nothing of any move. */
  takeOver(): void {
    const version = this.version;
    this.version += 1000;
    this.core = this.newOwner();
    for (const { id, gone } of this.workers) if (!gone) this.put(id, version);
    for (const job of [IDLE, URGENT])
      if (!this.closed.has(job.ref) && (job === IDLE || this.now >= SUBMITTED_MS)) this.submit(job, version);
  }

  lose(id: string): void {
    const worker = this.workers.find((w) => w.id === id);
    if (!worker) return;
    worker.gone = true;
    this.core.dropMachine(id, this.now);
  }

  step(): void {
    this.now += STEP_MS;
    if (this.now === IDLE_SUBMITTED_MS) this.submit(IDLE, this.version + 1);
    if (this.now === SUBMITTED_MS) this.submit(URGENT, this.version + 1);
    this.core.tick(this.now, this.now);
    this.workers.forEach((worker, i) => {
      worker.advance(this.now);
      if ((this.now / STEP_MS + i) % (REPORT_MS / STEP_MS) === 0) worker.report(this.core, this.now);
    });
    this.check();
  }

  private check(): void {
    const places = new Map<string, string>();
    for (const worker of this.workers) {
      let cpus = 0;
      for (const key of worker.onIt()) {
        assert.ok(!places.has(key), `${key} is on ${places.get(key)} and ${worker.id} at ${this.now}`);
        places.set(key, worker.id);
        cpus += key.startsWith('job-2') ? URGENT.cpus : IDLE.cpus;
        if (key.startsWith('job-2')) this.urgentBeganAt ??= this.now;
      }
      assert.ok(cpus <= type.cpus, `${worker.id} is overfull at ${this.now}`);
    }
  }

  /** What moves have taken and not given back. */
  leftovers(): string[] {
    const found: string[] = [];
    for (const machine of this.core.machines.values())
      if (machine.reserved) found.push(`room on ${machine.id}`);
    for (const team of ['t', 'u']) {
      let used = 0;
      for (const machine of this.core.machines.values())
        for (const task of machine.tasks.values()) if (task.spec?.team === team) used += task.spec.cpus;
      if (Math.abs(this.core.quota.usedBy(team).cpus - used) > 1e-9) found.push(`quota of ${team}`);
    }
    if (this.moves && this.moves.balancer.tracker.inFlight > 0) found.push('a move');
    return found;
  }

  get finished(): boolean {
    return [...this.core.finals.keys()].length + this.closed.size >= 2;
  }

  playUntil(end: number): void {
    while (this.now < end) this.step();
  }
}

const ON = balancerSettingsSchema.parse({ placement: 'even' });
const OFF = null;
const END_MS = 420_000;

test('a large urgent task gets room in seconds instead of after the longest of many small ones', () => {
  const waits = [ON, OFF].map((settings) => {
    const world = new MoveWorld(settings);
    if (!settings)
      world.core.observer = new TaskMoves(world.core, { ...ON, task_moves: false }, () => world.now);
    world.playUntil(END_MS);
    assert.ok(world.finished);
    assert.deepEqual(world.leftovers(), []);
    return (world.urgentBeganAt ?? Infinity) - SUBMITTED_MS;
  });
  const [on = 0, off = 0] = waits;
  assert.ok(on <= 15_000, `${on} ms with moves`);
  assert.ok(off >= 90_000, `${off} ms without`);
});

type Fault = (world: MoveWorld) => void;

const cleared = (world: MoveWorld): string => world.moves?.balancer.tracker.running[0]?.source ?? 'm0';
const target = (world: MoveWorld): string =>
  world.moves?.balancer.tracker.running.find((move) => move.target !== null)?.target ?? 'm1';
const worker = (world: MoveWorld, id: string): SimWorker =>
  world.workers.find((w) => w.id === id) as SimWorker;
const later = new WeakMap<MoveWorld, { at: number; act: () => void }[]>();

function inA(world: MoveWorld, ms: number, act: () => void): void {
  const acts = later.get(world) ?? [];
  later.set(world, [...acts, { at: world.now + ms, act }]);
}

function forA(world: MoveWorld, ms: number, id: string, flag: 'silent' | 'deaf'): void {
  worker(world, id)[flag] = true;
  inA(world, ms, () => (worker(world, id)[flag] = false));
}

const faults: Record<string, Fault> = {
  'the source ends': (w) => w.lose(cleared(w)),
  'the target ends': (w) => w.lose(target(w)),
  'the source is silent for longer than its lease': (w) => forA(w, 15_000, cleared(w), 'silent'),
  'the target is silent for longer than its lease': (w) => forA(w, 15_000, target(w), 'silent'),
  'the source is silent for a moment': (w) => forA(w, 3000, cleared(w), 'silent'),
  'the source hears nothing': (w) => forA(w, 15_000, cleared(w), 'deaf'),
  'the target hears nothing': (w) => forA(w, 15_000, target(w), 'deaf'),
  'the target is about to be taken away': (w) => (worker(w, target(w)).noticeS = 30),
  'the source is about to be taken away': (w) => (worker(w, cleared(w)).noticeS = 30),
  'the target is to leave the partition': (w) => w.core.drainTo(target(w), 'p1', w.now),
  'the moved job is cancelled': (w) => w.cancel(IDLE.ref),
  'the waiting job is cancelled': (w) => w.cancel(URGENT.ref),
  'the partition changes hands': (w) => w.takeOver(),
  'the partition changes hands twice': (w) => {
    w.takeOver();
    inA(w, 3000, () => w.takeOver());
  },
  'no report is answered for longer than a lease': (w) => {
    for (const { id } of w.workers) forA(w, 15_000, id, 'silent');
  },
  'old reports come again': (w) => {
    for (const { lastReport } of w.workers) {
      if (!lastReport) continue;
      w.core.report(lastReport, w.now);
      inA(w, 15_000, () => void w.core.report(lastReport, w.now));
    }
  },
  'the target fills with something else': (w) => {
    const machine = w.core.machines.get(target(w));
    if (machine) machine.locked = true;
    inA(w, 10_000, () => w.core.unlock(target(w)));
  },
};

/** Every quarter of a second from before the first move until well after the last. */
const INJECTED_AT = Array.from({ length: 60 }, (_, i) => START_OF_MOVES_MS + i * STEP_MS);

for (const [name, fault] of Object.entries(faults))
  test(`at any step of a move: ${name}`, () => {
    let begun = 0;
    for (const at of INJECTED_AT) {
      const world = new MoveWorld(ON);
      world.playUntil(at);
      const firstOwner = world.moves;
      fault(world);
      while (world.now < END_MS && !(world.finished && world.now > at + 40_000)) {
        world.step();
        for (const due of later.get(world) ?? []) if (due.at === world.now) due.act();
      }
      begun += firstOwner?.balancer.tracker.counters.begun ?? 0;
      assert.ok(world.finished, `not all done, fault at ${at}`);
      assert.deepEqual(world.leftovers(), [], `left behind, fault at ${at}`);
      const moved = new Map<string, number>();
      for (const decision of world.moves?.takeDecisions() ?? []) {
        const { event, task, cause } = decision as { event: string; task: string; cause: string };
        if (event === 'begun') moved.set(`${task} ${cause}`, (moved.get(`${task} ${cause}`) ?? 0) + 1);
      }
      for (const [what, times] of moved) assert.equal(times, 1, `${what} moved ${times} times for one cause`);
    }
    assert.ok(begun > 0, 'the faults met moves');
  });
