/** Job specs that tests submit. */
import { type JobSpec } from '../../src/protocol/jobs';

/** A job of two small tasks that may run on any machine; a test overrides the fields that matter to it. */
export function jobSpec(ref: string, overrides: Partial<JobSpec> = {}): JobSpec {
  return {
    ref,
    workload: 'w',
    team: 't',
    priority: 2,
    tasks: 2,
    cpus: 1,
    accelerators: 0,
    memoryGb: 2,
    image: 'i',
    imageGb: 1,
    machineTypes: null,
    zone: null,
    singleZone: false,
    spreadZones: false,
    spot: true,
    expectedS: 30,
    checkpointIntervalS: 0,
    checkpointDurationS: 0,
    deadlineS: null,
    pipeline: null,
    ...overrides,
  };
}

/** A job of five such tasks, for tests that need only one job. */
export const JOB_SPEC = jobSpec('job-000001', { tasks: 5 });
