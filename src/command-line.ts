import { Command } from 'commander';
import { balance } from './balance-command';
import { cancel, status, submit, type ClientOptions } from './client';
import { readFeatures, readSettings, startService, VERSION, type ServiceOptions } from './service';
import { refuse } from './settings-files';

const BAD_USAGE = 2;
const DEFAULT_SERVER = '127.0.0.1:8080';

async function check(options: ServiceOptions): Promise<void> {
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

async function finish(code: Promise<number>): Promise<void> {
  process.exitCode = await code;
}

function commands(): Command {
  const program = new Command('heathbridge')
    .description('A cluster scheduler for pipelines of jobs. Without a command it serves.')
    .version(VERSION)
    .exitOverride((error) => process.exit(error.exitCode === 0 ? 0 : BAD_USAGE));
  const service = (command: Command): Command =>
    command
      .requiredOption('--config <file>', "the platform's settings (JSON)")
      .option('--policy <file>', "the operators' policy (Lua)")
      .option('--features <file>', 'what is switched on beyond scheduling (TOML)');
  const client = (command: Command): Command =>
    command
      .option('--server <address:port>', 'a controller of the service', DEFAULT_SERVER)
      .option('--json', 'print the answer as JSON', false);
  service(program.command('serve', { isDefault: true }).description('run a controller')).action(startService);
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
  client(program.command('balance').description('show load, and what is moved and why')).action(
    (options: ClientOptions) => finish(balance(options, output)),
  );
  return program;
}

/** Does what the words on the command line ask for. */
export function runCommandLine(): void {
  const program = commands();
  const word = process.argv[2] ?? '';
  const names = [...program.commands.map((c) => c.name()), 'help'];
  if (/^[a-z]/.test(word) && !names.includes(word)) refuse(`no command '${word}', only ${names.join(', ')}`);
  program.parse();
}
