import { Command } from 'commander';
import { showBalance } from './balance-command';
import { cancel, EXIT_CODES, status, submit, type ClientOptions } from './client';
import { readFeatures, readSettings, startService, VERSION, type ServiceOptions } from '../startup/service';
import { exitWithError } from '../startup/settings-files';

const DEFAULT_SERVER = '127.0.0.1:8080';

async function checkFiles(options: ServiceOptions): Promise<void> {
  const { settings, policy } = readSettings(options);
  await readFeatures(options.features);
  process.stdout.write(`settings of ${settings.member}: fine\n`);
  if (options.policy !== undefined) process.stdout.write(`policy: ${JSON.stringify(policy)}\n`);
  if (options.features !== undefined) process.stdout.write('features: fine\n');
}

const output = {
  out: (line: string): void => void process.stdout.write(`${line}\n`),
  err: (line: string): void => void process.stderr.write(`${line}\n`),
};

async function setExitCode(code: Promise<number>): Promise<void> {
  process.exitCode = await code;
}

function createProgram(): Command {
  const program = new Command('heathbridge')
    .description('A cluster scheduler for pipelines of jobs. Runs a controller if no command is given.')
    .version(VERSION)
    .exitOverride((error) => process.exit(error.exitCode === 0 ? 0 : EXIT_CODES.usage));
  const withServiceOptions = (command: Command): Command =>
    command
      .requiredOption('--config <file>', "the platform's settings (JSON)")
      .option('--policy <file>', "the operators' policy (Lua)")
      .option('--features <file>', 'the optional features to enable (TOML)');
  const withClientOptions = (command: Command): Command =>
    command
      .option('--server <address:port>', 'address of a controller', DEFAULT_SERVER)
      .option('--json', 'print the answer as JSON', false);
  withServiceOptions(program.command('serve', { isDefault: true }).description('run a controller')).action(
    startService,
  );
  withServiceOptions(
    program.command('check').description('check the settings, policy and features files'),
  ).action(checkFiles);
  withClientOptions(
    program.command('submit <file>').description('submit the job that a JSON file describes (-: stdin)'),
  ).action((file: string, options: ClientOptions) => setExitCode(submit(file, options, output)));
  withClientOptions(program.command('status <ref>').description("show a job's status")).action(
    (ref: string, options: ClientOptions) => setExitCode(status(ref, options, output)),
  );
  withClientOptions(program.command('cancel <ref>').description('cancel a job')).action(
    (ref: string, options: ClientOptions) => setExitCode(cancel(ref, options, output)),
  );
  withClientOptions(
    program
      .command('balance')
      .description('show the load of each partition, and what tasks and machines are moved and why'),
  ).action((options: ClientOptions) => setExitCode(showBalance(options, output)));
  return program;
}

/** Runs the command that the command line names. */
export function runCommandLine(): void {
  const program = createProgram();
  const commandName = process.argv[2] ?? '';
  const names = [...program.commands.map((c) => c.name()), 'help'];
  if (/^[a-z]/.test(commandName) && !names.includes(commandName))
    exitWithError(`unknown command '${commandName}', expected one of: ${names.join(', ')}`);
  program.parse();
}
