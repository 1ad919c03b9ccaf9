import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { mkdtempSync, readFileSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import Ajv2020 from 'ajv/dist/2020';
import { parse } from 'smol-toml';
import { checkFeatures, featuresJsonSchema } from '../src/protocol/features';
import { decodePeerMessage, encodePeerMessage } from '../src/protocol/peer-codec';
import { balance } from '../src/cli/balance-command';
import { EXIT_CODES } from '../src/cli/client';

const root = join(__dirname, '..', '..');
const published = readFileSync(join(root, 'deploy', 'features.schema.json'), 'utf8');

test('the published schema is the one that files are checked against', () => {
  assert.deepEqual(JSON.parse(published), JSON.parse(JSON.stringify(featuresJsonSchema())));
});

/** The file, what is named as wrong with it, and whether the schema alone cannot see that. */
const files: [string, string | null, boolean?][] = [
  ['', null],
  ['[load_balancer]', null],
  ['[load_balancer]\nplacement = "even"\nhysteresis = 2', null],
  ['[load_balancer]\nenabled = false', null],
  ['[load_balancer]\nplacement = "best"', 'load_balancer.placement'],
  ['[load_balancer]\nhysteresis = "2"', 'load_balancer.hysteresis'],
  ['[load_balancer]\nin_flight_share = 0', 'load_balancer.in_flight_share'],
  ['[load_balancer]\nspeed = 3', 'load_balancer.speed'],
  ['[teleporter]\nenabled = true', 'teleporter'],
  ['load_balancer = 7', 'load_balancer'],
  ['[load_balancer]\nin_flight_share = 0.4\nper_minute_share = 0.3', 'load_balancer.in_flight_share', true],
  ['[load_balancer]\ntask_moves = false\nmachine_moves = false', 'load_balancer.enabled', true],
];

for (const [text, field, contradiction = false] of files)
  test(`features: ${JSON.stringify(text)} ${field === null ? 'is fine' : `is refused for ${field}`}`, () => {
    const validate = new Ajv2020().compile(JSON.parse(published) as object);
    assert.equal(validate(parse(text)), field === null || contradiction);
    if (field === null) return void checkFeatures('f.toml', text);
    assert.throws(
      () => checkFeatures('f.toml', text),
      (error: Error) => error.message.startsWith(`f.toml: ${field}: `),
    );
  });

test('the file under deploy is fine, and a broken one ends a start with code 2 and one line', () => {
  const deployed = join(root, 'deploy', 'features.toml');
  checkFeatures(deployed, readFileSync(deployed, 'utf8'));
  const folder = mkdtempSync(join(tmpdir(), 'heathbridge-'));
  const [features, config] = [join(folder, 'features.toml'), join(folder, 'settings.json')];
  const settings = {
    ...{ member: 'a', site: 'z', serve_on: '127.0.0.1:1', cluster_listen: '127.0.0.1:2', peers: [] },
    external: { cloud: '127.0.0.1:3', state: '127.0.0.1:4' },
    facts: {
      ...{ teams: [{ name: 't', cpus: 1, cpus_max: 2 }] },
      ...{ workers: { report_s: 2, lease_s: 12, cancel_s: 37 } },
      ...{ state: { rps: 1, write_rps: 1, value_kb: 4, txn_ops: 4 }, cloud: { rps: 1, list_lag_s: 1 } },
    },
  };
  writeFileSync(config, JSON.stringify(settings));
  for (const [text, said] of [
    ['[load_balancer]\nspeed = 3', 'load_balancer.speed: unknown field'],
    ['[load_balancer', 'Invalid TOML'],
  ] as const) {
    writeFileSync(features, text);
    for (const command of [['serve'], ['check'], []]) {
      const words = [join(root, 'target-test/src/main.js'), ...command, '--features', features];
      const { status, stderr } = spawnSync(process.execPath, [...words, '--config', config], {
        encoding: 'utf8',
        timeout: 20_000,
      });
      assert.equal(status, EXIT_CODES.usage);
      assert.match(stderr, new RegExp(`^heathbridge: ${features}: ${said}.*\n$`));
    }
  }
});

test('summaries cross between controllers whole, and cut short they are dropped', () => {
  const summary = {
    ...{ partition: 'p0', epoch: 5, sequence: 1, ageMs: 0, cpus: 8, freeCpus: 4, largestFreeCpus: 2 },
    ...{ running: [1, 2], waiting: [3], trendPerS: -0.5, teams: [{ team: 't', running: 1, waiting: 2 }] },
    moves: { planned: 1, begun: 1, completed: 1, abandoned: 0, inFlight: 0 },
    refusals: [{ reason: 'pinned', count: 2 }],
  };
  const frame = encodePeerMessage({ kind: 'balance', summary });
  assert.deepEqual(JSON.parse(JSON.stringify(decodePeerMessage(frame))), { kind: 'balance', summary });
  for (let length = 0; length < frame.length; length++)
    assert.equal(decodePeerMessage(frame.subarray(0, length)), null, `${length} bytes`);
});

test('asking about load where nobody answers: one line, and the code for that', async () => {
  const lines: string[] = [];
  const say = (line: string): void => void lines.push(line);
  const code = await balance({ server: '127.0.0.1:1', json: false }, { out: say, err: say });
  assert.equal(code, EXIT_CODES.unreachable);
  assert.deepEqual(lines, ['heathbridge: 127.0.0.1:1: no answer; try again later']);
});
