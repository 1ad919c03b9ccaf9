import assert from 'node:assert/strict';
import { test } from 'node:test';
import { showBalance } from '../../src/cli/balance-command';
import { EXIT_CODES } from '../../src/cli/client';

test('asking about load where nobody answers: one line, and the code for that', async () => {
  const lines: string[] = [];
  const say = (line: string): void => void lines.push(line);
  const code = await showBalance({ server: '127.0.0.1:1', json: false }, { out: say, err: say });
  assert.equal(code, EXIT_CODES.unreachable);
  assert.deepEqual(lines, ['heathbridge: 127.0.0.1:1: no answer; try again later']);
});
