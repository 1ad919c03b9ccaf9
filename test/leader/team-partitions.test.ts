import assert from 'node:assert/strict';
import { test } from 'node:test';
import { splitTeams } from '../../src/coordination/leader/team-partitions';

test('teams are split into partitions with similar totals of guaranteed CPUs', () => {
  const team = (name: string, cpus: number): Parameters<typeof splitTeams>[0][number] => ({
    name,
    guaranteed: { cpus, accelerators: 0 },
    limit: { cpus, accelerators: 0 },
  });
  const teams = [team('a', 88), team('b', 40), team('c', 72), team('d', 56)];
  assert.deepEqual(splitTeams(teams, 2), [
    ['a', 'b'],
    ['c', 'd'],
  ]);
  assert.deepEqual(splitTeams(teams.slice(0, 1), 3), [['a']]);
});
