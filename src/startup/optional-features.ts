import { readOrExit } from './settings-files';
import { loadFeatures } from '../protocol/features';
import { type Clock } from '../transport/clock';
import { type LoadBalancing } from '../coordination/balancing/balancing';
import { createLoadBalancing } from '../coordination/balancing/load-balancing';

/** The features that a features file enables. */
export interface OptionalFeatures {
  /** Null if load balancing is off. */
  balancing: LoadBalancing | null;
}

/** Reads a features file and creates the features that it enables. The first error in the file ends the process. */
export function loadOptionalFeatures(path: string, clock: Clock): OptionalFeatures {
  const { load_balancer: settings } = readOrExit(() => loadFeatures(path));
  return { balancing: settings?.enabled ? createLoadBalancing(settings, clock) : null };
}
