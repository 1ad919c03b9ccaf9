import { startService, type ServiceOptions } from './startup/service';

/** The build loads the program once without running it, to keep its compiled code. */
const WARM_UP_OPTION = '--warm-up';

/**
 * The platform starts the service with nothing but its settings, and a file of features perhaps: then what reads command lines
 * is not loaded.
 */
function parseServeArguments(commandLineWords: readonly string[]): ServiceOptions | null {
  const [option, value, ...rest] = commandLineWords;
  if (option === '--features' && value !== undefined) {
    const options = parseServeArguments(rest);
    return options?.features === undefined && options ? { ...options, features: value } : null;
  }
  return commandLineWords.length === 2 && option === '--config' && value !== undefined
    ? { config: value }
    : null;
}

const commandLineWords = process.argv.slice(2);
const serviceOptions = parseServeArguments(commandLineWords);
if (serviceOptions !== null) startService(serviceOptions);
else if (!commandLineWords.includes(WARM_UP_OPTION))
  void import('./cli/command-line').then(({ runCommandLine }) => runCommandLine());
