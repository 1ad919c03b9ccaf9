import { type FleetBalancing } from '../fleet/fleet-balancing';
import { type PartitionBalancing } from '../partition/partition-balancing';
import { type PartitionCore } from '../partition/partition-core';

/** The load balancing of a controller. Its implementation is loaded only if the controller has a features file. */
export interface LoadBalancing {
  forPartition(core: PartitionCore): PartitionBalancing;
  readonly fleet: FleetBalancing;
}
