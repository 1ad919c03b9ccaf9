import { type MachineType } from '../../protocol/cloud';
import { type PartitionJob } from './job';
import { type MachineState } from './machine';
import { type RoomSource } from './placement-plan';
import { type Resources } from './resources';
import { type RuntimeEstimates } from './priority';
import { type TeamQuota } from './team-quota';

/**
 * Read-only state of a partition, from which its load and its start watermarks are computed. Both computations change nothing, so
 * they depend on this interface and not on the partition core that calls them.
 */
export interface PartitionState extends RoomSource {
  readonly id: string;
  /** Epoch of the partition's record in the state store; it fences every earlier owner. */
  readonly epoch: number;
  readonly estimates: RuntimeEstimates;
  readonly quota: Pick<TeamQuota, 'usageOf' | 'remaining'>;
  /** Number of machines that may still run tasks of an earlier owner that were not reported to this one. */
  readonly unconfirmedCount: number;
  /** Steady time in milliseconds at which a job was last added; 0 if none was. */
  readonly lastJobArrivalAt: number;
  /** Maximum size in bytes of the list of finished tasks of one job in a stored value. */
  readonly maxDoneRangesBytes: number;
  /** Returns the machine types by name, as the cloud last listed them. */
  readonly machineTypes: () => ReadonlyMap<string, MachineType>;
  /** Free resources of a machine; null if its type, or the job of a task on it, is unknown. */
  freeOn(machine: MachineState): Resources | null;
  /** Open jobs in the order in which they are offered resources. */
  jobsInSchedulingOrder(): readonly PartitionJob[];
  /** Whether no new task may be placed on a machine now. */
  isUnschedulable(machine: MachineState, now: number): boolean;
  /** Whether a machine is given no tasks because it is considered the cause of task failures on it. */
  isQuarantined(machine: MachineState, now: number): boolean;
}
