/** Machine types of the cloud that tests schedule on. */
import { type MachineType } from '../../src/protocol/cloud';

export const SMALL_TYPE: MachineType = {
  name: 'small',
  cpus: 4,
  accelerators: 0,
  memoryGb: 16,
  cacheGb: 50,
  fetchGbPerS: 1,
  price: 0.2,
  spotPrice: 0.08,
  bootS: 20,
  zones: ['a', 'b'],
};

/** Eight times the CPUs and memory of the small type, at nine times its price and ten times its spot price. */
export const LARGE_TYPE: MachineType = {
  ...SMALL_TYPE,
  name: 'large',
  cpus: 32,
  memoryGb: 128,
  price: 1.8,
  spotPrice: 0.8,
};
