import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { mkdtempSync, readFileSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { parseFeatures } from '../../src/protocol/features';
import { EXIT_CODES } from '../../src/cli/client';

const root = join(__dirname, '..', '..', '..');

test('deploy/features.toml is valid, and an invalid features file ends the process with code 2 and one error line', () => {
  const deployed = join(root, 'deploy', 'features.toml');
  parseFeatures(deployed, readFileSync(deployed, 'utf8'));
  const folder = mkdtempSync(join(tmpdir(), 'heathbridge-'));
  const [features, config] = [join(folder, 'features.toml'), join(folder, 'settings.json')];
  const settings = {
    member: 'a',
    site: 'z',
    serve_on: '127.0.0.1:1',
    cluster_listen: '127.0.0.1:2',
    peers: [],
    external: { cloud: '127.0.0.1:3', state: '127.0.0.1:4' },
    facts: {
      teams: [{ name: 't', cpus: 1, cpus_max: 2 }],
      workers: { report_s: 2, lease_s: 12, cancel_s: 37 },
      state: { rps: 1, write_rps: 1, value_kb: 4, txn_ops: 4 },
      cloud: { rps: 1, list_lag_s: 1 },
    },
  };
  writeFileSync(config, JSON.stringify(settings));
  for (const [text, expectedError] of [
    ['[load_balancer]\nspeed = 3', 'load_balancer.speed: unknown field'],
    ['[load_balancer', 'Invalid TOML'],
  ] as const) {
    writeFileSync(features, text);
    for (const command of [['serve'], ['check'], []]) {
      const args = [join(root, 'target-test/src/main.js'), ...command, '--features', features];
      const { status, stderr } = spawnSync(process.execPath, [...args, '--config', config], {
        encoding: 'utf8',
        timeout: 20_000,
      });
      assert.equal(status, EXIT_CODES.usage);
      assert.match(stderr, new RegExp(`^heathbridge: ${features}: ${expectedError}.*\n$`));
    }
  }
});
