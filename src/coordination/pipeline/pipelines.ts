import { type JobSpec, type PipelineJobStatus } from '../../protocol/jobs';
import { type TerminalState, type JobState } from '../../protocol/records';
import {
  failJob,
  mayBegin,
  recoveryPass,
  type Edge,
  type PipelineNode,
  type RecoveryResult,
} from './recovery-pass';

/** The properties of a job on which the evaluation of its pipeline depends. */
export interface PipelineMember {
  spec: JobSpec;
  state: JobState;
  /** Position in the order of acceptance. The recovery pass handles earlier jobs first. */
  order: number;
}

/** The result of evaluating a pipeline. Jobs are given by reference. */
export interface PipelineSnapshot {
  /** Open jobs whose tasks may start now. */
  ready: Set<string>;
  /** Terminal states of jobs that the pipeline terminates and that are open in the state store. */
  terminalStates: Map<string, TerminalState>;
  statusByJob: Map<string, PipelineJobStatus>;
}

/**
 * Evaluates the typed edges of one pipeline from the states of its jobs in the state store and the set of jobs that were
 * interrupted and cannot continue. The function is pure, so every owner obtains the same result from the same states. Only the
 * owner knows the interrupted jobs before their failure is recorded; status queries pass an empty set.
 */
export function evaluatePipeline(
  members: readonly PipelineMember[],
  interrupted: ReadonlySet<string>,
): PipelineSnapshot {
  return new PipelineEvaluation(members, interrupted).snapshot();
}

/** The jobs of a pipeline as a graph. A job is given by its index in the order of acceptance. */
class PipelineEvaluation {
  private readonly jobs: readonly PipelineMember[];
  private readonly edges: readonly Edge[];
  private readonly nodes: readonly PipelineNode[];
  /** Open jobs that the evaluation terminates. */
  private readonly terminated = new Map<number, TerminalState>();
  /** Fallbacks and alternates that are released to run. */
  private readonly released = new Set<number>();
  private pipelineFailed = false;

  constructor(members: readonly PipelineMember[], interrupted: ReadonlySet<string>) {
    const jobs = [...members].sort((a, b) => a.order - b.order || (a.spec.ref < b.spec.ref ? -1 : 1));
    this.jobs = jobs;
    this.edges = edgesOf(jobs, new Map(jobs.map((job, i) => [job.spec.ref, i])));
    this.nodes = jobs.map(({ spec, state }): PipelineNode => ({
      state: interrupted.has(spec.ref) && state === 'open' ? 'interrupted' : nodeState[state],
      reExecutable: spec.pipeline?.reExecutable ?? true,
      inputsRecorded: true,
      alternates: jobs.flatMap((job, i) => (job.spec.pipeline?.alternateFor === spec.ref ? [i] : [])),
    }));
  }

  snapshot(): PipelineSnapshot {
    this.applyRecordedFailures();
    // A fallback starts only once the failure that releases it is recorded, because a later owner could not detect that failure
    // again.
    const recordedReleases = new Set(this.released);
    this.applyResult(recoveryPass(this.nodes, this.edges, [...this.nodes.keys()]));
    this.pipelineFailed ||= this.jobs.some((_, i) => this.hasFailed(i) && !this.hasFallback(i));
    const snapshot: PipelineSnapshot = {
      ready: new Set(),
      terminalStates: new Map(),
      statusByJob: new Map(),
    };
    for (const i of this.jobs.keys()) this.addToSnapshot(i, recordedReleases, snapshot);
    return snapshot;
  }

  /** Propagates recorded failures again, because some of their effects may not have been recorded. */
  private applyRecordedFailures(): void {
    this.jobs.forEach(({ state }, i) => {
      if (state !== 'open' && state !== 'done') this.applyResult(failJob(this.nodes, this.edges, i));
    });
  }

  private applyResult(result: RecoveryResult): void {
    for (const i of result.fail) this.terminated.set(i, 'failed');
    for (const i of result.cancel) this.terminated.set(i, 'dropped');
    for (const i of result.release) this.released.add(i);
    this.pipelineFailed ||= result.pipelineFailed;
    for (const [i, terminalState] of this.terminated) {
      const node = this.nodes[i];
      if (node) node.state = terminalState === 'failed' ? 'failed' : 'cancelled';
    }
  }

  private hasFailed(i: number): boolean {
    const state = this.jobs[i]?.state;
    if (state === 'open') return this.terminated.get(i) === 'failed';
    return state === 'failed' || state === 'cancelled';
  }

  /** Whether a job has a fallback or an alternate. If a job without one fails, the pipeline fails. */
  private hasFallback(i: number): boolean {
    const hasFallbackEdge = this.edges.some((e) => e.from === i && e.kind === 'force_begin_on_abort');
    return hasFallbackEdge || (this.nodes[i]?.alternates.length ?? 0) > 0;
  }

  private addToSnapshot(i: number, recordedReleases: ReadonlySet<number>, snapshot: PipelineSnapshot): void {
    const { jobs, nodes, edges, released } = this;
    const job = jobs[i];
    if (!job) return;
    const { spec, state } = job;
    const terminalState = state === 'open' ? this.terminated.get(i) : undefined;
    if (terminalState) snapshot.terminalStates.set(spec.ref, terminalState);
    const ready = state === 'open' && !terminalState && mayBegin(nodes, edges, i, recordedReleases);
    if (ready) snapshot.ready.add(spec.ref);
    const openState = (): PipelineJobStatus['state'] =>
      ready ? 'ready' : waitingState(i, jobs, nodes, edges, released);
    snapshot.statusByJob.set(spec.ref, {
      state: terminalState ?? (state === 'open' ? openState() : state),
      because: ready || state === 'done' ? null : blockingJob(i, jobs, nodes, edges),
      failed: this.pipelineFailed,
    });
  }
}

const nodeState = {
  open: 'unscheduled',
  done: 'done',
  failed: 'failed',
  dropped: 'cancelled',
  cancelled: 'cancelled',
} as const;

function edgesOf(jobs: readonly PipelineMember[], index: ReadonlyMap<string, number>): Edge[] {
  const edges: Edge[] = [];
  jobs.forEach(({ spec }, to) => {
    for (const { job, kind } of spec.pipeline?.after ?? []) {
      const from = index.get(job);
      if (from !== undefined) edges.push({ from, to, kind });
    }
  });
  return edges;
}

/** State of a job that may not begin yet: `not_needed` if it is a fallback or alternate only for jobs that are done. */
function waitingState(
  i: number,
  jobs: readonly PipelineMember[],
  nodes: readonly PipelineNode[],
  edges: readonly Edge[],
  released: ReadonlySet<number>,
): 'waiting' | 'not_needed' {
  const replacedJobs = edges
    .filter((e) => e.to === i && e.kind === 'force_begin_on_abort')
    .map((e) => e.from);
  nodes.forEach((n, from) => {
    if (n.alternates.includes(i)) replacedJobs.push(from);
  });
  const neverNeeded = replacedJobs.length > 0 && replacedJobs.every((from) => jobs[from]?.state === 'done');
  return neverNeeded && !released.has(i) ? 'not_needed' : 'waiting';
}

/** The job that holds a job back or has terminated it, or else the job whose alternate it is; null if there is none. */
function blockingJob(
  i: number,
  jobs: readonly PipelineMember[],
  nodes: readonly PipelineNode[],
  edges: readonly Edge[],
): string | null {
  const cause = edges.find((e) => e.to === i && nodes[e.from]?.state !== 'done');
  const replacedJob = jobs[i]?.spec.pipeline?.alternateFor ?? null;
  return cause ? (jobs[cause.from]?.spec.ref ?? null) : replacedJob;
}

/** The pipelines of a partition, and which of their jobs were interrupted and cannot continue. */
export class PartitionPipelines {
  private readonly members = new Map<string, Map<string, PipelineMember>>();
  private readonly pipelineOf = new Map<string, string>();
  private readonly interrupted = new Set<string>();

  /** Adds a job to its pipeline, or updates it. Ignores a job without a pipeline. */
  setMember(spec: JobSpec, state: JobState, order: number): void {
    if (!spec.pipeline) return;
    const members = this.members.get(spec.pipeline.ref) ?? new Map<string, PipelineMember>();
    members.set(spec.ref, { spec, state, order });
    this.members.set(spec.pipeline.ref, members);
    this.pipelineOf.set(spec.ref, spec.pipeline.ref);
  }

  /** Sets the terminal state of a closed job. Returns false if the job has no pipeline. */
  markClosed(ref: string, state: JobState): boolean {
    const member = this.members.get(this.pipelineOf.get(ref) ?? '')?.get(ref);
    if (member) member.state = state;
    return member !== undefined;
  }

  /** Marks a job as interrupted and unable to continue. Returns false if it was marked already. */
  markInterrupted(ref: string): boolean {
    if (this.interrupted.has(ref)) return false;
    this.interrupted.add(ref);
    return true;
  }

  /** Evaluates the pipeline of a job; null if the job has no pipeline. */
  snapshotOf(ref: string): PipelineSnapshot | null {
    const members = this.members.get(this.pipelineOf.get(ref) ?? '');
    return members ? evaluatePipeline([...members.values()], this.interrupted) : null;
  }
}
