/** Stable error codes of configuration files, one for each kind of file. */
export type ConfigErrorCode = 'ERR_INVALID_SETTINGS' | 'ERR_INVALID_POLICY' | 'ERR_INVALID_FEATURES';

/**
 * An error in a configuration file. The message is one line that names the location and the problem; `cause` is the underlying
 * error, if there is one.
 */
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
