import pino from 'pino';
import { Controller } from '../../src/coordination/controller/controller';
import { DEFAULT_POLICY } from '../../src/protocol/policy';
import { parseSettings } from '../../src/protocol/settings';
import { type StoreTransport } from '../../src/storage/store-connection';
import { flushPromises, VirtualTime } from '../standin/clock';
import { FakeCloud } from '../standin/fake-cloud';
import { type FakeWorker, type FakeWorkerHooks } from '../standin/fake-worker';
import { FakeStateStore } from '../standin/store';
import {
  controllerIndex,
  DEFAULT_OPTIONS,
  HEARTBEAT_INTERVAL_MS,
  LEASE_MS,
  MACHINE_TYPES,
  controllerSettings,
  teamSettings,
  ZONES,
  type VirtualClusterOptions,
} from './cluster-options';
import { emptyNode, type ControllerNode } from './controller-node';
import { RandomSource } from './random-source';
import { RuleChecker } from './rule-checker';
import { SimulatedNetwork, type ControllerProcess } from './simulated-network';
import { SimulatedUsers } from './simulated-users';
import { SubmittedJobs } from './submitted-jobs';
import { TaskDurations } from './task-durations';
import { WaitingChecker } from './waiting-checker';

const LIST_LAG_MS = 3000;
const BOOT_MS = 5000;
const RULE_CHECK_INTERVAL_MS = 250;
/** Difference between the clock rates of two controllers with adjacent indexes. */
const CLOCK_RATE_STEP = 0.0004;

/** Several controllers in one process under virtual time, with simulated users, workers, cloud and state store. */
export class VirtualCluster {
  readonly time = new VirtualTime();
  readonly store: FakeStateStore;
  readonly cloud: FakeCloud;
  readonly nodes: ControllerNode[] = [];
  readonly jobs = new SubmittedJobs();
  readonly network: SimulatedNetwork;
  readonly rules: RuleChecker;
  readonly users: SimulatedUsers;
  private readonly waiting: WaitingChecker;
  /** Number of leases that expired on machines with tasks. */
  expiredLeases = 0;
  private readonly random: RandomSource;
  private readonly durations: TaskDurations;
  private processCount = 0;

  constructor(
    seed: number,
    private readonly options: VirtualClusterOptions = DEFAULT_OPTIONS,
  ) {
    const { time, nodes, jobs } = this;
    this.random = new RandomSource(seed);
    this.durations = new TaskDurations(jobs, options.extraRunMs ?? 0);
    this.network = new SimulatedNetwork(time, this.random, nodes);
    this.cloud = new FakeCloud({
      time,
      hooks: this.workerHooks(),
      machineTypes: options.machineTypes ?? MACHINE_TYPES,
      zones: ZONES,
      maxMachines: options.maxMachines,
      listLagMs: LIST_LAG_MS,
      bootMs: BOOT_MS,
      ...(options.entriesPerPage === undefined ? {} : { machinesPerPage: options.entriesPerPage }),
    });
    this.store = new FakeStateStore(time, options.entriesPerPage, options.storeLimits);
    const { workers } = this.cloud;
    this.rules = new RuleChecker(jobs, teamSettings(options), workers, () => time.now);
    this.store.onRejected = (reason, transaction) => this.rules.transactionRejected(reason, transaction);
    this.network.onOversized = (description) => this.rules.recordViolation(`answer_line: ${description}`);
    this.waiting = new WaitingChecker({
      jobs,
      teams: teamSettings(options),
      cloud: this.cloud,
      recordViolation: (description) => this.rules.recordViolation(description),
    });
    this.users = new SimulatedUsers({
      time,
      random: this.random,
      nodes,
      workers,
      jobs,
      rules: this.rules,
      options,
    });
    this.addInitialMachines();
    for (let index = 0; index < options.controllers; index++) {
      nodes.push(emptyNode());
      this.startController(index);
    }
    time.at(RULE_CHECK_INTERVAL_MS, () => this.checkPeriodically());
  }

  private workerHooks(): FakeWorkerHooks {
    return {
      taskStarted: (worker, taskId) => this.taskStarted(worker, taskId),
      taskCompleted: (taskId) => this.taskCompleted(taskId),
      taskStopped: (taskId, ranMs, saved) => this.taskStopped(taskId, ranMs, saved),
      leaseExpired: () => this.expiredLeases++,
      runMs: (taskId) => this.durations.runMs(taskId),
      checkpointDurationMs: (taskId) => this.durations.checkpointDurationMs(taskId),
      imageFetchMs: (worker, taskId) => this.durations.imageFetchMs(worker, taskId, this.time.now),
      deliverHeartbeat: (index, worker, heartbeat) => this.network.deliverHeartbeat(index, worker, heartbeat),
      controllerIndex,
      controllerCount: this.options.controllers,
      heartbeatIntervalMs: HEARTBEAT_INTERVAL_MS,
      leaseMs: LEASE_MS,
    };
  }

  private addInitialMachines(): void {
    for (const { type, count } of this.options.initialMachines ?? [{ type: 'small', count: 3 }])
      for (let i = 0; i < count; i++) this.cloud.addMachine(type, i === 0 ? 'a' : 'b', false, 0);
  }

  private checkPeriodically(): void {
    this.rules.checkCancelledJobs();
    if (this.time.now >= this.users.faultsEndAt) this.waiting.check(this.time.now);
    this.network.replayHeartbeats();
    this.time.at(this.time.now + RULE_CHECK_INTERVAL_MS, () => this.checkPeriodically());
  }

  private taskStarted(worker: FakeWorker, taskId: string): void {
    this.options.taskListener?.started(taskId, this.time.now);
    this.rules.taskStarted(worker, taskId);
  }

  private taskCompleted(taskId: string): void {
    this.jobs.completedTasks.add(taskId);
    this.options.taskListener?.completed(taskId, this.time.now);
    this.users.taskCompleted(taskId);
  }

  private taskStopped(taskId: string, ranMs: number, saved: boolean): void {
    if (saved) this.durations.recordCheckpoint(taskId, ranMs);
    this.options.taskListener?.stopped(taskId, ranMs, saved);
  }

  /** A whole number from 0 to `bound` - 1. */
  randomInt(bound: number): number {
    return this.random.int(bound);
  }

  /** Starts a new process of this controller. */
  startController(index: number): void {
    const node = this.nodes[index] as ControllerNode;
    node.up = true;
    let controller: Controller | null = null;
    const isUp = (): boolean => node.up && node.controller === controller;
    controller = this.newController({ node, index, isUp });
    node.controller = controller;
    controller.start();
  }

  private newController(process: ControllerProcess): Controller {
    const { node, index, isUp } = process;
    const { network, store, cloud } = this;
    const storeTransport: StoreTransport = {
      call: (method, path, body, timeoutMs) =>
        network.requestStore(process, path, timeoutMs, (refused) =>
          store.request(method, path, body, refused),
        ),
    };
    const cloudTransport: StoreTransport = {
      call: (method, path, body, timeoutMs) =>
        network.requestCloud(process, timeoutMs, () => cloud.request(method, path, body)),
    };
    const clockRate = 1 + (index - 1) * CLOCK_RATE_STEP;
    return new Controller(
      parseSettings(controllerSettings(index, this.options)),
      DEFAULT_POLICY,
      this.time.clock(isUp, clockRate, () => node.pausedUntil),
      pino({ level: 'silent' }),
      {
        storeTransport,
        watchTransport: storeTransport,
        cloudTransport,
        processIncarnation: `velodrome-${index}-${++this.processCount}`,
        balancing: this.options.balancing?.(this.time.clock(isUp)) ?? null,
        sendToPeer: (member, frame) => network.sendFrame(process, controllerIndex(member), frame),
      },
    );
  }

  /** Ends a controller's process if it is up, and starts a new one after `downMs`. */
  crash(index: number, downMs: number): void {
    const node = this.nodes[index] as ControllerNode;
    if (!node.up) return;
    node.up = false;
    node.controller = null;
    this.time.at(this.time.now + downMs, () => this.startController(index));
  }

  /** Runs the cluster until this virtual time. */
  async runUntil(end: number): Promise<void> {
    await flushPromises();
    await this.time.run(end);
  }
}
