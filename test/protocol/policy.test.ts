import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DEFAULT_POLICY, parsePolicy, PolicyError } from '../../src/protocol/policy';

test('a policy script', async (t) => {
  const cases: [string, string, object | RegExp][] = [
    ['an empty table: the defaults', 'return {}', DEFAULT_POLICY],
    [
      'knobs, computed if need be',
      'local h = 1\nreturn { headroom = math.max(h, 1.5), classes = { ["pick-plan"] = { price = "fast" } } }',
      { progressIntervalS: 2, headroom: 1.5, classes: { 'pick-plan': { price: 'fast' } } },
    ],
    ['out of bounds', 'return {\n  headroom = 9,\n}', /^p\.lua:2: headroom: /],
    ['of the wrong kind', 'return { progress_interval_s = "2" }', /^p\.lua:1: progress_interval_s: /],
    ['an unknown knob', 'return {\n\n  quota = 1,\n}', /^p\.lua:3: quota: unknown field/],
    ['an unknown price', 'return { classes = { a = { price = "odd" } } }', /^p\.lua:1: classes\.a\.price: /],
    ['nothing returned', 'local x = 1', /^p\.lua:1: policy: /],
    ['not Lua', 'return {', /^p\.lua:1: /],
    ['its own error', '\nerror("no")', /^p\.lua:2: no/],
    ['a loop for ever', 'while true do end', /^p\.lua:1: .*too long/],
    ['a call for ever', 'local function f() return f() end\nf()', /^p\.lua:1: .*too long/],
    ['memory without end', 'local s = "x"\nwhile true do s = s .. s end', /^p\.lua:2: .*too much memory/],
    ['an error cannot be caught', 'pcall(function() while true do end end)', /nil value \(global 'pcall'\)/],
    ['no files', 'return io.open("/etc/passwd")', /nil value \(global 'io'\)/],
    ['no system', 'os.exit(0)', /nil value \(global 'os'\)/],
    ['no other code', 'return require("fs")', /nil value \(global 'require'\)/],
    ['nor by a string', 'return load("return 1")()', /nil value \(global 'load'\)/],
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
