import { type LoadSummary } from '@heathbridge/load-balancer';
import { EXIT, guarded, request, type ClientOptions, type Output } from './client';
import { URGENCIES } from './protocol/jobs';

/** The part of `GET /status` that tells of load. */
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

interface StatusAnswer {
  member?: string;
  balance?: BalanceStatus;
}

/** Shows how load is spread, and what is moved and why, as the leader knows it. */
export function balance({ server, json }: ClientOptions, output: Output): Promise<number> {
  return guarded(output, async () => {
    const answer = await request('GET', '/status', undefined, server, output);
    if (!answer) return EXIT.unreachable;
    const { member, balance: status } = (answer.body ?? {}) as StatusAnswer;
    const refusal = whyNot(server, member, status);
    if (refusal !== null) {
      output.err(`heathbridge: ${refusal}`);
      return EXIT.refused;
    }
    if (json) output.out(JSON.stringify(status));
    else for (const line of lines(status as BalanceStatus)) output.out(line);
    return EXIT.ok;
  });
}

function whyNot(
  server: string,
  member: string | undefined,
  status: BalanceStatus | undefined,
): string | null {
  if (member === undefined) return `${server}: this is no controller`;
  if (!status) return `${member} does not balance load: the feature is off`;
  if (status.fleet) return null;
  return status.leader === null || status.leader === member
    ? `${member} does not lead, and nobody does now; try again later`
    : `${member} does not lead: ask ${status.leader}`;
}

function lines({ fleet, moves }: BalanceStatus): string[] {
  if (!fleet) return [];
  const shown = fleet.partitions.flatMap(({ summary, ageMs }) => partitionLines(summary, ageMs));
  const { allowed, refused, refusals } = fleet.machineMoves;
  shown.push(`machines between partitions: ${allowed} moved, ${refused} refused${reasons(refusals)}`);
  for (const { fault, count } of fleet.droppedSummaries) shown.push(`summaries dropped: ${count} ${fault}`);
  for (const { move, task, source, target, cause, state } of moves)
    shown.push(`move ${move}: ${task} from ${source} to ${target}, ${state}, for ${cause}`);
  return shown;
}

function partitionLines(summary: LoadSummary, ageMs: number): string[] {
  const { partition, cpus, freeCpus, largestFreeCpus, trendPerS, moves, refusals, teams } = summary;
  const trend = `${trendPerS >= 0 ? '+' : ''}${trendPerS.toFixed(1)}`;
  const first = `${partition}: ${whole(cpus)} CPUs, ${whole(freeCpus)} free, ${whole(largestFreeCpus)} on one machine`;
  return [
    `${first}; work ${trend} CPU s/s; told ${(ageMs / 1000).toFixed(1)} s ago`,
    `  running ${byPriority(summary.running)}; waiting ${byPriority(summary.waiting)} (CPU s)`,
    ...teams.map((t) => `  team ${t.team}: running ${whole(t.running)}, waiting ${whole(t.waiting)} CPU s`),
    `  moves: ${moves.planned} planned, ${moves.inFlight} running, ${moves.completed} made, ${moves.abandoned} given up`,
    ...refusals.map(({ reason, count }) => `  not moved: ${count} ${reason}`),
  ];
}

function byPriority(work: readonly number[]): string {
  return work.map((cpuSeconds, i) => `${URGENCIES[i] ?? i} ${whole(cpuSeconds)}`).join(', ');
}

function whole(amount: number): string {
  return amount.toFixed(0);
}

function reasons(refusals: readonly { reason: string; count: number }[]): string {
  return refusals.length === 0 ? '' : ` (${refusals.map((r) => `${r.count} ${r.reason}`).join(', ')})`;
}
