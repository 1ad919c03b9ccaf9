import { startService } from './service';

/** The build loads the program once without running it, to keep its compiled code. */
const WARM_UP = '--warm-up';

/** The platform starts the service with nothing but its settings: then what reads command lines is not loaded. */
function settingsAlone(words: readonly string[]): string | null {
  const [option, config] = words;
  return words.length === 2 && option === '--config' && config !== undefined ? config : null;
}

const words = process.argv.slice(2);
const config = settingsAlone(words);
if (config !== null) startService({ config });
else if (!words.includes(WARM_UP))
  void import('./command-line').then(({ runCommandLine }) => runCommandLine());
