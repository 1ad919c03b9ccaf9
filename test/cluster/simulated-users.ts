import { type Controller } from '../../src/coordination/controller/controller';
import { type ApiResponse } from '../../src/coordination/requests/api-responses';
import { type VirtualTime } from '../standin/clock';
import { type FakeWorker } from '../standin/fake-worker';
import { TEAMS, type JobParameters, type TeamSettings, type VirtualClusterOptions } from './cluster-options';
import { type ControllerNode } from './controller-node';
import { type RandomSource } from './random-source';
import { type RuleChecker } from './rule-checker';
import { jobRef, type SubmittedJobs, type UserJob } from './submitted-jobs';

const REQUEST_TIMEOUT_MS = 5000;
const QUERY_TIMEOUT_MS = 2000;
const RETRY_MS = 1000;
const POLL_INTERVAL_MS = 1500;
const POLLING_ENDS_AT = 400_000;
/** Once all faults are over, a job whose status queries get no 200 response for this long counts as forgotten. */
const MAX_UNANSWERED_MS = 75_000;
/** One random job in this many is cancelled by its user. */
const CANCEL_ONE_IN = 6;

/** The parts of the simulation that the users interact with. */
export interface SimulatedUsersDependencies {
  time: VirtualTime;
  random: RandomSource;
  nodes: readonly ControllerNode[];
  workers: ReadonlyMap<string, FakeWorker>;
  jobs: SubmittedJobs;
  rules: RuleChecker;
  options: VirtualClusterOptions;
}

/** Users who submit jobs to any controller that is up, poll their status, cancel some, and check the responses. */
export class SimulatedUsers {
  /** Whether users query all controllers within milliseconds whenever they receive a new status of a job. */
  queryAllControllers = false;
  /** The factor by which the rate at which users poll the status of their jobs is multiplied. */
  queryRateFactor = 1;
  /** Whether users cancel, query and resubmit a job within 2.5 s of the completion of its last task. */
  raceWithCompletion = false;
  /** The virtual time at which all faults are over. */
  faultsEndAt = Number.POSITIVE_INFINITY;

  constructor(private readonly dependencies: SimulatedUsersDependencies) {}

  /** Submits a job with these parameters until it is accepted, and polls its status from then on. */
  submitJob(n: number, parameters: JobParameters): void {
    const { jobs, time, options } = this.dependencies;
    const job = jobs.add(n, parameters.team, parameters.tasks, parameters.cpus, time.now);
    job.parameters = parameters;
    job.spot = true;
    job.zone = parameters.zone ?? null;
    job.machineTypes = parameters.machineTypes ?? null;
    options.taskListener?.submitted(job.ref, parameters, time.now);
    this.submitUntilAccepted(job, {
      urgency: parameters.priority,
      build: parameters.image,
      image_gb: parameters.imageGb,
      expected_s: parameters.expectedS,
      snapshot_every_s: parameters.checkpointIntervalS,
      snapshot_s: parameters.checkpointDurationS,
      due_s: null,
    });
  }

  /** Submits a random job until it is accepted, and polls its status; some of these jobs are cancelled. */
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
    if (options.typeConstraints && this.randomInt(3) === 0)
      job.machineTypes = [this.randomInt(2) === 0 ? 'small' : 'large'];
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

  private submitUntilAccepted(job: UserJob, otherFields: object): void {
    job.submission = {
      ref: job.ref,
      workload: 'w',
      crew: job.team,
      shape: 'sweep',
      pieces: job.tasks,
      cpus: job.cpus,
      accelerators: 0,
      memory_gb: job.memoryGb,
      models: job.machineTypes,
      yard: job.zone,
      together: job.singleZone,
      apart: job.spreadZones,
      loaners: job.spot,
      ...otherFields,
    };
    void this.submitOnce(job);
  }

  private async submitOnce(job: UserJob): Promise<void> {
    const { status } = await this.submit(job.submission);
    if (status === 400 || status === 422) this.recordViolation(`forgotten: ${job.ref} got ${status}`);
    if (status !== 200 && status !== 201) return this.schedule(RETRY_MS, () => void this.submitOnce(job));
    job.accepted = true;
    this.pollStatus(job);
    if (!job.parameters && this.randomInt(CANCEL_ONE_IN) === 0)
      this.schedule(this.randomInt(15_000), () => this.requestCancel(job));
  }

  /** Cancels up to `count` accepted jobs that have tasks on machines and are not cancelled yet. */
  cancelRunningJobs(count: number): void {
    const { jobs, workers } = this.dependencies;
    const taskIds = [...workers.values()].flatMap((worker) => [...worker.tasks.keys()]);
    const running = new Set(taskIds.map((taskId) => jobs.ofTask(taskId)));
    const cancellable = jobs.list.filter((job) => job.accepted && !job.cancelRequested && running.has(job));
    for (const job of cancellable.slice(0, count)) this.requestCancel(job);
  }

  /** Cancels the job with this number if it is accepted and not cancelled yet. */
  cancelJob(n: number): void {
    const job = this.dependencies.jobs.byRef(jobRef(n));
    if (job?.accepted && !job.cancelRequested) this.requestCancel(job);
  }

  private requestCancel(job: UserJob): void {
    job.cancelRequested = true;
    const { jobService } = this.randomController();
    void this.withTimeout(jobService.cancel(job.ref), REQUEST_TIMEOUT_MS).then((response) => {
      if (response.status === 200) this.statusReceived(job, statusIn(response));
      else this.schedule(RETRY_MS, () => this.requestCancel(job));
    });
  }

  /** Handles the completion of a task on its machine, which no controller knows of yet. */
  taskCompleted(taskId: string): void {
    const job = this.dependencies.jobs.ofTask(taskId);
    if (!this.raceWithCompletion || !job || job.terminalStatus !== null) return;
    if (this.dependencies.jobs.incompleteTasks(job).length > 0) return;
    // The first of these to take effect decides the status that all of them must return.
    const soonMs = (): number => this.randomInt(2500);
    this.schedule(soonMs(), () => this.requestCancel(job));
    this.schedule(soonMs(), () => this.queryStatus(job));
    this.schedule(soonMs(), () => void this.resubmit(job));
  }

  /** Submits the same job again. The response must be the job's status, never a rejection or a second acceptance. */
  private async resubmit(job: UserJob): Promise<void> {
    const response = await this.submit(job.submission);
    const { status } = response;
    if (status === 400 || status === 422 || status === 201)
      this.recordViolation(`forgotten: ${job.ref} got ${status} on resubmission`);
    if (status === 200) this.statusReceived(job, statusIn(response));
  }

  /** Resubmits accepted jobs, cancels done ones, queries a job that was never submitted, and sends invalid submissions. */
  sendInvalidRequests(): void {
    const { jobs, time } = this.dependencies;
    for (const job of jobs.list.filter(({ accepted }) => accepted)) {
      void this.resubmit(job);
      if (job.terminalStatus === 'done') this.requestCancel(job);
    }
    const [first] = jobs.list;
    if (!first) return;
    const unknownSubmission = { ...first.submission, ref: `job-9${time.now.toFixed(0)}` };
    this.expectRejected({ ...unknownSubmission, cpus: 5000 }, 422);
    this.expectRejected({ ...unknownSubmission, models: ['nothing'] }, 422);
    this.expectRejected({ ...unknownSubmission, crew: 'nobody' }, 422);
    for (const field of ['pieces', 'memory_gb', 'urgency', 'build', 'expected_s'])
      this.expectRejected({ ...unknownSubmission, [field]: undefined }, 400);
    const { jobService } = this.randomController();
    void this.withTimeout(jobService.status(unknownSubmission.ref), REQUEST_TIMEOUT_MS).then(({ status }) => {
      if (status === 200) this.recordViolation(`invented: ${unknownSubmission.ref}`);
    });
  }

  private expectRejected(submission: object, expected: number): void {
    void this.submit(submission).then(({ status }) => {
      if (![expected, 429, 503].includes(status)) this.recordViolation(`invalid submission got ${status}`);
    });
  }

  private submit(submission: object): Promise<ApiResponse> {
    return this.withTimeout(this.randomController().jobService.submit(submission), REQUEST_TIMEOUT_MS);
  }

  private pollStatus(job: UserJob): void {
    this.queryStatus(job);
    if (this.dependencies.time.now < POLLING_ENDS_AT)
      this.schedule(POLL_INTERVAL_MS / this.queryRateFactor, () => this.pollStatus(job));
  }

  private queryStatus(job: UserJob): void {
    this.queryStatusAt(this.randomController(), job);
  }

  private queryStatusAt({ jobService }: Controller, job: UserJob): void {
    void this.withTimeout(jobService.status(job.ref), QUERY_TIMEOUT_MS).then((response) => {
      const { now } = this.dependencies.time;
      if (response.status === 404) this.recordViolation(`forgotten: ${job.ref} at ${now}`);
      if (response.status === 200) {
        job.lastAnsweredAt = now;
        this.statusReceived(job, statusIn(response));
      } else if (now - Math.max(job.lastAnsweredAt, this.faultsEndAt) > MAX_UNANSWERED_MS) {
        this.recordViolation(`forgotten: no status response for ${job.ref} at ${now}`);
      }
    });
  }

  private statusReceived(job: UserJob, status: string): void {
    this.dependencies.rules.statusReceived(job, status);
    const changed = job.lastStatus !== status;
    job.lastStatus = status;
    if (this.queryAllControllers && changed) this.queryEachController(job);
    if (status === 'done' || status === 'aborted') job.terminalStatus = status;
    if (status === 'aborted') job.cancelledAt ??= this.dependencies.time.now;
  }

  private queryEachController(job: UserJob): void {
    for (const { up, controller } of this.dependencies.nodes)
      if (up && controller) this.schedule(this.randomInt(5), () => this.queryStatusAt(controller, job));
  }

  /** A random controller that is up, or one that answers 503 if none is. */
  private randomController(): Controller {
    const { nodes } = this.dependencies;
    const up = nodes.filter((node) => node.up && node.controller);
    const node = up.length > 0 ? up[this.randomInt(up.length)] : nodes[0];
    return node?.controller ?? STOPPED_CONTROLLER;
  }

  /** Resolves to 503 after the timeout, since a controller that ends never answers its open requests. */
  private withTimeout(response: Promise<ApiResponse>, timeoutMs: number): Promise<ApiResponse> {
    return new Promise((resolve) => {
      this.schedule(timeoutMs, () => resolve(UNAVAILABLE));
      void response.then(resolve);
    });
  }

  private recordViolation(description: string): void {
    this.dependencies.rules.recordViolation(description);
  }

  private randomInt(bound: number): number {
    return this.dependencies.random.int(bound);
  }

  private schedule(ms: number, action: () => void): void {
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
