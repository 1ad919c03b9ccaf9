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

test('urgency', async (t) => {
  const idle: JobSpec = { ...JOB_SPEC, priority: 3, deadlineS: 100 };
  const objectives = [
    { kind: 'deadline' as const, workload: 'w', times: 1.5 },
    { kind: 'deadline' as const, workload: 'w', times: 1 },
    { kind: 'finished' as const, workload: 'w', withinS: 250 },
    { kind: 'finished' as const, workload: 'other', withinS: 1 },
  ];
  const estimates = new RuntimeEstimates();
  const waits = (ageS: number, startedRatio = 0, withinGuarantee = false): WaitState => ({
    ageS,
    startedRatio,
    withinGuarantee,
  });
  const cases: [string, () => unknown, unknown][] = [
    ['all deadlines of the class, earliest first', () => deadlinesOf(idle, objectives), [100, 150, 250]],
    ['without objectives the deadline', () => deadlinesOf(idle, []), [100]],
    ['no deadline, no due', () => deadlinesOf({ ...idle, deadlineS: null }, objectives.slice(0, 2)), []],
    ['in time for all', () => missedDeadlineCount([100, 150], 40, 50), 0],
    ['too late for the first', () => missedDeadlineCount([100, 150], 60, 50), 1],
    ['too late for all', () => missedDeadlineCount([100, 150], 140, 50), 2],
    ['so late that it comes forward again', () => missedDeadlineCount([100, 150], 301, 50), 0],
    ['idle work keeps its rank at first', () => deadlinePriority(idle, [250], 100, 30), 3],
    ['goes up a step when half of its time is gone', () => deadlinePriority(idle, [250], 130, 30), 2],
    ['but not once it is too late', () => deadlinePriority(idle, [250], 230, 30), 3],
    ['other work keeps its rank', () => deadlinePriority({ ...idle, priority: 2 }, [250], 130, 30), 2],
    [
      'one that has waited for long without a begin goes up',
      () => agedPriority(3, waits(160), objectives),
      1,
    ],
    ['not once it has begun', () => agedPriority(3, waits(160, 0.1), objectives), 3],
    ['again if that was little', () => agedPriority(3, waits(220, 0.1), objectives), 1],
    ['not if it was half', () => agedPriority(3, waits(220, 0.5), objectives), 3],
    ['nor a more urgent one', () => agedPriority(0, waits(160), objectives), 0],
    [
      'work within a guarantee goes up sooner, not past urgent work',
      () => agedPriority(3, waits(50, 1, true), []),
      2,
    ],
    [
      'as soon as the operators wish',
      () => [40, 50].map((s) => agedPriority(3, waits(s, 0, true), [{ kind: 'guarantee', withinS: 150 }])),
      [3, 2],
    ],
    ['estimates count until enough was seen', () => estimates.expectedSeconds(JOB_SPEC), 30],
    [
      'then what was seen, within bounds',
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
