const BAD_SETTINGS_EXIT_CODE = 2;

/** Ends the program with the code for bad settings and one line that says why. */
export function exitWithError(reason: string): never {
  process.stderr.write(`heathbridge: ${reason}\n`);
  process.exit(BAD_SETTINGS_EXIT_CODE);
}

/** Reads a file that is needed to go on; what is wrong with it ends the program. */
export function readSettingsFile<T>(read: () => T): T {
  try {
    return read();
  } catch (error) {
    return exitWithError((error as Error).message);
  }
}
