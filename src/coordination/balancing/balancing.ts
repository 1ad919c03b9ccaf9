import { type FleetBalancing } from '../fleet/fleet-balancing';
import { type PartitionBalancing } from '../partition/partition-balancing';
import { type PartitionCore } from '../partition/partition-core';

/** Load balancing as it is switched on for a controller; what implements it is loaded only then. */
export interface LoadBalancing {
  forPartition(core: PartitionCore): PartitionBalancing;
  readonly fleet: FleetBalancing;
}
