import { readFileSync } from 'node:fs';
import { z } from 'zod';

/** What operators may set beyond the platform's file. No knob can weaken a rule. */
export interface Policy {
  /** How often the progress of open jobs is written. */
  progressIntervalS: number;
  /** Machines are rented for this many times the work that waits. */
  headroom: number;
  /** How each class of jobs weighs price against time. */
  classes: Readonly<Record<string, ClassPolicy>>;
}

export interface ClassPolicy {
  /** `cheap`: waits for spot machines; `fast`: takes what comes first; `balanced`: by its urgency. */
  price: 'cheap' | 'balanced' | 'fast';
}

export const DEFAULT_POLICY: Policy = { progressIntervalS: 2, headroom: 1, classes: {} };

export class PolicyError extends Error {}

const policySchema = z.strictObject({
  progress_interval_s: z.number().min(0.5).max(10).default(DEFAULT_POLICY.progressIntervalS),
  headroom: z.number().min(0.5).max(2).default(DEFAULT_POLICY.headroom),
  classes: z.record(z.string(), z.strictObject({ price: z.enum(['cheap', 'balanced', 'fast']) })).default({}),
});

/** More than any sensible policy needs, and over in a fraction of a second. */
const MAX_SCRIPT_STEPS = 200_000;
const MAX_SCRIPT_BYTES = 64 * 1024 * 1024;
const LIMIT_CHECK_INTERVAL_STEPS = 10;

function memoryUsedBytes(): number {
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

/** Runs a policy script and checks what it returns. Every error names the file and, where there is one, the line. */
export function loadPolicy(path: string): Policy {
  let text: string;
  try {
    text = readFileSync(path, 'utf8');
  } catch (error) {
    throw new PolicyError(`${path}: ${(error as Error).message}`);
  }
  return parsePolicy(path, text);
}

export function parsePolicy(path: string, text: string): Policy {
  const value = runScript(path, text);
  const read = policySchema.safeParse(value);
  if (!read.success) {
    const issue = read.error.issues[0];
    const unknown = issue?.code === 'unrecognized_keys' ? issue.keys : [];
    const field = [...(issue?.path.map(String) ?? []), ...unknown];
    const why = unknown.length > 0 ? 'no such knob' : (issue?.message ?? 'invalid');
    throw new PolicyError(`${path}:${lineOf(text, field)}: ${field.join('.') || 'policy'}: ${why}`);
  }
  const { progress_interval_s, headroom, classes } = read.data;
  return { progressIntervalS: progress_interval_s, headroom, classes };
}

/** The line on which the innermost part of a knob's name that the script spells out stands; 1 if none does. */
function lineOf(text: string, field: readonly string[]): number {
  const lines = text.split('\n');
  for (const name of [...field].reverse()) {
    const at = lines.findIndex((line) => line.replace(/--.*$/, '').includes(name));
    if (at >= 0) return at + 1;
  }
  return 1;
}

/** The part of the Lua machine that is used here; the package brings no types. */
interface Lua {
  lua: Record<string, (...args: unknown[]) => unknown> & Record<string, number>;
  lauxlib: Record<string, (...args: unknown[]) => unknown>;
  lualib: Record<string, (...args: unknown[]) => unknown>;
  to_luastring: (text: string) => Uint8Array;
  to_jsstring: (text: Uint8Array) => string;
}

/**
 * What a script may do: compute. No way leads to files, the network or other code; nor to functions that work for long
 * inside one step, where nobody counts, nor to those that would catch the error that ends a script.
 */
const FORBIDDEN_GLOBALS = [
  ...['dofile', 'loadfile', 'load', 'require', 'print', 'collectgarbage', 'pcall', 'xpcall'],
  ...['getmetatable', 'setmetatable'],
];

function runScript(path: string, text: string): unknown {
  // Loaded only if there is a policy: it would cost every start.
  // eslint-disable-next-line @typescript-eslint/no-require-imports
  const { lua, lauxlib, lualib, to_luastring, to_jsstring } = require('fengari') as Lua;
  const call = (name: string, ...args: unknown[]): unknown =>
    (lua[name] as (...a: unknown[]) => unknown)(...args);
  const L = lauxlib['luaL_newstate']?.();
  const open = (name: string, opener: unknown): void => {
    lauxlib['luaL_requiref']?.(L, to_luastring(name), opener, 1);
    call('lua_settop', L, 0);
  };
  open('_G', lualib['luaopen_base']);
  open('math', lualib['luaopen_math']);
  for (const name of FORBIDDEN_GLOBALS) {
    call('lua_pushnil', L);
    call('lua_setglobal', L, to_luastring(name));
  }
  let steps = 0;
  const before = memoryUsedBytes();
  const count = (): void => {
    steps += LIMIT_CHECK_INTERVAL_STEPS;
    if (steps <= MAX_SCRIPT_STEPS && memoryUsedBytes() - before < MAX_SCRIPT_BYTES) return;
    lauxlib['luaL_where']?.(L, 0);
    call('lua_pushstring', L, to_luastring('the script takes too long or too much memory'));
    call('lua_concat', L, 2);
    call('lua_error', L);
  };
  call('lua_sethook', L, count, lua['LUA_MASKCOUNT'], LIMIT_CHECK_INTERVAL_STEPS);
  const source = to_luastring(text);
  const failed =
    lauxlib['luaL_loadbuffer']?.(L, source, source.length, to_luastring(`@${path}`)) !== lua['LUA_OK'] ||
    call('lua_pcall', L, 0, 1, 0) !== lua['LUA_OK'];
  if (failed) {
    const message = call('lua_tostring', L, -1) as Uint8Array | null;
    throw new PolicyError(message ? to_jsstring(message) : `${path}: failed`);
  }
  return readLuaValue(L, -1, 0, { lua, lauxlib, lualib, to_luastring, to_jsstring });
}

const MAX_TABLE_DEPTH = 4;
const MAX_TABLE_ENTRIES = 1000;

/** A Lua value as JavaScript has it; what a policy has no use for becomes null. */
function readLuaValue(luaState: unknown, index: number, depth: number, machine: Lua): unknown {
  const { lua, to_jsstring } = machine;
  const call = (name: string, ...args: unknown[]): unknown =>
    (lua[name] as (...a: unknown[]) => unknown)(...args);
  const at = call('lua_absindex', luaState, index) as number;
  switch (call('lua_type', luaState, at)) {
    case lua['LUA_TNUMBER']:
      return call('lua_tonumber', luaState, at);
    case lua['LUA_TBOOLEAN']:
      return call('lua_toboolean', luaState, at);
    case lua['LUA_TSTRING']:
      return to_jsstring(call('lua_tostring', luaState, at) as Uint8Array);
    case lua['LUA_TTABLE']: {
      if (depth >= MAX_TABLE_DEPTH) return null;
      const table: Record<string, unknown> = {};
      let entries = 0;
      call('lua_pushnil', luaState);
      while (call('lua_next', luaState, at)) {
        // Only text keys: asking a number for its text would change it in the middle of the walk.
        if (call('lua_type', luaState, -2) === lua['LUA_TSTRING'] && entries++ < MAX_TABLE_ENTRIES) {
          table[to_jsstring(call('lua_tostring', luaState, -2) as Uint8Array)] = readLuaValue(
            luaState,
            -1,
            depth + 1,
            machine,
          );
        }
        call('lua_settop', luaState, -2);
      }
      return table;
    }
    default:
      return null;
  }
}
