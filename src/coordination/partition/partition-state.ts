import { type MachineType } from '../../protocol/cloud';
import { type PartitionJob } from './job';
import { type MachineState } from './machine';
import { type Resources } from './resources';
import { type RuntimeEstimates } from './priority';
import { type TeamQuota } from './team-quota';

/**
 * Read-only state of a partition, as the load snapshot and the start watermarks are computed from it. Both read it and change
 * nothing, so they depend on this interface and not on the partition core that calls them.
 */
export interface PartitionState {
  readonly id: string;
  /** Epoch of the partition's record in the state store; it fences every earlier owner. */
  readonly epoch: number;
  readonly machines: ReadonlyMap<string, MachineState>;
  readonly estimates: RuntimeEstimates;
  readonly quota: Pick<TeamQuota, 'usageOf' | 'remaining'>;
  /** Machines on which an earlier owner may still have tasks that this owner has not seen. */
  readonly unconfirmedCount: number;
  /** Steady time in milliseconds at which a job last became known here. */
  readonly lastJobArrivalAt: number;
  /** Bytes of a stored value that the list of finished tasks of one job may take. */
  readonly maxRangeBytes: number;
  readonly machineTypes: () => ReadonlyMap<string, MachineType>;
  /** Capacity of a machine; null while its type is unknown. */
  capacityOf(machine: MachineState): Resources | null;
  /** Free resources of a machine; null while its type, or a task on it, is unknown. */
  freeOn(machine: MachineState): Resources | null;
  /** Open jobs in the order in which they are offered resources. */
  jobsInSchedulingOrder(): readonly PartitionJob[];
  /** Whether no new task may be placed on the machine now. */
  isUnschedulable(machine: MachineState, now: number): boolean;
  /** Whether tasks fail on the machine and the machine is taken to be the cause. */
  isQuarantined(machine: MachineState): boolean;
}
