import {
  type JobSnapshot,
  type MachineSnapshot,
  type PartitionSnapshot,
  type TaskSnapshot,
} from './partition-view';
import { addResources, fits, type Resources } from './resources';

/** Machines with room that are looked at as targets for one task, those with most room first. */
const MAX_TARGETS_SCANNED = 48;
/** Targets that are weighed: those that have its image, and so many of the others. */
const MAX_REMOTE_TARGETS = 16;

/** The machines of one round of planning, with the room that the plans made so far leave. */
export class MoveCandidates {
  private readonly accepting: MachineSnapshot[];
  private readonly withFreeCpus: MachineSnapshot[];
  private readonly freeByMachine = new Map<string, Resources>();
  /** Tasks that the plans made so far take off their machines. */
  private readonly leavingTasks = new Set<TaskSnapshot>();
  private readonly tasks = new Map<string, readonly TaskSnapshot[]>();

  constructor(private readonly partition: PartitionSnapshot) {
    this.accepting = partition.machines().filter(({ accepting }) => accepting);
    for (const { id, free } of this.accepting) this.freeByMachine.set(id, { ...free });
    this.accepting.sort((a, b) => b.free.cpus - a.free.cpus);
    this.withFreeCpus = this.accepting.filter(({ free }) => free.cpus > 0).slice(0, MAX_TARGETS_SCANNED);
  }

  /** What is free on a machine after the plans made so far. */
  free(machine: string): Resources {
    return this.freeByMachine.get(machine) ?? { cpus: 0, accelerators: 0, memoryGb: 0 };
  }

  reserve(machine: string, needs: Resources): void {
    this.freeByMachine.set(machine, addResources(this.free(machine), needs, -1));
  }

  /** Tasks that stay on a machine after the plans made so far. */
  tasksOn(machine: string): readonly TaskSnapshot[] {
    const known = this.tasks.get(machine) ?? this.partition.tasksOn(machine);
    this.tasks.set(machine, known);
    return this.leavingTasks.size === 0 ? known : known.filter((task) => !this.leavingTasks.has(task));
  }

  /** A plan takes this task off its machine. */
  removeTask(machine: string, task: TaskSnapshot): void {
    this.leavingTasks.add(task);
    this.freeByMachine.set(machine, addResources(this.free(machine), task.spec.resources, 1));
  }

  /** Machines that could hold a task of this job if they were empty. */
  suitableMachines({ job, resources }: JobSnapshot): MachineSnapshot[] {
    return this.accepting.filter(
      ({ id, capacity }) => fits(capacity, resources) && this.partition.allows(job, id),
    );
  }

  /** Machines that have room for a task now. */
  targetsFor(
    task: TaskSnapshot,
    source: string,
    reserved: ReadonlyMap<string, Resources>,
  ): MachineSnapshot[] {
    const { spec } = task;
    const found: MachineSnapshot[] = [];
    let others = 0;
    for (const machine of this.withFreeCpus) {
      const local = machine.hasImage(spec.image);
      if (machine.id === source || (!local && others >= MAX_REMOTE_TARGETS)) continue;
      const used = reserved.get(machine.id);
      const free = used ? addResources(this.free(machine.id), used, -1) : this.free(machine.id);
      if (!fits(free, spec.resources) || !this.partition.allows(spec.job, machine.id)) continue;
      if (!local) others++;
      found.push(machine);
    }
    return found;
  }
}
