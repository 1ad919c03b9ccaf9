import pino from 'pino';
import prand from 'pure-rand';
import type { HttpAnswer } from '../../src/transport/http-client';
import { reportAnswer, redirectAnswer, parseReport } from '../../src/protocol/workers';
import { DEFAULT_POLICY } from '../../src/protocol/policy';
import { parseSettings } from '../../src/protocol/settings';
import { type Clock } from '../../src/transport/clock';
import { type Balancing } from '../../src/coordination/balancing';
import { Controller } from '../../src/coordination/controller';
import { type UserAnswer } from '../../src/coordination/runs';
import { VirtualTime, settle } from './clock';
import { StandinCloud, type FleetHooks, type Worker } from './fleet';
import { StandinStore } from './store';

interface Node {
  controller: Controller | null;
  up: boolean;
  storeRefused: boolean;
  /** Cut from the workers: their reports are held and come late. */
  cut: boolean;
  /** Cut from the state service and the other controllers, but not from the workers. */
  apart: boolean;
  /** Its watches get no answer, while all else works. */
  watchStuck: boolean;
  /** Until when the process stands still while its clocks run on: what comes meanwhile is dealt with after. */
  stillUntil: number;
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
export interface TaskWatcher {
  submitted(ref: string, shape: JobShape, at: number): void;
  began(piece: string, at: number): void;
  completed(piece: string, at: number): void;
  stopped(piece: string, ranMs: number, saved: boolean): void;
}

interface UserJob {
  shape: JobShape | null;
  ref: string;
  crew: string;
  pieces: number;
  cpus: number;
  loaners: boolean;
  together: boolean;
  apart: boolean;
  yard: string | null;
  body: object;
  accepted: boolean;
  final: string | null;
  cancelledAt: number | null;
  /** Its tasks were found running on; once is enough. */
  reported: boolean;
  asked: boolean;
  /** What its user was last told. */
  told: string | null;
  /** When a question about it was last answered. */
  answeredAt: number;
}

/** How large a world is. */
export interface Scale {
  nodes: number;
  /** Machines that the cloud has. */
  capacity: number;
  /** By how much the teams' limits are multiplied. */
  teams: number;
  /** Tasks run so much longer than the few seconds that they take otherwise. */
  longerMs?: number;
  /** Some jobs are bound to a zone, or must be apart. */
  bound?: boolean;
  kinds?: typeof KINDS;
  /** Machines that are up from the start. */
  first?: { kind: string; count: number }[];
  watcher?: TaskWatcher;
  /** Load is balanced by this. */
  balancing?: (clock: Clock) => Balancing;
}

const SMALL: Scale = { nodes: 3, capacity: 10, teams: 1 };
const LEASE_MS = 12_000;
const CANCEL_MS = 37_000;
/** So many of the copies kept for the next leader are brought. */
const KEPT_COPIES = 60;
/** Troubles over, a job of which nothing is said for so long is forgotten. */
const FORGOTTEN_MS = 75_000;
const TEAMS = [
  { name: 'north', cpus: 8, cpus_max: 16 },
  { name: 'south', cpus: 8, cpus_max: 12 },
  { name: 'west', cpus: 4, cpus_max: 8 },
];
const KINDS = [
  { label: 'small', cpus: 4, memory: 16 },
  { label: 'large', cpus: 12, memory: 48 },
];

function teamsOf({ teams }: Scale): typeof TEAMS {
  return TEAMS.map((t) => ({ ...t, cpus: t.cpus * teams, cpus_max: t.cpus_max * teams }));
}

function settingsOf(i: number, scale: Scale): string {
  const peers = Array.from({ length: scale.nodes }, (_, k) => k).filter((k) => k !== i);
  return JSON.stringify({
    member: `velodrome-${i}`,
    site: 'a',
    serve_on: `10.0.0.${i + 1}:8080`,
    cluster_listen: `10.0.0.${i + 1}:8081`,
    peers: peers.map((k) => ({ member: `velodrome-${k}`, addr: `10.0.0.${k + 1}:8081` })),
    external: { cloud: '10.2.0.2:1', state: '10.2.0.1:1' },
    facts: {
      teams: teamsOf(scale),
      workers: { report_s: 2, lease_s: LEASE_MS / 1000, cancel_s: CANCEL_MS / 1000 },
      state: { rps: 150, write_rps: 40, value_kb: 4, txn_ops: 12 },
      cloud: { rps: 6, list_lag_s: 3 },
    },
  });
}

/** A few controllers in one process under virtual time, with users, workers, cloud and state service around. */
export class World {
  readonly time = new VirtualTime();
  readonly store = new StandinStore(this.time);
  readonly cloud: StandinCloud;
  readonly nodes: Node[] = [];
  readonly jobs: UserJob[] = [];
  /** Rules that were broken. */
  readonly broken: string[] = [];
  readonly completed = new Set<string>();
  started = 0;
  /** Tasks that began after their user was told that the job is cancelled, however soon after. */
  startedCancelled = 0;
  /** Leases of machines with tasks on them that ran out. */
  leasesLost = 0;
  /** Of the changes asked of the state service, one in this many gets no answer and is carried out late; 0: none. */
  lateWrites = 0;
  /** Of the changes asked of the state service, one in this many is made at once and only its answer is lost; 0: none. */
  lostAnswers = 0;
  /** Copies of reports are kept, and brought to every controller as soon as a new one leads. */
  copiesForNextLeader = false;
  /** Users ask at all controllers within milliseconds whenever they have been told something new of a job. */
  asksEverywhere = false;
  /** This zone and the first controller see each other and nobody else; state service and cloud are outside. */
  cutZone: string | null = null;
  /** Users ask so many times as often about their jobs. */
  askFactor = 1;
  /** Users cancel, ask and submit again at the very end of a job's last task. */
  meetEnds = false;
  /** When all troubles are over. */
  calmFrom = Number.POSITIVE_INFINITY;
  private lives = 0;
  /** What stopped tasks have saved of their run time. */
  private readonly savedMs = new Map<string, number>();
  /** When each machine has each image. */
  private readonly images = new Map<string, Map<string, number>>();
  private readonly keptCopies: { worker: Worker; report: object }[] = [];
  private leaderNow = -1;
  private random: prand.RandomGenerator;

  constructor(
    seed: number,
    private readonly scale: Scale = SMALL,
  ) {
    this.random = prand.xoroshiro128plus(seed);
    const hooks: FleetHooks = {
      began: (worker, piece) => this.began(worker, piece),
      completed: (piece) => this.hasCompleted(piece),
      expired: () => this.leasesLost++,
      runMs: (piece) => this.runMs(piece),
      saveMs: (piece) => this.saveMs(piece),
      stopped: (piece, ranMs, saved) => this.stopped(piece, ranMs, saved),
      fetchMs: (worker, piece) => this.fetchMs(worker, piece),
      deliver: (node, worker, report) => this.deliver(node, worker, report),
      nodeIndex: (name) => Number(name.split('-')[1]),
      nodes: scale.nodes,
      reportMs: 2000,
      leaseMs: LEASE_MS,
    };
    const kinds = scale.kinds ?? KINDS;
    this.cloud = new StandinCloud(this.time, hooks, kinds, ['a', 'b'], scale.capacity, 3000, 5000);
    for (const { kind, count } of scale.first ?? [{ kind: 'small', count: 3 }])
      for (let i = 0; i < count; i++) this.cloud.open(kind, i === 0 ? 'a' : 'b', false, 0);
    for (let i = 0; i < scale.nodes; i++) {
      this.nodes.push({
        controller: null,
        up: false,
        storeRefused: false,
        cut: false,
        apart: false,
        watchStuck: false,
        stillUntil: 0,
      });
      this.boot(i);
    }
    const look = (): void => {
      this.checkCancelled();
      this.bringCopies();
      this.time.at(this.time.now + 250, look);
    };
    this.time.at(250, look);
  }

  /** A whole number from 0 to n - 1. */
  pick(n: number): number {
    return prand.unsafeUniformIntDistribution(0, n - 1, this.random);
  }

  boot(i: number): void {
    const node = this.nodes[i] as Node;
    node.up = true;
    const life: { controller: Controller | null } = { controller: null };
    const isUp = (): boolean => node.up && node.controller === life.controller;
    const call = (
      method: string,
      path: string,
      body: unknown,
      timeoutMs: number,
    ): Promise<HttpAnswer | null> =>
      node.apart || (this.cutZone !== null && i === 0) || (node.watchStuck && path.startsWith('/watch'))
        ? new Promise((resolve) => this.time.at(this.time.now + timeoutMs, () => resolve(null)))
        : path === '/multi' && this.lateWrites > 0 && this.pick(this.lateWrites) === 0
          ? this.carriedOutLate(timeoutMs, () => this.store.request(method, path, body, () => false))
          : this.overNetwork(
              timeoutMs,
              node,
              isUp,
              () => this.store.request(method, path, body, () => node.storeRefused || node.apart),
              path === '/multi' && this.lostAnswers > 0 && this.pick(this.lostAnswers) === 0,
            );
    const controller = new Controller(
      parseSettings(settingsOf(i, this.scale)),
      DEFAULT_POLICY,
      this.time.clock(isUp, 1 + (i - 1) * 0.0004, () => node.stillUntil),
      pino({ level: 'silent' }),
      {
        store: { call },
        watch: { call },
        life: `velodrome-${i}-${++this.lives}`,
        balancing: this.scale.balancing?.(this.time.clock(isUp)) ?? null,
        cloud: {
          call: (method, path, body, timeoutMs) =>
            this.overNetwork(timeoutMs, node, isUp, () => this.cloud.request(method, path, body)),
        },
        toPeer: (member, bytes) => {
          const k = Number(member.split('-')[1]);
          this.time.at(this.time.now + 2, () => {
            const peer = this.nodes[k];
            const cut = this.cutZone !== null && (i === 0 || k === 0);
            if (!isUp() || !peer?.up || peer.apart || node.apart || cut) return;
            const hear = (): void =>
              peer.controller?.fromPeer(bytes, (reply) =>
                this.time.at(this.time.now + 2, () =>
                  this.awake(node, () => {
                    if (isUp()) controller.fromPeer(reply, () => undefined);
                  }),
                ),
              );
            this.awake(peer, hear);
          });
        },
      },
    );
    life.controller = controller;
    node.controller = controller;
    controller.start();
  }

  /** Does it now, or once the process goes on. */
  private awake(node: Node, action: () => void): void {
    if (this.time.now < node.stillUntil) this.time.at(node.stillUntil, action);
    else action();
  }

  crash(i: number, downMs: number): void {
    const node = this.nodes[i] as Node;
    if (!node.up) return;
    node.up = false;
    node.controller = null;
    this.time.at(this.time.now + downMs, () => this.boot(i));
  }

  /** A request that takes a few milliseconds, now and then comes late, and may outlive its sender. */
  private overNetwork(
    timeoutMs: number,
    node: Node,
    isUp: () => boolean,
    act: () => Promise<HttpAnswer>,
    answerLost = false,
  ): Promise<HttpAnswer | null> {
    return new Promise((resolve) => {
      const late = this.pick(150) === 0;
      const delay = late ? 2000 + this.pick(6000) : 2 + this.pick(6);
      const tell = (answer: HttpAnswer | null): void =>
        this.awake(node, () => (isUp() ? resolve(answer) : undefined));
      this.time.at(this.time.now + timeoutMs, () => tell(null));
      this.time.at(this.time.now + delay, () => {
        void act().then((answer) => {
          if (!answerLost) this.time.at(this.time.now + 2, () => tell(answer));
        });
      });
    });
  }

  /** A change whose sender gives up on it, and which is made all the same, after newer ones. */
  private carriedOutLate(timeoutMs: number, act: () => Promise<HttpAnswer>): Promise<null> {
    this.time.at(this.time.now + 2000 + this.pick(10_000), () => void act());
    return new Promise((resolve) => this.time.at(this.time.now + timeoutMs, () => resolve(null)));
  }

  private deliver(i: number, worker: Worker, report: object): Promise<HttpAnswer | null> {
    return new Promise((resolve) => {
      this.time.at(this.time.now + 4000, () => resolve(null));
      const node = this.nodes[i] as Node;
      const arrive = (): void =>
        this.awake(node, () =>
          this.hear(i, worker, report, (answer) => {
            // What reaches us from a machine need not mean that it hears us.
            if (!worker.deaf) this.time.at(this.time.now + 2, () => resolve(answer));
          }),
        );
      const cut = this.cutZone !== null && (worker.yard === this.cutZone) !== (i === 0);
      if (worker.mute || cut) return;
      if (!node.up) this.time.at(this.time.now + 5, () => resolve(null));
      else if (node.cut) this.time.at(this.time.now + 5000 + this.pick(15_000), arrive);
      else {
        this.time.at(this.time.now + 2, arrive);
        if (this.copiesForNextLeader) this.keptCopies.push({ worker, report });
        // Copies of old reports come late, by seconds to well over a lease, and to any controller.
        if (this.pick(25) === 0) {
          const copyTo = this.pick(this.nodes.length);
          this.time.at(this.time.now + 1000 + this.pick(40_000), () => this.hear(copyTo, worker, report));
        }
      }
    });
  }

  private hear(i: number, worker: Worker, report: object, tell?: (answer: HttpAnswer) => void): void {
    const node = this.nodes[i] as Node;
    if (!node.up || !node.controller) return;
    const parsed = parseReport(JSON.parse(JSON.stringify(report)));
    if (!parsed) throw new Error(`${worker.name} sent no report`);
    node.controller.report(parsed, (reply) => {
      if (reply.kind === 'answer') tell?.({ status: 200, body: reportAnswer(reply.token, reply.commands) });
      else if (reply.kind === 'redirect') tell?.({ status: 421, body: redirectAnswer(reply.owner) });
      else tell?.({ status: 503, body: {} });
    });
  }

  /** A new leader has begun: copies of reports from before reach every controller at once. */
  private bringCopies(): void {
    const leader = this.nodes.findIndex(
      (n) => n.up && (n.controller?.status() as { leading: boolean }).leading,
    );
    if (leader < 0 || leader === this.leaderNow) return;
    this.leaderNow = leader;
    for (const { worker, report } of this.keptCopies.splice(0).slice(-KEPT_COPIES))
      for (let i = 0; i < this.nodes.length; i++) this.hear(i, worker, report);
  }

  private spec(piece: string): UserJob | undefined {
    return this.jobs.find((j) => j.ref === piece.split('/')[0]);
  }

  /** The rules, checked at the only moment at which they can be broken: when a task begins. */
  private began(worker: Worker, piece: string): void {
    this.started++;
    this.scale.watcher?.began(piece, this.time.now);
    const job = this.spec(piece);
    if (!job) return void this.broken.push(`unknown: ${piece}`);
    const others = [...this.cloud.workers.values()].filter((w) => w !== worker);
    if (others.some((w) => w.onIt(piece))) this.broken.push(`ran_twice: ${piece} at ${this.time.now}`);
    let used = 0;
    const yards = new Set<string>();
    for (const w of this.cloud.workers.values()) {
      for (const other of w.pieces.keys()) {
        const owner = this.spec(other);
        if (!owner || !w.onIt(other)) continue;
        if (owner.crew === job.crew) used += owner.cpus;
        if (owner === job) yards.add(w.yard);
      }
    }
    const limit = teamsOf(this.scale).find((t) => t.name === job.crew)?.cpus_max ?? 0;
    if (used > limit) this.broken.push(`quota: ${job.crew} uses ${used} at ${this.time.now}`);
    if (!job.loaners && worker.loaners) this.broken.push(`wrong_place: ${piece} on a spot machine`);
    if (job.yard !== null && worker.yard !== job.yard)
      this.broken.push(`wrong_place: ${piece} out of its zone`);
    const here = [...this.cloud.workers.values()]
      .filter((w) => w.yard === worker.yard)
      .reduce((n, w) => n + [...w.pieces.keys()].filter((p) => this.spec(p) === job && w.onIt(p)).length, 0);
    if (job.apart && here > Math.ceil(job.pieces / 2))
      this.broken.push(`wrong_place: ${here} of ${job.ref} in one zone`);
    if (job.together && yards.size > 1) this.broken.push(`wrong_place: ${piece} apart from its job`);
    if (job.cancelledAt !== null) this.startedCancelled++;
    this.checkCancelled();
  }

  /** Nothing of a cancelled job may be on a machine for longer, whether it was reached or not. */
  private checkCancelled(): void {
    const late = new Map(
      this.jobs
        .filter((j) => j.cancelledAt !== null && this.time.now > j.cancelledAt + CANCEL_MS)
        .map((j) => [j.ref, j]),
    );
    if (late.size === 0) return;
    for (const worker of this.cloud.workers.values()) {
      for (const piece of worker.pieces.keys()) {
        const job = late.get(piece.split('/')[0] ?? '');
        if (!job || job.reported || !worker.onIt(piece)) continue;
        job.reported = true;
        this.broken.push(`ran_cancelled: ${piece} at ${this.time.now}, cancelled at ${job.cancelledAt}`);
      }
    }
  }

  /** Users cancel up to `count` jobs that run. */
  cancelSome(count: number): void {
    const runs = (job: UserJob): boolean =>
      job.accepted &&
      !job.asked &&
      [...this.cloud.workers.values()].some((w) => [...w.pieces.keys()].some((p) => this.spec(p) === job));
    for (const job of this.jobs.filter(runs).slice(0, count)) this.cancel(job);
  }

  /** The user of the job with this number cancels it, once it is accepted. */
  cancelJob(n: number): void {
    const job = this.jobs.find((j) => j.ref === `job-${String(n).padStart(6, '0')}`);
    if (job?.accepted && !job.asked) this.cancel(job);
  }

  private runMs(piece: string): number {
    const shape = this.spec(piece)?.shape;
    if (shape) return Math.max(200, shape.runMs - (this.savedMs.get(piece) ?? 0));
    const odd = (piece.length * 7919 + Number(piece.split('/')[1]) * 104_729) % 9000;
    return (this.scale.longerMs ?? 0) + 2000 + odd;
  }

  private saveMs(piece: string): number | null {
    const shape = this.spec(piece)?.shape;
    return shape && shape.checkpointS > 0 ? shape.saveS * 1000 : null;
  }

  private stopped(piece: string, ranMs: number, saved: boolean): void {
    if (saved) this.savedMs.set(piece, (this.savedMs.get(piece) ?? 0) + ranMs);
    this.scale.watcher?.stopped(piece, ranMs, saved);
  }

  /** A shaped job's image is fetched once by each machine; other images take a moment. */
  private fetchMs(worker: Worker, piece: string): number {
    const shape = this.spec(piece)?.shape;
    if (!shape) return 700;
    const images = this.images.get(worker.name) ?? new Map<string, number>();
    this.images.set(worker.name, images);
    const readyAt = images.get(shape.build) ?? this.time.now + shape.imageGb * 1000;
    images.set(shape.build, readyAt);
    return Math.max(100, readyAt - this.time.now);
  }

  /** A user submits a job of this shape, until it is accepted, and asks for it from then on. */
  submitShaped(n: number, shape: JobShape): void {
    const job = this.newJob(n, shape.crew, shape.pieces, shape.cpus);
    job.shape = shape;
    job.loaners = true;
    this.scale.watcher?.submitted(job.ref, shape, this.time.now);
    this.bring(job, {
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
    const pieces = this.jobs.find((job) => job.ref === ref)?.pieces ?? 0;
    return Array.from({ length: pieces }, (_, i) => `${ref}/${i}`).every((piece) =>
      this.completed.has(piece),
    );
  }

  /** What a task takes. */
  cpusOf(piece: string): number {
    return this.spec(piece)?.cpus ?? 0;
  }

  private newJob(n: number, crew: string, pieces: number, cpus: number): UserJob {
    const job: UserJob = {
      ...{ ref: `job-${String(n).padStart(6, '0')}`, crew, pieces, cpus, shape: null },
      ...{ loaners: false, together: false, apart: false, yard: null, body: {} },
      ...{ accepted: false, final: null, cancelledAt: null, reported: false, asked: false, told: null },
      answeredAt: this.time.now,
    };
    this.jobs.push(job);
    return job;
  }

  /** A user submits a job to any node that is up, until one accepts it, then polls; some cancel. */
  submit(n: number, tasks?: number): void {
    const team = TEAMS[this.pick(TEAMS.length)] as (typeof TEAMS)[number];
    const pieces = tasks ?? 1 + this.pick(this.pick(8) === 0 ? 30 : 12);
    const job = this.newJob(n, team.name, pieces, 1 + this.pick(2));
    job.loaners = this.pick(4) > 0;
    job.together = this.pick(3) === 0;
    if (this.scale.bound && !job.together) {
      job.apart = this.pick(2) === 0;
      job.yard = job.apart || this.pick(2) === 0 ? null : 'a';
    }
    const urgency = this.pick(2) ? 'normal' : 'urgent';
    const plain = { expected_s: 6, snapshot_every_s: 0, snapshot_s: 0, due_s: null };
    this.bring(job, { urgency, build: `img-${this.pick(2)}`, image_gb: 1, ...plain });
  }

  private bring(job: UserJob, rest: object): void {
    const { ref, crew, pieces, cpus, loaners, together, apart, yard } = job;
    const body = {
      ...{ ref, workload: 'w', crew, shape: 'sweep', pieces, cpus, accelerators: 0, memory_gb: 2 },
      ...{ models: null, yard, together, apart, loaners },
      ...rest,
    };
    job.body = body;
    const attempt = (): void => {
      void this.inTime(this.controller().runs.submit(body), 5000).then((answer) => {
        if (answer.status === 400 || answer.status === 422)
          this.broken.push(`forgotten: ${ref} got ${answer.status}`);
        if (answer.status !== 200 && answer.status !== 201)
          return void this.time.at(this.time.now + 1000, attempt);
        job.accepted = true;
        this.poll(job);
        if (!job.shape && this.pick(6) === 0)
          this.time.at(this.time.now + this.pick(15_000), () => this.cancel(job));
      });
    };
    attempt();
  }

  private hasCompleted(piece: string): void {
    this.completed.add(piece);
    this.scale.watcher?.completed(piece, this.time.now);
    const job = this.spec(piece);
    if (!this.meetEnds || !job || job.final !== null) return;
    for (let i = 0; i < job.pieces; i++) if (!this.completed.has(`${job.ref}/${i}`)) return;
    // Nobody has heard of it yet but the machine. Whatever comes first counts, for all of them.
    const soon = (): number => this.time.now + this.pick(2500);
    this.time.at(soon(), () => this.cancel(job));
    this.time.at(soon(), () => this.ask(job));
    this.time.at(soon(), () => void this.again(job));
  }

  /** The same submission once more: the job's state, and never that it cannot be. */
  private async again(job: UserJob): Promise<void> {
    const answer = await this.inTime(this.controller().runs.submit(job.body), 5000);
    if (answer.status === 400 || answer.status === 422 || answer.status === 201)
      this.broken.push(`forgotten: ${job.ref} submitted again got ${answer.status}`);
    if (answer.status === 200) this.told(job, (answer.body as { status: string }).status);
  }

  /** Users submit again, cancel what is done, ask about what nobody submitted, and send what cannot be taken. */
  oddRequests(): void {
    const wrong = (body: object, statuses: number[]): void =>
      void this.inTime(this.controller().runs.submit(body), 5000).then(({ status }) => {
        if (![...statuses, 429, 503].includes(status)) this.broken.push(`odd request got ${status}`);
      });
    for (const job of this.jobs.filter((j) => j.accepted)) {
      void this.again(job);
      if (job.final === 'done') this.cancel(job);
    }
    const some = this.jobs[0];
    if (!some) return;
    const strange = { ...some.body, ref: `job-9${this.time.now.toFixed(0)}` };
    wrong({ ...strange, cpus: 5000 }, [422]);
    wrong({ ...strange, models: ['nothing'] }, [422]);
    wrong({ ...strange, crew: 'nobody' }, [422]);
    for (const field of ['pieces', 'memory_gb', 'urgency', 'build', 'expected_s'])
      wrong({ ...strange, [field]: undefined }, [400]);
    void this.inTime(this.controller().runs.status(strange.ref), 5000).then(({ status }) => {
      if (status === 200) this.broken.push(`invented: ${strange.ref}`);
    });
  }

  private controller(): Controller {
    const up = this.nodes.filter((n) => n.up && n.controller);
    // With all nodes down the user meets the next one to start.
    const node = up.length > 0 ? (up[this.pick(up.length)] as Node) : (this.nodes[0] as Node);
    return node.controller ?? deadController;
  }

  /** A controller that ends takes its open questions with it; users wait this long for an answer. */
  private inTime(answer: Promise<UserAnswer>, ms: number): Promise<UserAnswer> {
    return new Promise((resolve) => {
      this.time.at(this.time.now + ms, () => resolve(refused));
      void answer.then(resolve);
    });
  }

  private poll(job: UserJob): void {
    this.ask(job);
    if (this.time.now < 400_000) this.time.at(this.time.now + 1500 / this.askFactor, () => this.poll(job));
  }

  private ask(job: UserJob): void {
    this.askAt(this.controller(), job);
  }

  private askAt(controller: Controller, job: UserJob): void {
    void this.inTime(controller.runs.status(job.ref), 2000).then((answer) => {
      if (answer.status === 404) this.broken.push(`forgotten: ${job.ref} at ${this.time.now}`);
      if (answer.status === 200) job.answeredAt = this.time.now;
      else if (this.time.now - Math.max(job.answeredAt, this.calmFrom) > FORGOTTEN_MS)
        this.broken.push(`forgotten: nothing is said of ${job.ref} at ${this.time.now}`);
      if (answer.status === 200) this.told(job, (answer.body as { status: string }).status);
    });
  }

  private told(job: UserJob, status: string): void {
    if (job.final !== null && status !== job.final) {
      this.broken.push(`went_back: ${job.ref} from ${job.final} to ${status} at ${this.time.now}`);
    }
    if (status === 'aborted' && !job.asked) this.broken.push(`went_back: ${job.ref} aborted by nobody`);
    if (status === 'done') {
      for (let i = 0; i < job.pieces; i++) {
        if (!this.completed.has(`${job.ref}/${i}`)) this.broken.push(`not_done: ${job.ref}/${i}`);
      }
    }
    const news = job.told !== status;
    job.told = status;
    if (this.asksEverywhere && news)
      for (const node of this.nodes) {
        const { controller } = node;
        if (node.up && controller)
          this.time.at(this.time.now + this.pick(5), () => this.askAt(controller, job));
      }
    if (status === 'done' || status === 'aborted') job.final = status;
    if (status === 'aborted') job.cancelledAt ??= this.time.now;
  }

  private cancel(job: UserJob): void {
    job.asked = true;
    void this.inTime(this.controller().runs.cancel(job.ref), 5000).then((answer) => {
      if (answer.status !== 200) return void this.time.at(this.time.now + 1000, () => this.cancel(job));
      const { status } = answer.body as { status: string };
      this.told(job, status);
    });
  }

  async run(end: number): Promise<void> {
    await settle();
    await this.time.run(end);
  }
}

const refused = { status: 503, body: {}, retryAfter: 1 };
const deadController = {
  runs: {
    submit: () => Promise.resolve(refused),
    status: () => Promise.resolve(refused),
    cancel: () => Promise.resolve(refused),
  },
} as unknown as Controller;
