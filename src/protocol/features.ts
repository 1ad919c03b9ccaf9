import { readFileSync } from 'node:fs';
import { balancerSettingsSchema } from '@heathbridge/load-balancer';
import { parse } from 'smol-toml';
import { z } from 'zod';
import { ConfigError } from './config-error';

/** Schema of the features file, with one table for each feature. A feature whose table is missing is off. */
export const featuresSchema = z
  .strictObject({ load_balancer: balancerSettingsSchema.optional() })
  .meta({ title: 'heathbridge features', description: 'What a controller does beyond its first purpose.' });

/** An error in the features file; the message names the file and the first invalid field. */
export class FeaturesError extends ConfigError {
  constructor(message: string, cause?: unknown) {
    super('ERR_INVALID_FEATURES', message, cause);
  }
}

/** The settings of a controller's optional features. */
export type Features = z.infer<typeof featuresSchema>;

/** The published JSON Schema of the features file. */
export function featuresJsonSchema(): object {
  return z.toJSONSchema(featuresSchema, { io: 'input' });
}

/**
 * Reads a features file.
 *
 * @throws FeaturesError if its content is invalid; an error of the file system if it cannot be read.
 */
export function loadFeatures(path: string): Features {
  return parseFeatures(path, readFileSync(path, 'utf8'));
}

/**
 * Parses and validates the text of a features file; `path` names it in errors.
 *
 * @throws FeaturesError if the text is not TOML, or a field is unknown or invalid.
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
  throw new FeaturesError(`${path}: ${issue ? describeIssue(issue) : 'not valid'}`, result.error);
}

function describeIssue(issue: z.core.$ZodIssue): string {
  const path = issue.path.map(String);
  if (issue.code === 'unrecognized_keys') return `${[...path, issue.keys[0]].join('.')}: unknown field`;
  return `${path.join('.')}: ${issue.message}`;
}
