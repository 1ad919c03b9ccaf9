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

/** A job of a pipeline, as far as its pipeline cares. */
export interface PipelineMember {
  spec: JobSpec;
  state: JobState;
  /** Order of acceptance; the earliest is walked first. */
  order: number;
}

export interface PipelineSnapshot {
  /** Jobs that may begin now. */
  ready: Set<string>;
  /** Jobs that are over for the pipeline's sake and have not been written down as that. */
  terminalStates: Map<string, TerminalState>;
  standing: Map<string, PipelineJobStatus>;
}

/**
 * What the typed edges of one pipeline say, given how its jobs stand and which of them were interrupted and cannot
 * go on. Pure, and from scratch each time: nothing but what the store holds decides, so every owner and every
 * controller comes to the same view, whatever was lost between.
 */
export function evaluatePipeline(
  members: readonly PipelineMember[],
  interrupted: ReadonlySet<string>,
): PipelineSnapshot {
  const jobs = [...members].sort((a, b) => a.order - b.order || (a.spec.ref < b.spec.ref ? -1 : 1));
  const index = new Map(jobs.map((j, i) => [j.spec.ref, i]));
  const edges = edgesOf(jobs, index);
  const nodes = jobs.map(({ spec, state }): PipelineNode => ({
    state: interrupted.has(spec.ref) && state === 'open' ? 'interrupted' : nodeState[state],
    reExecutable: spec.pipeline?.reExecutable ?? true,
    inputsRecorded: true,
    alternates: jobs.flatMap((j, i) => (j.spec.pipeline?.alternateFor === spec.ref ? [i] : [])),
  }));
  // Failures that are on record are passed on again: their effects may not all have been written.
  const terminated = new Map<number, TerminalState>();
  const released = new Set<number>();
  let failed = false;
  const applyResult = (result: RecoveryResult): void => {
    for (const i of result.fail) terminated.set(i, 'failed');
    for (const i of result.cancel) terminated.set(i, 'dropped');
    for (const i of result.release) released.add(i);
    failed ||= result.pipelineFailed;
    for (const [i, end] of terminated)
      if (nodes[i]) nodes[i].state = end === 'failed' ? 'failed' : 'cancelled';
  };
  jobs.forEach(({ state }, i) => {
    if (state !== 'open' && state !== 'done') applyResult(failJob(nodes, edges, i));
  });
  // What stands in for a failed job begins once the failure is on record: a later owner could not tell it again.
  const begun = new Set(released);
  applyResult(recoveryPass(nodes, edges, [...nodes.keys()]));
  const ready = new Set<string>();
  const terminalStates = new Map<string, TerminalState>();
  const standing = new Map<string, PipelineJobStatus>();
  const hasFallback = (i: number): boolean =>
    edges.some((e) => e.from === i && e.kind === 'force_begin_on_abort') ||
    (nodes[i]?.alternates.length ?? 0) > 0;
  // A failure that a fallback or alternate answers is not the pipeline's; one that nothing answers is.
  const hasFailed = (state: JobState, i: number): boolean =>
    state === 'open' ? terminated.get(i) === 'failed' : state === 'failed' || state === 'cancelled';
  failed ||= jobs.some(({ state }, i) => hasFailed(state, i) && !hasFallback(i));
  jobs.forEach(({ spec, state }, i) => {
    const end = state === 'open' ? terminated.get(i) : undefined;
    if (end) terminalStates.set(spec.ref, end);
    const may = state === 'open' && !end && mayBegin(nodes, edges, i, begun);
    if (may) ready.add(spec.ref);
    standing.set(spec.ref, {
      state: end ?? (state === 'open' ? (may ? 'ready' : idleState(i, jobs, nodes, edges, released)) : state),
      because: may || state === 'done' ? null : blockingJob(i, jobs, nodes, edges),
      failed,
    });
  });
  return { ready, terminalStates, standing };
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

/** A fallback or alternate whose job is done will never be asked for. */
function idleState(
  i: number,
  jobs: readonly PipelineMember[],
  nodes: readonly PipelineNode[],
  edges: readonly Edge[],
  released: ReadonlySet<number>,
): 'waiting' | 'not_needed' {
  const standsFor = edges.filter((e) => e.to === i && e.kind === 'force_begin_on_abort').map((e) => e.from);
  nodes.forEach((n, from) => {
    if (n.alternates.includes(i)) standsFor.push(from);
  });
  const never = standsFor.length > 0 && standsFor.every((from) => jobs[from]?.state === 'done');
  return never && !released.has(i) ? 'not_needed' : 'waiting';
}

/** The earlier job that holds this one back or has ended it. */
function blockingJob(
  i: number,
  jobs: readonly PipelineMember[],
  nodes: readonly PipelineNode[],
  edges: readonly Edge[],
): string | null {
  const cause = edges.find((e) => e.to === i && nodes[e.from]?.state !== 'done');
  const standsFor = jobs[i]?.spec.pipeline?.alternateFor ?? null;
  return cause ? (jobs[cause.from]?.spec.ref ?? null) : standsFor;
}

/** The pipelines of a partition, and which of their jobs were interrupted and cannot go on. */
export class PartitionPipelines {
  private readonly members = new Map<string, Map<string, PipelineMember>>();
  private readonly pipelineOf = new Map<string, string>();
  private readonly interrupted = new Set<string>();

  setMember(spec: JobSpec, state: JobState, order: number): void {
    if (!spec.pipeline) return;
    const members = this.members.get(spec.pipeline.ref) ?? new Map<string, PipelineMember>();
    members.set(spec.ref, { spec, state, order });
    this.members.set(spec.pipeline.ref, members);
    this.pipelineOf.set(spec.ref, spec.pipeline.ref);
  }

  /** False if the job stands alone. */
  markClosed(ref: string, state: JobState): boolean {
    const member = this.members.get(this.pipelineOf.get(ref) ?? '')?.get(ref);
    if (member) member.state = state;
    return member !== undefined;
  }

  /** True if that is new. */
  markInterrupted(ref: string): boolean {
    if (this.interrupted.has(ref)) return false;
    this.interrupted.add(ref);
    return true;
  }

  /** How the pipeline of a job stands; null if it stands alone. */
  snapshotOf(ref: string): PipelineSnapshot | null {
    const members = this.members.get(this.pipelineOf.get(ref) ?? '');
    return members ? evaluatePipeline([...members.values()], this.interrupted) : null;
  }
}
