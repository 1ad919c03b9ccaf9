import assert from 'node:assert/strict';
import { test } from 'node:test';
import { balancerSettingsSchema, type BalancerSettings } from '@heathbridge/load-balancer';
import { PartitionCore } from '../../src/coordination/partition/partition-core';
import { TaskMover } from '../../src/coordination/balancing/task-moves';
import { type MachineType } from '../../src/protocol/cloud';
import { type JobSpec } from '../../src/protocol/jobs';
import { type MachineRecord } from '../../src/protocol/records';
import { type Heartbeat } from '../../src/protocol/workers';
import { SimulatedWorker } from '../standin/sim-worker';

const type: MachineType = {
  ...{ name: 'small', cpus: 4, accelerators: 0, memoryGb: 16, cacheGb: 50, fetchGbPerS: 1 },
  ...{ price: 0.2, spotPrice: 0.08, bootS: 20, zones: ['a'] },
};
const STEP_MS = 250;
const HEARTBEAT_INTERVAL_MS = 2000;
const LEASE_MS = 12_000;
const FIRST_EPOCH = 100;
const MACHINES = 4;
const LIMIT = 16;

function spec(ref: string, change: Partial<JobSpec>): JobSpec {
  return {
    ...{ ref, workload: ref, team: 't', priority: 3, tasks: 8, cpus: 1, accelerators: 0, memoryGb: 1 },
    ...{
      image: 'i',
      imageGb: 0.5,
      machineTypes: null,
      zone: null,
      singleZone: false,
      spreadZones: false,
      spot: true,
    },
    ...{
      expectedS: 200,
      checkpointIntervalS: 10,
      checkpointDurationS: 1,
      deadlineS: null,
      pipeline: null,
      ...change,
    },
  };
}

/** Idle tasks lie in pieces on all machines; a large urgent one fits nowhere. */
const IDLE = spec('job-1', {});
const URGENT = spec('job-2', {
  priority: 1,
  cpus: 4,
  tasks: 1,
  team: 'u',
  expectedS: 20,
  checkpointIntervalS: 0,
});
const RUN_MS: Record<string, number> = { 'job-1': 150_000, 'job-2': 20_000 };
/** All machines have been heard by then, so the tasks are spread evenly. */
const IDLE_SUBMITTED_MS = 10_000;
const SUBMITTED_MS = 60_000;
const MOVES_START_MS = SUBMITTED_MS + 4000;

/** A partition with four workers, played in steps, and its rules checked after each. */
class PartitionSimulation {
  now = 0;
  core: PartitionCore;
  moves: TaskMover | null = null;
  readonly workers: SimulatedWorker[] = [];
  readonly recordedHeartbeats: { core: PartitionCore; report: Heartbeat }[] = [];
  readonly closed = new Set<string>();
  private readonly saved = new Map<string, number>();
  private readonly assigned = new Set<string>();
  private version = FIRST_EPOCH;
  urgentStartedAt: number | null = null;

  constructor(private readonly settings: BalancerSettings | null) {
    this.core = this.newOwner();
    for (let i = 0; i < MACHINES; i++) this.addMachine(`m${i}`, this.version + 1);
  }

  private newOwner(): PartitionCore {
    const team = (name: string, limit: number): object => ({
      ...{ name, guaranteed: { cpus: 0, accelerators: 0 }, limit: { cpus: limit, accelerators: 0 } },
    });
    const core = new PartitionCore({
      id: 'p0',
      epoch: this.version,
      teams: [team('t', LIMIT), team('u', 4)] as never,
      machineTypes: () => new Map([['small', type]]),
      specOfClosedJob: () => undefined,
      options: {
        heartbeatIntervalMs: HEARTBEAT_INTERVAL_MS,
        leaseMs: LEASE_MS,
        valueBytes: 4096,
        objectives: [],
      },
      assignedMachines: new Set(this.assigned),
    });
    if (this.settings) core.observer = this.moves = new TaskMover(core, this.settings, () => this.now);
    return core;
  }

  private addMachine(id: string, version: number): void {
    const runMs = (ref: string, index: number): number =>
      (RUN_MS[ref] ?? 0) - (this.saved.get(`${ref}/${index}`) ?? 0);
    const checkpointed = (ref: string, index: number, ranMs: number): void => {
      const key = `${ref}/${index}`;
      this.saved.set(key, (this.saved.get(key) ?? 0) + ranMs);
    };
    this.workers.push(
      new SimulatedWorker(
        id,
        { imageFetchMs: 500, checkpointMs: 1000, leaseMs: LEASE_MS, runMs, checkpointed },
        this.now,
      ),
    );
    this.assigned.add(id);
    this.putMachine(id, version);
  }

  private putMachine(id: string, version: number): void {
    const record: MachineRecord = { partition: 'p0', phase: 'active', type: 'small', zone: 'a', spot: true };
    this.core.upsertMachine(id, record, version, this.now);
    this.core.markAssigned([id]);
  }

  submit(job: JobSpec, version: number): void {
    const progress = { doneRanges: '', doneCount: 0, runningCount: 0, startWatermark: job.tasks };
    this.core.openJob({ spec: job, acceptedAt: this.now, revision: version, progress }, this.now);
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
    for (const { id, terminated } of this.workers) if (!terminated) this.putMachine(id, version);
    for (const job of [IDLE, URGENT])
      if (!this.closed.has(job.ref) && (job === IDLE || this.now >= SUBMITTED_MS)) this.submit(job, version);
  }

  loseMachine(id: string): void {
    const worker = this.workers.find((simulation) => simulation.id === id);
    if (!worker) return;
    worker.terminated = true;
    this.core.removeMachine(id, this.now);
  }

  step(): void {
    this.now += STEP_MS;
    if (this.now === IDLE_SUBMITTED_MS) this.submit(IDLE, this.version + 1);
    if (this.now === SUBMITTED_MS) this.submit(URGENT, this.version + 1);
    this.core.tick(this.now, this.now);
    this.workers.forEach((worker, i) => {
      worker.advance(this.now);
      if ((this.now / STEP_MS + i) % (HEARTBEAT_INTERVAL_MS / STEP_MS) === 0)
        worker.sendHeartbeat(this.core, this.now);
    });
    this.check();
  }

  private check(): void {
    const places = new Map<string, string>();
    for (const worker of this.workers) {
      let cpus = 0;
      for (const key of worker.occupyingTasks()) {
        assert.ok(!places.has(key), `${key} is on ${places.get(key)} and ${worker.id} at ${this.now}`);
        places.set(key, worker.id);
        cpus += key.startsWith('job-2') ? URGENT.cpus : IDLE.cpus;
        if (key.startsWith('job-2')) this.urgentStartedAt ??= this.now;
      }
      assert.ok(cpus <= type.cpus, `${worker.id} is overfull at ${this.now}`);
    }
  }

  /** What moves have taken and not given back. */
  leakedResources(): string[] {
    const found: string[] = [];
    for (const machine of this.core.machines.values())
      if (machine.hasReservations) found.push(`room on ${machine.id}`);
    for (const team of ['t', 'u']) {
      let used = 0;
      for (const machine of this.core.machines.values())
        for (const task of machine.tasks.values()) if (task.spec?.team === team) used += task.spec.cpus;
      if (Math.abs(this.core.quota.usageOf(team).cpus - used) > 1e-9) found.push(`quota of ${team}`);
    }
    if (this.moves && this.moves.balancer.tracker.inFlight > 0) found.push('a move');
    return found;
  }

  get finished(): boolean {
    return [...this.core.terminalStates.keys()].length + this.closed.size >= 2;
  }

  runUntil(end: number): void {
    while (this.now < end) this.step();
  }
}

const ON = balancerSettingsSchema.parse({ placement: 'even' });
const OFF = null;
const END_MS = 420_000;

test('a large urgent task gets room in seconds instead of after the longest of many small ones', () => {
  const waits = [ON, OFF].map((settings) => {
    const simulation = new PartitionSimulation(settings);
    if (!settings)
      simulation.core.observer = new TaskMover(
        simulation.core,
        { ...ON, task_moves: false },
        () => simulation.now,
      );
    simulation.runUntil(END_MS);
    assert.ok(simulation.finished);
    assert.deepEqual(simulation.leakedResources(), []);
    return (simulation.urgentStartedAt ?? Infinity) - SUBMITTED_MS;
  });
  const [on = 0, off = 0] = waits;
  assert.ok(on <= 15_000, `${on} ms with moves`);
  assert.ok(off >= 90_000, `${off} ms without`);
});

type Fault = (simulation: PartitionSimulation) => void;

const sourceOfMove = (simulation: PartitionSimulation): string =>
  simulation.moves?.balancer.tracker.movesInProgress[0]?.source ?? 'm0';
const targetOfMove = (simulation: PartitionSimulation): string =>
  simulation.moves?.balancer.tracker.movesInProgress.find((move) => move.target !== null)?.target ?? 'm1';
const worker = (simulation: PartitionSimulation, id: string): SimulatedWorker =>
  simulation.workers.find((simulation) => simulation.id === id) as SimulatedWorker;
const scheduledActions = new WeakMap<PartitionSimulation, { at: number; act: () => void }[]>();

function scheduleAfter(simulation: PartitionSimulation, ms: number, act: () => void): void {
  const acts = scheduledActions.get(simulation) ?? [];
  scheduledActions.set(simulation, [...acts, { at: simulation.now + ms, act }]);
}

function setForDuration(
  simulation: PartitionSimulation,
  ms: number,
  id: string,
  flag: 'heartbeatsLost' | 'responsesLost',
): void {
  worker(simulation, id)[flag] = true;
  scheduleAfter(simulation, ms, () => (worker(simulation, id)[flag] = false));
}

const faults: Record<string, Fault> = {
  'the source ends': (simulation) => simulation.loseMachine(sourceOfMove(simulation)),
  'the target ends': (simulation) => simulation.loseMachine(targetOfMove(simulation)),
  'the source is silent for longer than its lease': (simulation) =>
    setForDuration(simulation, 15_000, sourceOfMove(simulation), 'heartbeatsLost'),
  'the target is silent for longer than its lease': (simulation) =>
    setForDuration(simulation, 15_000, targetOfMove(simulation), 'heartbeatsLost'),
  'the source is silent for a moment': (simulation) =>
    setForDuration(simulation, 3000, sourceOfMove(simulation), 'heartbeatsLost'),
  'the source hears nothing': (simulation) =>
    setForDuration(simulation, 15_000, sourceOfMove(simulation), 'responsesLost'),
  'the target hears nothing': (simulation) =>
    setForDuration(simulation, 15_000, targetOfMove(simulation), 'responsesLost'),
  'the target is about to be taken away': (simulation) =>
    (worker(simulation, targetOfMove(simulation)).preemptionNoticeS = 30),
  'the source is about to be taken away': (simulation) =>
    (worker(simulation, sourceOfMove(simulation)).preemptionNoticeS = 30),
  'the target is to leave the partition': (simulation) =>
    simulation.core.drainForTransfer(targetOfMove(simulation), 'p1', simulation.now),
  'the moved job is cancelled': (simulation) => simulation.cancel(IDLE.ref),
  'the waiting job is cancelled': (simulation) => simulation.cancel(URGENT.ref),
  'the partition changes hands': (simulation) => simulation.takeOver(),
  'the partition changes hands twice': (simulation) => {
    simulation.takeOver();
    scheduleAfter(simulation, 3000, () => simulation.takeOver());
  },
  'no report is answered for longer than a lease': (simulation) => {
    for (const { id } of simulation.workers) setForDuration(simulation, 15_000, id, 'heartbeatsLost');
  },
  'old reports come again': (simulation) => {
    for (const { lastHeartbeat } of simulation.workers) {
      if (!lastHeartbeat) continue;
      simulation.core.handleHeartbeat(lastHeartbeat, simulation.now);
      scheduleAfter(
        simulation,
        15_000,
        () => void simulation.core.handleHeartbeat(lastHeartbeat, simulation.now),
      );
    }
  },
  'the target fills with something else': (simulation) => {
    const machine = simulation.core.machines.get(targetOfMove(simulation));
    if (machine) machine.cordoned = true;
    scheduleAfter(simulation, 10_000, () => simulation.core.uncordon(targetOfMove(simulation)));
  },
};

/** Every quarter of a second from before the first move until well after the last. */
const INJECTED_AT = Array.from({ length: 60 }, (_, i) => MOVES_START_MS + i * STEP_MS);

for (const [name, fault] of Object.entries(faults))
  test(`at any step of a move: ${name}`, () => {
    let begun = 0;
    for (const at of INJECTED_AT) {
      const simulation = new PartitionSimulation(ON);
      simulation.runUntil(at);
      const firstOwner = simulation.moves;
      fault(simulation);
      while (simulation.now < END_MS && !(simulation.finished && simulation.now > at + 40_000)) {
        simulation.step();
        for (const due of scheduledActions.get(simulation) ?? []) if (due.at === simulation.now) due.act();
      }
      begun += firstOwner?.balancer.tracker.counters.begun ?? 0;
      assert.ok(simulation.finished, `not all done, fault at ${at}`);
      assert.deepEqual(simulation.leakedResources(), [], `left behind, fault at ${at}`);
      const moved = new Map<string, number>();
      for (const decision of simulation.moves?.takeDecisions() ?? []) {
        const { event, task, cause } = decision as { event: string; task: string; cause: string };
        if (event === 'begun') moved.set(`${task} ${cause}`, (moved.get(`${task} ${cause}`) ?? 0) + 1);
      }
      for (const [what, times] of moved) assert.equal(times, 1, `${what} moved ${times} times for one cause`);
    }
    assert.ok(begun > 0, 'the faults met moves');
  });
