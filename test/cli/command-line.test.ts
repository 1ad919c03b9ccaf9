import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { SETTINGS } from '../support/settings-file';

test('the program prints its version and help, and ends with code 2 if the settings are invalid', () => {
  const folder = mkdtempSync(join(tmpdir(), 'heathbridge-'));
  const main = join(__dirname, '..', '..', 'src', 'main.js');
  const run = (...args: string[]): ReturnType<typeof spawnSync> =>
    spawnSync(process.execPath, [main, ...args], { encoding: 'utf8' });
  try {
    const bad = join(folder, 'bad.json');
    writeFileSync(bad, JSON.stringify({ ...SETTINGS, facts: { ...SETTINGS.facts, cloud: { rps: 0 } } }));
    const refused = run('--config', bad);
    assert.equal(refused.status, 2);
    assert.match(String(refused.stderr), /bad\.json: facts\.cloud\.rps: /);
    assert.equal(String(refused.stderr).trim().split('\n').length, 1);
    assert.equal(run('--config', join(folder, 'none.json')).status, 2);
    assert.match(String(run('--version').stdout), /^\d+\.\d+\.\d+\n$/);
    assert.match(String(run('--help').stdout), /serve[^]*check[^]*submit[^]*status[^]*cancel/);
    assert.match(String(run('serve', '--help').stdout), /--config <file>/);
  } finally {
    rmSync(folder, { recursive: true });
  }
});
