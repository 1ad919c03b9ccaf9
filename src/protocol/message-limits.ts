/*
 * Limits on the size of HTTP messages (PROTOCOL, "The protocols of heathbridge"), and the sizes of the parts of the messages between
 * workers and controllers.
 */
import { jsonBytes } from './store';
import { LONGEST_EXIT, toWireCommand, toWireTaskId, type Command } from './workers';

/** The size of the largest request body. */
export const MAX_BODY_BYTES = 64 * 1024;
/** The size of the longest line in a response to a worker or a user. JSON bodies are written as a single line. */
export const MAX_LINE_BYTES = 64 * 1024;

/** Bytes reserved for the fields of a heartbeat that describe the machine, whose names have up to 200 bytes each. */
const HEARTBEAT_HEAD_BYTES = 1024;
/** Bytes reserved for the fields of the response to a heartbeat other than its commands. */
const RESPONSE_HEAD_BYTES = 128;
/** The commands and tasks of a list are separated by a comma. */
const SEPARATOR_BYTES = 1;
/** Attempts are integers below 2^64. */
const MAX_ATTEMPT_DIGITS = 20;
/** The longest job ref and the largest task index (see `JOB_REF_PATTERN` and the limit on the tasks of a job). */
const LONGEST_TASK = { ref: `job-${'9'.repeat(18)}`, index: 99_999 };

/** The size of all tasks that fit into one heartbeat. */
export const MAX_HEARTBEAT_TASKS_BYTES = MAX_BODY_BYTES - HEARTBEAT_HEAD_BYTES;
/** The size of all commands that fit into one response to a heartbeat. */
export const MAX_COMMANDS_BYTES = MAX_LINE_BYTES - RESPONSE_HEAD_BYTES;

/** The most bytes that a task can take in a heartbeat, in whatever state it will be. */
export function maxTaskBytesInHeartbeat(ref: string, index: number): number {
  const task = { piece: toWireTaskId(ref, index), try: 0, ...LONGEST_EXIT };
  return jsonBytes(task) - 1 + MAX_ATTEMPT_DIGITS + SEPARATOR_BYTES;
}

/** The bytes that a command takes in the response to a heartbeat. */
export function commandBytes(command: Command): number {
  return jsonBytes(toWireCommand(command)) + SEPARATOR_BYTES;
}

/** The most bytes that the command to start a task can take in the response to a heartbeat. */
export function maxStartBytes(ref: string, index: number): number {
  return commandBytes({ op: 'start', ref, index, attempt: 0 }) - 1 + MAX_ATTEMPT_DIGITS;
}

/** This many tasks fit into a heartbeat, however long their names are. */
export const MAX_TASKS_PER_MACHINE = Math.floor(
  MAX_HEARTBEAT_TASKS_BYTES / maxTaskBytesInHeartbeat(LONGEST_TASK.ref, LONGEST_TASK.index),
);
