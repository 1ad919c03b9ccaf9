/** The configurations that the comparison with and without load balancing simulates. */
import { type BalanceSimulationResult } from '../../test/standin/balance-day';

/** A configuration of the service in the comparison. */
export interface Variant {
  name: string;
  /** Settings of the balancer; null if it is off. */
  balancing: object | null;
}

/** The results of the simulations of one variant, one per seed. */
export interface VariantResults {
  variant: Variant;
  simulations: BalanceSimulationResult[];
}

export const VARIANTS: readonly Variant[] = [
  { name: 'off', balancing: null },
  { name: 'on, packed', balancing: {} },
  { name: 'on, even', balancing: { placement: 'even' } },
];
