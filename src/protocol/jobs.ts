import { z } from 'zod';

/** Urgencies from the most to the least pressing; the index is the rank. */
export const PRIORITIES = ['prod', 'urgent', 'normal', 'idle'] as const;

export const EDGE_KINDS = ['begin_on_commit', 'abort', 'force_begin_on_abort'] as const;
export type EdgeKind = (typeof EDGE_KINDS)[number];

/** How a job hangs together with earlier jobs of its pipeline. */
export interface PipelineLink {
  ref: string;
  after: { job: string; kind: EdgeKind }[];
  /** Whether it may be run again after its tasks were interrupted. */
  reExecutable: boolean;
  /** The job that this one stands in for should it fail. */
  alternateFor: string | null;
}

/** A job as its user described it, in the project's own words. */
export interface JobSpec {
  ref: string;
  workload: string;
  team: string;
  /** Index into URGENCIES. */
  priority: number;
  tasks: number;
  cpus: number;
  accelerators: number;
  memoryGb: number;
  image: string;
  imageGb: number;
  /** Allowed machine types; null: any. */
  machineTypes: string[] | null;
  zone: string | null;
  singleZone: boolean;
  spreadZones: boolean;
  spot: boolean;
  expectedS: number;
  checkpointIntervalS: number;
  checkpointDurationS: number;
  deadlineS: number | null;
  /** Null: it stands alone. */
  pipeline: PipelineLink | null;
}

export const JOB_REF_PATTERN = /^job-[0-9]{1,18}$/;

const amount = z.number().nonnegative();
const name = z.string().min(1).max(200);
const jobRef = z.string().regex(JOB_REF_PATTERN, 'must look like job-000412');
const submission = z.object({
  ref: jobRef,
  workload: name,
  crew: name,
  shape: z.literal('sweep'),
  urgency: z.enum(PRIORITIES),
  pieces: z.number().int().min(1).max(100_000),
  cpus: amount,
  accelerators: amount,
  memory_gb: amount,
  build: z.string().max(200),
  image_gb: amount,
  models: z.array(name).nullish(),
  yard: name.nullish(),
  together: z.boolean(),
  apart: z.boolean(),
  loaners: z.boolean(),
  expected_s: amount,
  snapshot_every_s: amount,
  snapshot_s: amount,
  due_s: amount.nullish(),
  pipeline: z
    .object({
      ref: name,
      after: z
        .array(z.object({ job: jobRef, type: z.enum(EDGE_KINDS) }))
        .max(100)
        .nullish(),
      re_executable: z.boolean().nullish(),
      alternate_for: jobRef.nullish(),
    })
    .nullish(),
});

export type SubmissionResult = { ok: true; spec: JobSpec } | { ok: false; reason: string };

/** Checks a submission field by field; the reason names the first bad one on one line. */
export function parseSubmission(body: unknown): SubmissionResult {
  if (typeof body !== 'object' || body === null || Array.isArray(body)) {
    return { ok: false, reason: 'not a JSON object' };
  }
  const read = submission.safeParse(body);
  if (!read.success) {
    const issue = read.error.issues[0];
    return { ok: false, reason: `${issue?.path.join('.') ?? ''}: ${issue?.message ?? 'invalid'}` };
  }
  const s = read.data;
  return {
    ok: true,
    spec: {
      ref: s.ref,
      workload: s.workload,
      team: s.crew,
      priority: PRIORITIES.indexOf(s.urgency),
      tasks: s.pieces,
      cpus: s.cpus,
      accelerators: s.accelerators,
      memoryGb: s.memory_gb,
      image: s.build,
      imageGb: s.image_gb,
      machineTypes: s.models ?? null,
      zone: s.yard ?? null,
      singleZone: s.together,
      spreadZones: s.apart,
      spot: s.loaners,
      expectedS: s.expected_s,
      checkpointIntervalS: s.snapshot_every_s,
      checkpointDurationS: s.snapshot_s,
      deadlineS: s.due_s ?? null,
      pipeline: s.pipeline
        ? {
            ref: s.pipeline.ref,
            after: (s.pipeline.after ?? []).map(({ job, type }) => ({ job, kind: type })),
            reExecutable: s.pipeline.re_executable ?? true,
            alternateFor: s.pipeline.alternate_for ?? null,
          }
        : null,
    },
  };
}

export type JobStatus = 'queued' | 'running' | 'done' | 'cancelled';

/** How a job of a pipeline stands there; `because` names what it waits for or what decided over it. */
export interface PipelineJobStatus {
  state: 'ready' | 'waiting' | 'not_needed' | 'done' | 'failed' | 'dropped' | 'cancelled';
  because: string | null;
  /** The pipeline as a whole has failed: something in it did, and nothing that stands in for it may mend that. */
  failed: boolean;
}

/** The answer to a user's question about a job. */
export function jobStatusBody(
  ref: string,
  status: JobStatus,
  done: number,
  running: number,
  pipeline?: { ref: string } & PipelineJobStatus,
): object {
  const shown = status === 'cancelled' ? 'aborted' : status;
  return { ref, status: shown, done, running, ...(pipeline ? { pipeline } : {}) };
}
