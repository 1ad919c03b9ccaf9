import { readFileSync } from 'node:fs';
import { type HttpAnswer, HttpClient } from './transport/http-client';
import { JOB_REF } from './protocol/jobs';

/** How the commands for people end. */
export const EXIT = { ok: 0, refused: 1, usage: 2, unreachable: 3 } as const;

export interface ClientOptions {
  server: string;
  json: boolean;
}

/** Where a command for people writes. */
export interface Output {
  out: (line: string) => void;
  err: (line: string) => void;
}

const ANSWER_MS = 6000;
const TRIES = 5;
const PAUSE_MS = 1000;

class Usage extends Error {}

interface JobAnswer {
  ref?: string;
  status?: string;
  done?: number;
  running?: number;
  error?: string;
  pipeline?: { ref: string; state: string; because: string | null; failed: boolean };
}

/** Submits a job that a file describes (`-`: standard input). Safe to repeat: a job is known by its ref. */
export function submit(file: string, options: ClientOptions, output: Output): Promise<number> {
  return guarded(output, async () => {
    let job: unknown;
    try {
      job = JSON.parse(readFileSync(file === '-' ? 0 : file, 'utf8'));
    } catch (error) {
      throw new Usage(`${file}: ${(error as Error).message}`);
    }
    return ask('POST', '/v2/runs', job, options, output);
  });
}

export function status(ref: string, options: ClientOptions, output: Output): Promise<number> {
  return guarded(output, () => ask('GET', `/v2/runs/${known(ref)}`, undefined, options, output));
}

export function cancel(ref: string, options: ClientOptions, output: Output): Promise<number> {
  return guarded(output, () => ask('POST', `/v2/runs/${known(ref)}/cancel`, {}, options, output));
}

function known(ref: string): string {
  if (!JOB_REF.test(ref)) throw new Usage(`${ref}: a job's ref looks like job-000412`);
  return ref;
}

/** Runs a command; words that are wrong end it with the code for that. */
export async function guarded(output: Output, act: () => Promise<number>): Promise<number> {
  try {
    return await act();
  } catch (error) {
    if (!(error instanceof Usage)) throw error;
    output.err(`heathbridge: ${error.message}`);
    return EXIT.usage;
  }
}

/**
 * Asks until there is an answer that will not change by asking again. Null: there was none, which has been said on standard
 * error.
 */
export async function request(
  method: string,
  path: string,
  body: unknown,
  server: string,
  { err }: Output,
): Promise<HttpAnswer | null> {
  if (!/^[0-9.]+:[0-9]+$/.test(server))
    throw new Usage(`--server ${server}: must be an IPv4 address and a port`);
  const client = new HttpClient(server, 1);
  let answer: HttpAnswer | null = null;
  try {
    for (let tries = 0; tries < TRIES; tries++) {
      if (tries > 0) await new Promise((resolve) => setTimeout(resolve, PAUSE_MS));
      answer = await client.call(method, path, body, ANSWER_MS);
      if (answer && answer.status < 500 && answer.status !== 429) break;
    }
  } finally {
    client.close();
  }
  if (!answer || answer.status >= 500 || answer.status === 429) {
    const said = (answer?.body as JobAnswer | undefined)?.error;
    err(
      `heathbridge: ${server}: ${answer ? `${answer.status} ${said ?? ''}`.trim() : 'no answer'}; try again later`,
    );
    return null;
  }
  return answer;
}

async function ask(
  method: string,
  path: string,
  body: unknown,
  { server, json }: ClientOptions,
  output: Output,
): Promise<number> {
  const answer = await request(method, path, body, server, output);
  if (!answer) return EXIT.unreachable;
  const { out, err } = output;
  const content = (answer.body ?? {}) as JobAnswer;
  if (json) out(JSON.stringify(content));
  if (answer.status >= 400) {
    err(`heathbridge: ${content.error ?? `refused with ${answer.status}`}`);
    return EXIT.refused;
  }
  if (!json) out(shown(content));
  return EXIT.ok;
}

function shown({ ref, status: state, done, running, pipeline }: JobAnswer): string {
  const counts = done === undefined ? '' : `, ${done} tasks done, ${running ?? 0} running`;
  if (!pipeline) return `${ref}: ${state}${counts}`;
  const because = pipeline.because === null ? '' : ` (${pipeline.because})`;
  const failed = pipeline.failed ? ', the pipeline has failed' : '';
  return `${ref}: ${state}${counts}; in ${pipeline.ref}: ${pipeline.state}${because}${failed}`;
}
