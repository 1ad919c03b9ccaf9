import pino from 'pino';

export type Log = pino.Logger;

/** The process's log on standard error, at the level that LOG_LEVEL names. */
export function openLog(member: string): Log {
  const level = process.env['LOG_LEVEL'] ?? 'info';
  return pino(
    { level: ['error', 'info', 'debug'].includes(level) ? level : 'info', base: { member } },
    pino.destination({ dest: 2, sync: true }),
  );
}
