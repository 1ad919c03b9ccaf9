import { readFileSync } from 'node:fs';
import { balancerSettingsSchema } from '@heathbridge/load-balancer';
import { parse } from 'smol-toml';
import { z } from 'zod';
import { ConfigError } from './config-error';

/** The features file: one table a feature. A feature whose table is missing is off. */
export const featuresSchema = z
  .strictObject({ load_balancer: balancerSettingsSchema.optional() })
  .meta({ title: 'heathbridge features', description: 'What a controller does beyond its first purpose.' });

/** The features file cannot be used; the message names the file and the first field that is wrong. */
export class FeaturesError extends ConfigError {
  constructor(message: string, cause?: unknown) {
    super('ERR_INVALID_FEATURES', message, cause);
  }
}

/** The optional features of a controller, each with its settings. */
export type Features = z.infer<typeof featuresSchema>;

/** The published schema of the file, as JSON Schema. */
export function featuresJsonSchema(): object {
  return z.toJSONSchema(featuresSchema, { io: 'input' });
}

/**
 * Reads a features file.
 *
 * @throws FeaturesError if its content is wrong; an error of the file system if it cannot be read.
 */
export function loadFeatures(path: string): Features {
  return parseFeatures(path, readFileSync(path, 'utf8'));
}

/**
 * Checks the text of a features file; `path` names it in errors.
 *
 * @throws FeaturesError if the text is not TOML or a field is unknown or wrong.
 */
export function parseFeatures(path: string, text: string): Features {
  let content: unknown;
  try {
    content = parse(text);
  } catch (error) {
    const [firstLine] = (error as Error).message.split('\n');
    throw new FeaturesError(`${path}: ${firstLine}`, error);
  }
  const result = featuresSchema.safeParse(content);
  if (result.success) return result.data;
  const issue = result.error.issues[0];
  throw new FeaturesError(`${path}: ${issue ? describe(issue) : 'not valid'}`, result.error);
}

function describe(issue: z.core.$ZodIssue): string {
  const path = issue.path.map(String);
  if (issue.code === 'unrecognized_keys') return `${[...path, issue.keys[0]].join('.')}: unknown field`;
  return `${path.join('.')}: ${issue.message}`;
}
