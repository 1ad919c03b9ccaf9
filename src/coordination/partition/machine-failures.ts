import { FailureStreak } from './failure-streak';
import { type InFlightTask } from './in-flight-task';
import { type PartitionJob } from './job';
import { type MachineState } from './machine';

/** Number of failures after which a machine is quarantined, or a job is no longer started on the machine. */
const MAX_FAILURE_COUNT = 3;
/** A quarantine ends this long after the last failure. The leader returns a machine earlier if it can. */
const QUARANTINE_MS = 15_000;
/** A job is not started on a machine for this long after it last failed there. */
const AVOIDANCE_MS = 10_000;

/** The task failures on one machine. */
export class MachineFailures {
  /** Failures since the last success on the machine, by job. Each of these jobs is in `sinceOwnSuccess`, too. */
  private readonly sinceSuccess = new Map<string, FailureStreak>();
  /** Failures of each job since its own last success on the machine. */
  private readonly sinceOwnSuccess = new Map<string, FailureStreak>();
  /** Whether a task has succeeded on the machine since it became known to this owner. */
  hadSuccess = false;

  get isEmpty(): boolean {
    return this.sinceOwnSuccess.size === 0;
  }

  /** Failures since the last success on the machine, by job. */
  get sinceLastSuccess(): ReadonlyMap<string, FailureStreak> {
    return this.sinceSuccess;
  }

  /** The jobs that have failed on the machine since their own last success there. */
  get jobs(): Iterable<string> {
    return this.sinceOwnSuccess.keys();
  }

  /** The failures of a job since its own last success on the machine. */
  ofJob(ref: string): FailureStreak | undefined {
    return this.sinceOwnSuccess.get(ref);
  }

  /** Records that a task of a job ended with `error` after it had run for `runMs`. */
  recordFailure(ref: string, runMs: number, now: number): void {
    for (const streaks of [this.sinceSuccess, this.sinceOwnSuccess]) {
      const streak = streaks.get(ref) ?? new FailureStreak();
      streak.add(runMs, now);
      streaks.set(ref, streak);
    }
  }

  /** Records that a task of a job succeeded. */
  recordSuccess(ref: string): void {
    this.hadSuccess = true;
    this.sinceSuccess.clear();
    this.sinceOwnSuccess.delete(ref);
  }

  /** Drops the failures that a task has outlived, according to a heartbeat received at `reportedAt`. */
  dropOutlived(task: InFlightTask, reportedAt: number): void {
    for (const [ref, streak] of this.sinceSuccess)
      if (streak.isOutlivedBy(task, reportedAt)) this.sinceSuccess.delete(ref);
    if (this.ofJob(task.ref)?.isOutlivedBy(task, reportedAt)) this.sinceOwnSuccess.delete(task.ref);
  }

  /** Drops the failures of a job. */
  dropJob(ref: string): void {
    this.sinceSuccess.delete(ref);
    this.sinceOwnSuccess.delete(ref);
  }

  /** Drops the failures of jobs that are no longer open. */
  retainJobs(jobs: ReadonlyMap<string, PartitionJob>): void {
    for (const ref of this.sinceOwnSuccess.keys()) if (!jobs.has(ref)) this.dropJob(ref);
  }
}

/**
 * The failures because of which a machine is considered the cause; empty if it is not. The failures of a job count against the machine
 * if any task of the job has succeeded, or if no task ever succeeded on the machine. Other jobs that have failed on the machine
 * count once each, so that only several of them quarantine it. The failures of a job that fails everywhere never count: it is
 * faulty, and healthy machines would be deprovisioned because of it.
 */
function failuresOfMachine(
  { failures }: MachineState,
  jobs: ReadonlyMap<string, PartitionJob>,
): FailureStreak[] {
  const counted: FailureStreak[] = [];
  let failureCount = 0;
  let unprovenJobs = 0;
  for (const [ref, streak] of failures.sinceLastSuccess) {
    const job = jobs.get(ref);
    if (!job || job.failsEverywhere) continue;
    if (job.doneCount > 0 || !failures.hadSuccess) failureCount += streak.count;
    else unprovenJobs++;
    counted.push(streak);
  }
  return failureCount >= MAX_FAILURE_COUNT || unprovenJobs >= MAX_FAILURE_COUNT ? counted : [];
}

function isPaused(streaks: readonly FailureStreak[], pauseMs: number, now: number): boolean {
  return streaks.some(({ lastAt }) => now < lastAt + pauseMs);
}

/** Whether a machine is given no tasks, because it is considered the cause of failures on it, the last of which were recent. */
export function isQuarantined(
  machine: MachineState,
  jobs: ReadonlyMap<string, PartitionJob>,
  now: number,
): boolean {
  return isPaused(failuresOfMachine(machine, jobs), QUARANTINE_MS, now);
}

/**
 * How many more tasks may be started on a machine, so far as failures on it are concerned: none during a quarantine, and after it
 * one at a time until a task succeeds or runs for longer than those that failed. A machine that has recovered is then used again.
 */
export function maxStartsOn(
  machine: MachineState,
  jobs: ReadonlyMap<string, PartitionJob>,
  now: number,
): number {
  return maxStartsAfter(failuresOfMachine(machine, jobs), QUARANTINE_MS, machine.tasks.values(), now);
}

/**
 * How many more tasks of a job may be started on a machine, so far as its failures there are concerned. A job that has succeeded nowhere
 * and fails there is not started there for a while: running it on another machine shows whether the job or the machine is faulty.
 * After that, one of its tasks at a time is tried until one succeeds or runs for longer than those that failed.
 */
export function maxStartsOfJob(job: PartitionJob, machine: MachineState, now: number): number {
  const streak = machine.failures.ofJob(job.ref);
  if (!streak || job.doneCount > 0 || streak.count < MAX_FAILURE_COUNT) return Number.POSITIVE_INFINITY;
  return maxStartsAfter([streak], AVOIDANCE_MS, tasksOf(job, machine), now);
}

function* tasksOf({ ref }: PartitionJob, { tasks }: MachineState): Iterable<InFlightTask> {
  for (const task of tasks.values()) if (task.ref === ref) yield task;
}

/** None during the pause after these failures; then one, unless one of the tasks has been started since. Unlimited without failures. */
function maxStartsAfter(
  streaks: readonly FailureStreak[],
  pauseMs: number,
  tasks: Iterable<InFlightTask>,
  now: number,
): number {
  if (streaks.length === 0) return Number.POSITIVE_INFINITY;
  if (isPaused(streaks, pauseMs, now)) return 0;
  for (const task of tasks) if (streaks.every((streak) => streak.precedes(task))) return 0;
  return 1;
}
