import { type ProvisionRequest, type MachineType } from '../../protocol/cloud';
import { type PartitionLoad } from '../../protocol/peers';
import { type Policy } from '../../protocol/policy';
import { type MachineKind } from '../partition/placement';

/** A machine as the leader knows it. */
export interface FleetMachine extends MachineKind {
  /** Empty while the machine is being provisioned and has no name yet. */
  id: string;
  partition: string;
  deprovisioning: boolean;
  /** Time since it was provisioned if it is booting, else since this leader first saw it. */
  ageMs: number;
  /** Whether no owner has received a heartbeat from it, as far as this leader knows. */
  booting: boolean;
  /** Time since any owner last received a heartbeat from it; 0 while it is booting. */
  sinceHeartbeatMs: number;
  /** Whether the cloud lists it as failed. */
  failed: boolean;
  /** How long its partition's owner has quarantined it; 0 if it is not quarantined. */
  quarantinedMs: number;
  /** Time since the first of its recent quarantines began; 0 if it has recovered or was never quarantined. */
  failingMs: number;
  /** Time since this leader last ordered its transfer or a drain to the cloud; Infinity if it never did. */
  sinceTransferMs: number;
}

/** What the leader knows of the fleet, and the settings that planning depends on. */
export interface FleetSnapshot {
  types: ReadonlyMap<string, MachineType>;
  loads: readonly PartitionLoad[];
  machines: readonly FleetMachine[];
  /** Whether the cloud currently has no machine of this kind. */
  capacityExhausted: (kind: MachineKind) => boolean;
  /** Whether the cloud had too few machines of this kind when it was last asked for some. */
  capacityRefused: (kind: MachineKind) => boolean;
  leaseMs: number;
  policy: Policy;
}

/** A planned change of one machine of the fleet. */
export type FleetAction =
  | { kind: 'scale-out'; partition: string; request: ProvisionRequest }
  /** With `drain`, the machine may be in use and is drained first. A transfer to its own partition revokes a drain. */
  | { kind: 'transfer'; machine: string; fromPartition: string; toPartition: string; drain: boolean }
  /** With `force`, the machine is returned to the cloud although it may be in use. */
  | { kind: 'scale-in'; machine: string; partition: string; reason: string; force: boolean };
