import { z } from 'zod';

export type TaskPhase = 'fetching' | 'running' | 'saving' | 'exited';
export type ExitReason = 'done' | 'stopped' | 'error' | 'no_room' | 'busy' | 'unknown' | 'other';

export interface ReportedTask {
  ref: string;
  index: number;
  attempt: number;
  phase: TaskPhase;
  exit: ExitReason | null;
}

/** A worker's report. The larger (session, seq) is the newer one. */
export interface Report {
  machine: string;
  address: string;
  type: string;
  zone: string;
  spot: boolean;
  session: number;
  seq: number;
  token: number;
  noticeS: number | null;
  tasks: ReportedTask[];
}

export type Command =
  | { op: 'start'; ref: string; index: number; attempt: number }
  | { op: 'stop'; ref: string; index: number; attempt: number; graceS: number }
  | { op: 'forget'; ref: string; index: number; attempt: number };

const phases: Record<string, TaskPhase> = {
  pulling: 'fetching',
  waiting: 'fetching',
  running: 'running',
  flushing: 'saving',
  ended: 'exited',
};
const exits: Record<string, ExitReason> = {
  done: 'done',
  stopped: 'stopped',
  error: 'error',
  full: 'no_room',
  busy: 'busy',
  no_such: 'unknown',
};

const count = z.number().int().nonnegative();
const reportSchema = z.object({
  velodrome: z.string().min(1).max(100),
  address: z.string(),
  model: z.string(),
  yard: z.string(),
  loaners: z.boolean(),
  shift: count,
  tick: count,
  baton: count,
  recall_s: z.number().nullish(),
  pieces: z
    .array(z.object({ piece: z.string(), try: count, status: z.string(), exit_reason: z.string().nullish() }))
    .nullish(),
});

/** Reads a report; null if it is not one. */
export function parseReport(body: unknown): Report | null {
  const read = reportSchema.safeParse(body);
  if (!read.success) return null;
  const r = read.data;
  const tasks: ReportedTask[] = [];
  for (const piece of r.pieces ?? []) {
    const slash = piece.piece.lastIndexOf('/');
    const index = Number(piece.piece.slice(slash + 1));
    const phase = phases[piece.status];
    if (slash <= 0 || !Number.isSafeInteger(index) || index < 0 || !phase) return null;
    tasks.push({
      ref: piece.piece.slice(0, slash),
      index,
      attempt: piece.try,
      phase,
      exit: phase === 'exited' ? (exits[piece.exit_reason ?? ''] ?? 'other') : null,
    });
  }
  return {
    machine: r.velodrome,
    address: r.address,
    type: r.model,
    zone: r.yard,
    spot: r.loaners,
    session: r.shift,
    seq: r.tick,
    token: r.baton,
    noticeS: r.recall_s ?? null,
    tasks,
  };
}

/** The body of an accepted report's answer. */
export function reportAnswer(token: number, commands: Command[]): object {
  return {
    baton: token,
    orders: commands.map((c) => {
      const order = { order: wireOp[c.op], piece: `${c.ref}/${c.index}`, try: c.attempt };
      return c.op === 'stop' ? { ...order, wind_down_s: c.graceS } : order;
    }),
  };
}

const wireOp = { start: 'start', stop: 'kill', forget: 'reap' } as const;

/** Sends a worker to the controller that owns its machine, or on to the next one if that is not known. */
export function redirectAnswer(owner: string | null): object {
  return owner === null ? {} : { dispatcher: owner };
}
