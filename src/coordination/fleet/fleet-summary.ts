import { type MachineType } from '../../protocol/cloud';
import { type MachineLoad, type PartitionLoad } from '../../protocol/peers';
import { type FleetMachine } from './fleet-snapshot';

/** Number of heartbeats that a machine may miss before the log counts it as silent. */
const MAX_MISSED_HEARTBEATS = 2;

/** One partition's machines, free CPUs and demand, as a log entry. */
export function fleetSummary(
  load: PartitionLoad,
  machines: readonly FleetMachine[],
  types: ReadonlyMap<string, MachineType>,
  heartbeatIntervalMs: number,
): object {
  const inUse = machines.filter(
    ({ partition, deprovisioning }) => partition === load.partition && !deprovisioning,
  );
  const freeCpusOf = (matches: (machine: MachineLoad) => boolean): number =>
    Math.round(load.machines.filter(matches).reduce((sum, { freeCpus }) => sum + freeCpus, 0));
  return {
    partition: load.partition,
    machines: inUse.length,
    booting: inUse.filter(({ booting }) => booting).length,
    cpus: inUse.reduce((sum, { type }) => sum + (types.get(type)?.cpus ?? 0), 0),
    free: {
      all: freeCpusOf(() => true),
      booting: freeCpusOf((m) => m.sinceHeartbeatMs < 0),
      draining: freeCpusOf((m) => m.transferTarget !== null),
      preemptionNotice: freeCpusOf((m) => m.preemptionNotice),
      silent: freeCpusOf((m) => m.sinceHeartbeatMs > heartbeatIntervalMs * MAX_MISSED_HEARTBEATS),
    },
    remainingCpuSeconds: load.remainingWork.map(Math.round).join(' '),
    pending: load.demands.map(({ tasks, cpus, priority }) => `${tasks}x${cpus}@${priority}`).join(' '),
  };
}
