import { startService, type ServiceOptions } from './startup/service';

/** Option with which the build loads the program without running it, to cache its compiled code. */
const WARM_UP_OPTION = '--warm-up';

/**
 * Parses the arguments with which the platform starts the service: its settings and, optionally, a features file. For these
 * the command line parser is not loaded. Returns null for any other arguments.
 */
function parseServeArguments(args: readonly string[]): ServiceOptions | null {
  const [option, value, ...rest] = args;
  if (option === '--features' && value !== undefined) {
    const options = parseServeArguments(rest);
    return options?.features === undefined && options ? { ...options, features: value } : null;
  }
  return args.length === 2 && option === '--config' && value !== undefined ? { config: value } : null;
}

const args = process.argv.slice(2);
const serviceOptions = parseServeArguments(args);
if (serviceOptions !== null) startService(serviceOptions);
else if (!args.includes(WARM_UP_OPTION))
  void import('./cli/command-line').then(({ runCommandLine }) => runCommandLine());
