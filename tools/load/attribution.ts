/** Sums a CPU profile of a controller by cause. The patterns match functions and files of the compiled service. */
import { type Profiler } from 'node:inspector';

/** Causes of processor time. A sample has the cause of the first pattern that matches its stack, from the innermost frame out. */
const CAUSES: readonly { cause: string; frames: RegExp }[] = [
  { cause: 'garbage collection', frames: /^\(garbage collector\)/ },
  { cause: 'recorder', frames: /recorder\.js|node:inspector|inspector_async/ },
  { cause: 'logging', frames: /\/pino\/|transport\/log\.js|sonic-boom/ },
  { cause: 'start', frames: /cjs\/loader|bootstrap|run_main/ },
  {
    cause: 'placement',
    frames: /(prioritizeMachines|jobsInSchedulingOrder|schedulingOrder|placeTasks) .*coordination/,
  },
  {
    cause: 'progress',
    frames:
      /progress-writer\.js|(changedValues|markProgressWritten|progress) .*(partition-core|progress-slots|progress-writer|job)\.js/,
  },
  { cause: 'partition loads', frames: /partition-load\.js/ },
  {
    cause: 'heartbeats',
    frames:
      /request-server\.js|newest-first-queue\.js|workers\.js|(plainHeartbeatHandler|answerHeartbeat) |onconnection/,
  },
  {
    cause: "leader's planning",
    frames: /coordination\/(leader|fleet)\//,
  },
  {
    cause: 'partition tick',
    frames:
      /partition-(core|actor|store)\.js|(terminal-state|assigned-machine|machine-record)-writer\.js|tick .*controller\.js/,
  },
  {
    cause: 'frames between controllers',
    frames: /(peer-link|peer-codec)\.js|avsc|publishStatus|receiveFrame/,
  },
  {
    cause: 'watch events and refill',
    frames: /(replica-feed|store-replica|replica-view|job-index|fleet-index)\.js/,
  },
  {
    cause: 'submissions and status queries',
    frames: /\/express\/|express-app\.js|job-service\.js|submission-batcher\.js|\/router\/|_http_server/,
  },
  {
    cause: 'requests to the state store and the cloud',
    frames:
      /(state-store-client|store-connection|request-queue|fresh-read-batcher)\.js|http-client\.js|_http_client|_http_agent|http-connection\.js/,
  },
  {
    cause: 'sockets',
    frames:
      /node:net|stream_base_commons|node:internal\/streams|(writev|writeUtf8String|writeLatin1String|writeBuffer) $/,
  },
  { cause: 'event loop and timers', frames: /\(program\)|node:internal\/(timers|process)/ },
];

/** Frames of heartbeats. These are messages to the partition actor, so their stacks also contain the partition's frames. */
const HEARTBEAT_FRAME =
  /heartbeat-handler\.js|handleHeartbeat .*partition-core\.js|(applyHeartbeat|takeCommands|isNewer) .*machine\.js/;
const PLACEMENT_RULE = CAUSES.find((c) => c.cause === 'placement');

type Node = Profiler.ProfileNode;

function frameText({ callFrame }: Node): string {
  return `${callFrame.functionName} ${callFrame.url}`;
}

function causeOf(stack: readonly string[]): string {
  if (stack.some((frame) => HEARTBEAT_FRAME.test(frame)))
    return stack.some((frame) => PLACEMENT_RULE?.frames.test(frame)) ? 'placement' : 'heartbeats';
  for (const frame of stack) {
    const rule = CAUSES.find(({ frames }) => frames.test(frame));
    if (rule) return rule.cause;
  }
  return 'other';
}

/** Returns milliseconds of processor time by cause, without idle time, and the functions by self time, longest first. */
export function attribute(profile: Profiler.Profile): {
  causes: Map<string, number>;
  topFunctions: [string, number][];
} {
  const nodes = new Map(profile.nodes.map((node) => [node.id, node]));
  const parents = new Map<number, number>();
  for (const node of profile.nodes) for (const child of node.children ?? []) parents.set(child, node.id);
  const selfUs = new Map<number, number>();
  for (const [i, id] of (profile.samples ?? []).entries())
    selfUs.set(id, (selfUs.get(id) ?? 0) + (profile.timeDeltas?.[i + 1] ?? 0));
  const causes = new Map<string, number>();
  const functions = new Map<string, number>();
  for (const [id, us] of selfUs) {
    const stack: string[] = [];
    for (let nodeId: number | undefined = id; nodeId !== undefined; nodeId = parents.get(nodeId))
      stack.push(frameText(nodes.get(nodeId) as Node));
    const ownFrame = stack[0] ?? '';
    if (ownFrame.startsWith('(idle)')) continue;
    const cause = causeOf(stack);
    causes.set(cause, (causes.get(cause) ?? 0) + us / 1000);
    functions.set(ownFrame, (functions.get(ownFrame) ?? 0) + us / 1000);
  }
  const byTime = (a: [string, number], b: [string, number]): number => b[1] - a[1];
  return { causes: new Map([...causes].sort(byTime)), topFunctions: [...functions].sort(byTime) };
}
