import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import { test } from 'node:test';

// Guards against a start with a flag that the build does not have: V8 then rejects the code cache without an error, and each start
// takes twice the time.
test('the build creates the code cache under the flags with which the service is started', () => {
  const deployFile = readFileSync(join(__dirname, '..', '..', 'deploy', 'service.toml'), 'utf8');
  const settingOf = (name: string): string =>
    new RegExp(`^${name} = "(.*)"$`, 'm').exec(deployFile)?.[1] ?? '';
  const flagsOf = (command: string): string[] =>
    command.split(' ').filter((word) => word.startsWith('--max'));
  const bundling = settingOf('build').split('&&').pop() ?? '';
  assert.match(bundling, /node .*bundle\.mjs/);
  assert.deepEqual(flagsOf(bundling), flagsOf(settingOf('run')));
});
