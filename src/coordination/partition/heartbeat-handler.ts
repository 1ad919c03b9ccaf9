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
  /** Holder of the observer, which is set after this handler is created. */
  observerHolder: { readonly observer: TaskObserver | null };
  /** Called once every task of an earlier owner that can still be on the machine has been reported. */
  markConfirmed: (machine: string) => void;
}

/**
 * Handles the heartbeats of a partition's workers. The cost of a heartbeat is proportional to the number of tasks on its machine,
 * plus a fixed number of passes over the open jobs if the machine has free resources. It includes a pass over all machines only if
 * the scheduling order must be recomputed, or a job with pending tasks must share or spread over zones.
 */
export class HeartbeatHandler {
  constructor(private readonly deps: HeartbeatHandlerDependencies) {}

  /** Returns the token and commands to answer a heartbeat with; null if its machine is not in this partition. */
  handle(heartbeat: Heartbeat, now: number): HeartbeatAnswer | null {
    const { epoch, counters } = this.deps;
    const machine = this.deps.machines.byId.get(heartbeat.machine);
    if (!machine) return null;
    counters.reports++;
    // A delayed copy of an older heartbeat proves nothing: it renews no lease, and its answer contains no commands.
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
    // The boot time is not idle time. If it were, a machine would be deprovisioned as soon as it is up.
    if (machine.lastHeartbeatAt === null) machine.idleSince = now;
    const outcome = machine.applyHeartbeat(heartbeat, epoch, now, leaseMs);
    for (const lost of outcome.lost) lifecycle.releaseLostTask(lost, now);
    for (const exit of outcome.exits) lifecycle.handleExit(machine, exit, now);
    for (const task of outcome.unknownTasks) lifecycle.adoptRunningTask(machine, task, now);
    if (!wasConfirmed) this.updateConfirmation(machine);
    quota.invalidateReserved();
    if (machine.preemptionDeadline !== null) lifecycle.checkpointBeforePreemption(machine, now);
    if (machine.tasks.size > 0) machine.idleSince = now;
  }

  private updateConfirmation(machine: MachineState): void {
    const { machines, unconfirmedMachines, markConfirmed } = this.deps;
    if (machine.confirmed) markConfirmed(machine.id);
    // The whole capacity, because this heartbeat may be a late copy, whose tasks have made room for others since.
    else unconfirmedMachines.set(machine.id, machines.capacityOf(machine));
  }

  private commandsFor(machine: MachineState, now: number): Command[] {
    const { observerHolder, placement } = this.deps;
    const commands = machine.takeCommands(this.isForgettable, now);
    observerHolder.observer?.startReservedTasks(machine, commands, now);
    placement.placeTasks(machine, commands, now);
    return commands.commands;
  }

  /**
   * Whether the worker may forget an exit. It may forget a success only once the state store has recorded it, or has the job's
   * terminal state. It may forget a failure at once, because failures are not recorded.
   */
  private readonly isForgettable = (exit: TaskExit): boolean =>
    exit.reason !== 'done' || this.deps.jobs.get(exit.ref)?.isDurable(exit.index) !== false;
}
