import { readSettingsFile } from './settings-files';
import { loadFeatures } from '../protocol/features';
import { type Clock } from '../transport/clock';
import { type LoadBalancing } from '../coordination/balancing/balancing';
import { createLoadBalancing } from '../coordination/balancing/load-balancing';

/** What a file of features switches on. */
export interface OptionalFeatures {
  balancing: LoadBalancing | null;
}

/** Reads a file of features and makes what it switches on; the first thing that is wrong with it ends the program. */
export function loadOptionalFeatures(path: string, clock: Clock): OptionalFeatures {
  const { load_balancer: settings } = readSettingsFile(() => loadFeatures(path));
  return { balancing: settings?.enabled ? createLoadBalancing(settings, clock) : null };
}
