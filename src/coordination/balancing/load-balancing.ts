import { type BalancerSettings } from '@heathbridge/load-balancer';
import { type Clock } from '../../transport/clock';
import { type PartitionCore } from '../partition/partition-core';
import { type Balancing } from './balancing';
import { MachineTransferReview } from './machine-transfer-review';
import { TaskMoves } from './task-moves';

/** Load balancing by the package of that name. Loaded only where the features file switches it on. */
export function loadBalancing(settings: BalancerSettings, clock: Clock): Balancing {
  return {
    forPartition: (core: PartitionCore) => new TaskMoves(core, settings, () => clock.steady()),
    fleet: new MachineTransferReview(settings),
  };
}
