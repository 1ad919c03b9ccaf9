/**
 * Runs the Lua script of a policy file. A script can only compute: it has no access to files, network or other code, and is
 * ended if it takes too many steps or too much memory.
 */

/**
 * The value that a script returned, or the one-line message with which it failed. The message names the file and, if known, the
 * line.
 */
export type ScriptOutcome = { ok: true; value: unknown } | { ok: false; message: string };

/** More than any sensible policy needs, and executed in a fraction of a second. */
const MAX_SCRIPT_STEPS = 200_000;
const MAX_SCRIPT_BYTES = 64 * 1024 * 1024;
const LIMIT_CHECK_INTERVAL_STEPS = 10;
const MAX_TABLE_DEPTH = 4;
const MAX_TABLE_ENTRIES = 1000;

/**
 * Globals that are removed: functions that give access to files or other code, functions that work for long inside one step,
 * where no step is counted, and functions that would catch the error that ends a script.
 */
const FORBIDDEN_GLOBALS = [
  'dofile',
  'loadfile',
  'load',
  'require',
  'print',
  'collectgarbage',
  'pcall',
  'xpcall',
  'getmetatable',
  'setmetatable',
];

type LuaFunction = (...args: unknown[]) => unknown;

/** The part of fengari that is used here; the package has no type declarations. */
interface Fengari {
  lua: Record<string, LuaFunction> & Record<string, number>;
  lauxlib: Record<string, LuaFunction>;
  lualib: Record<string, LuaFunction>;
  to_luastring: (text: string) => Uint8Array;
  to_jsstring: (text: Uint8Array) => string;
}

/** Runs the text of a script; `path` names it in messages. Never throws because of the script. */
export function runPolicyScript(path: string, text: string): ScriptOutcome {
  // Loaded only if there is a policy, because loading it would delay every start.
  // eslint-disable-next-line @typescript-eslint/no-require-imports
  const runtime = new LuaRuntime(require('fengari') as Fengari);
  runtime.openLibraries();
  runtime.limitResources();
  return runtime.run(path, text);
}

/** A Lua state and its stack. Indices are those of the Lua C API; -1 is the top of the stack. */
class LuaRuntime {
  private readonly state: unknown;

  constructor(private readonly fengari: Fengari) {
    this.state = this.callAuxiliary('luaL_newstate');
  }

  /** Opens the base and math libraries and removes the forbidden globals. */
  openLibraries(): void {
    const { lualib } = this.fengari;
    this.openLibrary('_G', lualib['luaopen_base']);
    this.openLibrary('math', lualib['luaopen_math']);
    for (const name of FORBIDDEN_GLOBALS) {
      this.call('lua_pushnil');
      this.call('lua_setglobal', this.toLuaString(name));
    }
  }

  /** Makes a script that takes too many steps or too much memory fail from now on. */
  limitResources(): void {
    const { lua } = this.fengari;
    let steps = 0;
    const bytesBefore = memoryUsedBytes();
    const checkLimits = (): void => {
      steps += LIMIT_CHECK_INTERVAL_STEPS;
      if (steps <= MAX_SCRIPT_STEPS && memoryUsedBytes() - bytesBefore < MAX_SCRIPT_BYTES) return;
      this.callAuxiliary('luaL_where', this.state, 0);
      this.call('lua_pushstring', this.toLuaString('the script takes too long or too much memory'));
      this.call('lua_concat', 2);
      this.call('lua_error');
    };
    this.call('lua_sethook', checkLimits, lua['LUA_MASKCOUNT'], LIMIT_CHECK_INTERVAL_STEPS);
  }

  run(path: string, text: string): ScriptOutcome {
    const ok = this.fengari.lua['LUA_OK'];
    const source = this.toLuaString(text);
    const chunkName = this.toLuaString(`@${path}`);
    const loaded = this.callAuxiliary('luaL_loadbuffer', this.state, source, source.length, chunkName) === ok;
    if (loaded && this.call('lua_pcall', 0, 1, 0) === ok) return { ok: true, value: this.valueAt(-1) };
    const message = this.call('lua_tostring', -1) as Uint8Array | null;
    return {
      ok: false,
      message: message ? this.fengari.to_jsstring(message) : `${path}: the script failed without a message`,
    };
  }

  /**
   * The JavaScript value at a stack index; null for types that a policy has no use for, such as functions, and for tables that
   * are nested too deeply.
   */
  private valueAt(index: number, depth = 0): unknown {
    const { lua } = this.fengari;
    switch (this.call('lua_type', index)) {
      case lua['LUA_TNUMBER']:
        return this.call('lua_tonumber', index);
      case lua['LUA_TBOOLEAN']:
        return this.call('lua_toboolean', index);
      case lua['LUA_TSTRING']:
        return this.stringAt(index);
      case lua['LUA_TTABLE']:
        return depth < MAX_TABLE_DEPTH ? this.tableAt(index, depth) : null;
      default:
        return null;
    }
  }

  /** The fields of the table at a stack index; entries with other keys than strings, or beyond the maximum number, are omitted. */
  private tableAt(index: number, depth: number): Record<string, unknown> {
    const stringType = this.fengari.lua['LUA_TSTRING'];
    const tableIndex = this.call('lua_absindex', index);
    const table: Record<string, unknown> = {};
    let entries = 0;
    this.call('lua_pushnil');
    while (this.call('lua_next', tableIndex)) {
      // Only string keys: reading a number key as a string would change it and end the iteration.
      if (this.call('lua_type', -2) === stringType && entries++ < MAX_TABLE_ENTRIES) {
        table[this.stringAt(-2)] = this.valueAt(-1, depth + 1);
      }
      this.call('lua_settop', -2);
    }
    return table;
  }

  private stringAt(index: number): string {
    return this.fengari.to_jsstring(this.call('lua_tostring', index) as Uint8Array);
  }

  private openLibrary(name: string, opener: unknown): void {
    this.callAuxiliary('luaL_requiref', this.state, this.toLuaString(name), opener, 1);
    this.call('lua_settop', 0);
  }

  private toLuaString(text: string): Uint8Array {
    return this.fengari.to_luastring(text);
  }

  /** Calls a function of the Lua C API with this runtime's state. */
  private call(name: string, ...args: unknown[]): unknown {
    return (this.fengari.lua[name] as LuaFunction)(this.state, ...args);
  }

  private callAuxiliary(name: string, ...args: unknown[]): unknown {
    return this.fengari.lauxlib[name]?.(...args);
  }
}

function memoryUsedBytes(): number {
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}
