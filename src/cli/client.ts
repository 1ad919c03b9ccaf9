/** Commands for users. Each sends one request to a controller and retries it a few times until a final response arrives. */
import { API_PATHS } from '../protocol/api-paths';
import { readFileSync } from 'node:fs';
import { type HttpResponse, HttpClient } from '../transport/http-client';
import { JOB_REF_PATTERN } from '../protocol/jobs';

/** Exit codes of the commands for users and operators. */
export const EXIT_CODES = { ok: 0, refused: 1, usage: 2, unreachable: 3 } as const;

export interface ClientOptions {
  server: string;
  json: boolean;
}

/** Receives the lines that a command writes to standard output and standard error. */
export interface Output {
  out: (line: string) => void;
  err: (line: string) => void;
}

const RESPONSE_TIMEOUT_MS = 6000;
const MAX_ATTEMPT_COUNT = 5;
const RETRY_DELAY_MS = 1000;

/** An invalid command line. The message names the argument that is wrong. */
class UsageError extends Error {
  readonly code = 'ERR_USAGE';

  constructor(message: string, options?: ErrorOptions) {
    super(message, options);
    this.name = 'UsageError';
  }
}

interface JobResponse {
  ref?: string;
  status?: string;
  done?: number;
  running?: number;
  error?: string;
  pipeline?: { ref: string; state: string; because: string | null; failed: boolean };
}

/** Submits the job described by a file (`-`: standard input). Safe to repeat, because a job is identified by its ref. */
export function submit(file: string, options: ClientOptions, output: Output): Promise<number> {
  return reportUsageErrors(output, async () => {
    let job: unknown;
    try {
      job = JSON.parse(readFileSync(file === '-' ? 0 : file, 'utf8'));
    } catch (error) {
      throw new UsageError(`${file}: ${(error as Error).message}`, { cause: error });
    }
    return requestJob('POST', API_PATHS.jobs, job, options, output);
  });
}

export function status(ref: string, options: ClientOptions, output: Output): Promise<number> {
  return reportUsageErrors(output, () =>
    requestJob('GET', `${API_PATHS.jobs}/${requireJobRef(ref)}`, undefined, options, output),
  );
}

export function cancel(ref: string, options: ClientOptions, output: Output): Promise<number> {
  return reportUsageErrors(output, () =>
    requestJob('POST', `${API_PATHS.jobs}/${requireJobRef(ref)}/cancel`, {}, options, output),
  );
}

function requireJobRef(ref: string): string {
  if (!JOB_REF_PATTERN.test(ref)) throw new UsageError(`${ref}: a job's ref looks like job-000412`);
  return ref;
}

/** Runs a command and returns its exit code. A usage error is written to standard error and has an exit code of its own. */
export async function reportUsageErrors(output: Output, command: () => Promise<number>): Promise<number> {
  try {
    return await command();
  } catch (error) {
    if (!(error instanceof UsageError)) throw error;
    output.err(`heathbridge: ${error.message}`);
    return EXIT_CODES.usage;
  }
}

/**
 * Repeats a request until its response is one that a retry would not change. Returns null if no attempt had such a response,
 * after reporting that on standard error.
 *
 * @throws (as a rejection) UsageError if `server` is not an IPv4 address and a port.
 */
export async function requestWithRetries(
  method: string,
  path: string,
  body: unknown,
  server: string,
  { err }: Output,
): Promise<HttpResponse | null> {
  if (!/^[0-9.]+:[0-9]+$/.test(server))
    throw new UsageError(`--server ${server}: must be an IPv4 address and a port`);
  const client = new HttpClient(server, 1);
  let response: HttpResponse | null = null;
  try {
    for (let attempt = 0; attempt < MAX_ATTEMPT_COUNT; attempt++) {
      if (attempt > 0) await new Promise((resolve) => setTimeout(resolve, RETRY_DELAY_MS));
      response = await client.call(method, path, body, RESPONSE_TIMEOUT_MS);
      if (response && response.status < 500 && response.status !== 429) break;
    }
  } finally {
    client.close();
  }
  if (!response || response.status >= 500 || response.status === 429) {
    const serverError = (response?.body as JobResponse | undefined)?.error;
    err(
      `heathbridge: ${server}: ${response ? `${response.status} ${serverError ?? ''}`.trim() : 'no answer'}; try again later`,
    );
    return null;
  }
  return response;
}

async function requestJob(
  method: string,
  path: string,
  body: unknown,
  { server, json }: ClientOptions,
  output: Output,
): Promise<number> {
  const response = await requestWithRetries(method, path, body, server, output);
  if (!response) return EXIT_CODES.unreachable;
  const { out, err } = output;
  const content = (response.body ?? {}) as JobResponse;
  if (json) out(JSON.stringify(content));
  if (response.status >= 400) {
    err(`heathbridge: ${content.error ?? `request refused with status ${response.status}`}`);
    return EXIT_CODES.refused;
  }
  if (!json) out(describeJob(content));
  return EXIT_CODES.ok;
}

function describeJob({ ref, status: jobStatus, done, running, pipeline }: JobResponse): string {
  const counts = done === undefined ? '' : `, ${done} tasks done, ${running ?? 0} running`;
  if (!pipeline) return `${ref}: ${jobStatus}${counts}`;
  const because = pipeline.because === null ? '' : ` (${pipeline.because})`;
  const failed = pipeline.failed ? ', the pipeline has failed' : '';
  return `${ref}: ${jobStatus}${counts}; in ${pipeline.ref}: ${pipeline.state}${because}${failed}`;
}
