import assert from 'node:assert/strict';
import { test } from 'node:test';
import { evenCpuAllowance, evenUtilization } from '../src/index';
import { needs } from './model';

const levels: [string, { cpus: number; usedCpus: number }[], number, number][] = [
  [
    'all machines are filled to the same share',
    [
      { cpus: 4, usedCpus: 0 },
      { cpus: 4, usedCpus: 2 },
    ],
    4,
    0.75,
  ],
  [
    'a full one takes no part',
    [
      { cpus: 4, usedCpus: 4 },
      { cpus: 4, usedCpus: 0 },
    ],
    2,
    0.5,
  ],
  ['more waits than there is room for', [{ cpus: 4, usedCpus: 0 }], 10, 1],
  ['nothing waits', [{ cpus: 4, usedCpus: 2 }], 0, 0],
];

for (const [name, machines, pendingCpus, level] of levels)
  test(`even placement: ${name}`, () => {
    assert.ok(Math.abs(evenUtilization(machines, pendingCpus) - level) < 1e-3);
  });

test('even placement: an image that need not be fetched counts against evenness by the weight', () => {
  const machine = { capacity: needs(10), free: needs(5) };
  assert.equal(evenCpuAllowance(machine, 0.5, 0, 100, 1), 0);
  assert.equal(evenCpuAllowance(machine, 0.5, 20, 100, 1), 2);
  assert.equal(evenCpuAllowance(machine, 0.5, 20, 100, 0), 0);
  assert.equal(evenCpuAllowance(machine, 0.5, 1000, 100, 1), 5);
});
