import { startService, type ServiceOptions } from './service';

/** The build loads the program once without running it, to keep its compiled code. */
const WARM_UP = '--warm-up';

/**
 * The platform starts the service with nothing but its settings, and a file of features perhaps: then what reads command lines
 * is not loaded.
 */
function plainStart(words: readonly string[]): ServiceOptions | null {
  const [option, value, ...rest] = words;
  if (option === '--features' && value !== undefined) {
    const start = plainStart(rest);
    return start?.features === undefined && start ? { ...start, features: value } : null;
  }
  return words.length === 2 && option === '--config' && value !== undefined ? { config: value } : null;
}

const words = process.argv.slice(2);
const start = plainStart(words);
if (start !== null) startService(start);
else if (!words.includes(WARM_UP))
  void import('./command-line').then(({ runCommandLine }) => runCommandLine());
