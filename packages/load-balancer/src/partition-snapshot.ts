import { type Resources } from './resources';

/** One task of a job. */
export interface TaskId {
  job: string;
  index: number;
}

/** A task's id as a string key, for maps and logs. */
export function taskKey({ job, index }: TaskId): string {
  return `${job}/${index}`;
}

/** The data of a job that the balancer needs. */
export interface JobSnapshot {
  job: string;
  team: string;
  /** Class of jobs with similar run times. */
  workload: string;
  /** 0 is the most urgent. */
  priority: number;
  /** Resources that one task uses. */
  resources: Resources;
  image: string;
  imageGb: number;
  /** The submitter's estimate of a task's run time. */
  expectedS: number;
  /** Interval between checkpoints; 0 if the job makes none. */
  checkpointIntervalS: number;
  /** Duration of the checkpoint that a task writes when it is stopped. */
  checkpointDurationS: number;
}

/** A task that is on a machine or is being sent to one. */
export interface TaskSnapshot extends TaskId {
  spec: JobSnapshot;
  phase: 'fetching' | 'running';
  /** Time that the task has spent in this phase. */
  elapsedS: number;
  /** The reason that forbids moving the task, whatever that costs; null if it may be moved. */
  pinned: 'starting' | 'stopping' | 'run once' | 'zone bound' | 'job over' | null;
}

/** A machine of the partition. Planning reads all machines, so a snapshot must be cheap to make. */
export interface MachineSnapshot {
  id: string;
  capacity: Resources;
  /** Resources that are neither used nor reserved. */
  free: Resources;
  /** Whether new tasks may be placed on it; false, for example, if it is silent, draining, quarantined or to be preempted. */
  accepting: boolean;
  /** Number of images that the machine is fetching. */
  activeFetchCount: number;
  fetchGbPerS: number;
  hasImage(image: string): boolean;
}

/** The pending tasks of one job. */
export interface PendingTasks {
  spec: JobSnapshot;
  /** Number of tasks that could start now within their team's limit if a machine were free. */
  taskCount: number;
  /** Time since the owner first saw the job. */
  pendingS: number;
  /** Whether the job is within its team's guarantee. */
  withinGuarantee: boolean;
}

/** CPUs that a team uses and CPUs that it is guaranteed. */
export interface TeamUsage {
  usedCpus: number;
  guaranteedCpus: number;
}

/** The state of an owned partition at one moment, which the service provides to the balancer. */
export interface PartitionSnapshot {
  /** Fences off earlier owners: it increases with each change of the owner. */
  readonly epoch: number;
  pendingTasks(): readonly PendingTasks[];
  machines(): readonly MachineSnapshot[];
  /** Tasks on a machine; empty if the machine is unknown. */
  tasksOn(machine: string): readonly TaskSnapshot[];
  /** Whether a job allows a machine, by its type, zone and purchase option (spot or not). */
  jobAllowsMachine(job: string, machine: string): boolean;
  teamUsage(name: string): TeamUsage;
}
