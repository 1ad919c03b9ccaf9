import { type FakeWorker } from '../standin/fake-worker';
import { CANCEL_BOUND_MS, type TeamSettings } from './cluster-options';
import { type SubmittedJobs, type UserJob } from './submitted-jobs';

/** A task that a machine executes, by its job. */
interface ExecutedTask {
  worker: FakeWorker;
  job: UserJob;
}

/**
 * The rules that no fault may break, checked on the machines as they really are: no task in two places, teams within
 * their limits, placement as asked for, cancelled jobs gone in time, and users told nothing that is taken back.
 */
export class RuleChecker {
  /** Rules that were broken, each with its kind first: `ran_twice`, `quota`, `wrong_place`, … */
  readonly violations: string[] = [];
  startedTasks = 0;

  constructor(
    private readonly jobs: SubmittedJobs,
    private readonly teams: readonly TeamSettings[],
    private readonly workers: ReadonlyMap<string, FakeWorker>,
    private readonly now: () => number,
  ) {}

  violated(description: string): void {
    this.violations.push(description);
  }

  /** Checks what can be broken only when a task starts. */
  taskStarted(worker: FakeWorker, taskId: string): void {
    this.startedTasks++;
    const job = this.jobs.ofTask(taskId);
    if (!job) return this.violated(`unknown: ${taskId}`);
    this.checkSinglePlace(worker, taskId);
    const executed = this.executedTasks();
    this.checkTeamLimit(job, executed);
    this.checkPlacement(worker, taskId, job, executed);
    this.checkCancelledJobs();
  }

  private checkSinglePlace(worker: FakeWorker, taskId: string): void {
    for (const other of this.workers.values()) {
      if (other === worker || !other.executes(taskId)) continue;
      this.violated(`ran_twice: ${taskId} at ${this.now()}`);
      return;
    }
  }

  private checkTeamLimit({ team }: UserJob, executed: readonly ExecutedTask[]): void {
    let used = 0;
    for (const { job } of executed) if (job.team === team) used += job.cpus;
    const limit = this.teams.find(({ name }) => name === team)?.cpus_max ?? 0;
    if (used > limit) this.violated(`quota: ${team} uses ${used} at ${this.now()}`);
  }

  private checkPlacement(
    worker: FakeWorker,
    taskId: string,
    job: UserJob,
    executed: readonly ExecutedTask[],
  ): void {
    if (!job.spot && worker.spot) this.violated(`wrong_place: ${taskId} on a spot machine`);
    if (job.zone !== null && worker.zone !== job.zone)
      this.violated(`wrong_place: ${taskId} out of its zone`);
    const zones = executed.filter((task) => task.job === job).map((task) => task.worker.zone);
    const inThisZone = zones.filter((zone) => zone === worker.zone).length;
    if (job.spreadZones && inThisZone > Math.ceil(job.tasks / 2))
      this.violated(`wrong_place: ${inThisZone} of ${job.ref} in one zone`);
    if (job.singleZone && new Set(zones).size > 1) this.violated(`wrong_place: ${taskId} apart from its job`);
  }

  /** Every task that a machine executes now, with its job. */
  private executedTasks(): ExecutedTask[] {
    const executed: ExecutedTask[] = [];
    for (const worker of this.workers.values()) {
      for (const taskId of worker.tasks.keys()) {
        const job = this.jobs.ofTask(taskId);
        if (job && worker.executes(taskId)) executed.push({ worker, job });
      }
    }
    return executed;
  }

  /** Nothing of a cancelled job may be on a machine after the bound, whether the machine was reached or not. */
  checkCancelledJobs(): void {
    const now = this.now();
    const overdue = new Map(
      this.jobs.list
        .filter(({ cancelledAt }) => cancelledAt !== null && now > cancelledAt + CANCEL_BOUND_MS)
        .map((job) => [job.ref, job]),
    );
    if (overdue.size === 0) return;
    for (const worker of this.workers.values()) {
      for (const taskId of worker.tasks.keys()) {
        const job = overdue.get(taskId.split('/')[0] ?? '');
        if (!job || job.overrunRecorded || !worker.executes(taskId)) continue;
        job.overrunRecorded = true;
        this.violated(`ran_cancelled: ${taskId} at ${now}, cancelled at ${job.cancelledAt}`);
      }
    }
  }

  /** Checks what a user is told against what the user was told before and what machines have done. */
  statusReceived(job: UserJob, status: string): void {
    if (job.terminalStatus !== null && status !== job.terminalStatus)
      this.violated(`went_back: ${job.ref} from ${job.terminalStatus} to ${status} at ${this.now()}`);
    if (status === 'aborted' && !job.cancelRequested)
      this.violated(`went_back: ${job.ref} aborted by nobody`);
    if (status !== 'done') return;
    for (const taskId of this.jobs.incompleteTasks(job)) this.violated(`not_done: ${taskId}`);
  }
}
