import { API_PATHS } from '../protocol/api-paths';
import { type LoadSummary } from '@heathbridge/load-balancer';
import { EXIT_CODES, reportUsageErrors, requestWithRetries, type ClientOptions, type Output } from './client';
import { PRIORITIES } from '../protocol/jobs';

/** The load balancing part of a response to `GET /status`. */
interface BalanceStatus {
  leader: string | null;
  moves: RunningMove[];
  fleet: {
    partitions: { summary: LoadSummary; ageMs: number }[];
    droppedSummaries: { fault: string; count: number }[];
    machineMoves: { allowed: number; refused: number; refusals: { reason: string; count: number }[] };
  } | null;
}

interface RunningMove {
  move: string;
  task: string;
  source: string;
  target: string;
  cause: string;
  state: string;
}

interface StatusResponse {
  member?: string;
  balance?: BalanceStatus;
}

/** Prints the load of each partition, and the moves of tasks and machines and their reasons, as known to the leader. */
export function showBalance({ server, json }: ClientOptions, output: Output): Promise<number> {
  return reportUsageErrors(output, async () => {
    const response = await requestWithRetries('GET', API_PATHS.status, undefined, server, output);
    if (!response) return EXIT_CODES.unreachable;
    const { member, balance: status } = (response.body ?? {}) as StatusResponse;
    const refusal = refusalReason(server, member, status);
    if (refusal !== null) {
      output.err(`heathbridge: ${refusal}`);
      return EXIT_CODES.refused;
    }
    if (json) output.out(JSON.stringify(status));
    else for (const line of statusLines(status as BalanceStatus)) output.out(line);
    return EXIT_CODES.ok;
  });
}

function refusalReason(
  server: string,
  member: string | undefined,
  status: BalanceStatus | undefined,
): string | null {
  if (member === undefined) return `${server}: not a controller`;
  if (!status) return `${member} does not balance load: the feature is off`;
  if (status.fleet) return null;
  return status.leader === null || status.leader === member
    ? `${member} does not lead, and no other controller does now; try again later`
    : `${member} does not lead: ask ${status.leader}`;
}

function statusLines({ fleet, moves }: BalanceStatus): string[] {
  if (!fleet) return [];
  const lines = fleet.partitions.flatMap(({ summary, ageMs }) => partitionLines(summary, ageMs));
  const { allowed, refused, refusals } = fleet.machineMoves;
  lines.push(`machines between partitions: ${allowed} moved, ${refused} refused${formatRefusals(refusals)}`);
  for (const { fault, count } of fleet.droppedSummaries) lines.push(`summaries dropped: ${count} ${fault}`);
  for (const { move, task, source, target, cause, state } of moves)
    lines.push(`move ${move}: ${task} from ${source} to ${target}, ${state}, for ${cause}`);
  return lines;
}

function partitionLines(summary: LoadSummary, ageMs: number): string[] {
  const { partition, cpus, freeCpus, largestFreeCpus, trendPerS, moves, refusals, teams } = summary;
  const trend = `${trendPerS >= 0 ? '+' : ''}${trendPerS.toFixed(1)}`;
  const capacity = `${partition}: ${formatWhole(cpus)} CPUs, ${formatWhole(freeCpus)} free, ${formatWhole(largestFreeCpus)} on one machine`;
  return [
    `${capacity}; work ${trend} CPU s/s; reported ${(ageMs / 1000).toFixed(1)} s ago`,
    `  running ${formatByPriority(summary.running)}; waiting ${formatByPriority(summary.waiting)} (CPU s)`,
    ...teams.map(
      (t) => `  team ${t.team}: running ${formatWhole(t.running)}, waiting ${formatWhole(t.waiting)} CPU s`,
    ),
    `  moves: ${moves.planned} planned, ${moves.inFlight} running, ${moves.completed} made, ${moves.abandoned} given up`,
    ...refusals.map(({ reason, count }) => `  not moved: ${count} ${reason}`),
  ];
}

function formatByPriority(work: readonly number[]): string {
  return work.map((cpuSeconds, i) => `${PRIORITIES[i] ?? i} ${formatWhole(cpuSeconds)}`).join(', ');
}

function formatWhole(amount: number): string {
  return amount.toFixed(0);
}

function formatRefusals(refusals: readonly { reason: string; count: number }[]): string {
  return refusals.length === 0 ? '' : ` (${refusals.map((r) => `${r.count} ${r.reason}`).join(', ')})`;
}
