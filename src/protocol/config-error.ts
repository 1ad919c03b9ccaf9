/** Stable codes of the errors in configuration files, one a kind of file. */
export type ConfigErrorCode = 'ERR_INVALID_SETTINGS' | 'ERR_INVALID_POLICY' | 'ERR_INVALID_FEATURES';

/** A configuration file cannot be used. The message is one line that names what is wrong and where; `cause` is what failed. */
export abstract class ConfigError extends Error {
  protected constructor(
    readonly code: ConfigErrorCode,
    message: string,
    cause?: unknown,
  ) {
    super(message, cause === undefined ? undefined : { cause });
    this.name = new.target.name;
  }
}
