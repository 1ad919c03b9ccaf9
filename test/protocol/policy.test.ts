import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DEFAULT_POLICY, parsePolicy, PolicyError } from '../../src/protocol/policy';

test('policy scripts are run within limits, and their results are validated', async (t) => {
  const cases: [string, string, object | RegExp][] = [
    ['an empty table gives the defaults', 'return {}', DEFAULT_POLICY],
    [
      'fields may be computed',
      'local h = 1\nreturn { headroom = math.max(h, 1.5), classes = { ["pick-plan"] = { price = "fast" } } }',
      { progressIntervalS: 2, headroom: 1.5, classes: { 'pick-plan': { price: 'fast' } } },
    ],
    ['a value out of bounds', 'return {\n  headroom = 9,\n}', /^p\.lua:2: headroom: /],
    ['a value of the wrong type', 'return { progress_interval_s = "2" }', /^p\.lua:1: progress_interval_s: /],
    ['an unknown field', 'return {\n\n  quota = 1,\n}', /^p\.lua:3: quota: unknown field/],
    ['an unknown price', 'return { classes = { a = { price = "odd" } } }', /^p\.lua:1: classes\.a\.price: /],
    ['a script that returns nothing', 'local x = 1', /^p\.lua:1: policy: /],
    ['a syntax error', 'return {', /^p\.lua:1: /],
    ['an error raised by the script', '\nerror("no")', /^p\.lua:2: no/],
    ['an endless loop', 'while true do end', /^p\.lua:1: .*too long/],
    ['endless calls', 'local function f() return f() end\nf()', /^p\.lua:1: .*too long/],
    ['unbounded memory use', 'local s = "x"\nwhile true do s = s .. s end', /^p\.lua:2: .*too much memory/],
    [
      'no pcall: the error that ends a script cannot be caught',
      'pcall(function() while true do end end)',
      /nil value \(global 'pcall'\)/,
    ],
    ['no io: files cannot be read', 'return io.open("/etc/passwd")', /nil value \(global 'io'\)/],
    ['no os: the process cannot be ended', 'os.exit(0)', /nil value \(global 'os'\)/],
    ['no require: no other module can be loaded', 'return require("fs")', /nil value \(global 'require'\)/],
    [
      'no load: no code can be loaded from a string',
      'return load("return 1")()',
      /nil value \(global 'load'\)/,
    ],
  ];
  for (const [name, text, expected] of cases) {
    await t.test(name, () => {
      if (!(expected instanceof RegExp)) return assert.deepEqual(parsePolicy('p.lua', text), expected);
      assert.throws(
        () => parsePolicy('p.lua', text),
        (error) => error instanceof PolicyError && expected.test(error.message),
      );
    });
  }
});
