import { readFileSync } from 'node:fs';
import { Command } from 'commander';
import { systemClock } from './transport/clock';
import { openLog } from './transport/log';
import { DEFAULT_POLICY, loadPolicy, type Policy } from './protocol/policy';
import { parseSettings, type Settings } from './protocol/settings';
import { serve } from './coordination/server';
import { cancel, status, submit, type ClientOptions } from './client';

const VERSION = '0.2.0';
const BAD_SETTINGS = 2;
const DEFAULT_SERVER = '127.0.0.1:8080';

interface ServiceOptions {
  config: string;
  policy?: string;
}

function refuse(reason: string): never {
  process.stderr.write(`heathbridge: ${reason}\n`);
  process.exit(BAD_SETTINGS);
}

/** The platform's settings and the operators' policy; the first thing that is wrong with them ends the start. */
function read({ config, policy }: ServiceOptions): { settings: Settings; policy: Policy } {
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

function start(options: ServiceOptions): void {
  const { settings, policy } = read(options);
  const log = openLog(settings.member);
  // What gets here is a defect; the process goes on, for its partition would stand still without it.
  process.on('uncaughtException', (error) => log.error({ error: error.stack }, 'uncaught'));
  process.on('unhandledRejection', (error) => log.error({ error: String(error) }, 'unhandled'));
  const teams = settings.teams.map((t) => `${t.name} ${t.guaranteed.cpus}/${t.limit.cpus}`).join(', ');
  log.info({ version: VERSION, teams }, 'starting');
  serve(settings, policy, systemClock, log);
}

function check(options: ServiceOptions): void {
  const { settings, policy } = read(options);
  process.stdout.write(`settings of ${settings.member}: fine\n`);
  if (options.policy !== undefined) process.stdout.write(`policy: ${JSON.stringify(policy)}\n`);
}

const output = {
  out: (line: string): void => void process.stdout.write(`${line}\n`),
  err: (line: string): void => void process.stderr.write(`${line}\n`),
};

async function finish(code: Promise<number>): Promise<void> {
  process.exitCode = await code;
}

function commands(): Command {
  const program = new Command('heathbridge')
    .description('A cluster scheduler for pipelines of jobs. Without a command it serves.')
    .version(VERSION)
    .exitOverride((error) => process.exit(error.exitCode === 0 ? 0 : BAD_SETTINGS));
  const service = (command: Command): Command =>
    command
      .requiredOption('--config <file>', "the platform's settings (JSON)")
      .option('--policy <file>', "the operators' policy (Lua)");
  const client = (command: Command): Command =>
    command
      .option('--server <address:port>', 'a controller of the service', DEFAULT_SERVER)
      .option('--json', 'print the answer as JSON', false);
  service(program.command('serve', { isDefault: true }).description('run a controller')).action(start);
  service(program.command('check').description('check a settings file and a policy script')).action(check);
  client(
    program.command('submit <file>').description('submit the job that a JSON file describes (-: stdin)'),
  ).action((file: string, options: ClientOptions) => finish(submit(file, options, output)));
  client(program.command('status <ref>').description('ask how a job stands')).action(
    (ref: string, options: ClientOptions) => finish(status(ref, options, output)),
  );
  client(program.command('cancel <ref>').description('cancel a job')).action(
    (ref: string, options: ClientOptions) => finish(cancel(ref, options, output)),
  );
  return program;
}

// The build loads the program once without running it, to keep its compiled code.
if (!process.argv.includes('--warm-up')) {
  const program = commands();
  const word = process.argv[2] ?? '';
  const names = [...program.commands.map((c) => c.name()), 'help'];
  if (/^[a-z]/.test(word) && !names.includes(word)) refuse(`no command '${word}', only ${names.join(', ')}`);
  program.parse();
}
