import { type ProvisionRequest, type MachineType } from '../../protocol/cloud';
import { type PartitionLoad } from '../../protocol/peers';
import { type Policy } from '../../protocol/policy';

/** A type of machine in a zone, bought in one of the two ways. */
export interface MachineKind {
  type: string;
  zone: string;
  /** Bought at the spot price, so that the cloud may take it back; else on demand. */
  spot: boolean;
}

/** A machine kind as a key of maps. */
export function kindKey({ type, zone, spot }: MachineKind): string {
  return `${type}/${zone}/${spot}`;
}

/** A machine as the leader knows it. */
export interface FleetMachine extends MachineKind {
  /** Empty: it is being provisioned and has no name yet. */
  id: string;
  partition: string;
  deprovisioning: boolean;
  /** Time since it was provisioned if it boots, else since this leader first saw it. */
  ageMs: number;
  /** No owner has received a heartbeat from it. */
  booting: boolean;
  /** Time since some owner last received a heartbeat; 0 while it boots. */
  sinceHeartbeatMs: number;
  /** The cloud lists it as failed. */
  failed: boolean;
  /** For how long its partition's owner has quarantined it, 0: it is not quarantined. */
  quarantinedMs: number;
  /** Time since this leader last had it transferred, Infinity: never. */
  sinceTransferMs: number;
}

/** What the leader knows of the fleet, and what the fleet is to be planned by. */
export interface FleetSnapshot {
  types: ReadonlyMap<string, MachineType>;
  loads: readonly PartitionLoad[];
  machines: readonly FleetMachine[];
  /** Whether the cloud has no machine of this kind at present. */
  capacityExhausted: (kind: MachineKind) => boolean;
  leaseMs: number;
  policy: Policy;
}

/** What is to be done to one machine of the fleet. */
export type FleetAction =
  | { kind: 'scale-out'; partition: string; request: ProvisionRequest }
  /** `drain`: the machine may be in use and is emptied first; to its own partition: a drain is revoked. */
  | { kind: 'transfer'; machine: string; fromPartition: string; toPartition: string; drain: boolean }
  /** `force`: the machine is given back although it may be in use. */
  | { kind: 'scale-in'; machine: string; partition: string; reason: string; force: boolean };
