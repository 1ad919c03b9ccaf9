import { type Resources } from './resources';

/** One task of a job. */
export interface TaskId {
  job: string;
  index: number;
}

/** A task's id as a key of maps and logs. */
export function taskKey({ job, index }: TaskId): string {
  return `${job}/${index}`;
}

/** What the balancer must know of a job. */
export interface JobSnapshot {
  job: string;
  team: string;
  /** Class of jobs whose run times resemble each other. */
  workload: string;
  /** 0 is the most urgent. */
  priority: number;
  /** What one task uses. */
  resources: Resources;
  image: string;
  imageGb: number;
  /** The submitter's estimate of a task's run time. */
  expectedS: number;
  /** Interval of its checkpoints, 0: it makes none. */
  checkpointIntervalS: number;
  /** Time that a checkpoint takes when the task is stopped. */
  checkpointDurationS: number;
}

/** A task that is on a machine, or on its way there. */
export interface TaskSnapshot extends TaskId {
  spec: JobSnapshot;
  phase: 'fetching' | 'running';
  /** Time in this phase. */
  elapsedS: number;
  /** Why it must stay where it is, whatever that costs; null: it may be moved. */
  pinned: 'starting' | 'stopping' | 'run once' | 'zone bound' | 'job over' | null;
}

/** A machine of the partition. Planning reads all of them, so this is cheap to make. */
export interface MachineSnapshot {
  id: string;
  capacity: Resources;
  /** Resources that are neither used nor reserved. */
  free: Resources;
  /** New tasks may be placed on it: it sent a heartbeat lately, receives its owner's responses, stays and is healthy. */
  accepting: boolean;
  /** Number of images that it is fetching. */
  activeFetchCount: number;
  fetchGbPerS: number;
  hasImage(image: string): boolean;
}

/** Tasks of a job that are pending. */
export interface PendingTasks {
  spec: JobSnapshot;
  /** How many could start now if there were a machine, within their team's limit. */
  taskCount: number;
  pendingS: number;
  /** The job is within its team's guarantee. */
  withinGuarantee: boolean;
}

/** What a team uses, and what it is guaranteed. */
export interface TeamUsage {
  usedCpus: number;
  guaranteedCpus: number;
}

/** What the service tells the balancer of a partition that it owns, as of one moment. */
export interface PartitionSnapshot {
  /** Fences earlier owners: it grows with each change of the owner. */
  readonly epoch: number;
  pendingTasks(): readonly PendingTasks[];
  machines(): readonly MachineSnapshot[];
  /** Tasks of a machine; empty for an unknown one. */
  tasksOn(machine: string): readonly TaskSnapshot[];
  /** Whether a job allows a machine: its type, zone and way of buying. */
  jobAllowsMachine(job: string, machine: string): boolean;
  teamUsage(name: string): TeamUsage;
}
