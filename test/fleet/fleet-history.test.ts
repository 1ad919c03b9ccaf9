import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FleetHistory } from '../../src/coordination/fleet/fleet-history';
import { machineLoad, partitionLoad } from '../support/fleet-builders';

const RECORD = { partition: 'p0', phase: 'active', type: 'small', zone: 'a', spot: true } as const;

/** How long the machine has been failing at the end, if the loads show these quarantines, one load every 5 s. */
function failingMsAfter(quarantines: readonly boolean[]): number | undefined {
  const history = new FleetHistory();
  let now = 0;
  for (const quarantined of quarantines) {
    now += 5000;
    history.recordLoad(partitionLoad('p0', [], [machineLoad('i-1', { quarantined })]), now, now);
  }
  return history.fleetMachines([['i-1', { record: RECORD }]], now)[0]?.failingMs;
}

function repeat(quarantined: boolean, count: number): boolean[] {
  return Array.from({ length: count }, () => quarantined);
}

const cases: [name: string, quarantines: boolean[], failingMs: number][] = [
  ['a machine that was never quarantined does not fail', repeat(false, 30), 0],
  [
    'quarantines with short trials between them count as one failure',
    [true, false, false, true, false, true],
    25_000,
  ],
  [
    'a machine that was not quarantined for more than a minute has recovered',
    [true, ...repeat(false, 13)],
    0,
  ],
  [
    'a machine that is quarantined again later fails since then',
    [true, ...repeat(false, 13), true, true],
    5000,
  ],
];

test('fleet history: how long a machine has been failing', async (t) => {
  for (const [name, quarantines, failingMs] of cases)
    await t.test(name, () => assert.equal(failingMsAfter(quarantines), failingMs));
});
