import { type JobParameters } from './cluster-options';

const DEFAULT_MEMORY_GB = 2;

/** A job as its user sees it. */
export interface UserJob {
  /** The parameters that a test has specified; null for a random job. */
  parameters: JobParameters | null;
  ref: string;
  team: string;
  tasks: number;
  cpus: number;
  spot: boolean;
  singleZone: boolean;
  spreadZones: boolean;
  zone: string | null;
  memoryGb: number;
  /** The allowed machine types; null if all are. */
  machineTypes: string[] | null;
  /** The request body. */
  submission: object;
  accepted: boolean;
  /** `done` or `aborted` once its user has received that status; null before. */
  terminalStatus: string | null;
  /** The virtual time at which its user was told that it is cancelled; null if that has not happened. */
  cancelledAt: number | null;
  /** Whether a violation is recorded because a task ran past the cancellation deadline; at most one is recorded per job. */
  overrunRecorded: boolean;
  cancelRequested: boolean;
  /** The status that its user received last; null if none yet. */
  lastStatus: string | null;
  /** The virtual time at which a status query for it was last answered; its submission time if none was. */
  lastAnsweredAt: number;
}

/** The reference of the job with this number. */
export function jobRef(n: number): string {
  return `job-${String(n).padStart(6, '0')}`;
}

/** All jobs that users have submitted, and the tasks that have completed on some machine. */
export class SubmittedJobs {
  readonly list: UserJob[] = [];
  readonly completedTasks = new Set<string>();
  private readonly jobsByRef = new Map<string, UserJob>();

  add(n: number, team: string, tasks: number, cpus: number, now: number): UserJob {
    const job: UserJob = {
      parameters: null,
      ref: jobRef(n),
      team,
      tasks,
      cpus,
      spot: false,
      singleZone: false,
      spreadZones: false,
      zone: null,
      memoryGb: DEFAULT_MEMORY_GB,
      machineTypes: null,
      submission: {},
      accepted: false,
      terminalStatus: null,
      cancelledAt: null,
      overrunRecorded: false,
      cancelRequested: false,
      lastStatus: null,
      lastAnsweredAt: now,
    };
    this.list.push(job);
    this.jobsByRef.set(job.ref, job);
    return job;
  }

  byRef(ref: string): UserJob | undefined {
    return this.jobsByRef.get(ref);
  }

  /** The job that a task (`job-000001/0`) belongs to. */
  ofTask(taskId: string): UserJob | undefined {
    return this.byRef(taskId.split('/')[0] ?? '');
  }

  cpusOfTask(taskId: string): number {
    return this.ofTask(taskId)?.cpus ?? 0;
  }

  /** The tasks of a job that have not completed on any machine. */
  incompleteTasks(job: UserJob): string[] {
    const all = Array.from({ length: job.tasks }, (_, index) => `${job.ref}/${index}`);
    return all.filter((taskId) => !this.completedTasks.has(taskId));
  }

  /** The references of the jobs whose users have not received a terminal status. */
  unfinished(): string[] {
    return this.list.filter((job) => job.terminalStatus === null).map((job) => job.ref);
  }
}
