import { type FakeWorker } from '../standin/fake-worker';
import { CANCELLATION_DEADLINE_MS, type TeamSettings } from './cluster-options';
import { brokenRestrictions } from './placement-restrictions';
import { type TransactionBody } from '../standin/transaction-limits';
import { type SubmittedJobs, type UserJob } from './submitted-jobs';

/** A task that a machine executes: the machine's worker, and the job that the task belongs to. */
interface ExecutedTask {
  worker: FakeWorker;
  job: UserJob;
}

/**
 * Checks the rules that no fault may violate against the actual state of the machines: no task executes in two places, teams
 * stay within their limits, placement constraints hold, cancelled jobs stop in time, and no status that a user receives is
 * taken back.
 */
export class RuleChecker {
  /** The violations found, each with its kind first: `ran_twice`, `quota`, `wrong_place`, … */
  readonly violations: string[] = [];
  startedTasks = 0;
  private readonly startedAttempts = new Set<string>();

  constructor(
    private readonly jobs: SubmittedJobs,
    private readonly teams: readonly TeamSettings[],
    private readonly workers: ReadonlyMap<string, FakeWorker>,
    private readonly now: () => number,
  ) {}

  recordViolation(description: string): void {
    this.violations.push(description);
  }

  /** A controller must never send a transaction that exceeds the limits of the state store. */
  transactionRejected(reason: string, { apply }: TransactionBody): void {
    const changedKeys = apply.map((change) => ('set' in change ? change.set : change.delete));
    this.recordViolation(`rejected_transaction: ${reason} at ${this.now()}: ${changedKeys.join(' ')}`);
  }

  /** Checks the rules that the start of a task can violate. */
  taskStarted(worker: FakeWorker, taskId: string): void {
    this.startedTasks++;
    const job = this.jobs.ofTask(taskId);
    if (!job) return this.recordViolation(`unknown: ${taskId}`);
    this.checkStartedOnce(worker, taskId);
    this.checkNotExecutedElsewhere(worker, taskId);
    const executed = this.executedTasks();
    this.checkTeamLimit(job, executed);
    this.checkPlacement(worker, taskId, job, executed);
    this.checkCancelledJobs();
  }

  /** Checks that no start command is carried out twice: controllers number every attempt to start a task differently. */
  private checkStartedOnce(worker: FakeWorker, taskId: string): void {
    const attempt = `${taskId} attempt ${worker.tasks.get(taskId)?.attempt}`;
    if (this.startedAttempts.has(attempt))
      this.recordViolation(`started_again: ${attempt} on ${worker.name} at ${this.now()}`);
    this.startedAttempts.add(attempt);
  }

  private checkNotExecutedElsewhere(worker: FakeWorker, taskId: string): void {
    for (const other of this.workers.values()) {
      if (other === worker || !other.executes(taskId)) continue;
      this.recordViolation(`ran_twice: ${taskId} at ${this.now()}`);
      return;
    }
  }

  private checkTeamLimit({ team }: UserJob, executed: readonly ExecutedTask[]): void {
    let used = 0;
    for (const { job } of executed) if (job.team === team) used += job.cpus;
    const limit = this.teams.find(({ name }) => name === team)?.cpus_max ?? 0;
    if (used > limit) this.recordViolation(`quota: ${team} uses ${used} at ${this.now()}`);
  }

  private checkPlacement(
    worker: FakeWorker,
    taskId: string,
    job: UserJob,
    executed: readonly ExecutedTask[],
  ): void {
    const zones = executed.filter((task) => task.job === job).map((task) => task.worker.zone);
    for (const broken of brokenRestrictions(job, worker, zones))
      this.recordViolation(`wrong_place: ${taskId} ${broken}`);
  }

  /** The tasks that machines execute now, with their jobs. */
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

  /** Checks that no task of a cancelled job executes after the deadline, whether its machine was reached or not. */
  checkCancelledJobs(): void {
    const now = this.now();
    const overdue = new Map(
      this.jobs.list
        .filter(({ cancelledAt }) => cancelledAt !== null && now > cancelledAt + CANCELLATION_DEADLINE_MS)
        .map((job) => [job.ref, job]),
    );
    if (overdue.size === 0) return;
    for (const worker of this.workers.values()) {
      for (const taskId of worker.tasks.keys()) {
        const job = overdue.get(taskId.split('/')[0] ?? '');
        if (!job || job.overrunRecorded || !worker.executes(taskId)) continue;
        job.overrunRecorded = true;
        this.recordViolation(`ran_cancelled: ${taskId} at ${now}, cancelled at ${job.cancelledAt}`);
      }
    }
  }

  /** Checks a status that a user receives against earlier ones and against the tasks that machines have completed. */
  statusReceived(job: UserJob, status: string): void {
    if (job.terminalStatus !== null && status !== job.terminalStatus)
      this.recordViolation(`went_back: ${job.ref} from ${job.terminalStatus} to ${status} at ${this.now()}`);
    if (status === 'aborted' && !job.cancelRequested)
      this.recordViolation(`went_back: ${job.ref} aborted without a cancellation`);
    if (status !== 'done') return;
    for (const taskId of this.jobs.incompleteTasks(job)) this.recordViolation(`not_done: ${taskId}`);
  }
}
