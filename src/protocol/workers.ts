export type TaskPhase = 'fetching' | 'running' | 'checkpointing' | 'exited';
export type ExitReason = 'done' | 'stopped' | 'error' | 'no_room' | 'busy' | 'unknown' | 'other';

export interface HeartbeatTask {
  ref: string;
  index: number;
  attempt: number;
  phase: TaskPhase;
  exit: ExitReason | null;
}

/** A worker's report. The larger (session, seq) is the newer one. */
export interface Heartbeat {
  machine: string;
  address: string;
  type: string;
  zone: string;
  spot: boolean;
  agentEpoch: number;
  sequence: number;
  token: number;
  preemptionNoticeS: number | null;
  tasks: HeartbeatTask[];
}

export type Command =
  | { op: 'start'; ref: string; index: number; attempt: number }
  | { op: 'stop'; ref: string; index: number; attempt: number; gracePeriodS: number }
  | { op: 'forget'; ref: string; index: number; attempt: number };

const TASK_PHASES = new Map<string, TaskPhase>(
  Object.entries({
    pulling: 'fetching',
    waiting: 'fetching',
    running: 'running',
    flushing: 'checkpointing',
    ended: 'exited',
  }),
);
const EXIT_REASONS = new Map<string, ExitReason>(
  Object.entries({
    done: 'done',
    stopped: 'stopped',
    error: 'error',
    full: 'no_room',
    busy: 'busy',
    no_such: 'unknown',
  }),
);

interface WirePiece {
  piece: string;
  try: number;
  status: string;
  exit_reason?: string | null;
}

interface WireHeartbeat {
  velodrome: string;
  address: string;
  model: string;
  yard: string;
  loaners: boolean;
  shift: number;
  tick: number;
  baton: number;
  recall_s?: number | null;
  pieces?: unknown[] | null;
}

const MAX_NAME_LENGTH = 100;

function isText(value: unknown): value is string {
  return typeof value === 'string';
}

function isCount(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}

function absent(value: unknown): boolean {
  return value === undefined || value === null;
}

function isWireHeartbeat(body: unknown): body is WireHeartbeat {
  if (typeof body !== 'object' || body === null) return false;
  const r = body as Record<string, unknown>;
  const name = r['velodrome'];
  return (
    isText(name) &&
    name.length > 0 &&
    name.length <= MAX_NAME_LENGTH &&
    isText(r['address']) &&
    isText(r['model']) &&
    isText(r['yard']) &&
    typeof r['loaners'] === 'boolean' &&
    isCount(r['shift']) &&
    isCount(r['tick']) &&
    isCount(r['baton']) &&
    (absent(r['recall_s']) || Number.isFinite(r['recall_s'])) &&
    (absent(r['pieces']) || Array.isArray(r['pieces']))
  );
}

function isWirePiece(value: unknown): value is WirePiece {
  if (typeof value !== 'object' || value === null) return false;
  const p = value as Record<string, unknown>;
  return (
    isText(p['piece']) &&
    isCount(p['try']) &&
    isText(p['status']) &&
    (absent(p['exit_reason']) || isText(p['exit_reason']))
  );
}

/**
 * Reads a report; null if it is not one. Checked by hand: hundreds come a second, and a general schema took a third of
 * what a report costs, most of it in the seconds after a start when every first answer counts.
 */
export function parseHeartbeat(body: unknown): Heartbeat | null {
  if (!isWireHeartbeat(body)) return null;
  const tasks: HeartbeatTask[] = [];
  for (const piece of body.pieces ?? []) {
    if (!isWirePiece(piece)) return null;
    const slash = piece.piece.lastIndexOf('/');
    const index = Number(piece.piece.slice(slash + 1));
    const phase = TASK_PHASES.get(piece.status);
    if (slash <= 0 || !isCount(index) || !phase) return null;
    tasks.push({
      ref: piece.piece.slice(0, slash),
      index,
      attempt: piece.try,
      phase,
      exit: phase === 'exited' ? (EXIT_REASONS.get(piece.exit_reason ?? '') ?? 'other') : null,
    });
  }
  return {
    machine: body.velodrome,
    address: body.address,
    type: body.model,
    zone: body.yard,
    spot: body.loaners,
    agentEpoch: body.shift,
    sequence: body.tick,
    token: body.baton,
    preemptionNoticeS: body.recall_s ?? null,
    tasks,
  };
}

/** The body of an accepted report's answer. */
export function heartbeatResponse(token: number, commands: Command[]): object {
  return {
    baton: token,
    orders: commands.map((c) => {
      const order = { order: WIRE_ORDERS[c.op], piece: `${c.ref}/${c.index}`, try: c.attempt };
      return c.op === 'stop' ? { ...order, wind_down_s: c.gracePeriodS } : order;
    }),
  };
}

const WIRE_ORDERS = { start: 'start', stop: 'kill', forget: 'reap' } as const;

/** Sends a worker to the controller that owns its machine, or on to the next one if that is not known. */
export function redirectResponse(owner: string | null): object {
  return owner === null ? {} : { dispatcher: owner };
}
