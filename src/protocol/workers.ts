/*
 * Heartbeats of workers and the responses to them. Wire terms: `velodrome` machine, `model` machine type, `yard` zone,
 * `loaners` spot, `shift` agent epoch, `tick` sequence number, `baton` fencing token, `recall_s` seconds until the machine is
 * preempted, `pieces` tasks, `piece` job ref and task index, `try` attempt, `orders` commands, `kill` stop, `reap` forget,
 * `wind_down_s` grace period, `dispatcher` owner.
 */

export type TaskPhase = 'fetching' | 'running' | 'checkpointing' | 'exited';
export type ExitReason = 'done' | 'stopped' | 'error' | 'no_room' | 'busy' | 'unknown' | 'other';

/** A task as its worker reports it. */
export interface HeartbeatTask {
  ref: string;
  index: number;
  attempt: number;
  phase: TaskPhase;
  /** Null until the task has exited. */
  exit: ExitReason | null;
}

/** A worker's heartbeat. The heartbeat with the larger (agentEpoch, sequence) is the newer one. */
export interface Heartbeat {
  machine: string;
  address: string;
  type: string;
  zone: string;
  spot: boolean;
  /** Increases with each start of the worker's agent. */
  agentEpoch: number;
  sequence: number;
  /** The newest fencing token that the worker has received. */
  token: number;
  /** Seconds until the machine is preempted, or null if there is no preemption notice. */
  preemptionNoticeS: number | null;
  tasks: HeartbeatTask[];
}

/** A command to a worker. `forget`: the worker no longer reports the exited task. */
export type Command =
  | { op: 'start'; ref: string; index: number; attempt: number }
  | { op: 'stop'; ref: string; index: number; attempt: number; gracePeriodS: number }
  | { op: 'forget'; ref: string; index: number; attempt: number };

/** Phases by their names on the wire. */
const TASK_PHASES = new Map<string, TaskPhase>([
  ['pulling', 'fetching'],
  ['waiting', 'fetching'],
  ['running', 'running'],
  ['flushing', 'checkpointing'],
  ['ended', 'exited'],
]);

/**
 * Exit reasons by their names on the wire. `full`: the machine lacks the resources. `no_such`: the machine has no such task.
 */
const EXIT_REASONS = new Map<string, ExitReason>([
  ['done', 'done'],
  ['stopped', 'stopped'],
  ['error', 'error'],
  ['full', 'no_room'],
  ['busy', 'busy'],
  ['no_such', 'unknown'],
]);

/** The longest form in which a heartbeat shows that a task has exited; a task that has not exited takes fewer bytes. */
export const LONGEST_EXIT = { status: 'ended', exit_reason: 'stopped', saved: false } as const;

/** Commands by their names on the wire. */
const WIRE_ORDERS = { start: 'start', stop: 'kill', forget: 'reap' } as const;

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

function isAbsent(value: unknown): boolean {
  return value === undefined || value === null;
}

function isName(value: unknown): value is string {
  return isText(value) && value.length > 0 && value.length <= MAX_NAME_LENGTH;
}

function isWireHeartbeat(body: unknown): body is WireHeartbeat {
  if (typeof body !== 'object' || body === null) return false;
  const fields = body as Record<string, unknown>;
  return (
    isName(fields['velodrome']) &&
    isText(fields['address']) &&
    isText(fields['model']) &&
    isText(fields['yard']) &&
    typeof fields['loaners'] === 'boolean' &&
    isCount(fields['shift']) &&
    isCount(fields['tick']) &&
    isCount(fields['baton']) &&
    (isAbsent(fields['recall_s']) || Number.isFinite(fields['recall_s'])) &&
    (isAbsent(fields['pieces']) || Array.isArray(fields['pieces']))
  );
}

function isWirePiece(value: unknown): value is WirePiece {
  if (typeof value !== 'object' || value === null) return false;
  const fields = value as Record<string, unknown>;
  return (
    isText(fields['piece']) &&
    isCount(fields['try']) &&
    isText(fields['status']) &&
    (isAbsent(fields['exit_reason']) || isText(fields['exit_reason']))
  );
}

function toTask(piece: unknown): HeartbeatTask | null {
  if (!isWirePiece(piece)) return null;
  const slash = piece.piece.lastIndexOf('/');
  const index = Number(piece.piece.slice(slash + 1));
  const phase = TASK_PHASES.get(piece.status);
  if (slash <= 0 || !isCount(index) || !phase) return null;
  return {
    ref: piece.piece.slice(0, slash),
    index,
    attempt: piece.try,
    phase,
    exit: phase === 'exited' ? (EXIT_REASONS.get(piece.exit_reason ?? '') ?? 'other') : null,
  };
}

/**
 * Parses a heartbeat; null if it is malformed. Checked by hand instead of with a schema: hundreds of heartbeats arrive each
 * second, and a general schema costs more than the rest of the work on a heartbeat, most of all right after a start.
 */
export function parseHeartbeat(body: unknown): Heartbeat | null {
  if (!isWireHeartbeat(body)) return null;
  const tasks: HeartbeatTask[] = [];
  for (const piece of body.pieces ?? []) {
    const task = toTask(piece);
    if (task === null) return null;
    tasks.push(task);
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

/** The body of the response to an accepted heartbeat. */
export function heartbeatResponse(token: number, commands: Command[]): object {
  return { baton: token, orders: commands.map(toWireCommand) };
}

/** The name of a task on the wire. */
export function toWireTaskId(ref: string, index: number): string {
  return `${ref}/${index}`;
}

/** A command as the response to a heartbeat carries it. */
export function toWireCommand(command: Command): object {
  const order = {
    order: WIRE_ORDERS[command.op],
    piece: toWireTaskId(command.ref, command.index),
    try: command.attempt,
  };
  return command.op === 'stop' ? { ...order, wind_down_s: command.gracePeriodS } : order;
}

/**
 * The body of a response that redirects a worker to the controller that owns its machine, or to the next controller if the
 * owner is not known.
 */
export function redirectResponse(owner: string | null): object {
  return owner === null ? {} : { dispatcher: owner };
}
