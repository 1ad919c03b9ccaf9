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
const MACHINE_COUNT = 4;
const TEAM_CPU_LIMIT = 16;

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

/** Small tasks fragment the free resources of all machines, so that a large urgent task fits on none. */
const SMALL_TASKS_JOB = spec('job-1', {});
const LARGE_TASK_JOB = spec('job-2', {
  priority: 1,
  cpus: 4,
  tasks: 1,
  team: 'u',
  expectedS: 20,
  checkpointIntervalS: 0,
});
const RUN_MS_BY_JOB: Record<string, number> = { 'job-1': 150_000, 'job-2': 20_000 };
/** By then all machines have sent a heartbeat, so the tasks are spread evenly. */
const SMALL_TASKS_SUBMITTED_MS = 10_000;
const LARGE_TASK_SUBMITTED_MS = 60_000;
const MOVES_START_MS = LARGE_TASK_SUBMITTED_MS + 4000;

/** Simulates a partition with four workers in steps, and checks its invariants after each step. */
class PartitionSimulation {
  now = 0;
  core: PartitionCore;
  taskMover: TaskMover | null = null;
  readonly workers: SimulatedWorker[] = [];
  readonly recordedHeartbeats: { core: PartitionCore; report: Heartbeat }[] = [];
  readonly closed = new Set<string>();
  private readonly checkpointedMs = new Map<string, number>();
  private readonly assignedMachines = new Set<string>();
  private revision = FIRST_EPOCH;
  largeTaskStartedAt: number | null = null;

  constructor(private readonly settings: BalancerSettings | null) {
    this.core = this.createCore();
    for (let i = 0; i < MACHINE_COUNT; i++) this.addMachine(`m${i}`, this.revision + 1);
  }

  private createCore(): PartitionCore {
    const team = (name: string, limit: number): object => ({
      ...{ name, guaranteed: { cpus: 0, accelerators: 0 }, limit: { cpus: limit, accelerators: 0 } },
    });
    const core = new PartitionCore({
      id: 'p0',
      epoch: this.revision,
      teams: [team('t', TEAM_CPU_LIMIT), team('u', 4)] as never,
      machineTypes: () => new Map([['small', type]]),
      specOfClosedJob: () => undefined,
      options: {
        heartbeatIntervalMs: HEARTBEAT_INTERVAL_MS,
        leaseMs: LEASE_MS,
        valueBytes: 4096,
        objectives: [],
      },
      assignedMachines: new Set(this.assignedMachines),
    });
    if (this.settings) core.observer = this.taskMover = new TaskMover(core, this.settings, () => this.now);
    return core;
  }

  private addMachine(id: string, revision: number): void {
    const runMs = (ref: string, index: number): number =>
      (RUN_MS_BY_JOB[ref] ?? 0) - (this.checkpointedMs.get(`${ref}/${index}`) ?? 0);
    const checkpointed = (ref: string, index: number, ranMs: number): void => {
      const key = `${ref}/${index}`;
      this.checkpointedMs.set(key, (this.checkpointedMs.get(key) ?? 0) + ranMs);
    };
    this.workers.push(
      new SimulatedWorker(
        id,
        { imageFetchMs: 500, checkpointDurationMs: 1000, leaseMs: LEASE_MS, runMs, checkpointed },
        this.now,
      ),
    );
    this.assignedMachines.add(id);
    this.upsertMachine(id, revision);
  }

  private upsertMachine(id: string, revision: number): void {
    const record: MachineRecord = { partition: 'p0', phase: 'active', type: 'small', zone: 'a', spot: true };
    this.core.upsertMachine(id, record, revision, this.now);
    this.core.markAssigned([id]);
  }

  submit(job: JobSpec, revision: number): void {
    const progress = { doneRanges: '', doneCount: 0, runningCount: 0, startWatermark: job.tasks };
    this.core.openJob({ spec: job, acceptedAt: this.now, revision, progress }, this.now);
  }

  cancel(ref: string): void {
    this.closed.add(ref);
    this.core.closeJob(ref, 'cancelled', this.now);
  }

  /** Gives the partition to another controller, which knows what the store holds but none of the moves. */
  takeOver(): void {
    const revision = this.revision;
    this.revision += 1000;
    this.core = this.createCore();
    for (const { id, terminated } of this.workers) if (!terminated) this.upsertMachine(id, revision);
    for (const job of [SMALL_TASKS_JOB, LARGE_TASK_JOB])
      if (!this.closed.has(job.ref) && (job === SMALL_TASKS_JOB || this.now >= LARGE_TASK_SUBMITTED_MS))
        this.submit(job, revision);
  }

  loseMachine(id: string): void {
    const worker = this.workers.find((candidate) => candidate.id === id);
    if (!worker) return;
    worker.terminated = true;
    this.core.removeMachine(id, this.now);
  }

  step(): void {
    this.now += STEP_MS;
    if (this.now === SMALL_TASKS_SUBMITTED_MS) this.submit(SMALL_TASKS_JOB, this.revision + 1);
    if (this.now === LARGE_TASK_SUBMITTED_MS) this.submit(LARGE_TASK_JOB, this.revision + 1);
    this.core.tick(this.now, this.now);
    this.workers.forEach((worker, i) => {
      worker.advance(this.now);
      if ((this.now / STEP_MS + i) % (HEARTBEAT_INTERVAL_MS / STEP_MS) === 0)
        worker.sendHeartbeat(this.core, this.now);
    });
    this.checkInvariants();
  }

  private checkInvariants(): void {
    const machineByTask = new Map<string, string>();
    for (const worker of this.workers) {
      let cpus = 0;
      for (const key of worker.executingTasks()) {
        assert.ok(
          !machineByTask.has(key),
          `${key} is on ${machineByTask.get(key)} and ${worker.id} at ${this.now}`,
        );
        machineByTask.set(key, worker.id);
        cpus += key.startsWith('job-2') ? LARGE_TASK_JOB.cpus : SMALL_TASKS_JOB.cpus;
        if (key.startsWith('job-2')) this.largeTaskStartedAt ??= this.now;
      }
      assert.ok(cpus <= type.cpus, `the tasks on ${worker.id} exceed its CPUs at ${this.now}`);
    }
  }

  /** Reservations, quota and moves that have not been released. */
  leakedResources(): string[] {
    const leaks: string[] = [];
    for (const machine of this.core.machines.values())
      if (machine.hasReservations) leaks.push(`reservation on ${machine.id}`);
    for (const team of ['t', 'u']) {
      let used = 0;
      for (const machine of this.core.machines.values())
        for (const task of machine.tasks.values()) if (task.spec?.team === team) used += task.spec.cpus;
      if (Math.abs(this.core.quota.usageOf(team).cpus - used) > 1e-9) leaks.push(`quota of ${team}`);
    }
    if (this.taskMover && this.taskMover.balancer.tracker.inFlightCount > 0) leaks.push('a move');
    return leaks;
  }

  get finished(): boolean {
    return [...this.core.terminalStates.keys()].length + this.closed.size >= 2;
  }

  runUntil(end: number): void {
    while (this.now < end) this.step();
  }
}

const BALANCER_ON = balancerSettingsSchema.parse({ placement: 'even' });
const BALANCER_OFF = null;
const END_MS = 420_000;

test('a large urgent task starts within 15 s with moves, and not before 90 s without moves', () => {
  const waitsMs = [BALANCER_ON, BALANCER_OFF].map((settings) => {
    const simulation = new PartitionSimulation(settings);
    if (!settings)
      simulation.core.observer = new TaskMover(
        simulation.core,
        { ...BALANCER_ON, task_moves: false },
        () => simulation.now,
      );
    simulation.runUntil(END_MS);
    assert.ok(simulation.finished);
    assert.deepEqual(simulation.leakedResources(), []);
    return (simulation.largeTaskStartedAt ?? Infinity) - LARGE_TASK_SUBMITTED_MS;
  });
  const [withMoves = 0, withoutMoves = 0] = waitsMs;
  assert.ok(withMoves <= 15_000, `${withMoves} ms with moves`);
  assert.ok(withoutMoves >= 90_000, `${withoutMoves} ms without moves`);
});

type Fault = (simulation: PartitionSimulation) => void;

const sourceOfMove = (simulation: PartitionSimulation): string =>
  simulation.taskMover?.balancer.tracker.movesInProgress[0]?.source ?? 'm0';
const targetOfMove = (simulation: PartitionSimulation): string =>
  simulation.taskMover?.balancer.tracker.movesInProgress.find((move) => move.target !== null)?.target ?? 'm1';
const worker = (simulation: PartitionSimulation, id: string): SimulatedWorker =>
  simulation.workers.find((candidate) => candidate.id === id) as SimulatedWorker;
const scheduledActions = new WeakMap<PartitionSimulation, { at: number; action: () => void }[]>();

function scheduleAfter(simulation: PartitionSimulation, ms: number, action: () => void): void {
  const actions = scheduledActions.get(simulation) ?? [];
  scheduledActions.set(simulation, [...actions, { at: simulation.now + ms, action }]);
}

function setFlagForDuration(
  simulation: PartitionSimulation,
  ms: number,
  id: string,
  flag: 'heartbeatsLost' | 'responsesLost',
): void {
  worker(simulation, id)[flag] = true;
  scheduleAfter(simulation, ms, () => (worker(simulation, id)[flag] = false));
}

const faults: Record<string, Fault> = {
  'the source terminates': (simulation) => simulation.loseMachine(sourceOfMove(simulation)),
  'the target terminates': (simulation) => simulation.loseMachine(targetOfMove(simulation)),
  'the heartbeats of the source are lost for longer than its lease': (simulation) =>
    setFlagForDuration(simulation, 15_000, sourceOfMove(simulation), 'heartbeatsLost'),
  'the heartbeats of the target are lost for longer than its lease': (simulation) =>
    setFlagForDuration(simulation, 15_000, targetOfMove(simulation), 'heartbeatsLost'),
  'the heartbeats of the source are lost for 3 seconds': (simulation) =>
    setFlagForDuration(simulation, 3000, sourceOfMove(simulation), 'heartbeatsLost'),
  'the responses to the source are lost': (simulation) =>
    setFlagForDuration(simulation, 15_000, sourceOfMove(simulation), 'responsesLost'),
  'the responses to the target are lost': (simulation) =>
    setFlagForDuration(simulation, 15_000, targetOfMove(simulation), 'responsesLost'),
  'the target gets a preemption notice': (simulation) =>
    (worker(simulation, targetOfMove(simulation)).preemptionNoticeS = 30),
  'the source gets a preemption notice': (simulation) =>
    (worker(simulation, sourceOfMove(simulation)).preemptionNoticeS = 30),
  'the target is drained for another partition': (simulation) =>
    simulation.core.drainForTransfer(targetOfMove(simulation), 'p1', simulation.now),
  'the moved job is cancelled': (simulation) => simulation.cancel(SMALL_TASKS_JOB.ref),
  'the pending job is cancelled': (simulation) => simulation.cancel(LARGE_TASK_JOB.ref),
  'another controller takes the partition over': (simulation) => simulation.takeOver(),
  'the partition is taken over twice': (simulation) => {
    simulation.takeOver();
    scheduleAfter(simulation, 3000, () => simulation.takeOver());
  },
  'the heartbeats of all machines are lost for longer than a lease': (simulation) => {
    for (const { id } of simulation.workers) setFlagForDuration(simulation, 15_000, id, 'heartbeatsLost');
  },
  'old heartbeats are repeated': (simulation) => {
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
  'the target is cordoned for 10 seconds': (simulation) => {
    const machine = simulation.core.machines.get(targetOfMove(simulation));
    if (machine) machine.cordoned = true;
    scheduleAfter(simulation, 10_000, () => simulation.core.uncordon(targetOfMove(simulation)));
  },
};

/** Faults are injected every 250 ms, from before the first move until well after the last. */
const INJECTION_TIMES = Array.from({ length: 60 }, (_, i) => MOVES_START_MS + i * STEP_MS);

for (const [name, fault] of Object.entries(faults))
  test(`fault at any step of a move: ${name}`, () => {
    let begunCount = 0;
    for (const at of INJECTION_TIMES) {
      const simulation = new PartitionSimulation(BALANCER_ON);
      simulation.runUntil(at);
      const firstOwner = simulation.taskMover;
      fault(simulation);
      while (simulation.now < END_MS && !(simulation.finished && simulation.now > at + 40_000)) {
        simulation.step();
        for (const due of scheduledActions.get(simulation) ?? []) if (due.at === simulation.now) due.action();
      }
      begunCount += firstOwner?.balancer.tracker.counters.begun ?? 0;
      assert.ok(simulation.finished, `jobs not finished, fault at ${at}`);
      assert.deepEqual(simulation.leakedResources(), [], `resources not released, fault at ${at}`);
      const moveCounts = new Map<string, number>();
      for (const decision of simulation.taskMover?.takeDecisions() ?? []) {
        const { event, task, cause } = decision as { event: string; task: string; cause: string };
        if (event === 'begun')
          moveCounts.set(`${task} ${cause}`, (moveCounts.get(`${task} ${cause}`) ?? 0) + 1);
      }
      for (const [taskAndCause, count] of moveCounts)
        assert.equal(count, 1, `${taskAndCause} moved ${count} times for one cause`);
    }
    assert.ok(begunCount > 0, 'no run began a move');
  });
