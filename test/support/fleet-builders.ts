/** Builders of the input of the leader's capacity planning. */
import { type FleetMachine } from '../../src/coordination/fleet/fleet-snapshot';
import { type Demand, type MachineLoad, type PartitionLoad } from '../../src/protocol/peers';

/** The demand of ten pending tasks with one CPU and an expected run time of one minute each. */
export function demand(overrides: Partial<Demand>): Demand {
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
    ...overrides,
  };
}

/** The load of an idle machine of the small type whose heartbeats reach its owner. */
export function machineLoad(machine: string, overrides: Partial<MachineLoad> = {}): MachineLoad {
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
    ...overrides,
  };
}

/** The load of a partition; its backlog is computed from the demands. */
export function partitionLoad(
  id: string,
  demands: Demand[],
  machines: MachineLoad[],
  overrides: Partial<PartitionLoad> = {},
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
    ...overrides,
  };
}

/** A small spot machine of partition `p0` with an age of one minute. */
export function fleetMachine(id: string, overrides: Partial<FleetMachine> = {}): FleetMachine {
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
    failingMs: 0,
    sinceTransferMs: Infinity,
    ...overrides,
  };
}
