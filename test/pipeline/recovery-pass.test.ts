import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  failJob,
  mayBegin,
  recoveryPass,
  type Edge,
  type NodeState,
  type PipelineNode,
} from '../../src/coordination/pipeline/recovery-pass';

function node(state: NodeState, reExecutable = true, alternates: number[] = []): PipelineNode {
  return { state, reExecutable, inputsRecorded: true, alternates };
}

const NO_CHANGES = { rerun: [], fail: [], cancel: [], release: [], pipelineFailed: false };

test('recovery walk', async (t) => {
  const abort = (from: number, to: number): Edge => ({ from, to, kind: 'abort' });
  const fallback = (from: number, to: number): Edge => ({ from, to, kind: 'force_begin_on_abort' });
  const cases: [string, PipelineNode[], Edge[], object][] = [
    ['nothing interrupted', [node('done'), node('unscheduled')], [abort(0, 1)], NO_CHANGES],
    ['a re-executable job is run again', [node('interrupted')], [], { ...NO_CHANGES, rerun: [0] }],
    ['any other fails', [node('interrupted', false)], [], { ...NO_CHANGES, fail: [0] }],
    [
      'inputs that are not recorded forbid a rerun',
      [{ ...node('interrupted'), inputsRecorded: false }],
      [],
      { ...NO_CHANGES, fail: [0] },
    ],
    [
      'failure passes down abort edges, link by link',
      [node('interrupted', false), node('unscheduled'), node('interrupted')],
      [abort(0, 1), abort(1, 2)],
      { ...NO_CHANGES, fail: [0], cancel: [1, 2] },
    ],
    [
      'a done dependent stays done, the pipeline has failed',
      [node('interrupted', false), node('done'), node('unscheduled')],
      [abort(0, 1), abort(1, 2)],
      { ...NO_CHANGES, fail: [0], pipelineFailed: true },
    ],
    [
      'a fallback and an alternate are released once',
      [node('interrupted', false, [1]), node('unscheduled')],
      [fallback(0, 1)],
      { ...NO_CHANGES, fail: [0], release: [1] },
    ],
    [
      'a fallback that is itself aborted is not released',
      [node('interrupted', false), node('unscheduled'), node('unscheduled')],
      [fallback(0, 2), abort(0, 1), abort(1, 2)],
      { ...NO_CHANGES, fail: [0], cancel: [1, 2] },
    ],
    [
      'the earliest decides: a later interrupted job may be cancelled instead of rerun',
      [node('interrupted', false), node('interrupted')],
      [abort(0, 1)],
      { ...NO_CHANGES, fail: [0], cancel: [1] },
    ],
  ];
  for (const [name, nodes, edges, expected] of cases) {
    await t.test(name, () => assert.deepEqual(recoveryPass(nodes, edges, [...nodes.keys()]), expected));
  }
  await t.test('a cycle of abort edges ends', () => {
    const ring = [node('executing'), node('executing'), node('executing')];
    const result = failJob(ring, [abort(0, 1), abort(1, 2), abort(2, 0)], 0);
    assert.deepEqual(result.cancel, [1, 2]);
  });
  await t.test('a job begins after its begin-on-commit parents and its release', () => {
    const edges: Edge[] = [{ from: 0, to: 1, kind: 'begin_on_commit' }, fallback(0, 2)];
    const nodes = [node('executing'), node('unscheduled'), node('unscheduled')];
    assert.equal(mayBegin(nodes, edges, 1, new Set()), false);
    assert.equal(mayBegin([node('done'), ...nodes.slice(1)], edges, 1, new Set()), true);
    assert.equal(mayBegin(nodes, edges, 2, new Set()), false);
    assert.equal(mayBegin(nodes, edges, 2, new Set([2])), true);
  });
});
