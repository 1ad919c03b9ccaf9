import {
  PartitionBalancer,
  balancerSettingsSchema,
  taskKey,
  type BalancerSettings,
  type JobSnapshot,
  type LoadSummary,
  type MachineSnapshot,
  type MoveExecutor,
  type PartitionSnapshot,
  type Resources,
  type TaskId,
  type TaskSnapshot,
  type TeamUsage,
  type PendingTasks,
} from '../src/index';

/** A machine of the model, with what is on it. */
export interface ModelMachine {
  id: string;
  cpus: number;
  images: string[];
  accepting?: boolean;
  fetching?: number;
  tasks: TaskSnapshot[];
}

const HEARTBEAT_INTERVAL_MS = 2000;
const LEASE_MS = 12_000;

/** A job with everything that a test does not care about. */
export function job(name: string, change: Partial<JobSnapshot> & { cpus?: number } = {}): JobSnapshot {
  const { cpus = 1, ...rest } = change;
  return {
    job: name,
    team: 'north',
    workload: 'w',
    priority: 3,
    resources: needs(cpus),
    image: 'i',
    imageGb: 1,
    expectedS: 200,
    checkpointIntervalS: 10,
    checkpointDurationS: 1,
    ...rest,
  };
}

export function needs(cpus: number): Resources {
  return { cpus, accelerators: 0, memoryGb: cpus };
}

/** A task that has run for a minute unless said otherwise. */
export function task(spec: JobSnapshot, index: number, change: Partial<TaskSnapshot> = {}): TaskSnapshot {
  return { job: spec.job, index, spec, phase: 'running', elapsedS: 60, pinned: null, ...change };
}

/** The summary of a partition with light load. */
export function summary(change: Partial<LoadSummary> = {}): LoadSummary {
  return {
    partition: 'p0',
    epoch: 5,
    sequence: 10,
    ageMs: 100,
    cpus: 100,
    freeCpus: 10,
    largestFreeCpus: 4,
    running: [0, 0, 0, 500],
    waiting: [0, 0, 0, 100],
    trendPerS: 0,
    teams: [],
    moves: { planned: 0, begun: 0, completed: 0, abandoned: 0, inFlight: 0 },
    refusals: [],
    ...change,
  };
}

/** A partition whose machines can be set up by hand, and which carries moves out at once or step by step. */
export class ModelPartition implements PartitionSnapshot, MoveExecutor {
  readonly epoch = 7;
  readonly pending: PendingTasks[] = [];
  readonly teams = new Map<string, TeamUsage>();
  readonly reserved = new Map<string, Resources>();
  readonly held = new Set<string>();
  readonly jobReservations = new Set<string>();
  readonly stopped: string[] = [];
  /** Machines whose reservations are refused although they looked free. */
  refuses = new Set<string>();

  constructor(readonly fleet: ModelMachine[]) {}

  pendingTasks(): PendingTasks[] {
    return this.pending;
  }

  machines(): MachineSnapshot[] {
    return this.fleet.map((machine) => ({
      id: machine.id,
      capacity: needs(machine.cpus),
      free: this.free(machine),
      accepting: machine.accepting ?? true,
      activeFetchCount: machine.fetching ?? 0,
      fetchGbPerS: 1,
      hasImage: (image: string) => machine.images.includes(image),
    }));
  }

  private free(machine: ModelMachine): Resources {
    let cpus = machine.cpus;
    for (const { spec } of machine.tasks) cpus -= spec.resources.cpus;
    for (const [key, resources] of this.reserved)
      if (key.startsWith(`${machine.id}:`)) cpus -= resources.cpus;
    return needs(cpus);
  }

  tasksOn(id: string): TaskSnapshot[] {
    return this.machine(id).tasks;
  }

  machine(id: string): ModelMachine {
    return this.fleet.find((machine) => machine.id === id) as ModelMachine;
  }

  jobAllowsMachine(): boolean {
    return true;
  }

  teamUsage(name: string): TeamUsage {
    return this.teams.get(name) ?? { usedCpus: 100, guaranteedCpus: 0 };
  }

  private find(id: TaskId): TaskSnapshot | undefined {
    return this.fleet.flatMap(({ tasks }) => tasks).find((t) => taskKey(t) === taskKey(id));
  }

  reserve(machine: string, id: TaskId): boolean {
    const moved = this.find(id);
    if (!moved || this.refuses.has(machine)) return false;
    this.reserved.set(`${machine}:${taskKey(id)}`, moved.spec.resources);
    return true;
  }

  release(machine: string, id: TaskId): void {
    this.reserved.delete(`${machine}:${taskKey(id)}`);
  }

  stop(machine: string, id: TaskId): void {
    this.stopped.push(taskKey(id));
    this.machine(machine).tasks = this.machine(machine).tasks.map((t) =>
      taskKey(t) === taskKey(id) ? { ...t, pinned: 'stopping' } : t,
    );
  }

  holdTask(id: TaskId): void {
    this.held.add(taskKey(id));
  }

  releaseHeldTask(id: TaskId): void {
    this.held.delete(taskKey(id));
  }

  reserveForJob(machine: string, name: string): void {
    const pending = this.pending.find(({ spec }) => spec.job === name);
    this.jobReservations.add(`${machine}:${name}`);
    if (pending) this.reserved.set(`${machine}:${name}/next`, pending.spec.resources);
  }

  releaseJobReservation(machine: string, name: string): void {
    this.jobReservations.delete(`${machine}:${name}`);
    this.reserved.delete(`${machine}:${name}/next`);
  }

  /** Takes a task off its machine. */
  drop(id: TaskId): TaskSnapshot | undefined {
    const found = this.find(id);
    for (const machine of this.fleet) machine.tasks = machine.tasks.filter((t) => taskKey(t) !== taskKey(id));
    return found;
  }
}

/** The balancer of a model partition, with settings that differ from the defaults. */
export function balancerOf(
  partition: ModelPartition,
  change: Partial<BalancerSettings> = {},
): PartitionBalancer {
  return new PartitionBalancer({
    partition: 'p0',
    priorityCount: 4,
    snapshot: partition,
    executor: partition,
    settings: balancerSettingsSchema.parse(change),
    timeouts: { heartbeatIntervalMs: HEARTBEAT_INTERVAL_MS, leaseMs: LEASE_MS },
  });
}
