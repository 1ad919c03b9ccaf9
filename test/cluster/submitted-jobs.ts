import { type JobShape } from './cluster-options';

/** A job as its user sees it. */
export interface UserJob {
  /** What it asks for where that is not left to chance. */
  shape: JobShape | null;
  ref: string;
  team: string;
  tasks: number;
  cpus: number;
  spot: boolean;
  singleZone: boolean;
  spreadZones: boolean;
  zone: string | null;
  /** The request body. */
  submission: object;
  accepted: boolean;
  terminalStatus: string | null;
  /** When its user was told that it is cancelled. */
  cancelledAt: number | null;
  /** Its tasks were found running on after a cancellation; once is enough. */
  overrunRecorded: boolean;
  cancelRequested: boolean;
  /** What its user was last told. */
  lastStatus: string | null;
  /** When a status query about it was last answered. */
  lastAnsweredAt: number;
}

/** The reference of the job with this number. */
export function jobRef(n: number): string {
  return `job-${String(n).padStart(6, '0')}`;
}

/** All jobs that users have submitted, and which of their tasks have completed on some machine. */
export class SubmittedJobs {
  readonly list: UserJob[] = [];
  readonly completedTasks = new Set<string>();

  add(n: number, team: string, tasks: number, cpus: number, now: number): UserJob {
    const job: UserJob = {
      shape: null,
      ref: jobRef(n),
      team,
      tasks,
      cpus,
      spot: false,
      singleZone: false,
      spreadZones: false,
      zone: null,
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
    return job;
  }

  byRef(ref: string): UserJob | undefined {
    return this.list.find((job) => job.ref === ref);
  }

  /** The job that a task (`job-000001/0`) belongs to. */
  ofTask(taskId: string): UserJob | undefined {
    return this.byRef(taskId.split('/')[0] ?? '');
  }

  cpusOfTask(taskId: string): number {
    return this.ofTask(taskId)?.cpus ?? 0;
  }

  /** The tasks of a job that have not completed. */
  incompleteTasks(job: UserJob): string[] {
    const all = Array.from({ length: job.tasks }, (_, index) => `${job.ref}/${index}`);
    return all.filter((taskId) => !this.completedTasks.has(taskId));
  }

  /** The jobs of which users have not been told an end. */
  unfinished(): string[] {
    return this.list.filter((job) => job.terminalStatus === null).map((job) => job.ref);
  }
}
