const BAD_SETTINGS_EXIT_CODE = 2;

/** Ends the process with the exit code for invalid settings or arguments, after writing the reason to standard error as one line. */
export function exitWithError(reason: string): never {
  process.stderr.write(`heathbridge: ${reason}\n`);
  process.exit(BAD_SETTINGS_EXIT_CODE);
}

/** Returns the result of `read`, which reads a required file. An error that it throws ends the process. */
export function readOrExit<T>(read: () => T): T {
  try {
    return read();
  } catch (error) {
    return exitWithError((error as Error).message);
  }
}
