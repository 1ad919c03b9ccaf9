import assert from 'node:assert/strict';
import { test } from 'node:test';
import { evenCpuAllowance, evenUtilization } from '../src/index';
import { resourcesFor } from './model';

const cases: [string, { cpus: number; usedCpus: number }[], number, number][] = [
  [
    'all machines are filled to the same utilization',
    [
      { cpus: 4, usedCpus: 0 },
      { cpus: 4, usedCpus: 2 },
    ],
    4,
    0.75,
  ],
  [
    'a full machine gets no tasks',
    [
      { cpus: 4, usedCpus: 4 },
      { cpus: 4, usedCpus: 0 },
    ],
    2,
    0.5,
  ],
  ['1 if more CPUs are pending than are free', [{ cpus: 4, usedCpus: 0 }], 10, 1],
  ['0 if nothing is pending', [{ cpus: 4, usedCpus: 2 }], 0, 0],
];

for (const [name, machines, pendingCpus, expected] of cases)
  test(`even utilization: ${name}`, () => {
    assert.ok(Math.abs(evenUtilization(machines, pendingCpus) - expected) < 1e-3);
  });

test('even placement: a machine with the image may exceed the even utilization by the weighted fetch time saved', () => {
  const machine = { capacity: resourcesFor(10), free: resourcesFor(5) };
  assert.equal(evenCpuAllowance(machine, 0.5, 0, 100, 1), 0);
  assert.equal(evenCpuAllowance(machine, 0.5, 20, 100, 1), 2);
  assert.equal(evenCpuAllowance(machine, 0.5, 20, 100, 0), 0);
  assert.equal(evenCpuAllowance(machine, 0.5, 1000, 100, 1), 5);
});
