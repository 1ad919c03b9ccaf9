import assert from 'node:assert/strict';
import { test } from 'node:test';
import { balancerSettingsSchema } from '../src/index';

const cases: [object, string | null][] = [
  [{}, null],
  [{ in_flight_share: 0.5, per_minute_share: 0.1 }, 'in_flight_share'],
  [{ plan_interval_s: 30, summary_max_age_s: 10 }, 'summary_max_age_s'],
  [{ task_moves: false, machine_moves: false }, 'enabled'],
  [{ task_moves: false, machine_moves: false, placement: 'even' }, null],
  [{ enabled: false, task_moves: false, machine_moves: false }, null],
  [{ hysteresis: 0.5 }, 'hysteresis'],
  [{ min_gain_s: 'much' }, 'min_gain_s'],
];

for (const [content, field] of cases)
  test(`settings: ${JSON.stringify(content)} ${field === null ? 'are valid' : `are rejected because of ${field}`}`, () => {
    const result = balancerSettingsSchema.safeParse(content);
    assert.equal(result.success ? null : result.error.issues[0]?.path.join('.'), field);
  });
