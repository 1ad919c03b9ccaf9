import { type BalancerSettings } from '@heathbridge/load-balancer';
import { type Clock } from '../../transport/clock';
import { type PartitionCore } from '../partition/partition-core';
import { type LoadBalancing } from './balancing';
import { MachineTransferReview } from './machine-transfer-review';
import { TaskMover } from './task-moves';

/** Creates load balancing based on the load-balancer package. Loaded only if the controller has a features file. */
export function createLoadBalancing(settings: BalancerSettings, clock: Clock): LoadBalancing {
  return {
    forPartition: (core: PartitionCore) => new TaskMover(core, settings, () => clock.steady()),
    fleet: new MachineTransferReview(settings),
  };
}
