import { type EdgeKind } from '../../protocol/jobs';

/*
 * The recovery pass of the paper by Ray, Xin and Zhu (section 5, phase 3) and its typed edges (section 3), for one pipeline. The
 * functions are pure: they compute decisions from the states of the pipeline's jobs.
 */

/** A typed edge between two jobs, given by their indices: `to` depends on `from`. */
export interface Edge {
  from: number;
  to: number;
  kind: EdgeKind;
}

/**
 * State of a job. In the paper: unscheduled, executing, committed (`done`) and aborted (`failed` or `cancelled`). An executing
 * job is `interrupted` after a crash.
 */
export type NodeState = 'unscheduled' | 'executing' | 'interrupted' | 'done' | 'failed' | 'cancelled';

/** A job of the pipeline. */
export interface PipelineNode {
  state: NodeState;
  reExecutable: boolean;
  /** Whether all inputs of the job are recorded. */
  inputsRecorded: boolean;
  /** Jobs that replace this one once it has failed. */
  alternates: number[];
}

/** Decisions about the jobs of a pipeline after a crash or a failure. Jobs are given by index. */
export interface RecoveryResult {
  /** Interrupted jobs whose unfinished tasks are run again. */
  rerun: number[];
  /** Jobs that fail. */
  fail: number[];
  /** Jobs cancelled because a job on which they abort-depend has failed or was cancelled. */
  cancel: number[];
  /** Fallbacks and alternates that are released to run. */
  release: number[];
  /**
   * Whether a done job abort-depends on a job that failed or was cancelled. It stays done, and the pipeline is reported as
   * failed.
   */
  pipelineFailed: boolean;
}

/** Decides for each interrupted job whether it is run again or fails. `order` lists the jobs, earliest first. */
export function recoveryPass(
  nodes: readonly PipelineNode[],
  edges: readonly Edge[],
  order: readonly number[],
): RecoveryResult {
  const result: RecoveryResult = { rerun: [], fail: [], cancel: [], release: [], pipelineFailed: false };
  const states = nodes.map((n) => n.state);
  for (const i of order) {
    const node = nodes[i];
    // The failure of an earlier job may already have cancelled this one.
    if (!node || states[i] !== 'interrupted') continue;
    if (node.reExecutable && node.inputsRecorded) {
      states[i] = 'executing';
      result.rerun.push(i);
    } else {
      states[i] = 'failed';
      result.fail.push(i);
      propagateFailure(i, nodes, edges, states, result);
    }
  }
  return result;
}

/** Decides the effects of a job's failure in normal operation on the other jobs. They are the same as after a crash. */
export function failJob(
  nodes: readonly PipelineNode[],
  edges: readonly Edge[],
  failed: number,
): RecoveryResult {
  const result: RecoveryResult = {
    rerun: [],
    fail: [failed],
    cancel: [],
    release: [],
    pipelineFailed: false,
  };
  const states = nodes.map((n) => n.state);
  states[failed] = 'failed';
  propagateFailure(failed, nodes, edges, states, result);
  return result;
}

/**
 * Cancels all jobs that abort-depend on a failed job, directly or through others, unless done. Releases the fallbacks and
 * alternates of the failed job and of the cancelled ones.
 */
function propagateFailure(
  first: number,
  nodes: readonly PipelineNode[],
  edges: readonly Edge[],
  states: NodeState[],
  result: RecoveryResult,
): void {
  const unpropagated = [first];
  const release = (i: number): void => {
    if (states[i] !== 'unscheduled' || result.release.includes(i)) return;
    result.release.push(i);
  };
  for (let failed = unpropagated.shift(); failed !== undefined; failed = unpropagated.shift()) {
    for (const edge of edges) {
      if (edge.from !== failed) continue;
      const dependentState = states[edge.to];
      if (edge.kind === 'force_begin_on_abort') release(edge.to);
      if (edge.kind !== 'abort') continue;
      if (dependentState === 'done') result.pipelineFailed = true;
      else if (dependentState !== 'failed' && dependentState !== 'cancelled') {
        states[edge.to] = 'cancelled';
        result.cancel.push(edge.to);
        result.release = result.release.filter((i) => i !== edge.to);
        unpropagated.push(edge.to);
      }
    }
    for (const alternate of nodes[failed]?.alternates ?? []) release(alternate);
  }
}

/** Whether a job may begin: its begin-on-commit parents are done and, if the job is a fallback or alternate, it was released. */
export function mayBegin(
  nodes: readonly PipelineNode[],
  edges: readonly Edge[],
  job: number,
  released: ReadonlySet<number>,
): boolean {
  let needsRelease = nodes.some((n) => n.alternates.includes(job));
  for (const edge of edges) {
    if (edge.to !== job) continue;
    if (edge.kind === 'begin_on_commit' && nodes[edge.from]?.state !== 'done') return false;
    if (edge.kind === 'force_begin_on_abort') needsRelease = true;
  }
  return !needsRelease || released.has(job);
}
