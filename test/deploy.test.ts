import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import { test } from 'node:test';

// V8 rejected the code cache at every start, because the start had a flag that the build did not have. There was no error;
// each start only took twice the time.
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
