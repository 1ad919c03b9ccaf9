import { type Command, type Heartbeat } from '../../protocol/workers';
import { type PartitionJob } from './job';
import { type MachineSet } from './machine-set';
import { type TaskExit } from './in-flight-task';
import { type MachineState } from './machine';
import { type PartitionCounters, type TaskLifecycle } from './task-lifecycle';
import { type TaskObserver } from './task-observer';
import { type TaskPlacement } from './task-placement';
import { type TeamQuota } from './team-quota';
import { type UnconfirmedMachines } from './unconfirmed-machines';

/** The answer to a heartbeat. */
export interface HeartbeatAnswer {
  /** Fencing token that the worker must show in its next heartbeat. */
  token: number;
  commands: Command[];
}

export interface HeartbeatHandlerDependencies {
  epoch: number;
  leaseMs: number;
  machines: MachineSet;
  unconfirmedMachines: UnconfirmedMachines;
  jobs: ReadonlyMap<string, PartitionJob>;
  quota: TeamQuota;
  lifecycle: TaskLifecycle;
  placement: TaskPlacement;
  counters: PartitionCounters;
  observed: { readonly observer: TaskObserver | null };
  /** Called once nothing of an earlier owner can be on the machine any more without having been seen. */
  markConfirmed: (machine: string) => void;
}

/**
 * Handles the heartbeats of a partition's workers. A heartbeat costs what the tasks of its own machine cost, and one pass over the
 * pending jobs if the machine has free resources; never a pass over the fleet.
 */
export class HeartbeatHandler {
  constructor(private readonly deps: HeartbeatHandlerDependencies) {}

  /** Answers a heartbeat with a token and commands; null: the machine does not belong to this partition. */
  handle(heartbeat: Heartbeat, now: number): HeartbeatAnswer | null {
    const { epoch, counters } = this.deps;
    const machine = this.deps.machines.byId.get(heartbeat.machine);
    if (!machine) return null;
    counters.reports++;
    // A delayed copy proves nothing, renews no lease and is given no commands.
    if (!machine.isNewer(heartbeat)) {
      counters.stale++;
      return { token: machine.token(epoch), commands: [] };
    }
    this.applyHeartbeat(machine, heartbeat, now);
    const commands = this.commandsFor(machine, now);
    return { token: machine.token(epoch), commands };
  }

  private applyHeartbeat(machine: MachineState, heartbeat: Heartbeat, now: number): void {
    const { epoch, leaseMs, lifecycle, quota } = this.deps;
    const wasConfirmed = machine.confirmed;
    // Booting is not idleness: counted from its provisioning, a machine would be deprovisioned the moment it is up.
    if (machine.lastHeartbeatAt === null) machine.idleSince = now;
    const outcome = machine.applyHeartbeat(heartbeat, epoch, now, leaseMs);
    for (const task of outcome.lost) lifecycle.releaseLostTask(task, now);
    for (const exit of outcome.exits) lifecycle.handleExit(machine, exit, now);
    for (const task of outcome.unknownTasks) lifecycle.adoptRunningTask(machine, task, now);
    if (!wasConfirmed) this.updateConfirmation(machine);
    quota.invalidateReserved();
    if (machine.preemptionDeadline !== null) lifecycle.checkpointBeforePreemption(machine, now);
    if (machine.tasks.size > 0) machine.idleSince = now;
  }

  private updateConfirmation(machine: MachineState): void {
    if (machine.confirmed) this.deps.markConfirmed(machine.id);
    else this.deps.unconfirmedMachines.set(machine.id, this.deps.machines.freeOn(machine));
  }

  private commandsFor(machine: MachineState, now: number): Command[] {
    const { observed, placement } = this.deps;
    const commands = machine.takeCommands(this.isForgettable, now);
    observed.observer?.startReservedTasks(machine, commands, now);
    placement.placeTasks(machine, commands, now);
    return commands;
  }

  /**
   * Whether the worker may forget an exit: a success only once the state store has it, or has the job's terminal state. Of a
   * failure nothing is kept.
   */
  private readonly isForgettable = (exit: TaskExit): boolean =>
    exit.reason !== 'done' || this.deps.jobs.get(exit.ref)?.isDurable(exit.index) !== false;
}
