import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import { test } from 'node:test';
import Ajv2020 from 'ajv/dist/2020';
import { parse } from 'smol-toml';
import { parseFeatures, featuresJsonSchema } from '../../src/protocol/features';

const root = join(__dirname, '..', '..', '..');

const published = readFileSync(join(root, 'deploy', 'features.schema.json'), 'utf8');

test('the published schema equals the one that files are validated with', () => {
  assert.deepEqual(JSON.parse(published), JSON.parse(JSON.stringify(featuresJsonSchema())));
});

/** The content of a file, the field that its error names, and whether the published schema alone does not detect the error. */
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

for (const [text, field, undetectedBySchema = false] of files)
  test(`features: ${JSON.stringify(text)} ${field === null ? 'is accepted' : `is rejected for ${field}`}`, () => {
    const validate = new Ajv2020().compile(JSON.parse(published) as object);
    assert.equal(validate(parse(text)), field === null || undetectedBySchema);
    if (field === null) return void parseFeatures('f.toml', text);
    assert.throws(
      () => parseFeatures('f.toml', text),
      (error: Error) => error.message.startsWith(`f.toml: ${field}: `),
    );
  });
