/** The division of the teams into partitions. */
import { type StoredPartition } from '../../storage/replica-view';
import { type Team } from '../../protocol/settings';

/** Splits the teams into at most `count` partitions with about the same total of guaranteed CPUs. */
export function splitTeams(teams: readonly Team[], count: number): string[][] {
  const partitions: { teams: string[]; cpus: number }[] = [];
  for (let i = 0; i < Math.min(count, teams.length); i++) partitions.push({ teams: [], cpus: 0 });
  const largestFirst = [...teams].sort(
    (a, b) => b.guaranteed.cpus - a.guaranteed.cpus || (a.name < b.name ? -1 : 1),
  );
  for (const team of largestFirst) {
    const smallest = partitions.reduce((a, b) => (b.cpus < a.cpus ? b : a));
    smallest.teams.push(team.name);
    smallest.cpus += Math.max(1, team.guaranteed.cpus);
  }
  return partitions.map((p) => p.teams);
}

/** The teams that belong to none of the partitions. No controller schedules their jobs. */
export function unservedTeams(teams: readonly Team[], partitions: Iterable<StoredPartition>): Team[] {
  const served = new Set([...partitions].flatMap(({ record }) => record.teams));
  return teams.filter(({ name }) => !served.has(name));
}

/** A partition that is to be created, with its teams. */
export interface PlannedPartition {
  id: string;
  teams: string[];
}

/**
 * Divides teams that belong to no partition among new ones, up to a total of `maxCount` partitions. Always uses the first ids that
 * are free: repeated with the same teams and existing partitions, the plan is the same.
 */
export function planPartitions(
  unserved: readonly Team[],
  existingIds: ReadonlySet<string>,
  maxCount: number,
): PlannedPartition[] {
  const planned: PlannedPartition[] = [];
  const newCount = maxCount - existingIds.size;
  if (newCount <= 0) return planned;
  let index = 0;
  for (const teams of splitTeams(unserved, newCount)) {
    while (existingIds.has(`p${index}`)) index++;
    planned.push({ id: `p${index++}`, teams });
  }
  return planned;
}
