import { type MachineType } from '../../protocol/cloud';
import { type MachineLoad, type PartitionLoad } from '../../protocol/peers';
import { type FleetMachine } from './capacity-plan';

/** Reports that a machine may miss before the log counts it as silent. */
const MAX_MISSED_HEARTBEATS = 2;

/** One partition's fleet at a glance, for the log. */
export function fleetSummary(
  load: PartitionLoad,
  machines: readonly FleetMachine[],
  types: ReadonlyMap<string, MachineType>,
  heartbeatIntervalMs: number,
): object {
  const ofPartition = machines.filter((m) => m.partition === load.partition && !m.deprovisioning);
  const freeOf = (which: (m: MachineLoad) => boolean): number =>
    Math.round(load.machines.filter(which).reduce((sum, m) => sum + m.freeCpus, 0));
  return {
    partition: load.partition,
    machines: ofPartition.length,
    booting: ofPartition.filter((m) => m.booting).length,
    cpus: ofPartition.reduce((sum, m) => sum + (types.get(m.type)?.cpus ?? 0), 0),
    free: {
      all: freeOf(() => true),
      booting: freeOf((m) => m.sinceHeartbeatMs < 0),
      draining: freeOf((m) => m.transferTarget !== null),
      preemptionNotice: freeOf((m) => m.preemptionNotice),
      silent: freeOf((m) => m.sinceHeartbeatMs > heartbeatIntervalMs * MAX_MISSED_HEARTBEATS),
    },
    remainingCpuSeconds: load.remainingWork.map(Math.round).join(' '),
    pending: load.demands.map((d) => `${d.tasks}x${d.cpus}@${d.priority}`).join(' '),
  };
}
