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

/** A machine of the model partition, with its images and tasks. */
export interface ModelMachine {
  id: string;
  cpus: number;
  images: string[];
  accepting?: boolean;
  activeFetchCount?: number;
  tasks: TaskSnapshot[];
}

const HEARTBEAT_INTERVAL_MS = 2000;
const LEASE_MS = 12_000;

/** A job with default values for the fields that a test does not set. */
export function job(name: string, overrides: Partial<JobSnapshot> & { cpus?: number } = {}): JobSnapshot {
  const { cpus = 1, ...fields } = overrides;
  return {
    job: name,
    team: 'north',
    workload: 'w',
    priority: 3,
    resources: resourcesFor(cpus),
    image: 'i',
    imageGb: 1,
    expectedS: 200,
    checkpointIntervalS: 10,
    checkpointDurationS: 1,
    ...fields,
  };
}

export function resourcesFor(cpus: number): Resources {
  return { cpus, accelerators: 0, memoryGb: cpus };
}

/** A task that has run for a minute, unless overridden. */
export function task(spec: JobSnapshot, index: number, overrides: Partial<TaskSnapshot> = {}): TaskSnapshot {
  return { job: spec.job, index, spec, phase: 'running', elapsedS: 60, pinned: null, ...overrides };
}

/** The summary of a partition with a light load, unless overridden. */
export function summary(overrides: Partial<LoadSummary> = {}): LoadSummary {
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
    ...overrides,
  };
}

/** A partition whose machines a test sets up, and which carries out the steps of moves at once. */
export class ModelPartition implements PartitionSnapshot, MoveExecutor {
  readonly epoch = 7;
  readonly pending: PendingTasks[] = [];
  readonly usageByTeam = new Map<string, TeamUsage>();
  readonly reservations = new Map<string, Resources>();
  readonly heldTasks = new Set<string>();
  readonly jobReservations = new Set<string>();
  readonly stoppedTasks: string[] = [];
  /** Machines that refuse reservations although their snapshots show free resources. */
  refusingMachines = new Set<string>();

  constructor(readonly fleet: ModelMachine[]) {}

  pendingTasks(): PendingTasks[] {
    return this.pending;
  }

  machines(): MachineSnapshot[] {
    return this.fleet.map((machine) => ({
      id: machine.id,
      capacity: resourcesFor(machine.cpus),
      free: this.freeResources(machine),
      accepting: machine.accepting ?? true,
      activeFetchCount: machine.activeFetchCount ?? 0,
      fetchGbPerS: 1,
      hasImage: (image: string) => machine.images.includes(image),
    }));
  }

  private freeResources(machine: ModelMachine): Resources {
    let cpus = machine.cpus;
    for (const { spec } of machine.tasks) cpus -= spec.resources.cpus;
    for (const [key, resources] of this.reservations)
      if (key.startsWith(`${machine.id}:`)) cpus -= resources.cpus;
    return resourcesFor(cpus);
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
    return this.usageByTeam.get(name) ?? { usedCpus: 100, guaranteedCpus: 0 };
  }

  private findTask(id: TaskId): TaskSnapshot | undefined {
    return this.fleet.flatMap(({ tasks }) => tasks).find((t) => taskKey(t) === taskKey(id));
  }

  reserve(machine: string, id: TaskId): boolean {
    const task = this.findTask(id);
    if (!task || this.refusingMachines.has(machine)) return false;
    this.reservations.set(`${machine}:${taskKey(id)}`, task.spec.resources);
    return true;
  }

  release(machine: string, id: TaskId): void {
    this.reservations.delete(`${machine}:${taskKey(id)}`);
  }

  stop(machine: string, id: TaskId): void {
    this.stoppedTasks.push(taskKey(id));
    this.machine(machine).tasks = this.machine(machine).tasks.map((t) =>
      taskKey(t) === taskKey(id) ? { ...t, pinned: 'stopping' } : t,
    );
  }

  holdTask(id: TaskId): void {
    this.heldTasks.add(taskKey(id));
  }

  releaseHeldTask(id: TaskId): void {
    this.heldTasks.delete(taskKey(id));
  }

  reserveForJob(machine: string, name: string): void {
    const pending = this.pending.find(({ spec }) => spec.job === name);
    this.jobReservations.add(`${machine}:${name}`);
    if (pending) this.reservations.set(`${machine}:${name}/next`, pending.spec.resources);
  }

  releaseJobReservation(machine: string, name: string): void {
    this.jobReservations.delete(`${machine}:${name}`);
    this.reservations.delete(`${machine}:${name}/next`);
  }

  /** Removes a task from its machine and returns it. */
  removeTask(id: TaskId): TaskSnapshot | undefined {
    const found = this.findTask(id);
    for (const machine of this.fleet) machine.tasks = machine.tasks.filter((t) => taskKey(t) !== taskKey(id));
    return found;
  }
}

/** Creates the balancer of a model partition; `overrides` replace default settings. */
export function createBalancer(
  partition: ModelPartition,
  overrides: Partial<BalancerSettings> = {},
): PartitionBalancer {
  return new PartitionBalancer({
    partition: 'p0',
    priorityCount: 4,
    snapshot: partition,
    executor: partition,
    settings: balancerSettingsSchema.parse(overrides),
    timeouts: { heartbeatIntervalMs: HEARTBEAT_INTERVAL_MS, leaseMs: LEASE_MS },
  });
}
