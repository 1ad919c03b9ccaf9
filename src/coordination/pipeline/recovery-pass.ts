import { type EdgeKind } from '../../protocol/jobs';

/**
 * The recovery pass of the paper (Ray, Xin, Zhu, section 5, phase 3) and the typed edges of section 3, on
 * one pipeline. It is pure: a pipeline's states in, the decisions out.
 */
/** `to` depends on `from`. */
export interface Edge {
  from: number;
  to: number;
  kind: EdgeKind;
}

/** The paper's states: unscheduled, executing, committed, aborted; `interrupted` is what a crash makes of the second. */
export type NodeState = 'unscheduled' | 'executing' | 'interrupted' | 'done' | 'failed' | 'cancelled';

export interface PipelineNode {
  state: NodeState;
  reExecutable: boolean;
  /** Everything it takes its input from is on record. */
  inputsRecorded: boolean;
  /** Jobs that stand in for this one once it has failed. */
  alternates: number[];
}

export interface RecoveryResult {
  /** Interrupted jobs to run again: only their unfinished tasks. */
  rerun: number[];
  fail: number[];
  /** Jobs cancelled because one that they abort-depend on failed. */
  cancel: number[];
  /** Fallbacks and alternates that are now to run. */
  release: number[];
  /** A done job abort-depends on a failed one: it stays done, the pipeline is reported failed. */
  pipelineFailed: boolean;
}

/** Walks the interrupted jobs from the earliest; `order` gives the jobs in the order in which they began. */
export function recoveryPass(
  nodes: readonly PipelineNode[],
  edges: readonly Edge[],
  order: readonly number[],
): RecoveryResult {
  const result: RecoveryResult = { rerun: [], fail: [], cancel: [], release: [], pipelineFailed: false };
  const states = nodes.map((n) => n.state);
  for (const i of order) {
    const node = nodes[i];
    // An earlier job's failure may have reached this one already.
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

/** What one job's failure in ordinary running does to the others: the same adjustment as after a crash. */
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

/** A job may begin once every begin-on-commit parent is done and, if it is a fallback, it has been released. */
export function mayBegin(
  nodes: readonly PipelineNode[],
  edges: readonly Edge[],
  job: number,
  released: ReadonlySet<number>,
): boolean {
  let fallback = nodes.some((n) => n.alternates.includes(job));
  for (const edge of edges) {
    if (edge.to !== job) continue;
    if (edge.kind === 'begin_on_commit' && nodes[edge.from]?.state !== 'done') return false;
    if (edge.kind === 'force_begin_on_abort') fallback = true;
  }
  return !fallback || released.has(job);
}
