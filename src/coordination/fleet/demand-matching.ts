import { type MachineType } from '../../protocol/cloud';
import { type Demand } from '../../protocol/peers';
import { allowsMachineType, type MachineKind } from '../partition/placement';
import { countFitting, type Resources } from '../partition/resources';

/** An existing machine, or one that could be provisioned. */
export interface MachineOption {
  type: MachineType;
  zone: string;
  spot: boolean;
}

/** All resources of an empty machine of a type, as a new object. */
export function fullCapacity({ cpus, accelerators, memoryGb }: MachineType): Resources {
  return { cpus, accelerators, memoryGb };
}

/** Whether a demand allows a kind of machine. */
export function allowsMachineKind(demand: Demand, kind: MachineKind): boolean {
  const allowsZone = demand.zones === null || demand.zones.includes(kind.zone);
  return allowsZone && allowsMachineType(demand, kind);
}

/** Whether a machine, if it were empty, could take a task of this demand. */
export function canRun(demand: Demand, { type, zone, spot }: MachineOption): boolean {
  return allowsMachineKind(demand, { type: type.name, zone, spot }) && countFitting(type, demand) > 0;
}
