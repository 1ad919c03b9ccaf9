import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import { test } from 'node:test';

// The code that the build kept was refused at every start, for the start named a flag that the build did not: no error,
// only twice the time.
test('the build keeps compiled code under the flags that the service is started with', () => {
  const text = readFileSync(join(__dirname, '..', '..', 'deploy', 'service.toml'), 'utf8');
  const line = (name: string): string => new RegExp(`^${name} = "(.*)"$`, 'm').exec(text)?.[1] ?? '';
  const flagsOf = (command: string): string[] =>
    command.split(' ').filter((word) => word.startsWith('--max'));
  const packing = line('build').split('&&').pop() ?? '';
  assert.match(packing, /node .*bundle\.mjs/);
  assert.deepEqual(flagsOf(packing), flagsOf(line('run')));
});
