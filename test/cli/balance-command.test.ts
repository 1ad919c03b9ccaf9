import assert from 'node:assert/strict';
import { test } from 'node:test';
import { showBalance } from '../../src/cli/balance-command';
import { EXIT_CODES } from '../../src/cli/client';

test('balance writes one line and returns the exit code for it if the server is unreachable', async () => {
  const lines: string[] = [];
  const addLine = (line: string): void => void lines.push(line);
  const code = await showBalance({ server: '127.0.0.1:1', json: false }, { out: addLine, err: addLine });
  assert.equal(code, EXIT_CODES.unreachable);
  assert.deepEqual(lines, ['heathbridge: 127.0.0.1:1: no answer; try again later']);
});
