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
  /** Class of jobs, whose run times resemble each other. */
  workload: string;
  /** 0 is the most urgent. */
  priority: number;
  resources: Resources;
  image: string;
  imageGb: number;
  /** The owner's estimate of a task's run time. */
  expectedS: number;
  /** Interval of its checkpoints, 0: it never saves. */
  checkpointS: number;
  /** Time that it takes to save when it is stopped. */
  saveS: number;
}

/** A task that is on a machine, or on its way there. */
export interface TaskSnapshot extends TaskId {
  spec: JobSnapshot;
  phase: 'fetching' | 'running';
  /** Time in this phase. */
  elapsedS: number;
  /** Why it must stay where it is, whatever it costs; null: it may be moved. */
  pinned: 'starting' | 'stopping' | 'run once' | 'zone bound' | 'job over' | null;
}

/** A machine of the partition, as cheap to tell as can be: planning looks at all of them. */
export interface MachineSnapshot {
  id: string;
  capacity: Resources;
  /** Room that is neither taken nor reserved. */
  free: Resources;
  /** New tasks may be put on it: it was heard lately, hears its owner, stays in the partition and is not at fault. */
  accepting: boolean;
  /** Images that it is fetching now. */
  fetching: number;
  fetchGbPerS: number;
  hasImage(image: string): boolean;
}

/** Tasks of a job that wait. */
export interface PendingTasks {
  spec: JobSnapshot;
  /** How many may start now as far as their team's limit and the records go. */
  tasks: number;
  pendingS: number;
  /** The job is within its team's guarantee. */
  withinGuarantee: boolean;
}

/** What a team uses, and what it may use whatever others want. */
export interface TeamUsage {
  usedCpus: number;
  guaranteedCpus: number;
}

/** What the service tells the balancer of a partition that it owns. */
export interface PartitionSnapshot {
  /** Fences earlier owners. */
  readonly epoch: number;
  pendingTasks(): readonly PendingTasks[];
  machines(): readonly MachineSnapshot[];
  tasksOn(machine: string): readonly TaskSnapshot[];
  /** Whether a job allows a machine: its type, zone and way of buying. */
  allows(job: string, machine: string): boolean;
  team(name: string): TeamUsage;
}
