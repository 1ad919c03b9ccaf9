import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  deadlinesOf,
  deadlinePriority,
  RuntimeEstimates,
  missedDeadlineCount,
  agedPriority,
  type WaitState,
} from '../../src/coordination/partition/priority';
import { type JobSpec } from '../../src/protocol/jobs';
import { JOB_SPEC } from '../support/job-spec';

test('priority: deadlines, aging and run time estimates', async (t) => {
  const idle: JobSpec = { ...JOB_SPEC, priority: 3, deadlineS: 100 };
  const objectives = [
    { kind: 'deadline' as const, workload: 'w', times: 1.5 },
    { kind: 'deadline' as const, workload: 'w', times: 1 },
    { kind: 'finished' as const, workload: 'w', withinS: 250 },
    { kind: 'finished' as const, workload: 'other', withinS: 1 },
  ];
  const estimates = new RuntimeEstimates();
  const waitState = (ageS: number, startedRatio = 0, withinGuarantee = false): WaitState => ({
    ageS,
    startedRatio,
    withinGuarantee,
  });
  const cases: [string, () => unknown, unknown][] = [
    [
      'the deadlines of a job are those of all objectives for its workload, earliest first',
      () => deadlinesOf(idle, objectives),
      [100, 150, 250],
    ],
    ['without objectives, the only deadline is that of the job', () => deadlinesOf(idle, []), [100]],
    [
      'objectives relative to a deadline yield none for a job without a deadline',
      () => deadlinesOf({ ...idle, deadlineS: null }, objectives.slice(0, 2)),
      [],
    ],
    ['no deadline is missed by a job in time for all', () => missedDeadlineCount([100, 150], 40, 50), 0],
    [
      'one deadline is missed by a job too late for the first',
      () => missedDeadlineCount([100, 150], 60, 50),
      1,
    ],
    [
      'two deadlines are missed by a job too late for both',
      () => missedDeadlineCount([100, 150], 140, 50),
      2,
    ],
    [
      'no deadline counts as missed beyond twice the last deadline',
      () => missedDeadlineCount([100, 150], 301, 50),
      0,
    ],
    [
      'a job of the lowest priority keeps it before half of the time to its deadline has passed',
      () => deadlinePriority(idle, [250], 100, 30),
      3,
    ],
    [
      'a job of the lowest priority is raised by one step after half of the time to its deadline',
      () => deadlinePriority(idle, [250], 130, 30),
      2,
    ],
    [
      'a job of the lowest priority that cannot meet its deadline any more is not raised',
      () => deadlinePriority(idle, [250], 230, 30),
      3,
    ],
    [
      'a job of another priority is not raised for its deadline',
      () => deadlinePriority({ ...idle, priority: 2 }, [250], 130, 30),
      2,
    ],
    [
      'a job without started tasks is raised after the maximum wait for its first task',
      () => agedPriority(3, waitState(160), objectives),
      1,
    ],
    [
      'a job with started tasks is not raised after the maximum wait for its first task',
      () => agedPriority(3, waitState(160, 0.1), objectives),
      3,
    ],
    [
      'a job that has started less than half of its tasks is raised after the maximum wait for half of them',
      () => agedPriority(3, waitState(220, 0.1), objectives),
      1,
    ],
    [
      'a job that has started half of its tasks is not raised after the maximum wait for half of them',
      () => agedPriority(3, waitState(220, 0.5), objectives),
      3,
    ],
    ['a job of the highest priority keeps it', () => agedPriority(0, waitState(160), objectives), 0],
    [
      'a job within its guarantee is raised sooner, but not before urgent jobs',
      () => agedPriority(3, waitState(50, 1, true), []),
      2,
    ],
    [
      'a job within its guarantee is raised after a share of the configured time',
      () =>
        [40, 50].map((s) => agedPriority(3, waitState(s, 0, true), [{ kind: 'guarantee', withinS: 150 }])),
      [3, 2],
    ],
    [
      'the estimate of the job is used until there are enough samples',
      () => estimates.expectedSeconds(JOB_SPEC),
      30,
    ],
    [
      'with enough samples the estimate is corrected by them, within bounds',
      () => {
        for (let i = 0; i < 10; i++) estimates.addSample('w', 30, 15);
        for (let i = 0; i < 10; i++) estimates.addSample('slow', 30, 900);
        return [
          estimates.expectedSeconds(JOB_SPEC),
          estimates.expectedSeconds({ ...JOB_SPEC, workload: 'slow' }),
        ];
      },
      [15, 75],
    ],
  ];
  for (const [name, act, expected] of cases) await t.test(name, () => assert.deepEqual(act(), expected));
});
