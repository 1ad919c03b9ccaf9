import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ConfigError, type ConfigErrorCode } from '../../src/protocol/config-error';
import { parseFeatures } from '../../src/protocol/features';
import { loadPolicy, parsePolicy } from '../../src/protocol/policy';
import { parseSettings } from '../../src/protocol/settings';

test('errors in configuration files have a code and, if another error led to it, that error as its cause', async (t) => {
  const cases: {
    name: string;
    read: () => unknown;
    code: ConfigErrorCode;
    message: RegExp;
    cause: boolean;
  }[] = [
    {
      name: 'settings that are not JSON',
      read: () => parseSettings('{'),
      code: 'ERR_INVALID_SETTINGS',
      message: /^not JSON: /,
      cause: true,
    },
    {
      name: 'settings without fields',
      read: () => parseSettings('{}'),
      code: 'ERR_INVALID_SETTINGS',
      message: /^member: /,
      cause: true,
    },
    {
      name: 'a policy file that does not exist',
      read: () => loadPolicy('/nowhere/p.lua'),
      code: 'ERR_INVALID_POLICY',
      message: /^\/nowhere\/p\.lua: ENOENT/,
      cause: true,
    },
    {
      name: 'a policy whose script fails',
      read: () => parsePolicy('p.lua', 'return 1 + nil'),
      code: 'ERR_INVALID_POLICY',
      message: /^p\.lua:1: /,
      cause: false,
    },
    {
      name: 'a policy with a value out of bounds',
      read: () => parsePolicy('p.lua', 'return { headroom = 9 }'),
      code: 'ERR_INVALID_POLICY',
      message: /^p\.lua:1: headroom: /,
      cause: true,
    },
    {
      name: 'features that are not TOML',
      read: () => parseFeatures('f.toml', '[load_balancer'),
      code: 'ERR_INVALID_FEATURES',
      message: /^f\.toml: /,
      cause: true,
    },
    {
      name: 'an unknown feature',
      read: () => parseFeatures('f.toml', '[other]'),
      code: 'ERR_INVALID_FEATURES',
      message: /^f\.toml: other: unknown field$/,
      cause: true,
    },
  ];
  for (const { name, read, code, message, cause } of cases) {
    await t.test(name, () => {
      assert.throws(read, (error) => {
        assert.ok(error instanceof ConfigError);
        assert.equal(error.code, code);
        assert.match(error.message, message);
        assert.equal(error.cause !== undefined, cause);
        return true;
      });
    });
  }
});
