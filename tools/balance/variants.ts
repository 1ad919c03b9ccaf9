/** What the comparison of days with and without load balancing plays. */
import { type BalanceSimulationResult } from '../../test/standin/balance-day';

/** A way of running the service that is compared. */
export interface Variant {
  name: string;
  /** Settings of the balancer; null: it is off. */
  balancing: object | null;
}

/** The days of one variant, one a seed. */
export interface VariantDays {
  variant: Variant;
  days: BalanceSimulationResult[];
}

export const VARIANTS: readonly Variant[] = [
  { name: 'off', balancing: null },
  { name: 'on, packed', balancing: {} },
  { name: 'on, even', balancing: { placement: 'even' } },
];
