import { type MachineType } from '../protocol/cloud';
import { type MachineLoad, type PartitionLoad } from '../protocol/peers';
import { type FleetMachine } from './fleet-plan';

/** Reports that a machine may miss before the log counts it as silent. */
const MISSED_REPORTS = 2;

/** One partition's fleet at a glance, for the log. */
export function fleetSummary(
  load: PartitionLoad,
  machines: readonly FleetMachine[],
  types: ReadonlyMap<string, MachineType>,
  reportMs: number,
): object {
  const here = machines.filter((m) => m.partition === load.partition && !m.returning);
  const freeOf = (which: (m: MachineLoad) => boolean): number =>
    Math.round(load.machines.filter(which).reduce((sum, m) => sum + m.freeCpus, 0));
  return {
    partition: load.partition,
    machines: here.length,
    booting: here.filter((m) => m.booting).length,
    cpus: here.reduce((sum, m) => sum + (types.get(m.type)?.cpus ?? 0), 0),
    free: {
      all: freeOf(() => true),
      booting: freeOf((m) => m.silentMs < 0),
      leaving: freeOf((m) => m.leavingTo !== null),
      noticed: freeOf((m) => m.noticed),
      silent: freeOf((m) => m.silentMs > reportMs * MISSED_REPORTS),
    },
    workLeft: load.workLeft.map(Math.round).join(' '),
    waiting: load.demands.map((d) => `${d.tasks}x${d.cpus}@${d.rank}`).join(' '),
  };
}
