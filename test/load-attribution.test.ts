import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { type Profiler } from 'node:inspector';
import { join } from 'node:path';
import test from 'node:test';
import { attribute } from '../tools/load/attribution';

const SRC = 'src';
const SAMPLE_US = 5000;

/** A stack frame of the service. The function must exist in that source file, or the patterns of the tool match nothing. */
interface Frame {
  functionName: string;
  file: string;
}

function frame(functionName: string, file: string): Frame {
  return { functionName, file };
}

/** Returns a profile with one sample, whose stack is given from the outermost frame to the innermost. */
function profileOf(stack: readonly Frame[]): Profiler.Profile {
  const nodes = stack.map(({ functionName, file }, i) => ({
    id: i + 1,
    callFrame: {
      functionName,
      url: `file:///service/target-test/${file.replace(/\.ts$/, '.js')}`,
      scriptId: '1',
      lineNumber: 0,
      columnNumber: 0,
    },
    children: i + 1 < stack.length ? [i + 2] : [],
  }));
  return { nodes, startTime: 0, endTime: SAMPLE_US, samples: [stack.length], timeDeltas: [0, SAMPLE_US] };
}

const PARTITION = `${SRC}/coordination/partition`;
const CONTROLLER = `${SRC}/coordination/controller`;
const REQUESTS = `${SRC}/coordination/requests`;
const STORAGE = `${SRC}/storage`;

const heartbeat = [
  frame('answerHeartbeat', `${REQUESTS}/heartbeat-gateway.ts`),
  frame('receiveHeartbeat', `${CONTROLLER}/heartbeat-router.ts`),
];

const cases: [name: string, stack: Frame[], cause: string][] = [
  ['routing a heartbeat to its partition', heartbeat, 'heartbeats'],
  [
    'applying a heartbeat to its machine',
    [...heartbeat, frame('applyHeartbeat', `${PARTITION}/machine.ts`)],
    'heartbeats',
  ],
  [
    'commands in the answer to a heartbeat',
    [...heartbeat, frame('takeCommands', `${PARTITION}/machine.ts`)],
    'heartbeats',
  ],
  [
    'placement within the answer to a heartbeat',
    [
      ...heartbeat,
      frame('takeCommands', `${PARTITION}/machine.ts`),
      frame('placeTasks', `${PARTITION}/task-placement.ts`),
    ],
    'placement',
  ],
  [
    'a task exit reported by a heartbeat',
    [
      ...heartbeat,
      frame('handle', `${PARTITION}/heartbeat-handler.ts`),
      frame('handleExit', `${PARTITION}/task-lifecycle.ts`),
    ],
    'heartbeats',
  ],
  ['ordering jobs', [frame('schedulingOrder', `${PARTITION}/scheduling-order.ts`)], 'placement'],
  ['writing progress', [frame('writeIfDue', `${PARTITION}/progress-writer.ts`)], 'progress'],
  ['finding changed progress values', [frame('changedValues', `${STORAGE}/progress-slots.ts`)], 'progress'],
  ['a controller tick', [frame('tick', `${CONTROLLER}/controller.ts`)], 'partition tick'],
  [
    'publishing a status to other controllers',
    [frame('publishStatus', `${CONTROLLER}/status-publisher.ts`)],
    'frames between controllers',
  ],
  [
    'receiving a frame from another controller',
    [frame('receiveFrame', `${CONTROLLER}/peer-messenger.ts`)],
    'frames between controllers',
  ],
  [
    'a message to the leader',
    [frame('receive', `${SRC}/coordination/leader/leader.ts`)],
    "leader's planning",
  ],
  [
    'publishing watch events',
    [frame('publishIfComplete', `${STORAGE}/replica-feed.ts`)],
    'watch events and refill',
  ],
  ['a submission', [frame('submit', `${REQUESTS}/job-service.ts`)], 'submissions and status queries'],
  [
    'an HTTP call',
    [frame('call', `${SRC}/transport/http-client.ts`)],
    'requests to the state store and the cloud',
  ],
];

for (const [name, stack, cause] of cases) {
  test(`processor time of ${name} is attributed to ${cause}`, () => {
    for (const { functionName, file } of stack)
      assert.match(readFileSync(join(process.cwd(), file), 'utf8'), new RegExp(`\\b${functionName}[(<]`));
    assert.deepEqual([...attribute(profileOf(stack)).causes], [[cause, SAMPLE_US / 1000]]);
  });
}

test('idle time is not attributed', () => {
  assert.equal(attribute(profileOf([frame('(idle)', '')])).causes.size, 0);
});
