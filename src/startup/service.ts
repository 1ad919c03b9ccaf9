import { readFileSync } from 'node:fs';
import { systemClock } from '../transport/clock';
import { openLog } from '../transport/log';
import { DEFAULT_POLICY, loadPolicy, type Policy } from '../protocol/policy';
import { parseSettings, type Settings } from '../protocol/settings';
import { serve } from '../coordination/controller/api-server';
import { type OptionalFeatures } from './optional-features';
import { readOrExit, exitWithError } from './settings-files';

export const VERSION = '0.2.0';

export interface ServiceOptions {
  config: string;
  policy?: string;
  features?: string;
}

const NO_FEATURES: OptionalFeatures = { balancing: null };

/** Reads the platform's settings and the operators' policy. The first error in them ends the process. */
export function readSettings({ config, policy }: ServiceOptions): { settings: Settings; policy: Policy } {
  let settings: Settings;
  try {
    settings = parseSettings(readFileSync(config, 'utf8'));
  } catch (error) {
    return exitWithError(`${config}: ${(error as Error).message}`);
  }
  return {
    settings,
    policy: readOrExit(() => (policy === undefined ? DEFAULT_POLICY : loadPolicy(policy))),
  };
}

/** Reads the features file, if one is given. The implementation of the features is loaded only then. */
export async function readFeatures(path: string | undefined): Promise<OptionalFeatures> {
  if (path === undefined) return NO_FEATURES;
  const { loadOptionalFeatures } = await import('./optional-features');
  return loadOptionalFeatures(path, systemClock);
}

/** Runs a controller for as long as the process lives. */
export function startService(options: ServiceOptions): void {
  const { settings, policy } = readSettings(options);
  if (options.features === undefined) runController(settings, policy, NO_FEATURES);
  else void readFeatures(options.features).then((features) => runController(settings, policy, features));
}

function runController(settings: Settings, policy: Policy, features: OptionalFeatures): void {
  const log = openLog(settings.member);
  // An error that gets here is a defect. The process continues, because its partition would make no progress without it.
  process.on('uncaughtException', (error) => log.error({ error: error.stack }, 'uncaught exception'));
  process.on('unhandledRejection', (error) => log.error({ error: String(error) }, 'unhandled rejection'));
  const teams = settings.teams.map((t) => `${t.name} ${t.guaranteed.cpus}/${t.limit.cpus}`).join(', ');
  log.info({ version: VERSION, teams }, 'starting');
  serve({ settings, policy, clock: systemClock, log, balancing: features.balancing });
}
