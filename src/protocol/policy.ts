import { readFileSync } from 'node:fs';
import { z } from 'zod';
import { ConfigError } from './config-error';
import { runPolicyScript } from './policy-script';

/** Settings that operators may change beyond the platform's settings. No field can weaken a safety rule. */
export interface Policy {
  /** Seconds between two writes of the progress of open jobs. */
  progressIntervalS: number;
  /** Machines are provisioned for this multiple of the pending work. */
  headroom: number;
  /** The weight of price against time, by workload. */
  classes: Readonly<Record<string, ClassPolicy>>;
}

/** The policy for one workload. */
export interface ClassPolicy {
  /**
   * `cheap`: waits for spot machines. `fast`: takes the machines available first. `balanced`: depends on the job's priority.
   */
  price: 'cheap' | 'balanced' | 'fast';
}

/** The policy that applies without a policy file. */
export const DEFAULT_POLICY: Policy = { progressIntervalS: 2, headroom: 1, classes: {} };

/** An error in the policy file; the message names the file and, if there is one, the line and the field. */
export class PolicyError extends ConfigError {
  constructor(message: string, cause?: unknown) {
    super('ERR_INVALID_POLICY', message, cause);
  }
}

const policySchema = z.strictObject({
  progress_interval_s: z.number().min(0.5).max(10).default(DEFAULT_POLICY.progressIntervalS),
  headroom: z.number().min(0.5).max(2).default(DEFAULT_POLICY.headroom),
  classes: z.record(z.string(), z.strictObject({ price: z.enum(['cheap', 'balanced', 'fast']) })).default({}),
});

/**
 * Runs a policy script and validates what it returns.
 *
 * @throws PolicyError if the file cannot be read, the script fails or takes too many steps or too much memory, or a field is
 * unknown or invalid.
 */
export function loadPolicy(path: string): Policy {
  let text: string;
  try {
    text = readFileSync(path, 'utf8');
  } catch (error) {
    throw new PolicyError(`${path}: ${(error as Error).message}`, error);
  }
  return parsePolicy(path, text);
}

/**
 * Runs the text of a policy script and validates what it returns; `path` names it in errors.
 *
 * @throws PolicyError if the script fails or takes too many steps or too much memory, or a field is unknown or invalid.
 */
export function parsePolicy(path: string, text: string): Policy {
  const outcome = runPolicyScript(path, text);
  if (!outcome.ok) throw new PolicyError(outcome.message);
  const parsed = policySchema.safeParse(outcome.value);
  if (!parsed.success) {
    const issue = parsed.error.issues[0];
    const unknown = issue?.code === 'unrecognized_keys' ? issue.keys : [];
    const field = [...(issue?.path.map(String) ?? []), ...unknown];
    const problem = unknown.length > 0 ? 'unknown field' : (issue?.message ?? 'invalid');
    throw new PolicyError(
      `${path}:${lineOf(text, field)}: ${field.join('.') || 'policy'}: ${problem}`,
      parsed.error,
    );
  }
  const { progress_interval_s, headroom, classes } = parsed.data;
  return { progressIntervalS: progress_interval_s, headroom, classes };
}

/** The line with the innermost part of a field's name that the script spells out, or 1 if there is none. */
function lineOf(text: string, field: readonly string[]): number {
  const lines = text.split('\n');
  for (const name of [...field].reverse()) {
    const lineIndex = lines.findIndex((line) => line.replace(/--.*$/, '').includes(name));
    if (lineIndex >= 0) return lineIndex + 1;
  }
  return 1;
}
