/** The HTTP side of workers' heartbeats. */
import { type PlainHandler } from '../../transport/request-server';
import { type Log } from '../../transport/log';
import {
  parseHeartbeat,
  redirectResponse,
  heartbeatResponse,
  type Command,
  type Heartbeat,
} from '../../protocol/workers';

/** The reply to a heartbeat: the answer of the machine's owner, a redirect to the owner, or a request to retry (`busy`). */
export type HeartbeatReply =
  | { kind: 'answer'; token: number; commands: Command[] }
  | { kind: 'redirect'; owner: string | null }
  | { kind: 'busy' };

export interface HeartbeatDependencies {
  /** Calls `reply` exactly once, immediately or within a few seconds. */
  receiveHeartbeat: (heartbeat: Heartbeat, reply: (reply: HeartbeatReply) => void) => void;
  log: Log;
}

export const MALFORMED_HEARTBEAT = { error: 'not a report' };

/** Responds to a worker's heartbeat, given the parsed JSON of its request. */
export function answerHeartbeat(
  dependencies: HeartbeatDependencies,
  body: unknown,
  respond: (status: number, body: object) => void,
): void {
  const heartbeat = parseHeartbeat(body);
  if (!heartbeat) {
    dependencies.log.info('malformed heartbeat');
    return respond(400, MALFORMED_HEARTBEAT);
  }
  dependencies.receiveHeartbeat(heartbeat, (reply) => {
    if (reply.kind === 'answer') respond(200, heartbeatResponse(reply.token, reply.commands));
    else if (reply.kind === 'redirect') respond(421, redirectResponse(reply.owner));
    else respond(503, { error: 'not now' });
  });
}

/** Creates the handler that responds to heartbeats read directly from the socket. */
export function plainHeartbeatHandler(dependencies: HeartbeatDependencies): PlainHandler {
  return (text, answer) => {
    let body: unknown;
    try {
      body = JSON.parse(text);
    } catch {
      body = undefined;
    }
    answerHeartbeat(dependencies, body, (status, content) =>
      answer({ status, body: JSON.stringify(content) }),
    );
  };
}
