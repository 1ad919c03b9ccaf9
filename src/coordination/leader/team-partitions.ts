/** The division of the teams into partitions. */
import { type StoredPartition } from '../../storage/replica-view';
import { type Team } from '../../protocol/settings';

/** Teams that are added up to one partition. */
interface TeamGroup {
  teams: string[];
  /** Sum of the teams' weights. */
  weight: number;
}

/** The share of a partition that a team counts for: its guaranteed CPUs. */
function weightOf(team: Team): number {
  return Math.max(1, team.guaranteed.cpus);
}

/** Adds each team to the group with the smallest weight, the largest team first. There must be a group. */
function distributeTeams(teams: readonly Team[], groups: readonly TeamGroup[]): void {
  const largestFirst = [...teams].sort(
    (a, b) => b.guaranteed.cpus - a.guaranteed.cpus || (a.name < b.name ? -1 : 1),
  );
  for (const team of largestFirst) {
    const smallest = groups.reduce((a, b) => (b.weight < a.weight ? b : a));
    smallest.teams.push(team.name);
    smallest.weight += weightOf(team);
  }
}

/** Splits the teams into at most `count` partitions with about the same total of guaranteed CPUs. */
export function splitTeams(teams: readonly Team[], count: number): string[][] {
  const groups: TeamGroup[] = [];
  for (let i = 0; i < Math.min(count, teams.length); i++) groups.push({ teams: [], weight: 0 });
  distributeTeams(teams, groups);
  return groups.map((group) => group.teams);
}

/** The teams that belong to none of the partitions. No controller schedules their jobs. */
export function unservedTeams(teams: readonly Team[], partitions: Iterable<StoredPartition>): Team[] {
  const served = new Set([...partitions].flatMap(({ record }) => record.teams));
  return teams.filter(({ name }) => !served.has(name));
}

/** The names of the teams that belong to none of the partitions. */
export function unservedTeamNames(teams: readonly Team[], partitions: Iterable<StoredPartition>): string[] {
  return unservedTeams(teams, partitions).map(({ name }) => name);
}

/** A partition that is to be created, and its teams. */
export interface PlannedPartition {
  id: string;
  teams: string[];
}

/** A partition that is to be extended, and the teams that it is given in addition to its own. */
export interface PartitionExtension {
  partition: StoredPartition;
  teams: readonly string[];
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

/**
 * Divides teams that belong to no partition among the existing ones, so that their totals of guaranteed CPUs become similar. There must
 * be a partition.
 */
export function planExtensions(
  unserved: readonly Team[],
  teams: readonly Team[],
  partitions: readonly StoredPartition[],
): PartitionExtension[] {
  const extensions = partitions.map((partition) => {
    const current = teams.filter(({ name }) => partition.record.teams.includes(name));
    return { partition, teams: [], weight: current.reduce((sum, team) => sum + weightOf(team), 0) };
  });
  distributeTeams(unserved, extensions);
  return extensions.filter((extension) => extension.teams.length > 0);
}
