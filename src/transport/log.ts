import pino from 'pino';

/** A structured log: one JSON object a line, with the fields first and a message. */
export type Log = pino.Logger;

const LEVELS = ['error', 'info', 'debug'];
const STANDARD_ERROR_FD = 2;

/** The process's log on standard error, at the level that LOG_LEVEL names (error, info or debug), else at info. */
export function openLog(member: string): Log {
  const level = process.env['LOG_LEVEL'] ?? 'info';
  return pino(
    { level: LEVELS.includes(level) ? level : 'info', base: { member } },
    pino.destination({ dest: STANDARD_ERROR_FD, sync: true }),
  );
}
