import {
  evenCpuAllowance,
  evenUtilization,
  fetchSeconds,
  type MachineCpuUsage,
} from '@heathbridge/load-balancer';
import { type MachineType } from '../../protocol/cloud';
import { type JobSpec } from '../../protocol/jobs';
import { type MachineState } from '../partition/machine';
import { type PartitionCore } from '../partition/partition-core';
import { type Resources } from '../partition/resources';
import { type PlacementSpreader } from '../partition/task-placement';

/** Spreads new tasks so that all machines of a partition are filled to the same share of their CPUs. */
export class EvenSpreader implements PlacementSpreader {
  private targetUtilization = 1;

  constructor(
    private readonly core: PartitionCore,
    private readonly localityWeight: number,
  ) {}

  updateFillLevel(machines: Iterable<MachineState>, pendingCpus: number): void {
    const cpuUsages: MachineCpuUsage[] = [];
    for (const machine of machines) {
      const cpus = this.typeOf(machine)?.cpus ?? 0;
      cpuUsages.push({ cpus, usedCpus: cpus - (this.core.freeOn(machine)?.cpus ?? 0) });
    }
    this.targetUtilization = evenUtilization(cpuUsages, pendingCpus);
  }

  cpuAllowance(machine: MachineState, free: Resources, spec: JobSpec): number {
    const type = this.typeOf(machine);
    if (!type) return 0;
    const withoutImage = { activeFetchCount: 0, fetchGbPerS: type.fetchGbPerS, hasImage: () => false };
    const savedFetchS = machine.images.has(spec.image) ? fetchSeconds(spec, withoutImage) : 0;
    const expectedS = this.core.estimates.expectedSeconds(spec);
    return evenCpuAllowance(
      { capacity: type, free },
      this.targetUtilization,
      savedFetchS,
      expectedS,
      this.localityWeight,
    );
  }

  private typeOf(machine: MachineState): MachineType | undefined {
    return this.core.machineTypes().get(machine.record.type);
  }
}
