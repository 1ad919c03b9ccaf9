import pino from 'pino';
import prand from 'pure-rand';
import type { HttpResponse } from '../../src/transport/http-client';
import { heartbeatResponse, redirectResponse, parseHeartbeat } from '../../src/protocol/workers';
import { DEFAULT_POLICY } from '../../src/protocol/policy';
import { parseSettings } from '../../src/protocol/settings';
import { type Clock } from '../../src/transport/clock';
import { type Balancing } from '../../src/coordination/balancing/balancing';
import { Controller } from '../../src/coordination/controller/controller';
import { type ApiResponse } from '../../src/coordination/requests/job-service';
import { VirtualTime, settle } from './clock';
import { FakeCloud, type FleetHooks, type FakeWorker } from './fleet';
import { FakeStateStore } from './store';

interface ControllerNode {
  controller: Controller | null;
  up: boolean;
  storeRefuses: boolean;
  /** Cut from the workers: their reports are held and come late. */
  cutFromWorkers: boolean;
  /** Cut from the state service and the other controllers, but not from the workers. */
  isolated: boolean;
  /** Its watches get no answer, while all else works. */
  watchHangs: boolean;
  /** Until when the process stands still while its clocks run on: what comes meanwhile is dealt with after. */
  pausedUntil: number;
}

/** What a job asks for where it is not left to chance. */
export interface JobShape {
  crew: string;
  pieces: number;
  cpus: number;
  urgency: string;
  /** How long each task really runs. */
  runMs: number;
  /** What its owner expects. */
  expectedS: number;
  /** Interval of checkpoints, 0: it never saves. */
  checkpointS: number;
  saveS: number;
  build: string;
  imageGb: number;
}

/** Told of what happens to tasks, for measurements. */
export interface TaskListener {
  submitted(ref: string, shape: JobShape, at: number): void;
  started(piece: string, at: number): void;
  completed(piece: string, at: number): void;
  stopped(piece: string, ranMs: number, saved: boolean): void;
}

interface UserJob {
  shape: JobShape | null;
  ref: string;
  team: string;
  tasks: number;
  cpus: number;
  spot: boolean;
  together: boolean;
  apart: boolean;
  zone: string | null;
  submission: object;
  accepted: boolean;
  terminalStatus: string | null;
  cancelledAt: number | null;
  /** Its tasks were found running on; once is enough. */
  overrunRecorded: boolean;
  cancelRequested: boolean;
  /** What its user was last told. */
  lastStatus: string | null;
  /** When a question about it was last answered. */
  lastAnsweredAt: number;
}

/** How large a world is. */
export interface VirtualClusterOptions {
  controllers: number;
  /** Machines that the cloud has. */
  maxMachines: number;
  /** By how much the teams' limits are multiplied. */
  teamLimitFactor: number;
  /** Tasks run so much longer than the few seconds that they take otherwise. */
  extraRunMs?: number;
  /** Some jobs are bound to a zone, or must be apart. */
  zoneConstraints?: boolean;
  machineTypes?: typeof MACHINE_TYPES;
  /** Machines that are up from the start. */
  initialMachines?: { kind: string; count: number }[];
  taskListener?: TaskListener;
  /** Load is balanced by this. */
  balancing?: (clock: Clock) => Balancing;
}

const DEFAULT_OPTIONS: VirtualClusterOptions = { controllers: 3, maxMachines: 10, teamLimitFactor: 1 };
const LEASE_MS = 12_000;
const CANCEL_BOUND_MS = 37_000;
/** So many of the copies kept for the next leader are brought. */
const MAX_REPLAYED_HEARTBEATS = 60;
/** Troubles over, a job of which nothing is said for so long is forgotten. */
const MAX_UNANSWERED_MS = 75_000;
const TEAMS = [
  { name: 'north', cpus: 8, cpus_max: 16 },
  { name: 'south', cpus: 8, cpus_max: 12 },
  { name: 'west', cpus: 4, cpus_max: 8 },
];
const MACHINE_TYPES = [
  { label: 'small', cpus: 4, memory: 16 },
  { label: 'large', cpus: 12, memory: 48 },
];

function teamsOf({ teamLimitFactor }: VirtualClusterOptions): typeof TEAMS {
  return TEAMS.map((t) => ({ ...t, cpus: t.cpus * teamLimitFactor, cpus_max: t.cpus_max * teamLimitFactor }));
}

function settingsOf(i: number, scale: VirtualClusterOptions): string {
  const peers = Array.from({ length: scale.controllers }, (_, k) => k).filter((k) => k !== i);
  return JSON.stringify({
    member: `velodrome-${i}`,
    site: 'a',
    serve_on: `10.0.0.${i + 1}:8080`,
    cluster_listen: `10.0.0.${i + 1}:8081`,
    peers: peers.map((k) => ({ member: `velodrome-${k}`, addr: `10.0.0.${k + 1}:8081` })),
    external: { cloud: '10.2.0.2:1', state: '10.2.0.1:1' },
    facts: {
      teams: teamsOf(scale),
      workers: { report_s: 2, lease_s: LEASE_MS / 1000, cancel_s: CANCEL_BOUND_MS / 1000 },
      state: { rps: 150, write_rps: 40, value_kb: 4, txn_ops: 12 },
      cloud: { rps: 6, list_lag_s: 3 },
    },
  });
}

/** A few controllers in one process under virtual time, with users, workers, cloud and state service around. */
export class VirtualCluster {
  readonly time = new VirtualTime();
  readonly store = new FakeStateStore(this.time);
  readonly cloud: FakeCloud;
  readonly nodes: ControllerNode[] = [];
  readonly jobs: UserJob[] = [];
  /** Rules that were broken. */
  readonly violations: string[] = [];
  readonly completedTasks = new Set<string>();
  startedTasks = 0;
  /** Tasks that began after their user was told that the job is cancelled, however soon after. */
  startedAfterCancel = 0;
  /** Leases of machines with tasks on them that ran out. */
  expiredLeases = 0;
  /** Of the changes asked of the state service, one in this many gets no answer and is carried out late; 0: none. */
  delayOneWriteIn = 0;
  /** Of the changes asked of the state service, one in this many is made at once and only its answer is lost; 0: none. */
  loseOneResponseIn = 0;
  /** Copies of reports are kept, and brought to every controller as soon as a new one leads. */
  replayHeartbeatsToNextLeader = false;
  /** Users ask at all controllers within milliseconds whenever they have been told something new of a job. */
  queryAllControllers = false;
  /** This zone and the first controller see each other and nobody else; state service and cloud are outside. */
  isolatedZone: string | null = null;
  /** Users ask so many times as often about their jobs. */
  queryRateFactor = 1;
  /** Users cancel, ask and submit again at the very end of a job's last task. */
  raceWithCompletion = false;
  /** When all troubles are over. */
  faultsEndAt = Number.POSITIVE_INFINITY;
  private processCount = 0;
  /** What stopped tasks have saved of their run time. */
  private readonly checkpointedMs = new Map<string, number>();
  /** When each machine has each image. */
  private readonly imageReadyAt = new Map<string, Map<string, number>>();
  private readonly recordedHeartbeats: { worker: FakeWorker; report: object }[] = [];
  private lastSeenLeader = -1;
  private random: prand.RandomGenerator;

  constructor(
    seed: number,
    private readonly scale: VirtualClusterOptions = DEFAULT_OPTIONS,
  ) {
    this.random = prand.xoroshiro128plus(seed);
    const hooks: FleetHooks = {
      taskStarted: (worker, piece) => this.taskStarted(worker, piece),
      taskCompleted: (piece) => this.taskCompleted(piece),
      leaseExpired: () => this.expiredLeases++,
      runMs: (piece) => this.runMs(piece),
      checkpointMs: (piece) => this.checkpointMs(piece),
      taskStopped: (piece, ranMs, saved) => this.taskStopped(piece, ranMs, saved),
      imageFetchMs: (worker, piece) => this.imageFetchMs(worker, piece),
      deliver: (node, worker, report) => this.deliverHeartbeat(node, worker, report),
      controllerIndex: (name) => Number(name.split('-')[1]),
      controllers: scale.controllers,
      heartbeatIntervalMs: 2000,
      leaseMs: LEASE_MS,
    };
    const kinds = scale.machineTypes ?? MACHINE_TYPES;
    this.cloud = new FakeCloud(this.time, hooks, kinds, ['a', 'b'], scale.maxMachines, 3000, 5000);
    for (const { kind, count } of scale.initialMachines ?? [{ kind: 'small', count: 3 }])
      for (let i = 0; i < count; i++) this.cloud.addMachine(kind, i === 0 ? 'a' : 'b', false, 0);
    for (let i = 0; i < scale.controllers; i++) {
      this.nodes.push({
        controller: null,
        up: false,
        storeRefuses: false,
        cutFromWorkers: false,
        isolated: false,
        watchHangs: false,
        pausedUntil: 0,
      });
      this.startController(i);
    }
    const look = (): void => {
      this.checkCancelledJobs();
      this.replayHeartbeats();
      this.time.at(this.time.now + 250, look);
    };
    this.time.at(250, look);
  }

  /** A whole number from 0 to n - 1. */
  randomInt(n: number): number {
    return prand.unsafeUniformIntDistribution(0, n - 1, this.random);
  }

  startController(i: number): void {
    const node = this.nodes[i] as ControllerNode;
    node.up = true;
    const life: { controller: Controller | null } = { controller: null };
    const isUp = (): boolean => node.up && node.controller === life.controller;
    const call = (
      method: string,
      path: string,
      body: unknown,
      timeoutMs: number,
    ): Promise<HttpResponse | null> =>
      node.isolated ||
      (this.isolatedZone !== null && i === 0) ||
      (node.watchHangs && path.startsWith('/watch'))
        ? new Promise((resolve) => this.time.at(this.time.now + timeoutMs, () => resolve(null)))
        : path === '/multi' && this.delayOneWriteIn > 0 && this.randomInt(this.delayOneWriteIn) === 0
          ? this.applyAfterTimeout(timeoutMs, () => this.store.request(method, path, body, () => false))
          : this.overNetwork(
              timeoutMs,
              node,
              isUp,
              () => this.store.request(method, path, body, () => node.storeRefuses || node.isolated),
              path === '/multi' && this.loseOneResponseIn > 0 && this.randomInt(this.loseOneResponseIn) === 0,
            );
    const controller = new Controller(
      parseSettings(settingsOf(i, this.scale)),
      DEFAULT_POLICY,
      this.time.clock(isUp, 1 + (i - 1) * 0.0004, () => node.pausedUntil),
      pino({ level: 'silent' }),
      {
        storeTransport: { call },
        watchTransport: { call },
        processIncarnation: `velodrome-${i}-${++this.processCount}`,
        balancing: this.scale.balancing?.(this.time.clock(isUp)) ?? null,
        cloudTransport: {
          call: (method, path, body, timeoutMs) =>
            this.overNetwork(timeoutMs, node, isUp, () => this.cloud.request(method, path, body)),
        },
        sendToPeer: (member, bytes) => {
          const k = Number(member.split('-')[1]);
          this.time.at(this.time.now + 2, () => {
            const peer = this.nodes[k];
            const cut = this.isolatedZone !== null && (i === 0 || k === 0);
            if (!isUp() || !peer?.up || peer.isolated || node.isolated || cut) return;
            const hear = (): void =>
              peer.controller?.receiveFrame(bytes, (reply) =>
                this.time.at(this.time.now + 2, () =>
                  this.onceResumed(node, () => {
                    if (isUp()) controller.receiveFrame(reply, () => undefined);
                  }),
                ),
              );
            this.onceResumed(peer, hear);
          });
        },
      },
    );
    life.controller = controller;
    node.controller = controller;
    controller.start();
  }

  /** Does it now, or once the process goes on. */
  private onceResumed(node: ControllerNode, action: () => void): void {
    if (this.time.now < node.pausedUntil) this.time.at(node.pausedUntil, action);
    else action();
  }

  crash(i: number, downMs: number): void {
    const node = this.nodes[i] as ControllerNode;
    if (!node.up) return;
    node.up = false;
    node.controller = null;
    this.time.at(this.time.now + downMs, () => this.startController(i));
  }

  /** A request that takes a few milliseconds, now and then comes late, and may outlive its sender. */
  private overNetwork(
    timeoutMs: number,
    node: ControllerNode,
    isUp: () => boolean,
    act: () => Promise<HttpResponse>,
    answerLost = false,
  ): Promise<HttpResponse | null> {
    return new Promise((resolve) => {
      const late = this.randomInt(150) === 0;
      const delay = late ? 2000 + this.randomInt(6000) : 2 + this.randomInt(6);
      const tell = (answer: HttpResponse | null): void =>
        this.onceResumed(node, () => (isUp() ? resolve(answer) : undefined));
      this.time.at(this.time.now + timeoutMs, () => tell(null));
      this.time.at(this.time.now + delay, () => {
        void act().then((answer) => {
          if (!answerLost) this.time.at(this.time.now + 2, () => tell(answer));
        });
      });
    });
  }

  /** A change whose sender gives up on it, and which is made all the same, after newer ones. */
  private applyAfterTimeout(timeoutMs: number, act: () => Promise<HttpResponse>): Promise<null> {
    this.time.at(this.time.now + 2000 + this.randomInt(10_000), () => void act());
    return new Promise((resolve) => this.time.at(this.time.now + timeoutMs, () => resolve(null)));
  }

  private deliverHeartbeat(i: number, worker: FakeWorker, report: object): Promise<HttpResponse | null> {
    return new Promise((resolve) => {
      this.time.at(this.time.now + 4000, () => resolve(null));
      const node = this.nodes[i] as ControllerNode;
      const arrive = (): void =>
        this.onceResumed(node, () =>
          this.receiveHeartbeat(i, worker, report, (answer) => {
            // What reaches us from a machine need not mean that it hears us.
            if (!worker.responsesLost) this.time.at(this.time.now + 2, () => resolve(answer));
          }),
        );
      const cut = this.isolatedZone !== null && (worker.zone === this.isolatedZone) !== (i === 0);
      if (worker.heartbeatsLost || cut) return;
      if (!node.up) this.time.at(this.time.now + 5, () => resolve(null));
      else if (node.cutFromWorkers) this.time.at(this.time.now + 5000 + this.randomInt(15_000), arrive);
      else {
        this.time.at(this.time.now + 2, arrive);
        if (this.replayHeartbeatsToNextLeader) this.recordedHeartbeats.push({ worker, report });
        // Copies of old reports come late, by seconds to well over a lease, and to any controller.
        if (this.randomInt(25) === 0) {
          const copyTo = this.randomInt(this.nodes.length);
          this.time.at(this.time.now + 1000 + this.randomInt(40_000), () =>
            this.receiveHeartbeat(copyTo, worker, report),
          );
        }
      }
    });
  }

  private receiveHeartbeat(
    i: number,
    worker: FakeWorker,
    report: object,
    tell?: (answer: HttpResponse) => void,
  ): void {
    const node = this.nodes[i] as ControllerNode;
    if (!node.up || !node.controller) return;
    const parsed = parseHeartbeat(JSON.parse(JSON.stringify(report)));
    if (!parsed) throw new Error(`${worker.name} sent no report`);
    node.controller.receiveHeartbeat(parsed, (reply) => {
      if (reply.kind === 'answer')
        tell?.({ status: 200, body: heartbeatResponse(reply.token, reply.commands) });
      else if (reply.kind === 'redirect') tell?.({ status: 421, body: redirectResponse(reply.owner) });
      else tell?.({ status: 503, body: {} });
    });
  }

  /** A new leader has begun: copies of reports from before reach every controller at once. */
  private replayHeartbeats(): void {
    const leader = this.nodes.findIndex(
      (n) => n.up && (n.controller?.status() as { leading: boolean }).leading,
    );
    if (leader < 0 || leader === this.lastSeenLeader) return;
    this.lastSeenLeader = leader;
    for (const { worker, report } of this.recordedHeartbeats.splice(0).slice(-MAX_REPLAYED_HEARTBEATS))
      for (let i = 0; i < this.nodes.length; i++) this.receiveHeartbeat(i, worker, report);
  }

  private jobOfTask(piece: string): UserJob | undefined {
    return this.jobs.find((j) => j.ref === piece.split('/')[0]);
  }

  /** The rules, checked at the only moment at which they can be broken: when a task begins. */
  private taskStarted(worker: FakeWorker, piece: string): void {
    this.startedTasks++;
    this.scale.taskListener?.started(piece, this.time.now);
    const job = this.jobOfTask(piece);
    if (!job) return void this.violations.push(`unknown: ${piece}`);
    const others = [...this.cloud.workers.values()].filter((w) => w !== worker);
    if (others.some((w) => w.executes(piece)))
      this.violations.push(`ran_twice: ${piece} at ${this.time.now}`);
    let used = 0;
    const yards = new Set<string>();
    for (const w of this.cloud.workers.values()) {
      for (const other of w.tasks.keys()) {
        const owner = this.jobOfTask(other);
        if (!owner || !w.executes(other)) continue;
        if (owner.team === job.team) used += owner.cpus;
        if (owner === job) yards.add(w.zone);
      }
    }
    const limit = teamsOf(this.scale).find((t) => t.name === job.team)?.cpus_max ?? 0;
    if (used > limit) this.violations.push(`quota: ${job.team} uses ${used} at ${this.time.now}`);
    if (!job.spot && worker.spot) this.violations.push(`wrong_place: ${piece} on a spot machine`);
    if (job.zone !== null && worker.zone !== job.zone)
      this.violations.push(`wrong_place: ${piece} out of its zone`);
    const here = [...this.cloud.workers.values()]
      .filter((w) => w.zone === worker.zone)
      .reduce(
        (n, w) => n + [...w.tasks.keys()].filter((p) => this.jobOfTask(p) === job && w.executes(p)).length,
        0,
      );
    if (job.apart && here > Math.ceil(job.tasks / 2))
      this.violations.push(`wrong_place: ${here} of ${job.ref} in one zone`);
    if (job.together && yards.size > 1) this.violations.push(`wrong_place: ${piece} apart from its job`);
    if (job.cancelledAt !== null) this.startedAfterCancel++;
    this.checkCancelledJobs();
  }

  /** Nothing of a cancelled job may be on a machine for longer, whether it was reached or not. */
  private checkCancelledJobs(): void {
    const late = new Map(
      this.jobs
        .filter((j) => j.cancelledAt !== null && this.time.now > j.cancelledAt + CANCEL_BOUND_MS)
        .map((j) => [j.ref, j]),
    );
    if (late.size === 0) return;
    for (const worker of this.cloud.workers.values()) {
      for (const piece of worker.tasks.keys()) {
        const job = late.get(piece.split('/')[0] ?? '');
        if (!job || job.overrunRecorded || !worker.executes(piece)) continue;
        job.overrunRecorded = true;
        this.violations.push(`ran_cancelled: ${piece} at ${this.time.now}, cancelled at ${job.cancelledAt}`);
      }
    }
  }

  /** Users cancel up to `count` jobs that run. */
  cancelRunningJobs(count: number): void {
    const runs = (job: UserJob): boolean =>
      job.accepted &&
      !job.cancelRequested &&
      [...this.cloud.workers.values()].some((w) =>
        [...w.tasks.keys()].some((p) => this.jobOfTask(p) === job),
      );
    for (const job of this.jobs.filter(runs).slice(0, count)) this.requestCancel(job);
  }

  /** The user of the job with this number cancels it, once it is accepted. */
  cancelJob(n: number): void {
    const job = this.jobs.find((j) => j.ref === `job-${String(n).padStart(6, '0')}`);
    if (job?.accepted && !job.cancelRequested) this.requestCancel(job);
  }

  private runMs(piece: string): number {
    const shape = this.jobOfTask(piece)?.shape;
    if (shape) return Math.max(200, shape.runMs - (this.checkpointedMs.get(piece) ?? 0));
    const odd = (piece.length * 7919 + Number(piece.split('/')[1]) * 104_729) % 9000;
    return (this.scale.extraRunMs ?? 0) + 2000 + odd;
  }

  private checkpointMs(piece: string): number | null {
    const shape = this.jobOfTask(piece)?.shape;
    return shape && shape.checkpointS > 0 ? shape.saveS * 1000 : null;
  }

  private taskStopped(piece: string, ranMs: number, saved: boolean): void {
    if (saved) this.checkpointedMs.set(piece, (this.checkpointedMs.get(piece) ?? 0) + ranMs);
    this.scale.taskListener?.stopped(piece, ranMs, saved);
  }

  /** A shaped job's image is fetched once by each machine; other images take a moment. */
  private imageFetchMs(worker: FakeWorker, piece: string): number {
    const shape = this.jobOfTask(piece)?.shape;
    if (!shape) return 700;
    const images = this.imageReadyAt.get(worker.name) ?? new Map<string, number>();
    this.imageReadyAt.set(worker.name, images);
    const readyAt = images.get(shape.build) ?? this.time.now + shape.imageGb * 1000;
    images.set(shape.build, readyAt);
    return Math.max(100, readyAt - this.time.now);
  }

  /** A user submits a job of this shape, until it is accepted, and asks for it from then on. */
  submitJob(n: number, shape: JobShape): void {
    const job = this.addJob(n, shape.crew, shape.pieces, shape.cpus);
    job.shape = shape;
    job.spot = true;
    this.scale.taskListener?.submitted(job.ref, shape, this.time.now);
    this.submitUntilAccepted(job, {
      ...{ urgency: shape.urgency, build: shape.build, image_gb: shape.imageGb },
      ...{
        expected_s: shape.expectedS,
        snapshot_every_s: shape.checkpointS,
        snapshot_s: shape.saveS,
        due_s: null,
      },
    });
  }

  /** Whether all tasks of a job have completed. */
  isComplete(ref: string): boolean {
    const pieces = this.jobs.find((job) => job.ref === ref)?.tasks ?? 0;
    return Array.from({ length: pieces }, (_, i) => `${ref}/${i}`).every((piece) =>
      this.completedTasks.has(piece),
    );
  }

  /** What a task takes. */
  cpusOfTask(piece: string): number {
    return this.jobOfTask(piece)?.cpus ?? 0;
  }

  private addJob(n: number, team: string, tasks: number, cpus: number): UserJob {
    const job: UserJob = {
      ...{ ref: `job-${String(n).padStart(6, '0')}`, team, tasks, cpus, shape: null },
      ...{ spot: false, together: false, apart: false, zone: null, submission: {} },
      ...{
        accepted: false,
        terminalStatus: null,
        cancelledAt: null,
        overrunRecorded: false,
        cancelRequested: false,
        lastStatus: null,
      },
      lastAnsweredAt: this.time.now,
    };
    this.jobs.push(job);
    return job;
  }

  /** A user submits a job to any node that is up, until one accepts it, then polls; some cancel. */
  submitRandomJob(n: number, tasks?: number): void {
    const team = TEAMS[this.randomInt(TEAMS.length)] as (typeof TEAMS)[number];
    const pieces = tasks ?? 1 + this.randomInt(this.randomInt(8) === 0 ? 30 : 12);
    const job = this.addJob(n, team.name, pieces, 1 + this.randomInt(2));
    job.spot = this.randomInt(4) > 0;
    job.together = this.randomInt(3) === 0;
    if (this.scale.zoneConstraints && !job.together) {
      job.apart = this.randomInt(2) === 0;
      job.zone = job.apart || this.randomInt(2) === 0 ? null : 'a';
    }
    const urgency = this.randomInt(2) ? 'normal' : 'urgent';
    const plain = { expected_s: 6, snapshot_every_s: 0, snapshot_s: 0, due_s: null };
    this.submitUntilAccepted(job, { urgency, build: `img-${this.randomInt(2)}`, image_gb: 1, ...plain });
  }

  private submitUntilAccepted(job: UserJob, rest: object): void {
    const { ref, team, tasks, cpus, spot, together, apart, zone } = job;
    const body = {
      ...{
        ref,
        workload: 'w',
        crew: team,
        shape: 'sweep',
        pieces: tasks,
        cpus,
        accelerators: 0,
        memory_gb: 2,
      },
      ...{ models: null, yard: zone, together, apart, loaners: spot },
      ...rest,
    };
    job.submission = body;
    const attempt = (): void => {
      void this.withTimeout(this.randomController().jobService.submit(body), 5000).then((answer) => {
        if (answer.status === 400 || answer.status === 422)
          this.violations.push(`forgotten: ${ref} got ${answer.status}`);
        if (answer.status !== 200 && answer.status !== 201)
          return void this.time.at(this.time.now + 1000, attempt);
        job.accepted = true;
        this.pollStatus(job);
        if (!job.shape && this.randomInt(6) === 0)
          this.time.at(this.time.now + this.randomInt(15_000), () => this.requestCancel(job));
      });
    };
    attempt();
  }

  private taskCompleted(piece: string): void {
    this.completedTasks.add(piece);
    this.scale.taskListener?.completed(piece, this.time.now);
    const job = this.jobOfTask(piece);
    if (!this.raceWithCompletion || !job || job.terminalStatus !== null) return;
    for (let i = 0; i < job.tasks; i++) if (!this.completedTasks.has(`${job.ref}/${i}`)) return;
    // Nobody has heard of it yet but the machine. Whatever comes first counts, for all of them.
    const soon = (): number => this.time.now + this.randomInt(2500);
    this.time.at(soon(), () => this.requestCancel(job));
    this.time.at(soon(), () => this.queryStatus(job));
    this.time.at(soon(), () => void this.resubmit(job));
  }

  /** The same submission once more: the job's state, and never that it cannot be. */
  private async resubmit(job: UserJob): Promise<void> {
    const answer = await this.withTimeout(this.randomController().jobService.submit(job.submission), 5000);
    if (answer.status === 400 || answer.status === 422 || answer.status === 201)
      this.violations.push(`forgotten: ${job.ref} submitted again got ${answer.status}`);
    if (answer.status === 200) this.statusReceived(job, (answer.body as { status: string }).status);
  }

  /** Users submit again, cancel what is done, ask about what nobody submitted, and send what cannot be taken. */
  sendInvalidRequests(): void {
    const wrong = (body: object, statuses: number[]): void =>
      void this.withTimeout(this.randomController().jobService.submit(body), 5000).then(({ status }) => {
        if (![...statuses, 429, 503].includes(status)) this.violations.push(`odd request got ${status}`);
      });
    for (const job of this.jobs.filter((j) => j.accepted)) {
      void this.resubmit(job);
      if (job.terminalStatus === 'done') this.requestCancel(job);
    }
    const some = this.jobs[0];
    if (!some) return;
    const strange = { ...some.submission, ref: `job-9${this.time.now.toFixed(0)}` };
    wrong({ ...strange, cpus: 5000 }, [422]);
    wrong({ ...strange, models: ['nothing'] }, [422]);
    wrong({ ...strange, crew: 'nobody' }, [422]);
    for (const field of ['pieces', 'memory_gb', 'urgency', 'build', 'expected_s'])
      wrong({ ...strange, [field]: undefined }, [400]);
    void this.withTimeout(this.randomController().jobService.status(strange.ref), 5000).then(({ status }) => {
      if (status === 200) this.violations.push(`invented: ${strange.ref}`);
    });
  }

  private randomController(): Controller {
    const up = this.nodes.filter((n) => n.up && n.controller);
    // With all nodes down the user meets the next one to start.
    const node =
      up.length > 0 ? (up[this.randomInt(up.length)] as ControllerNode) : (this.nodes[0] as ControllerNode);
    return node.controller ?? STOPPED_CONTROLLER;
  }

  /** A controller that ends takes its open questions with it; users wait this long for an answer. */
  private withTimeout(answer: Promise<ApiResponse>, ms: number): Promise<ApiResponse> {
    return new Promise((resolve) => {
      this.time.at(this.time.now + ms, () => resolve(UNAVAILABLE));
      void answer.then(resolve);
    });
  }

  private pollStatus(job: UserJob): void {
    this.queryStatus(job);
    if (this.time.now < 400_000)
      this.time.at(this.time.now + 1500 / this.queryRateFactor, () => this.pollStatus(job));
  }

  private queryStatus(job: UserJob): void {
    this.queryStatusAt(this.randomController(), job);
  }

  private queryStatusAt(controller: Controller, job: UserJob): void {
    void this.withTimeout(controller.jobService.status(job.ref), 2000).then((answer) => {
      if (answer.status === 404) this.violations.push(`forgotten: ${job.ref} at ${this.time.now}`);
      if (answer.status === 200) job.lastAnsweredAt = this.time.now;
      else if (this.time.now - Math.max(job.lastAnsweredAt, this.faultsEndAt) > MAX_UNANSWERED_MS)
        this.violations.push(`forgotten: nothing is said of ${job.ref} at ${this.time.now}`);
      if (answer.status === 200) this.statusReceived(job, (answer.body as { status: string }).status);
    });
  }

  private statusReceived(job: UserJob, status: string): void {
    if (job.terminalStatus !== null && status !== job.terminalStatus) {
      this.violations.push(
        `went_back: ${job.ref} from ${job.terminalStatus} to ${status} at ${this.time.now}`,
      );
    }
    if (status === 'aborted' && !job.cancelRequested)
      this.violations.push(`went_back: ${job.ref} aborted by nobody`);
    if (status === 'done') {
      for (let i = 0; i < job.tasks; i++) {
        if (!this.completedTasks.has(`${job.ref}/${i}`)) this.violations.push(`not_done: ${job.ref}/${i}`);
      }
    }
    const news = job.lastStatus !== status;
    job.lastStatus = status;
    if (this.queryAllControllers && news)
      for (const node of this.nodes) {
        const { controller } = node;
        if (node.up && controller)
          this.time.at(this.time.now + this.randomInt(5), () => this.queryStatusAt(controller, job));
      }
    if (status === 'done' || status === 'aborted') job.terminalStatus = status;
    if (status === 'aborted') job.cancelledAt ??= this.time.now;
  }

  private requestCancel(job: UserJob): void {
    job.cancelRequested = true;
    void this.withTimeout(this.randomController().jobService.cancel(job.ref), 5000).then((answer) => {
      if (answer.status !== 200)
        return void this.time.at(this.time.now + 1000, () => this.requestCancel(job));
      const { status } = answer.body as { status: string };
      this.statusReceived(job, status);
    });
  }

  async runUntil(end: number): Promise<void> {
    await settle();
    await this.time.run(end);
  }
}

const UNAVAILABLE = { status: 503, body: {}, retryAfterS: 1 };
const STOPPED_CONTROLLER = {
  jobService: {
    submit: () => Promise.resolve(UNAVAILABLE),
    status: () => Promise.resolve(UNAVAILABLE),
    cancel: () => Promise.resolve(UNAVAILABLE),
  },
} as unknown as Controller;
