import { readFileSync } from 'node:fs';
import { balancerSettingsSchema } from '@heathbridge/load-balancer';
import { parse } from 'smol-toml';
import { z } from 'zod';

/** The file of features: one table a feature. A feature whose table is missing is off. */
export const featuresSchema = z
  .strictObject({ load_balancer: balancerSettingsSchema.optional() })
  .meta({ title: 'heathbridge features', description: 'What a controller does beyond its first purpose.' });

/** Checked features. */
export type Features = z.infer<typeof featuresSchema>;

/** The published schema of the file, as JSON Schema. */
export function featuresJsonSchema(): object {
  return z.toJSONSchema(featuresSchema, { io: 'input' });
}

/** Reads a file of features; throws an error that names the file and the first field that is wrong. */
export function loadFeatures(path: string): Features {
  return checkFeatures(path, readFileSync(path, 'utf8'));
}

/** Checks the text of a file of features. */
export function checkFeatures(path: string, text: string): Features {
  let content: unknown;
  try {
    content = parse(text);
  } catch (error) {
    const [firstLine] = (error as Error).message.split('\n');
    throw new Error(`${path}: ${firstLine}`);
  }
  const result = featuresSchema.safeParse(content);
  if (result.success) return result.data;
  const issue = result.error.issues[0];
  throw new Error(`${path}: ${issue ? describe(issue) : 'not valid'}`);
}

function describe(issue: z.core.$ZodIssue): string {
  const path = issue.path.map(String);
  if (issue.code === 'unrecognized_keys') return `${[...path, issue.keys[0]].join('.')}: unknown field`;
  return `${path.join('.')}: ${issue.message}`;
}
