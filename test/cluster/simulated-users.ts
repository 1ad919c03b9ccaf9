import { type Controller } from '../../src/coordination/controller/controller';
import { type ApiResponse } from '../../src/coordination/requests/api-responses';
import { type VirtualTime } from '../standin/clock';
import { type FakeWorker } from '../standin/fake-worker';
import { TEAMS, type JobShape, type TeamSettings, type VirtualClusterOptions } from './cluster-options';
import { type ControllerNode } from './controller-node';
import { type RandomSource } from './random-source';
import { type RuleChecker } from './rule-checker';
import { jobRef, type SubmittedJobs, type UserJob } from './submitted-jobs';

const REQUEST_TIMEOUT_MS = 5000;
const QUERY_TIMEOUT_MS = 2000;
const RETRY_MS = 1000;
const POLL_INTERVAL_MS = 1500;
const POLLING_ENDS_AT = 400_000;
/** With all faults over, a job about which no query is answered for so long counts as forgotten. */
const MAX_UNANSWERED_MS = 75_000;
/** One random job in so many is cancelled by its user. */
const CANCEL_ONE_IN = 6;

/** What the users act on. */
export interface SimulatedUsersDependencies {
  time: VirtualTime;
  random: RandomSource;
  nodes: readonly ControllerNode[];
  workers: ReadonlyMap<string, FakeWorker>;
  jobs: SubmittedJobs;
  rules: RuleChecker;
  options: VirtualClusterOptions;
}

/** Users who submit jobs to any controller that is up, ask about them, cancel some, and check what they are told. */
export class SimulatedUsers {
  /** Users ask at all controllers within milliseconds whenever they have been told something new of a job. */
  queryAllControllers = false;
  /** Users ask so many times as often about their jobs. */
  queryRateFactor = 1;
  /** Users cancel, ask and submit again at the very end of a job's last task. */
  raceWithCompletion = false;
  /** When all faults are over. */
  faultsEndAt = Number.POSITIVE_INFINITY;

  constructor(private readonly dependencies: SimulatedUsersDependencies) {}

  /** A user submits a job of this shape, until it is accepted, and asks about it from then on. */
  submitJob(n: number, shape: JobShape): void {
    const { jobs, time, options } = this.dependencies;
    const job = jobs.add(n, shape.team, shape.tasks, shape.cpus, time.now);
    job.shape = shape;
    job.spot = true;
    options.taskListener?.submitted(job.ref, shape, time.now);
    this.submitUntilAccepted(job, {
      urgency: shape.priority,
      build: shape.image,
      image_gb: shape.imageGb,
      expected_s: shape.expectedS,
      snapshot_every_s: shape.checkpointIntervalS,
      snapshot_s: shape.checkpointDurationS,
      due_s: null,
    });
  }

  /** A user submits a job that is left to chance, until it is accepted, and asks about it; some cancel. */
  submitRandomJob(n: number, taskCount?: number): void {
    const { jobs, time, options } = this.dependencies;
    const team = TEAMS[this.randomInt(TEAMS.length)] as TeamSettings;
    const tasks = taskCount ?? 1 + this.randomInt(this.randomInt(8) === 0 ? 30 : 12);
    const job = jobs.add(n, team.name, tasks, 1 + this.randomInt(2), time.now);
    job.spot = this.randomInt(4) > 0;
    job.singleZone = this.randomInt(3) === 0;
    if (options.zoneConstraints && !job.singleZone) {
      job.spreadZones = this.randomInt(2) === 0;
      job.zone = job.spreadZones || this.randomInt(2) === 0 ? null : 'a';
    }
    const urgency = this.randomInt(2) ? 'normal' : 'urgent';
    this.submitUntilAccepted(job, {
      urgency,
      build: `img-${this.randomInt(2)}`,
      image_gb: 1,
      expected_s: 6,
      snapshot_every_s: 0,
      snapshot_s: 0,
      due_s: null,
    });
  }

  private submitUntilAccepted(job: UserJob, rest: object): void {
    job.submission = {
      ref: job.ref,
      workload: 'w',
      crew: job.team,
      shape: 'sweep',
      pieces: job.tasks,
      cpus: job.cpus,
      accelerators: 0,
      memory_gb: 2,
      models: null,
      yard: job.zone,
      together: job.singleZone,
      apart: job.spreadZones,
      loaners: job.spot,
      ...rest,
    };
    void this.submitOnce(job);
  }

  private async submitOnce(job: UserJob): Promise<void> {
    const { status } = await this.submit(job.submission);
    if (status === 400 || status === 422) this.violated(`forgotten: ${job.ref} got ${status}`);
    if (status !== 200 && status !== 201) return this.later(RETRY_MS, () => void this.submitOnce(job));
    job.accepted = true;
    this.pollStatus(job);
    if (!job.shape && this.randomInt(CANCEL_ONE_IN) === 0)
      this.later(this.randomInt(15_000), () => this.requestCancel(job));
  }

  /** Users cancel up to `count` jobs that run. */
  cancelRunningJobs(count: number): void {
    const { jobs, workers } = this.dependencies;
    const taskIds = [...workers.values()].flatMap((worker) => [...worker.tasks.keys()]);
    const running = new Set(taskIds.map((taskId) => jobs.ofTask(taskId)));
    const cancellable = jobs.list.filter((job) => job.accepted && !job.cancelRequested && running.has(job));
    for (const job of cancellable.slice(0, count)) this.requestCancel(job);
  }

  /** The user of the job with this number cancels it, once it is accepted. */
  cancelJob(n: number): void {
    const job = this.dependencies.jobs.byRef(jobRef(n));
    if (job?.accepted && !job.cancelRequested) this.requestCancel(job);
  }

  private requestCancel(job: UserJob): void {
    job.cancelRequested = true;
    const { jobService } = this.randomController();
    void this.withTimeout(jobService.cancel(job.ref), REQUEST_TIMEOUT_MS).then((response) => {
      if (response.status === 200) this.statusReceived(job, statusIn(response));
      else this.later(RETRY_MS, () => this.requestCancel(job));
    });
  }

  /** A machine has completed a task; nobody knows of it yet but the machine. */
  taskCompleted(taskId: string): void {
    const job = this.dependencies.jobs.ofTask(taskId);
    if (!this.raceWithCompletion || !job || job.terminalStatus !== null) return;
    if (this.dependencies.jobs.incompleteTasks(job).length > 0) return;
    // Whatever comes first counts, for all of them.
    const soonMs = (): number => this.randomInt(2500);
    this.later(soonMs(), () => this.requestCancel(job));
    this.later(soonMs(), () => this.queryStatus(job));
    this.later(soonMs(), () => void this.resubmit(job));
  }

  /** The same submission once more: the answer is the job's state, and never that it cannot be. */
  private async resubmit(job: UserJob): Promise<void> {
    const response = await this.submit(job.submission);
    const { status } = response;
    if (status === 400 || status === 422 || status === 201)
      this.violated(`forgotten: ${job.ref} submitted again got ${status}`);
    if (status === 200) this.statusReceived(job, statusIn(response));
  }

  /** Users submit again, cancel what is done, ask about what nobody submitted, and send what cannot be taken. */
  sendInvalidRequests(): void {
    const { jobs, time } = this.dependencies;
    for (const job of jobs.list.filter(({ accepted }) => accepted)) {
      void this.resubmit(job);
      if (job.terminalStatus === 'done') this.requestCancel(job);
    }
    const [first] = jobs.list;
    if (!first) return;
    const unknown = { ...first.submission, ref: `job-9${time.now.toFixed(0)}` };
    this.expectRefused({ ...unknown, cpus: 5000 }, 422);
    this.expectRefused({ ...unknown, models: ['nothing'] }, 422);
    this.expectRefused({ ...unknown, crew: 'nobody' }, 422);
    for (const field of ['pieces', 'memory_gb', 'urgency', 'build', 'expected_s'])
      this.expectRefused({ ...unknown, [field]: undefined }, 400);
    const { jobService } = this.randomController();
    void this.withTimeout(jobService.status(unknown.ref), REQUEST_TIMEOUT_MS).then(({ status }) => {
      if (status === 200) this.violated(`invented: ${unknown.ref}`);
    });
  }

  private expectRefused(submission: object, expected: number): void {
    void this.submit(submission).then(({ status }) => {
      if (![expected, 429, 503].includes(status)) this.violated(`odd request got ${status}`);
    });
  }

  private submit(submission: object): Promise<ApiResponse> {
    return this.withTimeout(this.randomController().jobService.submit(submission), REQUEST_TIMEOUT_MS);
  }

  private pollStatus(job: UserJob): void {
    this.queryStatus(job);
    if (this.dependencies.time.now < POLLING_ENDS_AT)
      this.later(POLL_INTERVAL_MS / this.queryRateFactor, () => this.pollStatus(job));
  }

  private queryStatus(job: UserJob): void {
    this.queryStatusAt(this.randomController(), job);
  }

  private queryStatusAt({ jobService }: Controller, job: UserJob): void {
    void this.withTimeout(jobService.status(job.ref), QUERY_TIMEOUT_MS).then((response) => {
      const { now } = this.dependencies.time;
      if (response.status === 404) this.violated(`forgotten: ${job.ref} at ${now}`);
      if (response.status === 200) {
        job.lastAnsweredAt = now;
        this.statusReceived(job, statusIn(response));
      } else if (now - Math.max(job.lastAnsweredAt, this.faultsEndAt) > MAX_UNANSWERED_MS) {
        this.violated(`forgotten: nothing is said of ${job.ref} at ${now}`);
      }
    });
  }

  private statusReceived(job: UserJob, status: string): void {
    this.dependencies.rules.statusReceived(job, status);
    const changed = job.lastStatus !== status;
    job.lastStatus = status;
    if (this.queryAllControllers && changed) this.queryEverywhere(job);
    if (status === 'done' || status === 'aborted') job.terminalStatus = status;
    if (status === 'aborted') job.cancelledAt ??= this.dependencies.time.now;
  }

  private queryEverywhere(job: UserJob): void {
    for (const { up, controller } of this.dependencies.nodes)
      if (up && controller) this.later(this.randomInt(5), () => this.queryStatusAt(controller, job));
  }

  /** Any controller that is up; with all of them down the user meets none. */
  private randomController(): Controller {
    const { nodes } = this.dependencies;
    const up = nodes.filter((node) => node.up && node.controller);
    const node = up.length > 0 ? up[this.randomInt(up.length)] : nodes[0];
    return node?.controller ?? STOPPED_CONTROLLER;
  }

  /** A controller that ends takes its open requests with it; users wait this long for an answer. */
  private withTimeout(response: Promise<ApiResponse>, timeoutMs: number): Promise<ApiResponse> {
    return new Promise((resolve) => {
      this.later(timeoutMs, () => resolve(UNAVAILABLE));
      void response.then(resolve);
    });
  }

  private violated(description: string): void {
    this.dependencies.rules.violated(description);
  }

  private randomInt(bound: number): number {
    return this.dependencies.random.int(bound);
  }

  private later(ms: number, action: () => void): void {
    const { time } = this.dependencies;
    time.at(time.now + ms, action);
  }
}

function statusIn({ body }: ApiResponse): string {
  return (body as { status: string }).status;
}

const UNAVAILABLE = { status: 503, body: {}, retryAfterS: 1 };
const STOPPED_CONTROLLER = {
  jobService: {
    submit: () => Promise.resolve(UNAVAILABLE),
    status: () => Promise.resolve(UNAVAILABLE),
    cancel: () => Promise.resolve(UNAVAILABLE),
  },
} as unknown as Controller;
