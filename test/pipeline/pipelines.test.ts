import assert from 'node:assert/strict';
import { test } from 'node:test';
import { evaluatePipeline, type PipelineMember } from '../../src/coordination/pipeline/pipelines';
import { type EdgeKind, type JobSpec } from '../../src/protocol/jobs';
import { type JobState } from '../../src/protocol/records';

interface Link {
  after?: [string, EdgeKind][];
  once?: boolean;
  alternateFor?: string;
  state?: JobState;
}

/** Jobs a, b, c … of one pipeline, accepted in this order. */
function members(links: Record<string, Link>): PipelineMember[] {
  return Object.entries(links).map(([ref, { after = [], once, alternateFor, state = 'open' }], order) => {
    const pipeline = {
      ref: 'p',
      after: after.map(([job, kind]) => ({ job, kind })),
      reExecutable: once !== true,
      alternateFor: alternateFor ?? null,
    };
    return { spec: { ref, pipeline } as JobSpec, state, order };
  });
}

const commit = (job: string): [string, EdgeKind] => [job, 'begin_on_commit'];
const abort = (job: string): [string, EdgeKind] => [job, 'abort'];
const fallback = (job: string): [string, EdgeKind] => [job, 'force_begin_on_abort'];

test('the edges of a pipeline', async (t) => {
  const cases: [
    string,
    Record<string, Link>,
    string[],
    { ready: string; shows: string; failed?: boolean },
  ][] = [
    ['a job without edges begins', { a: {} }, [], { ready: 'a', shows: 'a:ready' }],
    [
      'a job waits for the one that it begins after',
      { a: {}, b: { after: [commit('a')] } },
      [],
      { ready: 'a', shows: 'a:ready b:waiting(a)' },
    ],
    [
      'and begins once that is done',
      { a: { state: 'done' }, b: { after: [commit('a')] } },
      [],
      { ready: 'b', shows: 'a:done b:ready' },
    ],
    [
      'a fallback waits, and is not needed once its job is done',
      { a: { state: 'done' }, b: { after: [fallback('a')] } },
      [],
      { ready: '', shows: 'a:done b:not_needed' },
    ],
    [
      'an interrupted job that may be rerun goes on',
      { a: {}, b: { after: [commit('a')] } },
      ['a'],
      { ready: 'a', shows: 'a:ready b:waiting(a)' },
    ],
    [
      'any other fails, what abort-depends on it is dropped; the fallback waits until that is on record',
      { a: { once: true }, b: { after: [abort('a')] }, c: { after: [fallback('a')] } },
      ['a'],
      { ready: '', shows: 'a:failed b:dropped(a) c:waiting(a)', failed: false },
    ],
    [
      'on record it begins',
      {
        a: { once: true, state: 'failed' },
        b: { after: [abort('a')], state: 'dropped' },
        c: { after: [fallback('a')] },
      },
      [],
      { ready: 'c', shows: 'a:failed b:dropped(a) c:ready', failed: false },
    ],
    [
      'an alternate stands in for a job that failed',
      { a: { once: true, state: 'failed' }, b: { alternateFor: 'a' } },
      [],
      { ready: 'b', shows: 'a:failed b:ready', failed: false },
    ],
    [
      'a job that its user cancelled counts as failed for those that hang on it',
      { a: { state: 'cancelled' }, b: { after: [abort('a')] }, c: { after: [commit('a')] } },
      [],
      { ready: '', shows: 'a:cancelled b:dropped(a) c:waiting(a)', failed: true },
    ],
    [
      'a done dependent stays done, and the pipeline has failed',
      { a: { state: 'failed' }, b: { after: [abort('a')], state: 'done' }, c: { after: [fallback('a')] } },
      [],
      { ready: 'c', shows: 'a:failed b:done c:ready', failed: true },
    ],
    [
      'a drop that was decided but not written is decided again',
      { a: { state: 'failed' }, b: { after: [abort('a')] }, c: { after: [abort('b')] } },
      [],
      { ready: '', shows: 'a:failed b:dropped(a) c:dropped(b)', failed: true },
    ],
  ];
  for (const [name, links, interrupted, expected] of cases) {
    await t.test(name, () => {
      const view = evaluatePipeline(members(links), new Set(interrupted));
      const shows = [...view.statusByJob]
        .map(([ref, s]) => `${ref}:${s.state}${s.because === null ? '' : `(${s.because})`}`)
        .join(' ');
      assert.equal([...view.ready].join(' '), expected.ready);
      assert.equal(shows, expected.shows);
      if (expected.failed !== undefined)
        assert.deepEqual(
          new Set([...view.statusByJob.values()].map((s) => s.failed)),
          new Set([expected.failed]),
        );
    });
  }
});
