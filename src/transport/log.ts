import pino from 'pino';

/** A structured log with one JSON object per line, the fields before the message. */
export type Log = pino.Logger;

const LEVELS = ['error', 'info', 'debug'];
const STANDARD_ERROR_FD = 2;

/** Opens the process log on standard error, at the level named by LOG_LEVEL (error, info or debug), otherwise at info. */
export function openLog(member: string): Log {
  const level = process.env['LOG_LEVEL'] ?? 'info';
  return pino(
    { level: LEVELS.includes(level) ? level : 'info', base: { member } },
    pino.destination({ dest: STANDARD_ERROR_FD, sync: true }),
  );
}
