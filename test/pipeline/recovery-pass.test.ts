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

test('recovery pass', async (t) => {
  const abort = (from: number, to: number): Edge => ({ from, to, kind: 'abort' });
  const fallback = (from: number, to: number): Edge => ({ from, to, kind: 'force_begin_on_abort' });
  const cases: [string, PipelineNode[], Edge[], object][] = [
    ['no job is interrupted: no changes', [node('done'), node('unscheduled')], [abort(0, 1)], NO_CHANGES],
    ['a re-executable job is run again', [node('interrupted')], [], { ...NO_CHANGES, rerun: [0] }],
    [
      'an interrupted job that is not re-executable fails',
      [node('interrupted', false)],
      [],
      { ...NO_CHANGES, fail: [0] },
    ],
    [
      'an interrupted job whose inputs are not recorded fails',
      [{ ...node('interrupted'), inputsRecorded: false }],
      [],
      { ...NO_CHANGES, fail: [0] },
    ],
    [
      'a failure cancels direct and indirect abort-dependents',
      [node('interrupted', false), node('unscheduled'), node('interrupted')],
      [abort(0, 1), abort(1, 2)],
      { ...NO_CHANGES, fail: [0], cancel: [1, 2] },
    ],
    [
      'a done abort-dependent stays done, and the pipeline has failed',
      [node('interrupted', false), node('done'), node('unscheduled')],
      [abort(0, 1), abort(1, 2)],
      { ...NO_CHANGES, fail: [0], pipelineFailed: true },
    ],
    [
      'a job that is both fallback and alternate is released once',
      [node('interrupted', false, [1]), node('unscheduled')],
      [fallback(0, 1)],
      { ...NO_CHANGES, fail: [0], release: [1] },
    ],
    [
      'a fallback that is itself cancelled is not released',
      [node('interrupted', false), node('unscheduled'), node('unscheduled')],
      [fallback(0, 2), abort(0, 1), abort(1, 2)],
      { ...NO_CHANGES, fail: [0], cancel: [1, 2] },
    ],
    [
      'the failure of an earlier job cancels a later interrupted job, which is not rerun',
      [node('interrupted', false), node('interrupted')],
      [abort(0, 1)],
      { ...NO_CHANGES, fail: [0], cancel: [1] },
    ],
  ];
  for (const [name, nodes, edges, expected] of cases) {
    await t.test(name, () => assert.deepEqual(recoveryPass(nodes, edges, [...nodes.keys()]), expected));
  }
  await t.test('propagation along a cycle of abort edges terminates', () => {
    const ring = [node('executing'), node('executing'), node('executing')];
    const result = failJob(ring, [abort(0, 1), abort(1, 2), abort(2, 0)], 0);
    assert.deepEqual(result.cancel, [1, 2]);
  });
  await t.test(
    'a job may begin once its begin-on-commit parents are done, and a fallback once it is released',
    () => {
      const edges: Edge[] = [{ from: 0, to: 1, kind: 'begin_on_commit' }, fallback(0, 2)];
      const nodes = [node('executing'), node('unscheduled'), node('unscheduled')];
      assert.equal(mayBegin(nodes, edges, 1, new Set()), false);
      assert.equal(mayBegin([node('done'), ...nodes.slice(1)], edges, 1, new Set()), true);
      assert.equal(mayBegin(nodes, edges, 2, new Set()), false);
      assert.equal(mayBegin(nodes, edges, 2, new Set([2])), true);
    },
  );
});
