import { readFileSync } from 'node:fs';
import { Command } from 'commander';
import { systemClock } from './transport/clock';
import { openLog } from './transport/log';
import { parseSettings, type Settings } from './protocol/settings';
import { serve } from './coordination/server';

const VERSION = '0.1.0';
const BAD_SETTINGS = 2;

function readSettings(path: string): Settings {
  try {
    return parseSettings(readFileSync(path, 'utf8'));
  } catch (error) {
    process.stderr.write(`heathbridge: ${path}: ${(error as Error).message}\n`);
    process.exit(BAD_SETTINGS);
  }
}

function start(path: string): void {
  const settings = readSettings(path);
  const log = openLog(settings.member);
  // What gets here is a defect; the process goes on, for its part would stand still without it.
  process.on('uncaughtException', (error) => log.error({ error: error.stack }, 'uncaught'));
  process.on('unhandledRejection', (error) => log.error({ error: String(error) }, 'unhandled'));
  log.info({ version: VERSION }, 'starting');
  serve(settings, systemClock, log);
}

const program = new Command('heathbridge')
  .description('A cluster scheduler for pipelines of jobs.')
  .version(VERSION)
  .requiredOption('--config <file>', "the platform's settings (JSON)")
  .action((options: { config: string }) => start(options.config));

// The build loads the program once without running it, to keep its compiled code.
if (!process.argv.includes('--warm-up')) program.parse();
