import {
  type JobSnapshot,
  type MachineSnapshot,
  type PartitionSnapshot,
  type TaskSnapshot,
} from './partition-snapshot';
import { addResources, fits, NO_RESOURCES, type Resources } from './resources';

/** Number of machines considered as targets, those with the most free CPUs first. */
const MAX_TARGETS_SCANNED = 48;
/** Number of targets without the task's image that are considered for one task. */
const MAX_TARGETS_WITHOUT_IMAGE = 16;

/** The machines of one planning round, with the resources that the plans made so far leave free. */
export class MoveCandidates {
  private readonly acceptingMachines: MachineSnapshot[];
  private readonly targetCandidates: MachineSnapshot[];
  private readonly freeByMachine = new Map<string, Resources>();
  /** Tasks that the plans made so far take off their machines. */
  private readonly leavingTasks = new Set<TaskSnapshot>();
  private readonly tasksByMachine = new Map<string, readonly TaskSnapshot[]>();

  constructor(private readonly partition: PartitionSnapshot) {
    this.acceptingMachines = partition.machines().filter(({ accepting }) => accepting);
    for (const { id, free } of this.acceptingMachines) this.freeByMachine.set(id, { ...free });
    this.acceptingMachines.sort((a, b) => b.free.cpus - a.free.cpus);
    this.targetCandidates = this.acceptingMachines
      .filter(({ free }) => free.cpus > 0)
      .slice(0, MAX_TARGETS_SCANNED);
  }

  /** Free resources of a machine after the plans made so far; none if it accepts no tasks. */
  freeResources(machine: string): Resources {
    return this.freeByMachine.get(machine) ?? NO_RESOURCES;
  }

  /** Subtracts resources that a plan takes from a machine's free ones. */
  reserve(machine: string, resources: Resources): void {
    this.freeByMachine.set(machine, addResources(this.freeResources(machine), resources, -1));
  }

  /** Removes a task that a plan moves off its machine, and adds its resources to the free ones. */
  removeTask(machine: string, task: TaskSnapshot): void {
    this.leavingTasks.add(task);
    this.freeByMachine.set(machine, addResources(this.freeResources(machine), task.spec.resources, 1));
  }

  /** Tasks that remain on a machine after the plans made so far. */
  tasksOn(machine: string): readonly TaskSnapshot[] {
    const tasks = this.tasksByMachine.get(machine) ?? this.partition.tasksOn(machine);
    this.tasksByMachine.set(machine, tasks);
    return this.leavingTasks.size === 0 ? tasks : tasks.filter((task) => !this.leavingTasks.has(task));
  }

  /** Accepting machines that could run a task of this job if they were empty. */
  suitableMachines({ job, resources }: JobSnapshot): MachineSnapshot[] {
    return this.acceptingMachines.filter(
      ({ id, capacity }) => fits(capacity, resources) && this.partition.jobAllowsMachine(job, id),
    );
  }

  /** Machines other than `source` on which a task fits now, in addition to the resources `reserved` on them. */
  targetsFor(
    { spec }: TaskSnapshot,
    source: string,
    reserved: ReadonlyMap<string, Resources>,
  ): MachineSnapshot[] {
    const targets: MachineSnapshot[] = [];
    let targetsWithoutImage = 0;
    for (const machine of this.targetCandidates) {
      const hasImage = machine.hasImage(spec.image);
      if (machine.id === source || (!hasImage && targetsWithoutImage >= MAX_TARGETS_WITHOUT_IMAGE)) continue;
      const reservedOnMachine = reserved.get(machine.id);
      const free = this.freeResources(machine.id);
      const remaining = reservedOnMachine ? addResources(free, reservedOnMachine, -1) : free;
      if (!fits(remaining, spec.resources) || !this.partition.jobAllowsMachine(spec.job, machine.id))
        continue;
      if (!hasImage) targetsWithoutImage++;
      targets.push(machine);
    }
    return targets;
  }
}
