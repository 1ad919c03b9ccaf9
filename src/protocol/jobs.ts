import { z } from 'zod';

/*
 * Submissions of users and the responses to them. Wire terms: `crew` team, `urgency` priority, `pieces` tasks, `build` image,
 * `models` machine types, `yard` zone, `together` all tasks in one zone, `apart` at most half of the tasks in one zone,
 * `loaners` spot, `snapshot_every_s` checkpoint interval, `snapshot_s` checkpoint duration, `due_s` deadline.
 */

/** Priorities, from the most to the least urgent; `JobSpec.priority` is an index into them. */
export const PRIORITIES = ['prod', 'urgent', 'normal', 'idle'] as const;

/** The kinds of dependency on an earlier job of a pipeline. */
export const EDGE_KINDS = ['begin_on_commit', 'abort', 'force_begin_on_abort'] as const;
export type EdgeKind = (typeof EDGE_KINDS)[number];

/** A job's dependencies on earlier jobs of its pipeline. Stored as is. */
export interface PipelineMembership {
  ref: string;
  after: { job: string; kind: EdgeKind }[];
  /** Whether the job may be run again after its tasks were interrupted. */
  reExecutable: boolean;
  /** Ref of the job in whose place this job runs if that job fails; null if there is none. */
  alternateFor: string | null;
}

/** A job as its user described it. Durations are in seconds. */
export interface JobSpec {
  ref: string;
  workload: string;
  team: string;
  /** Index into PRIORITIES. */
  priority: number;
  tasks: number;
  cpus: number;
  accelerators: number;
  memoryGb: number;
  image: string;
  imageGb: number;
  /** Allowed machine types, or null if any type is allowed. */
  machineTypes: string[] | null;
  zone: string | null;
  /** Whether all tasks must be in one zone. */
  singleZone: boolean;
  /** Whether at most half of the tasks, rounded up, may be in one zone. */
  spreadZones: boolean;
  /** Whether its tasks may run on spot machines. */
  spot: boolean;
  expectedS: number;
  checkpointIntervalS: number;
  checkpointDurationS: number;
  deadlineS: number | null;
  /** Null if the job belongs to no pipeline. */
  pipeline: PipelineMembership | null;
}

/** The form of a job's ref. */
export const JOB_REF_PATTERN = /^job-[0-9]{1,18}$/;

const amount = z.number().nonnegative();
const name = z.string().min(1).max(200);
const jobRef = z.string().regex(JOB_REF_PATTERN, 'must look like job-000412');
const pipelineSchema = z.object({
  ref: name,
  after: z
    .array(z.object({ job: jobRef, type: z.enum(EDGE_KINDS) }))
    .max(100)
    .nullish(),
  re_executable: z.boolean().nullish(),
  alternate_for: jobRef.nullish(),
});
const submissionSchema = z.object({
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
  pipeline: pipelineSchema.nullish(),
});

/** `reason` is one line that names the first invalid field. */
export type SubmissionParseResult = { ok: true; spec: JobSpec } | { ok: false; reason: string };

/** Validates a submission; unknown fields are ignored. */
export function parseSubmission(body: unknown): SubmissionParseResult {
  if (typeof body !== 'object' || body === null || Array.isArray(body)) {
    return { ok: false, reason: 'not a JSON object' };
  }
  const parsed = submissionSchema.safeParse(body);
  if (!parsed.success) {
    const issue = parsed.error.issues[0];
    return { ok: false, reason: `${issue?.path.join('.') ?? ''}: ${issue?.message ?? 'invalid'}` };
  }
  return { ok: true, spec: toJobSpec(parsed.data) };
}

function toJobSpec(submission: z.infer<typeof submissionSchema>): JobSpec {
  return {
    ref: submission.ref,
    workload: submission.workload,
    team: submission.crew,
    priority: PRIORITIES.indexOf(submission.urgency),
    tasks: submission.pieces,
    cpus: submission.cpus,
    accelerators: submission.accelerators,
    memoryGb: submission.memory_gb,
    image: submission.build,
    imageGb: submission.image_gb,
    machineTypes: submission.models ?? null,
    zone: submission.yard ?? null,
    singleZone: submission.together,
    spreadZones: submission.apart,
    spot: submission.loaners,
    expectedS: submission.expected_s,
    checkpointIntervalS: submission.snapshot_every_s,
    checkpointDurationS: submission.snapshot_s,
    deadlineS: submission.due_s ?? null,
    pipeline: submission.pipeline ? toPipelineMembership(submission.pipeline) : null,
  };
}

function toPipelineMembership(submitted: z.infer<typeof pipelineSchema>): PipelineMembership {
  return {
    ref: submitted.ref,
    after: (submitted.after ?? []).map(({ job, type }) => ({ job, kind: type })),
    reExecutable: submitted.re_executable ?? true,
    alternateFor: submitted.alternate_for ?? null,
  };
}

/** The status of a job; users see `cancelled` as `aborted`. */
export type JobStatus = 'queued' | 'running' | 'done' | 'cancelled';

/**
 * The state of a job within its pipeline, shown to users under these names. `because` names what the job waits for, or what
 * decided its state.
 */
export interface PipelineJobStatus {
  state: 'ready' | 'waiting' | 'not_needed' | 'done' | 'failed' | 'dropped' | 'cancelled';
  because: string | null;
  /** Whether the pipeline as a whole has failed: a job of it failed, and no alternate job can replace it. */
  failed: boolean;
}

/** The body of the response to a user's status query for a job. */
export function jobStatusBody(
  ref: string,
  status: JobStatus,
  done: number,
  running: number,
  pipeline?: { ref: string } & PipelineJobStatus,
): object {
  const shownStatus = status === 'cancelled' ? 'aborted' : status;
  return { ref, status: shownStatus, done, running, ...(pipeline ? { pipeline } : {}) };
}
