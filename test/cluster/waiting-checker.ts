import { type FakeCloud } from '../standin/fake-cloud';
import { type FakeWorker } from '../standin/fake-worker';
import { type TeamSettings } from './cluster-options';
import { brokenRestrictions } from './placement-restrictions';
import { type SubmittedJobs, type UserJob } from './submitted-jobs';

/** Once all faults are over, no task may wait for this long without a break while a machine has room for it. */
const MAX_WAIT_MS = 90_000;

export interface WaitingCheckerDependencies {
  jobs: SubmittedJobs;
  teams: readonly TeamSettings[];
  cloud: FakeCloud;
  recordViolation: (description: string) => void;
}

/** A machine that executes or fetches tasks, as seen on the machine itself. */
interface MachineUse {
  worker: FakeWorker;
  freeCpus: number;
  freeMemoryGb: number;
}

/** What is on the machines at one moment. */
interface Occupation {
  machines: MachineUse[];
  cpusByTeam: Map<string, number>;
  /** The zone of each task on a machine, by job. */
  zonesByJob: Map<UserJob, string[]>;
  /** The tasks that are on some machine and have not exited. */
  taskIds: Set<string>;
}

/**
 * Checks the rule that no job is left waiting while a machine that fits has room and its team is under its limit. It judges from what
 * machines and users see: a machine counts if it is up and reports, and if the task fits its free CPUs and memory and the job's
 * restrictions, also with regard to the job's other tasks. Jobs whose users want to cancel them are excused.
 */
export class WaitingChecker {
  /** The virtual time since which each job has been waiting without a break. */
  private readonly waitingSince = new Map<UserJob, number>();
  private readonly reported = new Set<UserJob>();

  constructor(private readonly dependencies: WaitingCheckerDependencies) {}

  /** Checks all jobs; to be called a few times a second once all faults are over. */
  check(now: number): void {
    const occupation = this.occupation();
    for (const job of this.dependencies.jobs.list) {
      const machine = this.isOpen(job) ? this.machineWithRoom(job, occupation) : undefined;
      if (!machine) this.waitingSince.delete(job);
      else this.recordWaiting(job, machine, now);
    }
  }

  private isOpen({ accepted, cancelRequested, terminalStatus }: UserJob): boolean {
    return accepted && !cancelRequested && terminalStatus === null;
  }

  private recordWaiting(job: UserJob, { worker }: MachineUse, now: number): void {
    const since = this.waitingSince.get(job) ?? now;
    this.waitingSince.set(job, since);
    if (now - since < MAX_WAIT_MS || this.reported.has(job)) return;
    this.reported.add(job);
    const room = `while ${worker.name} (${worker.type}, ${worker.zone}) has room at ${now}`;
    this.dependencies.recordViolation(`left_waiting: ${job.ref} since ${since} ${room}`);
  }

  /** A machine on which a waiting task of a job could run now; undefined if no task waits or no machine has room. */
  private machineWithRoom(job: UserJob, occupation: Occupation): MachineUse | undefined {
    const waits = this.dependencies.jobs.incompleteTasks(job).some((id) => !occupation.taskIds.has(id));
    if (!waits) return undefined;
    const limit = this.dependencies.teams.find(({ name }) => name === job.team)?.cpus_max ?? 0;
    if ((occupation.cpusByTeam.get(job.team) ?? 0) + job.cpus > limit) return undefined;
    const zones = occupation.zonesByJob.get(job) ?? [];
    return occupation.machines.find((machine) => fits(job, machine, zones));
  }

  private occupation(): Occupation {
    const occupation: Occupation = {
      machines: [],
      cpusByTeam: new Map(),
      zonesByJob: new Map(),
      taskIds: new Set(),
    };
    for (const worker of this.dependencies.cloud.workers.values()) {
      const use = this.useOf(worker, occupation);
      if (isReporting(worker)) occupation.machines.push(use);
    }
    return occupation;
  }

  /** The free resources of a machine; adds its tasks to those of their teams and jobs. */
  private useOf(worker: FakeWorker, { cpusByTeam, zonesByJob, taskIds }: Occupation): MachineUse {
    const { cpus, memoryGb } = this.dependencies.cloud.machineType(worker.type);
    const use = { worker, freeCpus: cpus, freeMemoryGb: memoryGb };
    for (const [taskId, { status }] of worker.tasks) {
      const job = this.dependencies.jobs.ofTask(taskId);
      if (!job || status === 'ended') continue;
      taskIds.add(taskId);
      use.freeCpus -= job.cpus;
      use.freeMemoryGb -= job.memoryGb;
      cpusByTeam.set(job.team, (cpusByTeam.get(job.team) ?? 0) + job.cpus);
      zonesByJob.set(job, [...(zonesByJob.get(job) ?? []), worker.zone]);
    }
    return use;
  }
}

function isReporting({ up, hung, heartbeatsLost, responsesLost, failsAllTasks }: FakeWorker): boolean {
  return up && !hung && !heartbeatsLost && !responsesLost && !failsAllTasks;
}

/** Whether a machine has room for one more task of a job whose tasks are in these zones. */
function fits(
  job: UserJob,
  { worker, freeCpus, freeMemoryGb }: MachineUse,
  zones: readonly string[],
): boolean {
  if (freeCpus < job.cpus || freeMemoryGb < job.memoryGb) return false;
  return brokenRestrictions(job, worker, [...zones, worker.zone]).length === 0;
}
