/** Builders of what the leader plans capacity from. */
import { type FleetMachine } from '../../src/coordination/fleet/capacity-plan';
import { type Demand, type MachineLoad, type PartitionLoad } from '../../src/protocol/peers';

/** Ten tasks of one CPU that wait, a minute each. */
export function demand(change: Partial<Demand>): Demand {
  return {
    workload: 'w',
    cpus: 1,
    accelerators: 0,
    memoryGb: 2,
    machineTypes: null,
    zones: null,
    spot: true,
    priority: 2,
    tasks: 10,
    expectedS: 60,
    ...change,
  };
}

/** An idle machine of the small type that its owner hears. */
export function machineLoad(machine: string, change: Partial<MachineLoad> = {}): MachineLoad {
  return {
    machine,
    tasks: 0,
    freeCpus: 4,
    freeMemoryGb: 16,
    freeAccelerators: 0,
    idleMs: 0,
    sinceHeartbeatMs: 100,
    quarantined: false,
    preemptionNotice: false,
    transferTarget: null,
    emptyInS: 0,
    ...change,
  };
}

/** The load of a partition; its backlog follows from the demands. */
export function partitionLoad(
  id: string,
  demands: Demand[],
  machines: MachineLoad[],
  change: Partial<PartitionLoad> = {},
): PartitionLoad {
  const backlog = [0, 0, 0, 0];
  for (const d of demands) backlog[d.priority]! += d.tasks * d.cpus * d.expectedS;
  return {
    partition: id,
    epoch: 1,
    unconfirmed: 0,
    demands,
    machines,
    remainingWork: [0, 0, 0, 0],
    backlog,
    sinceLastJobS: 0,
    ...change,
  };
}

/** A small spot machine of partition `p0`, up for a minute. */
export function fleetMachine(id: string, change: Partial<FleetMachine> = {}): FleetMachine {
  return {
    id,
    partition: 'p0',
    type: 'small',
    zone: 'a',
    spot: true,
    deprovisioning: false,
    ageMs: 60_000,
    booting: false,
    sinceHeartbeatMs: 0,
    failed: false,
    quarantinedMs: 0,
    sinceTransferMs: Infinity,
    ...change,
  };
}
