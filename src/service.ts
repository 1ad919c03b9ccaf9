import { readFileSync } from 'node:fs';
import { systemClock } from './transport/clock';
import { openLog } from './transport/log';
import { DEFAULT_POLICY, loadPolicy, type Policy } from './protocol/policy';
import { parseSettings, type Settings } from './protocol/settings';
import { serve } from './coordination/server';

export const VERSION = '0.2.0';
const BAD_SETTINGS = 2;

export interface ServiceOptions {
  config: string;
  policy?: string;
}

/** Ends the program with the code for bad settings and one line that says why. */
export function refuse(reason: string): never {
  process.stderr.write(`heathbridge: ${reason}\n`);
  process.exit(BAD_SETTINGS);
}

/** The platform's settings and the operators' policy; the first thing that is wrong with them ends the start. */
export function readSettings({ config, policy }: ServiceOptions): { settings: Settings; policy: Policy } {
  let settings: Settings;
  try {
    settings = parseSettings(readFileSync(config, 'utf8'));
  } catch (error) {
    return refuse(`${config}: ${(error as Error).message}`);
  }
  try {
    return { settings, policy: policy === undefined ? DEFAULT_POLICY : loadPolicy(policy) };
  } catch (error) {
    return refuse((error as Error).message);
  }
}

/** Runs a controller for as long as the process lives. */
export function startService(options: ServiceOptions): void {
  const { settings, policy } = readSettings(options);
  const log = openLog(settings.member);
  // What gets here is a defect; the process goes on, for its partition would stand still without it.
  process.on('uncaughtException', (error) => log.error({ error: error.stack }, 'uncaught'));
  process.on('unhandledRejection', (error) => log.error({ error: String(error) }, 'unhandled'));
  const teams = settings.teams.map((t) => `${t.name} ${t.guaranteed.cpus}/${t.limit.cpus}`).join(', ');
  log.info({ version: VERSION, teams }, 'starting');
  serve(settings, policy, systemClock, log);
}
