import {
  type JobSnapshot,
  type MachineSnapshot,
  type PartitionSnapshot,
  type TaskSnapshot,
} from './partition-snapshot';
import { addResources, fits, NO_RESOURCES, type Resources } from './resources';

/** Machines that are considered as targets for one task, those with most free CPUs first. */
const MAX_TARGETS_SCANNED = 48;
/** Of the targets that lack the task's image, at most this many are weighed. */
const MAX_REMOTE_TARGETS = 16;

/** The machines of one round of planning, with the resources that the plans made so far leave free. */
export class MoveCandidates {
  private readonly accepting: MachineSnapshot[];
  private readonly withFreeCpus: MachineSnapshot[];
  private readonly freeByMachine = new Map<string, Resources>();
  /** Tasks that the plans made so far take off their machines. */
  private readonly leavingTasks = new Set<TaskSnapshot>();
  private readonly tasksByMachine = new Map<string, readonly TaskSnapshot[]>();

  constructor(private readonly partition: PartitionSnapshot) {
    this.accepting = partition.machines().filter(({ accepting }) => accepting);
    for (const { id, free } of this.accepting) this.freeByMachine.set(id, { ...free });
    this.accepting.sort((a, b) => b.free.cpus - a.free.cpus);
    this.withFreeCpus = this.accepting.filter(({ free }) => free.cpus > 0).slice(0, MAX_TARGETS_SCANNED);
  }

  /** What is free on a machine after the plans made so far; nothing on one that accepts no tasks. */
  free(machine: string): Resources {
    return this.freeByMachine.get(machine) ?? NO_RESOURCES;
  }

  /** A plan uses resources of a machine. */
  reserve(machine: string, resources: Resources): void {
    this.freeByMachine.set(machine, addResources(this.free(machine), resources, -1));
  }

  /** A plan takes a task off its machine. */
  removeTask(machine: string, task: TaskSnapshot): void {
    this.leavingTasks.add(task);
    this.freeByMachine.set(machine, addResources(this.free(machine), task.spec.resources, 1));
  }

  /** Tasks that stay on a machine after the plans made so far. */
  tasksOn(machine: string): readonly TaskSnapshot[] {
    const tasks = this.tasksByMachine.get(machine) ?? this.partition.tasksOn(machine);
    this.tasksByMachine.set(machine, tasks);
    return this.leavingTasks.size === 0 ? tasks : tasks.filter((task) => !this.leavingTasks.has(task));
  }

  /** Machines that could hold a task of this job if they were empty. */
  suitableMachines({ job, resources }: JobSnapshot): MachineSnapshot[] {
    return this.accepting.filter(
      ({ id, capacity }) => fits(capacity, resources) && this.partition.jobAllowsMachine(job, id),
    );
  }

  /** Machines on which a task fits now, `reserved` left out. */
  targetsFor(
    { spec }: TaskSnapshot,
    source: string,
    reserved: ReadonlyMap<string, Resources>,
  ): MachineSnapshot[] {
    const targets: MachineSnapshot[] = [];
    let remoteCount = 0;
    for (const machine of this.withFreeCpus) {
      const hasImage = machine.hasImage(spec.image);
      if (machine.id === source || (!hasImage && remoteCount >= MAX_REMOTE_TARGETS)) continue;
      const reservedHere = reserved.get(machine.id);
      const free = this.free(machine.id);
      const left = reservedHere ? addResources(free, reservedHere, -1) : free;
      if (!fits(left, spec.resources) || !this.partition.jobAllowsMachine(spec.job, machine.id)) continue;
      if (!hasImage) remoteCount++;
      targets.push(machine);
    }
    return targets;
  }
}
