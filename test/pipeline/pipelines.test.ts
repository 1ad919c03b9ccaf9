import assert from 'node:assert/strict';
import { test } from 'node:test';
import { evaluatePipeline, type PipelineMember } from '../../src/coordination/pipeline/pipelines';
import { type EdgeKind, type JobSpec } from '../../src/protocol/jobs';
import { type JobState } from '../../src/protocol/records';

interface JobOptions {
  after?: [string, EdgeKind][];
  runsOnce?: boolean;
  alternateFor?: string;
  state?: JobState;
}

/** Returns jobs a, b, c and so on of one pipeline, accepted in this order. */
function members(jobs: Record<string, JobOptions>): PipelineMember[] {
  return Object.entries(jobs).map(([ref, { after = [], runsOnce, alternateFor, state = 'open' }], order) => {
    const pipeline = {
      ref: 'p',
      after: after.map(([job, kind]) => ({ job, kind })),
      reExecutable: runsOnce !== true,
      alternateFor: alternateFor ?? null,
    };
    return { spec: { ref, pipeline } as JobSpec, state, order };
  });
}

const commit = (job: string): [string, EdgeKind] => [job, 'begin_on_commit'];
const abort = (job: string): [string, EdgeKind] => [job, 'abort'];
const fallback = (job: string): [string, EdgeKind] => [job, 'force_begin_on_abort'];

test('evaluation of the edges of a pipeline', async (t) => {
  const cases: [
    string,
    Record<string, JobOptions>,
    string[],
    { ready: string; statuses: string; failed?: boolean },
  ][] = [
    ['a job without edges is ready', { a: {} }, [], { ready: 'a', statuses: 'a:ready' }],
    [
      'a job waits for its begin-on-commit parent',
      { a: {}, b: { after: [commit('a')] } },
      [],
      { ready: 'a', statuses: 'a:ready b:waiting(a)' },
    ],
    [
      'a job is ready once its begin-on-commit parent is done',
      { a: { state: 'done' }, b: { after: [commit('a')] } },
      [],
      { ready: 'b', statuses: 'a:done b:ready' },
    ],
    [
      'a fallback is not needed once its job is done',
      { a: { state: 'done' }, b: { after: [fallback('a')] } },
      [],
      { ready: '', statuses: 'a:done b:not_needed' },
    ],
    [
      'an interrupted job that may be rerun is ready',
      { a: {}, b: { after: [commit('a')] } },
      ['a'],
      { ready: 'a', statuses: 'a:ready b:waiting(a)' },
    ],
    [
      'an interrupted job that runs at most once fails, its abort-dependents are dropped, and its fallback waits until that is recorded',
      { a: { runsOnce: true }, b: { after: [abort('a')] }, c: { after: [fallback('a')] } },
      ['a'],
      { ready: '', statuses: 'a:failed b:dropped(a) c:waiting(a)', failed: false },
    ],
    [
      'a fallback is ready once the failure of its job is recorded',
      {
        a: { runsOnce: true, state: 'failed' },
        b: { after: [abort('a')], state: 'dropped' },
        c: { after: [fallback('a')] },
      },
      [],
      { ready: 'c', statuses: 'a:failed b:dropped(a) c:ready', failed: false },
    ],
    [
      'an alternate of a failed job is ready',
      { a: { runsOnce: true, state: 'failed' }, b: { alternateFor: 'a' } },
      [],
      { ready: 'b', statuses: 'a:failed b:ready', failed: false },
    ],
    [
      'a job cancelled by its user counts as failed for the jobs that depend on it',
      { a: { state: 'cancelled' }, b: { after: [abort('a')] }, c: { after: [commit('a')] } },
      [],
      { ready: '', statuses: 'a:cancelled b:dropped(a) c:waiting(a)', failed: true },
    ],
    [
      'a done abort-dependent of a failed job stays done, and the pipeline has failed',
      { a: { state: 'failed' }, b: { after: [abort('a')], state: 'done' }, c: { after: [fallback('a')] } },
      [],
      { ready: 'c', statuses: 'a:failed b:done c:ready', failed: true },
    ],
    [
      'a job whose drop was decided but not recorded is dropped again',
      { a: { state: 'failed' }, b: { after: [abort('a')] }, c: { after: [abort('b')] } },
      [],
      { ready: '', statuses: 'a:failed b:dropped(a) c:dropped(b)', failed: true },
    ],
  ];
  for (const [name, jobs, interrupted, expected] of cases) {
    await t.test(name, () => {
      const snapshot = evaluatePipeline(members(jobs), new Set(interrupted));
      const statuses = [...snapshot.statusByJob]
        .map(([ref, s]) => `${ref}:${s.state}${s.because === null ? '' : `(${s.because})`}`)
        .join(' ');
      assert.equal([...snapshot.ready].join(' '), expected.ready);
      assert.equal(statuses, expected.statuses);
      if (expected.failed !== undefined)
        assert.deepEqual(
          new Set([...snapshot.statusByJob.values()].map((s) => s.failed)),
          new Set([expected.failed]),
        );
    });
  }
});
