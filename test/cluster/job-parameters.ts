import { TEAMS, type JobParameters } from './cluster-options';

/** A job of two small tasks that run for 5 s; a test overrides the parameters that matter to it. */
export function jobParameters(overrides: Partial<JobParameters> = {}): JobParameters {
  return {
    team: TEAMS[0]?.name ?? '',
    tasks: 2,
    cpus: 1,
    priority: 'normal',
    runMs: 5000,
    expectedS: 5,
    checkpointIntervalS: 0,
    checkpointDurationS: 0,
    image: 'img-0',
    imageGb: 1,
    ...overrides,
  };
}
